package sidecar_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// crashReports returns the crash reports received on a link, and how many run ends came before
// the first one.
func (l *fakeLink) crashReports() (reports []*wire.CrashReport, endsBefore int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.sent {
		switch m := m.(type) {
		case *wire.CrashReport:
			reports = append(reports, m)
		case *wire.RunEnd:
			if len(reports) == 0 {
				endsBefore++
			}
		}
	}
	return reports, endsBefore
}

// Guards against an entry that learns of a lost run before it learns that the target crashed
// under it, and so starts the task again as if nothing had happened.
func TestCrashIsReportedBeforeItsRuns(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(30 * time.Millisecond)
		b.start(l, id(1, 1), 1000)
		time.Sleep(20 * time.Millisecond)
		b.runner.Restart()
		time.Sleep(time.Second)
		reports, endsBefore := l.crashReports()
		if len(reports) != 1 || len(reports[0].Suspects) != 2 || reports[0].Partial || endsBefore != 0 {
			t.Errorf("crash reports: %+v after %d run ends, want one with both runs before any end", reports, endsBefore)
			return
		}
		late := b.link("late")
		if again, _ := late.crashReports(); len(again) != 1 || again[0].Born != reports[0].Born {
			t.Errorf("crash reports on a new link: %+v, want the one of before", again)
		}
	})
}

// Guards against a planned end of a target that is taken for a crash: its runs would be
// suspected for nothing.
func TestPlannedEndIsNoCrash(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(50 * time.Millisecond)
		b.report("draining")
		b.runner.Restart()
		time.Sleep(time.Second)
		if reports, _ := l.crashReports(); len(reports) != 0 {
			t.Errorf("crash reports: %+v, want none", reports)
		}
	})
}
