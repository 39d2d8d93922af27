package agent

import (
	"context"
	"maps"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// Handle processes a message that has just arrived on a link.
func (a *Agent) Handle(l Link, m wire.Message) { a.HandleAt(l, m, time.Now()) }

// HandleAt processes a message that arrived at the time received, from which the
// time left in a start is counted. Messages of a replaced or lost link are ignored;
// the entry queries their tasks after it reconnects.
func (a *Agent) HandleAt(l Link, m wire.Message, received time.Time) {
	a.mu.Lock()
	defer a.unlock()
	state := a.current(l)
	if state == nil || a.ended {
		return
	}
	now := time.Now()
	name := l.Name()
	a.table.RenewGrants(name, now)
	switch m := m.(type) {
	case *wire.Demand:
		a.table.SetDemand(name, *m, now)
	case *wire.Return:
		a.table.Return(name, *m, now)
	case *wire.Start:
		a.start(state, m, received, now)
	case *wire.Ack:
		a.table.Ack(name, m, now)
		signal(a.progress)
	case *wire.Query:
		for _, out := range a.table.Query(name, m, now) {
			a.queueOutcome(name, out)
		}
	case *wire.Cancel:
		a.cancel(state, m, now)
	case *wire.Heartbeat:
		a.heartbeat(state, m, now)
	case *wire.View:
		a.receiveView(state, m, now)
	case *wire.Leave:
		a.table.EntryLeaving(name, now)
	case *wire.Welcome, *wire.Peers:
		// The process that owns the link handles these.
	default:
		a.closeLink(state, Error.New("unexpected message of type %d", m.Type()))
	}
	a.flush(now)
}

// start runs a task or queues an outcome with the reason for the refusal.
func (a *Agent) start(state *linkState, s *wire.Start, received, now time.Time) {
	if len(s.Acks) > 0 {
		a.table.Ack(state.Name(), &wire.Ack{Tasks: s.Acks}, now)
	}
	ok, out := a.table.Start(state.Name(), s, received, now)
	if !ok {
		a.cfg.Metrics.Refused(out.Code)
		a.queueOutcome(state.Name(), out)
		if out.Code == result.OldRevision {
			a.sendView(state)
		}
		return
	}
	a.cfg.Metrics.Started(s.Class)
	ctx, cancel := context.WithCancel(a.ctx)
	a.tasks[s.Task.Identity()] = task{id: s.Task, cancel: cancel}
	limit := a.limit(s)
	a.tomb.Go(func() error {
		defer cancel()
		a.finish(state.Name(), a.cfg.Runner.Run(ctx, s.Task, s.Payload, limit))
		return nil
	})
}

// limit returns the shorter of the class's run-time limit and the time to the job's
// deadline, after which no caller waits for the result.
func (a *Agent) limit(s *wire.Start) time.Duration {
	limit := a.view.limit(s.Class)
	if limit == 0 {
		return s.TimeLeft
	}
	return min(limit, s.TimeLeft)
}

// cancel cancels the requests of running tasks. A task that has not been seen is
// reported as never seen, and a later start of it is refused: the start may still be in
// transit, since large starts are sent on a separate stream.
func (a *Agent) cancel(state *linkState, m *wire.Cancel, now time.Time) {
	for _, id := range m.Tasks {
		if id.Job.Entry != state.Incarnation() {
			continue
		}
		if t, running := a.tasks[id.Identity()]; running {
			if t.id == id {
				t.cancel()
			}
			continue
		}
		for _, out := range a.table.Query(state.Name(), &wire.Query{Tasks: []wire.TaskID{id}}, now) {
			if out.State == wire.StateNeverSeen {
				a.queueOutcome(state.Name(), out)
			}
		}
	}
}

// heartbeat records the entry's configuration revision. An entry sends a view before
// the first heartbeat with its revision, so a heartbeat's revision confirms the last
// view received on the same link.
func (a *Agent) heartbeat(state *linkState, m *wire.Heartbeat, now time.Time) {
	a.table.HeartbeatWithInterval(state.Name(), min(max(0, m.Interval), maxAnnouncedInterval), now)
	if a.views.ReceiveRevision(state.Name(), m.Revision) {
		a.applyView(now)
	}
	if m.Revision < a.table.Revision() && state.viewSent < a.table.Revision() {
		a.sendView(state)
	}
}

// maxAnnouncedInterval limits the heartbeat interval that an entry may announce,
// because its grants stay valid for that long.
const maxAnnouncedInterval = 10 * time.Second

// sendView sends the view to an entry that knows only an older revision.
func (a *Agent) sendView(state *linkState) {
	state.viewSent = a.table.Revision()
	view := a.views.Current()
	a.send(state, &view)
}

// receiveView stores a view. If its revision is older than the known one, the entry
// is sent the newer view.
func (a *Agent) receiveView(state *linkState, m *wire.View, now time.Time) {
	if m.Revision < a.table.Revision() {
		a.sendView(state)
		return
	}
	if _, err := a.cfg.Decode(m.Config); err != nil {
		a.cfg.Metrics.BadView()
		return
	}
	if a.views.Receive(state.Name(), *m) {
		a.applyView(now)
	}
}

// applyView applies the current view and its revision, and announces changed labels
// or draining to all entries.
func (a *Agent) applyView(now time.Time) {
	current := a.views.Current()
	a.table.SetRevision(current.Revision)
	view, err := a.cfg.Decode(current.Config)
	if err != nil {
		a.cfg.Metrics.BadView()
		return
	}
	changed := view.Draining != a.view.Draining || !maps.Equal(view.Labels, a.view.Labels)
	a.view = view
	a.table.SetDraining(a.draining(), now)
	if changed {
		a.sendAll(a.announcement())
	}
}
