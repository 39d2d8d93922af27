package sidecar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Guards against a run that continues after the link to its entry was lost: the entry starts
// the task elsewhere 1.1 s later.
func TestRunsOfLostEntryAreStopped(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		gone, stays := b.open("gone"), b.link("stays")
		b.start(gone, id(0, 1), 1000)
		b.start(stays, id(1, 1), 1000)
		time.Sleep(300 * time.Millisecond)
		b.sidecar.LinkDown(gone, nil)
		time.Sleep(100 * time.Millisecond)
		running := b.runner.Running()
		if _, found := running[firstTask]; found || len(running) != 1 {
			t.Errorf("running: %v, want only the run of the entry that is still linked", running)
		}
	})
}

// Guards against start requests that were queued while the process was paused: their tasks may
// run elsewhere by now.
func TestPausedAgentStartsNothing(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.paused = true
		b.start(l, id(0, 1), 1000)
		b.paused = false
		b.start(l, id(1, 1), 1000)
		time.Sleep(50 * time.Millisecond)
		ends := l.ends()
		if len(ends) != 2 || ends[0].Status != wire.EndNotRun || ends[1].Status != wire.EndNotRun || !l.closed {
			t.Errorf("run ends received: %+v, link closed %t; want two refused runs and a closed link", ends, l.closed)
		}
	})
}

// Guards against closing a link that was opened after a pause: only messages on earlier links
// are out of date.
func TestPauseClosesEarlierLinksOnly(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		earlier := b.open("a")
		b.paused = true
		later := b.link("b")
		b.paused = false
		b.start(later, id(0, 1), 1000)
		synctest.Wait()
		if !earlier.closed || later.closed {
			t.Errorf("closed: the earlier link %t, the later one %t", earlier.closed, later.closed)
		}
		if n := b.runner.Starts(firstTask); n != 1 {
			t.Errorf("%d starts over the later link, want 1", n)
		}
	})
}

// Guards against slow heartbeats on a link whose entry has runs here: they must be stopped
// soon after the link is lost.
func TestLinkWithRunsIsNotIdle(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		busy, other := b.open("busy"), b.link("other")
		b.start(busy, id(0, 1), 1000)
		synctest.Wait()
		if b.sidecar.Idle(busy) || !b.sidecar.Idle(other) {
			t.Errorf("idle: with a run %t, without one %t", b.sidecar.Idle(busy), b.sidecar.Idle(other))
		}
		time.Sleep(1100 * time.Millisecond)
		if !b.sidecar.Idle(busy) {
			t.Error("the link is not idle after the end of its run")
		}
	})
}

// Guards against a start that was admitted before a pause of the process and is sent after it: its
// task may run elsewhere by then.
func TestStartAdmittedBeforePauseIsNotSent(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.paused = true // before the request is sent: nothing has blocked since
		time.Sleep(50 * time.Millisecond)
		if n := b.runner.Starts(firstTask); n != 0 || !l.closed {
			t.Errorf("%d starts after the pause, link closed %t; want none and a closed link", n, l.closed)
		}
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndNotRun {
			t.Errorf("run ends received: %+v, want one run that was not started", ends)
		}
	})
}

// Guards against a run that starts after its stop was requested, before its start was sent.
func TestStartStoppedBeforeItIsSent(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.sidecar.Handle(l, &wire.RunStop{Runs: []workload.RunID{id(0, 1)}})
		time.Sleep(50 * time.Millisecond)
		if n := b.runner.Starts(firstTask); n != 0 || len(l.ends()) != 1 {
			t.Errorf("%d starts and run ends %+v, want no start and one end", n, l.ends())
		}
	})
}

// Guards against an entry that does not learn which of its runs are left when its link returns.
func TestFirstStateOnLinkNamesItsRuns(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l, other := b.open("a"), b.open("b")
		b.start(l, id(0, 1), 1000)
		b.start(other, id(1, 1), 1000)
		time.Sleep(10 * time.Millisecond)
		b.runner.SetFaults(standin.RunnerFaults{DropStops: 1})
		b.sidecar.LinkDown(l, nil)
		again := b.link("a")
		synctest.Wait()
		if s := again.state(); s == nil || len(s.Runs) != 1 || s.Runs[0] != id(0, 1) {
			t.Errorf("first state on the link that returned: %+v, want the run whose stop has no response", s)
		}
		time.Sleep(time.Second)
		if ends := again.ends(); len(ends) != 1 || ends[0].Status != wire.EndStopped {
			t.Errorf("run ends received: %+v, want the end of the run", ends)
		}
		after := b.link("a")
		synctest.Wait()
		if s := after.state(); s == nil || len(s.Runs) != 0 {
			t.Errorf("first state after the run's end: %+v, want no runs", s)
		}
	})
}

// Guards against a lease that is extended, by polls or by starts of other entries, for the runs of an entry
// that may have died, and against runs that are lost although their entry was only silent for a while.
func TestLeaseIsShortenedForSilentEntry(t *testing.T) {
	const longest = sidecar.MaxEntrySilence + sidecar.DefaultLease
	for name, silence := range map[string]time.Duration{"short": longest - sidecar.DefaultRenewInterval, "long": longest + 10*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
				silent, other := b.open("silent"), b.open("other")
				b.start(silent, id(0, 1), 1000)
				time.Sleep(time.Second)
				silent.silentSince(time.Now())
				for i := range uint32(10) {
					b.start(other, id(1+i, 1), 100)
					time.Sleep(silence / 10)
				}
				if _, running := b.runner.Running()[firstTask]; running != (silence < longest) {
					t.Errorf("after a silence of %s: the entry's run continues %t", silence, running)
				}
				silent.silentSince(time.Time{})
				time.Sleep(time.Second)
				if _, running := b.runner.Running()[firstTask]; running != (silence < longest) {
					t.Errorf("a second after a silence of %s: the entry's run continues %t", silence, running)
				}
			})
		})
	}
}

// Guards against a start that was on its way, or in a buffer of this process, while its entry died, and against one
// of an entry that is only slow and gets refusals.
func TestStartOfSilentEntryIsRefused(t *testing.T) {
	for silence, want := range map[time.Duration]int{sidecar.MaxStartSilence - time.Millisecond: 1, sidecar.MaxStartSilence + time.Millisecond: 0} {
		runFixture(t, withRunTime(time.Second), func(b *fixture) {
			l := b.open("a")
			l.silentSince(time.Now().Add(-silence))
			b.start(l, id(0, 1), 1000)
			time.Sleep(50 * time.Millisecond)
			if n := b.runner.Starts(firstTask); n != want || len(l.ends()) != 1-want {
				t.Errorf("after a silence of %s: %d starts and run ends %+v, want %d starts", silence, n, l.ends(), want)
			}
		})
	}
}

// Guards against a run of an entry that may have died, and that outlives the bound with the lease of the target's
// other runs.
func TestStartOfSilentEntryBesideOthersIsRefused(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l, other := b.open("a"), b.open("b")
		b.start(other, id(1, 1), 1000)
		time.Sleep(10 * time.Millisecond)
		l.silentSince(time.Now().Add(-sidecar.MaxEntrySilence - 50*time.Millisecond))
		b.start(l, id(0, 1), 1000)
		time.Sleep(50 * time.Millisecond)
		if n := b.runner.Starts(firstTask); n != 0 || len(l.ends()) != 1 {
			t.Errorf("%d starts and run ends %+v, want none and one", n, l.ends())
		}
	})
}
