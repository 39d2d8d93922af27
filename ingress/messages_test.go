package ingress_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/ingress"
)

// Guards against a link of a sound peer that is closed for one whose messages do not end, and against memory that a
// closed one still counts.
func TestLinkOfMessagesWithoutEndIsClosed(t *testing.T) {
	m := ingress.NewMessages(10 << 20)
	var faulty, sound connection
	var stalled []*ingress.Message
	for range 2 {
		x := m.Begin(&faulty, start)
		if !x.Hold(4<<20, start) {
			t.Fatal("a message does not fit")
		}
		stalled = append(stalled, x)
	}
	// A sound peer sends one message after the other without a pause.
	for i := range 100 {
		at := start.Add(time.Duration(i+1) * 20 * time.Millisecond)
		x, y := m.Begin(&sound, at), m.Begin(&sound, at)
		if !x.Hold(2<<20, at) || !y.Hold(2<<20, at.Add(10*time.Millisecond)) {
			t.Fatal("messages of a sound peer do not fit beside those without end")
		}
		x.End()
		y.End()
	}
	if !faulty.evicted || sound.evicted {
		t.Errorf("closed: faulty %t, sound %t", faulty.evicted, sound.evicted)
	}
	for _, x := range stalled {
		if x.Hold(1, start.Add(time.Minute)) {
			t.Error("a message of a closed link goes on")
		}
		x.End()
	}
	if held := m.Held(); held != 0 {
		t.Errorf("%d bytes are left", held)
	}
}

// Guards against one link that fills the memory of the process by itself.
func TestLinkIsClosedForItself(t *testing.T) {
	m := ingress.NewMessages(10 << 20)
	var c connection
	x := m.Begin(&c, start)
	if !x.Hold(9<<20, start) || x.Hold(2<<20, start) || !c.evicted {
		t.Error("a link over the limit is not closed")
	}
	x.End()
	if held := m.Held(); held != 0 {
		t.Errorf("%d bytes are left", held)
	}
}

// Guards against links that are closed where the memory of the machine is not known.
func TestMessagesWithoutLimit(t *testing.T) {
	x := ingress.NewMessages(0).Begin(&connection{}, start)
	if !x.Hold(1<<40, start) {
		t.Error("a message does not fit")
	}
}
