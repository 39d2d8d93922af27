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

// HandleAt is Handle for a message that arrived at an earlier time: the time
// left in a start counts from then. Messages of a link that was replaced or lost
// are ignored; the entry asks about them after its reconnect.
func (a *Agent) HandleAt(l Link, m wire.Message, received time.Time) {
	a.mu.Lock()
	defer a.unlock()
	state := a.current(l)
	if state == nil || a.ended {
		return
	}
	now := time.Now()
	name := l.Name()
	switch m := m.(type) {
	case *wire.Demand:
		a.table.SetDemand(name, *m, now)
	case *wire.Return:
		a.table.Return(name, *m, now)
	case *wire.Start:
		a.start(state, m, received, now)
	case *wire.Ack:
		a.table.Ack(name, m, now)
		signal(a.quiet)
	case *wire.Query:
		for _, out := range a.table.Query(name, m, now) {
			a.answer(name, out)
		}
	case *wire.Cancel:
		a.cancel(state, m, now)
	case *wire.Heartbeat:
		a.heartbeat(state, m, now)
	case *wire.View:
		a.adopt(state, m, now)
	case *wire.Leave:
		a.table.EntryLeaving(name, now)
	case *wire.Welcome, *wire.Peers:
		// The owner of the link uses these.
	default:
		a.closeLink(state, Error.New("unexpected message of type %d", m.Type()))
	}
	a.flush(now)
}

// start runs a task or answers why it does not.
func (a *Agent) start(state *linkState, s *wire.Start, received, now time.Time) {
	ok, out := a.table.Start(state.Name(), s, received, now)
	if !ok {
		a.cfg.Metrics.Refused(out.Code)
		a.answer(state.Name(), out)
		if out.Code == result.OldRevision {
			a.handBack(state)
		}
		return
	}
	a.cfg.Metrics.Started(s.Class)
	ctx, cancel := context.WithCancel(a.ctx)
	a.tasks[s.Task.Identity()] = task{id: s.Task, cancel: cancel}
	limit := a.view.limit(s.Class)
	a.tomb.Go(func() error {
		defer cancel()
		a.finish(state.Name(), a.cfg.Runner.Run(ctx, s.Task, s.Payload, limit))
		return nil
	})
}

// cancel ends the requests of running tasks. A task that has not been seen is
// barred and answered, because its start may still be on its way: a large start
// travels on a stream of its own.
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
				a.answer(state.Name(), out)
			}
		}
	}
}

// heartbeat renews the entry's grants and takes over a newer revision. The
// entry sends a changed view before the first heartbeat with its revision, so
// that a revision without a view leaves the agent's view as it is.
func (a *Agent) heartbeat(state *linkState, m *wire.Heartbeat, now time.Time) {
	a.table.Heard(state.Name(), now)
	a.table.SetRevision(m.Revision)
	if m.Revision < a.table.Revision() && state.viewSent < a.table.Revision() {
		a.handBack(state)
	}
}

// handBack sends the view to an entry that knows only an older revision.
func (a *Agent) handBack(state *linkState) {
	state.viewSent = a.table.Revision()
	a.send(state, &wire.View{Revision: a.table.Revision(), Spec: a.spec})
}

// adopt takes over a newer view. A view of an older revision is answered with
// the newer one.
func (a *Agent) adopt(state *linkState, m *wire.View, now time.Time) {
	if m.Revision < a.table.Revision() {
		a.handBack(state)
		return
	}
	if m.Revision <= a.viewAt {
		return
	}
	view, err := a.cfg.Decode(m.Spec)
	if err != nil {
		a.cfg.Metrics.BadView()
		return
	}
	changed := view.Draining != a.view.Draining || !maps.Equal(view.Labels, a.view.Labels)
	a.view, a.spec, a.viewAt = view, m.Spec, m.Revision
	a.table.SetRevision(m.Revision)
	a.table.SetDraining(a.draining(), now)
	if changed {
		a.sendAll(a.announcement())
	}
}
