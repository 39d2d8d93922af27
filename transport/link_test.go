package transport

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// recordingHandler is a Handler that passes the events of links to channels.
type recordingHandler struct {
	up       chan *Link
	messages chan wire.Message
	down     chan error
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{up: make(chan *Link, 4), messages: make(chan wire.Message, 64), down: make(chan error, 4)}
}

func (r *recordingHandler) LinkUp(l *Link)                 { r.up <- l }
func (r *recordingHandler) Handle(_ *Link, m wire.Message) { r.messages <- m }
func (r *recordingHandler) LinkDown(_ *Link, err error)    { r.down <- err }

// next discards messages until one of the wanted type arrives.
func (r *recordingHandler) next(want wire.Type) wire.Message {
	for m := range r.messages {
		if m.Type() == want {
			return m
		}
	}
	return nil
}

func options(t *testing.T, role wire.Role, secret string, h Handler) Options {
	t.Helper()
	self := Identity{Role: role, Name: string(role) + "-1"}
	c, err := NewCredentials(settings.TLS{DevelopmentSecret: secret}, self)
	if err != nil {
		t.Fatal(err)
	}
	return Options{
		Self: self, Incarnation: wire.NewIncarnation(time.Now()), Credentials: c,
		Handler: h, Revision: func() uint64 { return 7 },
	}
}

func listen(t *testing.T, h Handler) *Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0", options(t, wire.RoleEntry, "a", h))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against a large result that blocks, loses or corrupts messages, and against
// the closing of a link that is reported as an error.
func TestLinkCarriesSmallAndLargeMessages(t *testing.T) {
	entry, agent := newRecordingHandler(), newRecordingHandler()
	l := listen(t, entry)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go Dial(ctx, l.Address().String(), options(t, wire.RoleAgent, "a", agent))

	up := <-agent.up
	large := bytes.Repeat([]byte("x"), 3<<20)
	if err := up.Send(&wire.Outcome{State: wire.StateDone, Result: large}); err != nil {
		t.Fatal(err)
	}
	if err := up.Send(&wire.Ack{Tasks: []wire.TaskID{{Index: 3}}}); err != nil {
		t.Fatal(err)
	}
	got := map[wire.Type]wire.Message{}
	for len(got) < 2 {
		m := <-entry.messages
		got[m.Type()] = m
	}
	if !bytes.Equal(got[wire.TypeOutcome].(*wire.Outcome).Result, large) {
		t.Error("the large result differs")
	}
	if h := (<-entry.up); h.Name() != "agent-1" || h.Role() != wire.RoleAgent || h.Incarnation() != up.opts.Incarnation {
		t.Errorf("peer is %s %s", h.Role(), h.Name())
	}
	cancel()
	if err := <-agent.down; err != nil {
		t.Errorf("the end that closed the link: %v", err)
	}
	if err := <-entry.down; err != nil {
		t.Errorf("the other end: %v", err)
	}
	if err := up.Send(&wire.Leave{}); err == nil {
		t.Error("a closed link accepted a message")
	}
}

// Guards against a process of another deployment that joins with a certificate of its
// own authority.
func TestDialRefusesOtherAuthority(t *testing.T) {
	l := listen(t, newRecordingHandler())
	err := Dial(t.Context(), l.Address().String(), options(t, wire.RoleAgent, "b", newRecordingHandler()))
	if err == nil {
		t.Fatal("a certificate of another authority was accepted")
	}
}

// Guards against a caller or operator that impersonates an agent.
func TestRoleInHelloMustMatchCertificate(t *testing.T) {
	l := listen(t, newRecordingHandler())
	opts := options(t, wire.RoleOperator, "a", newRecordingHandler())
	opts.Self.Role = wire.RoleAgent
	err := Dial(t.Context(), l.Address().String(), opts)
	if err == nil || !strings.Contains(err.Error(), "differ from the certificate") {
		t.Fatalf("got %v", err)
	}
}

// Guards against an idle link that sends no heartbeats, and against heartbeats without
// the revision.
func TestHeartbeatsCarryRevision(t *testing.T) {
	entry, agent := newRecordingHandler(), newRecordingHandler()
	l := listen(t, entry)
	go Dial(t.Context(), l.Address().String(), options(t, wire.RoleAgent, "a", agent))
	h := entry.next(wire.TypeHeartbeat).(*wire.Heartbeat)
	if h.Revision != 7 {
		t.Errorf("revision %d, want 7", h.Revision)
	}
}

// Guards against a sender that blocks on its own lock: a heartbeat before the first message on an idle link
// needs the revision, which takes that lock. And against work on an idle link whose sender is not known to be alive.
func TestMessageOnIdleLinkProvesItsSender(t *testing.T) {
	entry, agent := newRecordingHandler(), newRecordingHandler()
	timing := Timing{Heartbeat: 20 * time.Millisecond, PeerTimeout: time.Second}
	idle := func(*Link) bool { return true }
	var lock sync.Mutex
	entryOptions, agentOptions := options(t, wire.RoleEntry, "a", entry), options(t, wire.RoleAgent, "a", agent)
	entryOptions.Timing, entryOptions.Idle = timing, idle
	agentOptions.Timing, agentOptions.Idle = timing, idle
	agentOptions.Revision = func() uint64 {
		lock.Lock()
		defer lock.Unlock()
		return 7
	}
	l, err := Listen("127.0.0.1:0", entryOptions)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go Dial(t.Context(), l.Address().String(), agentOptions)
	up, peer := <-agent.up, <-entry.up
	time.Sleep(15 * timing.Heartbeat)
	sent := peer.age()
	lock.Lock()
	err = up.Send(&wire.Room{})
	lock.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	entry.next(wire.TypeRoom)
	if alive := peer.heartbeat.AliveAt(); alive < sent-50*time.Millisecond {
		t.Errorf("the sender is known to have been alive %s before it sent the message", sent-alive)
	}
	if age := peer.SinceAlive(); age < 0 || age > time.Second {
		t.Errorf("the sender was last known to be alive %s ago", age)
	}
}

// Guards against streams of large messages that are never complete: after as many as may be open at once, no further
// large message would arrive on the link.
func TestLinkCarriesManyLargeMessages(t *testing.T) {
	entry, agent := newRecordingHandler(), newRecordingHandler()
	l := listen(t, entry)
	go Dial(t.Context(), l.Address().String(), options(t, wire.RoleAgent, "a", agent))
	up := <-agent.up
	large := bytes.Repeat([]byte("x"), 1<<20) // more than is received ahead
	const batch, batches = 8, 5 * maxLargeStreams / 8
	for i := range batches {
		for range batch {
			if err := up.Send(&wire.Outcome{State: wire.StateDone, Result: large}); err != nil {
				t.Fatal(err)
			}
		}
		arrived := make(chan struct{})
		go func() {
			for range batch {
				entry.next(wire.TypeOutcome)
			}
			close(arrived)
		}()
		select {
		case <-arrived:
		case <-time.After(30 * time.Second):
			t.Fatalf("batch %d of %d has not arrived", i+1, batches)
		}
	}
}
