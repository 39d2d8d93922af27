package sidecar_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// pipeListener is a listener over in-memory pipes. Unlike sockets, they block durably in a
// synctest bubble.
type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { close(p.closed); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.accept <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// discardMetrics implements sidecar.Metrics and drops everything.
type discardMetrics struct{}

func (discardMetrics) RunStarted()                            {}
func (discardMetrics) RunEnded(wire.EndStatus, time.Duration) {}
func (discardMetrics) RequestUnanswered(string)               {}
func (discardMetrics) TargetCrashed()                         {}
func (discardMetrics) StartRefusedEvacuated()                 {}

// fakeLink is a link that records the messages sent on it.
type fakeLink struct {
	name        string
	incarnation wire.Incarnation

	mu      sync.Mutex
	sent    []wire.Message
	closed  bool
	aliveAt time.Time // the entry is silent since then; zero: it is not
}

func (l *fakeLink) SinceAlive() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aliveAt.IsZero() {
		return 0
	}
	return time.Since(l.aliveAt)
}

// silentSince sets when the entry was last known to be alive; zero: it is alive.
func (l *fakeLink) silentSince(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aliveAt = at
}

func (l *fakeLink) Send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, m)
	return nil
}
func (l *fakeLink) Name() string                  { return l.name }
func (l *fakeLink) Incarnation() wire.Incarnation { return l.incarnation }
func (l *fakeLink) Close(error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return nil
}

func (l *fakeLink) ends() []*wire.RunEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*wire.RunEnd
	for _, m := range l.sent {
		if e, ok := m.(*wire.RunEnd); ok {
			out = append(out, e)
		}
	}
	return out
}

func (l *fakeLink) messages() []wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sent)
}

func (l *fakeLink) state() *wire.TargetState {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.sent) - 1; i >= 0; i-- {
		if s, ok := l.sent[i].(*wire.TargetState); ok {
			return s
		}
	}
	return nil
}

// fixture is a sidecar with a stand-in target behind in-memory connections.
type fixture struct {
	t       *testing.T
	runner  *standin.Runner
	client  *platform.TargetClient
	sidecar *sidecar.Sidecar
	paused  bool
	number  uint64
}

// runFixture runs a test in virtual time.
func runFixture(t *testing.T, o standin.RunnerOptions, test func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &fixture{t: t, runner: standin.NewRunner(o)}
		listener := newPipeListener()
		server := &http.Server{Handler: b.runner.Handler()}
		go server.Serve(listener)
		b.client = platform.NewTargetClientWithDialer("target", listener.dial)
		b.sidecar = b.newSidecar()
		b.report("ready")
		test(b)
		if err := b.sidecar.Kill(); err != nil {
			t.Error(err)
		}
		b.client.Close()
		server.Close()
	})
}

func (b *fixture) newSidecar() *sidecar.Sidecar { return b.sidecarWith(b.client) }

// useClient replaces the sidecar by one that calls its target through a client.
func (b *fixture) useClient(client targets.Client) {
	b.t.Helper()
	if err := b.sidecar.Kill(); err != nil {
		b.t.Fatal(err)
	}
	b.sidecar = b.sidecarWith(client)
	b.report("ready")
}

// sidecarWith returns a running sidecar that calls its target through a client.
func (b *fixture) sidecarWith(client targets.Client) *sidecar.Sidecar {
	s := sidecar.New(sidecar.Options{
		FailureDomain: "a", Target: client, Log: zap.NewNop(), Metrics: discardMetrics{},
		Paused: func() bool { return b.paused },
	})
	s.Start()
	return s
}

func (b *fixture) report(state string) { b.reportAs("i-standin", state) }

func (b *fixture) reportAs(target, state string) {
	b.number++
	r := b.runner.Report("frames", state, b.number)
	b.sidecar.HandleReport(targets.Report{
		Target: target, Service: "frames", Capacity: workload.Resources{CPU: 32000, Memory: 131072},
		Draining: state == "draining", Born: r["born"].(int64), Sequence: b.number,
	})
}

// born returns the start of the target's current process, as it reports it.
func (b *fixture) born() int64 { return b.runner.Report("frames", "ready", 0)["born"].(int64) }

func (b *fixture) link(name string) *fakeLink {
	l := &fakeLink{name: name, incarnation: 1}
	b.sidecar.LinkUp(l)
	paused := b.paused
	b.paused = false
	b.sidecar.Handle(l, &wire.Evacuations{Revision: 1})
	b.paused = paused
	return l
}

// open links an entry and waits until the target accepts runs.
func (b *fixture) open(name string) *fakeLink {
	b.t.Helper()
	l := b.link(name)
	time.Sleep(time.Second)
	if s := l.state(); s == nil || s.Closed {
		b.t.Fatalf("the target accepts no runs: %+v", s)
	}
	return l
}

func id(index uint32, attempt uint32) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: "5c0e7a21d94b36f8", Index: index}, Attempt: attempt}
}

const firstTask = "5c0e7a21d94b36f8.0.0.0"

func (b *fixture) start(l *fakeLink, run workload.RunID, cpu int64) {
	b.sidecar.Handle(l, &wire.RunStart{Run: run, Spec: "s", Need: workload.Resources{CPU: cpu}, TimeLeft: time.Second, Target: "i-standin"})
}

func withRunTime(d time.Duration) standin.RunnerOptions {
	return standin.RunnerOptions{Work: func(string, string) (time.Duration, bool) { return d, false }}
}

// Guards against faults in the life of a run: it is started once, its lease is renewed many
// times, and it is reported as done right after its end.
func TestRunIsKeptAliveAndReported(t *testing.T) {
	runFixture(t, withRunTime(5*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 3000)
		time.Sleep(5010 * time.Millisecond)
		ends := l.ends()
		if len(ends) != 1 || ends[0].Status != wire.EndDone || ends[0].Room.Free.CPU != 32000 || ends[0].Room.StartsReceived != 1 {
			t.Errorf("run ends received: %+v, want one done run and 32000 free CPU after one start", ends)
		}
	})
}

// Guards against sending the target a start request for which it has no room: the agent
// refuses it itself.
func TestStartBeyondRoomIsRefusedLocally(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 30000)
		b.start(l, id(1, 1), 3000)
		synctest.Wait()
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndNoRoom || ends[0].Run != id(1, 1) {
			t.Errorf("run ends received: %+v, want one for lack of room, of the second run", ends)
		}
		if n := b.runner.Starts("5c0e7a21d94b36f8.0.0.1"); n != 0 {
			t.Errorf("the target got %d starts of the second task, want none", n)
		}
	})
}

// Guards against a malformed start that adds room which the target does not have.
func TestStartWithNegativeNeedIsRefused(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), -64000)
		synctest.Wait()
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndNotRun || ends[0].Room.Free.CPU != 32000 {
			t.Errorf("run ends received: %+v, want one run that was not started and 32000 free CPU", ends)
		}
	})
}

// Guards against a second run of a task whose start requests got no response and are executed
// late: the end is reported only when the run cannot start any more.
func TestDelayedStartRequestDoesNotRun(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 3, ApplyDelay: 300 * time.Millisecond})
		b.start(l, id(0, 1), 1000)
		time.Sleep(250 * time.Millisecond)
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndStopped {
			t.Fatalf("run ends received: %+v, want one stopped run", ends)
		}
		time.Sleep(5 * time.Second)
		if n := b.runner.Starts(firstTask); n != 0 {
			t.Errorf("the delayed request started the run %d times", n)
		}
	})
}

// Guards against a task that waits for another target because one of its target's requests was lost, and
// against a second run when the lost request is executed late. The load: a twentieth of the requests get
// no response and are executed seconds later.
func TestLostStartRequestIsRepeated(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second} {
		runFixture(t, withRunTime(time.Second), func(b *fixture) {
			l := b.open("a")
			b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1, ApplyDelay: delay})
			b.start(l, id(0, 1), 1000)
			time.Sleep(30 * time.Millisecond)
			if n := len(b.runner.Running()); n != 1 {
				t.Errorf("delay %v: %d runs after 30 ms, want 1", delay, n)
			}
			time.Sleep(5 * time.Second)
			if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndDone {
				t.Errorf("delay %v: run ends received: %+v, want one that is done", delay, ends)
			}
			if n := b.runner.Starts(firstTask); n != 1 {
				t.Errorf("delay %v: the run was started %d times", delay, n)
			}
		})
	}
}

// Guards against ends of runs that are reported late while single requests are lost: both polls that would have
// listed an end are. The load: a twentieth of all requests to the target get no response.
func TestEndIsReportedSoonWhilePollsAreLost(t *testing.T) {
	runFixture(t, withRunTime(100*time.Millisecond), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1})
		b.start(l, id(0, 1), 1000)
		time.Sleep(60 * time.Millisecond)
		b.start(l, id(1, 1), 1000)
		time.Sleep(50 * time.Millisecond) // the first run ends in 5 ms, and new polls follow
		b.runner.SetFaults(standin.RunnerFaults{DropPolls: 2})
		time.Sleep(130 * time.Millisecond) // 80 ms after the end of the second run
		if ends := l.ends(); len(ends) != 2 {
			t.Errorf("run ends received: %+v, want two", ends)
		}
	})
}

// Guards against a second run of a task after its target has crashed: a lost request to start the first one,
// which a repeated request had started, is executed by the target's next process. Its end counts only
// when the next process has acknowledged a stop.
func TestLostStartRequestReachesNextProcess(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1, ApplyDelay: 500 * time.Millisecond})
		b.start(l, id(0, 1), 1000)
		time.Sleep(100 * time.Millisecond)
		b.runner.Restart()
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if len(l.ends()) > 0 && len(b.runner.Running()) > 0 {
				t.Fatal("the task's run was reported as ended, and a delayed request started it")
			}
		}
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndCrashed {
			t.Errorf("run ends received: %+v, want one crashed run", ends)
		}
	})
}

// Guards against stopping a run whose start request was executed and lost only its response.
func TestStartWithLostResponseContinues(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1, ApplyDelay: time.Millisecond})
		b.start(l, id(0, 1), 1000)
		b.start(l, id(1, 1), 1000) // its end makes the target respond to a poll
		time.Sleep(2 * time.Second)
		for _, e := range l.ends() {
			if e.Status != wire.EndDone {
				t.Errorf("run %s ended as %s (%s), want done", e.Run, e.Status, e.Reason)
			}
		}
	})
}

// Guards against a restarted agent that announces its target while runs of its earlier process
// continue, and against a target that refuses the agent's fencing token.
func TestNewAgentStopsUnknownRuns(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(100 * time.Millisecond)
		b.sidecar.Kill()
		b.runner.SetFaults(standin.RunnerFaults{DropStops: 1})
		b.sidecar = b.newSidecar()
		b.report("ready")
		next := b.link("a")
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if next.state() != nil && len(b.runner.Running()) > 0 {
				t.Fatal("the target was announced while a run of the earlier agent process continued")
			}
		}
		if s := next.state(); s == nil || s.Closed {
			t.Errorf("the target accepts no runs after the restart of the agent: %+v", s)
		}
	})
}

// Guards against runs that are considered running on a target that restarted under the same
// id.
func TestRestartedTargetEndsItsRuns(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(100 * time.Millisecond)
		b.runner.Restart()
		time.Sleep(time.Second)
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndCrashed {
			t.Errorf("run ends received: %+v, want one crashed run", ends)
		}
		b.report("ready")
		b.start(l, id(0, 2), 1000)
		time.Sleep(100 * time.Millisecond)
		if b.runner.Running()[firstTask] != 2 {
			t.Errorf("running attempts by task: %v, want attempt 2 of the first task", b.runner.Running())
		}
	})
}

// Guards against starting runs on a draining target.
func TestDrainingTargetClosesAtOnce(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.report("draining")
		b.start(l, id(1, 1), 1000)
		time.Sleep(1100 * time.Millisecond)
		ends := l.ends()
		if !l.state().Closed || len(ends) != 2 || ends[0].Status != wire.EndNotRun || ends[1].Status != wire.EndDone {
			t.Errorf("closed %t, run ends received: %+v; want closed, one run refused and one done", l.state().Closed, ends)
		}
	})
}

// Guards against one lost poll response that closes the target, or that delays the report of
// an end by more than the delay of the second poller.
func TestLostPollResponseDelaysNothing(t *testing.T) {
	const (
		work   = 100 * time.Millisecond
		delay  = 40 * time.Millisecond // between two polls of the second poller
		answer = time.Millisecond
	)
	runFixture(t, withRunTime(work), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropPolls: 1})
		time.Sleep(160 * time.Millisecond) // the poll that gets no response is in transit
		b.start(l, id(0, 1), 1000)
		time.Sleep(work + delay + answer)
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndDone || l.state().Closed {
			t.Errorf("run ends received: %+v, closed %t; want one done run and an open target", ends, l.state().Closed)
		}
	})
}

// Guards against a planned stop that does not wait for runs.
func TestDrainWaitsForRuns(t *testing.T) {
	runFixture(t, withRunTime(2*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		started := time.Now()
		b.sidecar.Drain(context.Background())
		if took := time.Since(started); took < 1900*time.Millisecond || len(l.ends()) != 1 || l.ends()[0].Status != wire.EndDone {
			t.Errorf("drained after %s, run ends received: %+v; want one done run after 2 s", took, l.ends())
		}
	})
}
