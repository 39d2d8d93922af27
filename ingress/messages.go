package ingress

import (
	"sync"
	"time"
)

// Messages bounds the memory of large messages that are being received, on all links of a process
// together. Its methods are safe for concurrent use.
type Messages struct {
	limit int64 // bytes; 0: none

	mu   sync.Mutex
	held int64
	open map[*Message]struct{}
}

// Message is a message that is being received.
type Message struct {
	messages *Messages
	link     Connection
	since    time.Time

	// Guarded by Messages.mu.
	held    int64
	evicted bool // its link was closed for others
}

// NewMessages returns a bound in bytes; 0 is none.
func NewMessages(limit int64) *Messages {
	return &Messages{limit: limit, open: make(map[*Message]struct{})}
}

// Begin adds a message of a link, which may be closed by calls of Hold until End.
func (m *Messages) Begin(link Connection, now time.Time) *Message {
	message := &Message{messages: m, link: link, since: now}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[message] = struct{}{}
	return message
}

// Hold adds bytes of the message. While the limit is exceeded, it closes the link of the message that holds the most
// for the longest time: messages of sound peers are whole after milliseconds. It returns false if that is the
// message's own link, or if this was closed before.
func (x *Message) Hold(bytes int64, now time.Time) bool {
	ok, evict := x.hold(bytes, now)
	for _, link := range evict {
		link.Evict()
	}
	return ok
}

func (x *Message) hold(bytes int64, now time.Time) (ok bool, evict []Connection) {
	m := x.messages
	m.mu.Lock()
	defer m.mu.Unlock()
	if x.evicted {
		return false, nil
	}
	x.held += bytes
	m.held += bytes
	for m.limit > 0 && m.held > m.limit {
		link := m.heaviest(now).link
		m.remove(link)
		evict = append(evict, link)
	}
	return !x.evicted, evict
}

// heaviest returns the message that holds the most for the longest time.
func (m *Messages) heaviest(now time.Time) *Message {
	var heaviest *Message
	weight := -1.0
	for x := range m.open {
		age := max(now.Sub(x.since), time.Millisecond).Seconds()
		if w := float64(x.held) * age; w > weight {
			heaviest, weight = x, w
		}
	}
	return heaviest
}

// remove removes all messages of a link.
func (m *Messages) remove(link Connection) {
	for x := range m.open {
		if x.link != link {
			continue
		}
		x.evicted = true
		m.held -= x.held
		delete(m.open, x)
	}
}

// End removes the message and what it holds.
func (x *Message) End() {
	m := x.messages
	m.mu.Lock()
	defer m.mu.Unlock()
	if x.evicted {
		return
	}
	m.held -= x.held
	delete(m.open, x)
}

// Held returns the bytes of all messages.
func (m *Messages) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}
