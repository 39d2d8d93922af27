package ingress

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ConnectionBytes is the memory of a connection with a small request: 10 KB were measured for one that
// is silent (buffers and stacks, without the kernel's part).
const ConnectionBytes = 12 << 10

// SmallRequest is the size in bytes of heads and bodies that are not counted by themselves.
const SmallRequest = 4 << 10

// HeaderLineBytes is the memory of a parsed header line beyond its bytes, garbage included: 137 bytes
// were measured for lines with different names, 86 for equal names.
const HeaderLineBytes = 144

// HeadCost returns the memory in bytes of a parsed head, beyond that of a small one.
func HeadCost(bytes, lines int) int64 {
	cost := int64(2*bytes) + HeaderLineBytes*int64(lines)
	if cost <= SmallRequest+32*HeaderLineBytes {
		return 0
	}
	return cost
}

// Phase is what a connection waits for.
type Phase int32

// Phases of a connection. One that is Serving has sent a whole request and is never chosen to be closed. One
// that is Answering may not read what it asked for, and can be chosen.
const (
	Silent    Phase = iota // accepted, and nothing was received yet
	Head                   // some of a head was received
	Body                   // a whole head, but not the whole body
	Serving                // a whole request that is being answered
	Answering              // a large answer that is being sent
	Idle                   // an answer was sent, and nothing was received since
)

// idleWeight is the part that an idle connection's time counts: it has sent whole requests, and the
// next one may be on its way. With 64, silent connections of 0.25 s go before one that is idle for 15 s.
const idleWeight = 64

// Connection is a connection that can be closed. Evict must not block. It returns false if the client has sent
// a whole request meanwhile, whose answer it gets.
type Connection interface{ Evict() bool }

// Client is what one connection holds. Its methods are for the goroutine that serves the connection.
type Client struct {
	budget     *Budget
	connection Connection
	held       atomic.Int64
	phase      atomic.Int32
	since      atomic.Int64 // Unix time in ns at which it began to hold without a whole request

	// The following fields are guarded by Budget.mu.
	chosen     bool  // to be closed
	chosenHeld int64 // what it held then
	left       bool
}

// Budget is what the clients of one group of addresses hold together. Its methods are safe for
// concurrent use. Requests of small size take no lock.
type Budget struct {
	limits  Limits
	used    atomic.Int64
	leaving atomic.Int64 // part of used that clients hold that were chosen to be closed

	mu      sync.Mutex
	clients map[*Client]struct{}
	chosen  int // clients that were chosen and have not left yet
	// fullUntil is when clients are looked through again, after none could be chosen.
	fullUntil time.Time
}

// fullTime is how long a budget counts as full after all that could be chosen have been. A request that is refused
// meanwhile would have been refused anyway, and on a small machine a look at 2,700 clients takes milliseconds.
const fullTime = 20 * time.Millisecond

// NewBudget returns a budget that nobody has used.
func NewBudget(l Limits) *Budget { return &Budget{limits: l, clients: make(map[*Client]struct{})} }

// Usage returns the number of connections and the bytes that they hold.
func (b *Budget) Usage() (connections int, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.clients), b.used.Load()
}

// Leaving returns the bytes of clients that were chosen to be closed and have not left yet.
func (b *Budget) Leaving() int64 { return b.leaving.Load() }

// Admit adds a connection. It returns nil if it is to be closed at once, as too many others are not closed
// yet, and the clients whose connections are to be closed for it.
func (b *Budget) Admit(c Connection, now time.Time) (client *Client, evict []*Client) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.clients) >= b.limits.Connections+b.limits.Connections/overshoot {
		return nil, nil
	}
	client = &Client{budget: b, connection: c}
	client.held.Store(ConnectionBytes)
	client.since.Store(now.UnixNano())
	b.clients[client] = struct{}{}
	b.used.Add(ConnectionBytes)
	if excess := len(b.clients) - b.chosen - b.limits.Connections; excess > 0 {
		// One choice of many looks through all connections once.
		evict = b.choose(excess+b.limits.Connections/overshoot/2, 0, client, byAge, now)
	}
	if b.excess() > 0 {
		evict = append(evict, b.relieve(client, now)...)
	}
	return client, evict
}

// excess returns by how many bytes the budget is exceeded when those that were chosen have left.
func (b *Budget) excess() int64 { return b.used.Load() - b.leaving.Load() - b.limits.Bytes }

// relieve chooses clients until an eighth of the budget is free again.
func (b *Budget) relieve(spare *Client, now time.Time) []*Client {
	if now.Before(b.fullUntil) {
		return nil
	}
	chosen := b.choose(0, b.excess()+b.limits.Bytes/8, spare, byMemory, now)
	if len(chosen) == 0 {
		b.fullUntil = now.Add(fullTime)
	}
	return chosen
}

// choose chooses clients until count of them with bytes in all are found, the first by weight. It does not
// choose the client to be spared.
func (b *Budget) choose(count int, bytes int64, spare *Client, weight func(*Client, time.Time) float64, now time.Time) []*Client {
	type candidate struct {
		client *Client
		weight float64
	}
	var candidates []candidate
	for c := range b.clients {
		if c.chosen || c == spare || Phase(c.phase.Load()) == Serving {
			continue
		}
		candidates = append(candidates, candidate{c, weight(c, now)})
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.weight, x.weight) })
	var chosen []*Client
	for _, x := range candidates {
		if len(chosen) >= count && bytes <= 0 {
			break
		}
		x.client.chosen = true
		b.chosen++
		x.client.chosenHeld = x.client.held.Load()
		b.leaving.Add(x.client.chosenHeld)
		bytes -= x.client.chosenHeld
		chosen = append(chosen, x.client)
	}
	return chosen
}

// age returns for how long a client has held without a whole request, in seconds.
func (c *Client) age(now time.Time) float64 {
	age := max(now.Sub(time.Unix(0, c.since.Load())), time.Millisecond).Seconds()
	if Phase(c.phase.Load()) == Idle {
		return age / idleWeight
	}
	return age
}

// byAge weighs clients where connections are short: each frees one.
func byAge(c *Client, now time.Time) float64 { return float64(c.held.Load()) * c.age(now) }

// byMemory weighs clients where memory is short. Size counts twice: closing many connections that hold
// little frees less than closing one that holds much.
func byMemory(c *Client, now time.Time) float64 {
	held := float64(c.held.Load())
	return held * held * c.age(now)
}

// Hold adds bytes that the client holds. It returns false, and adds nothing, if they do not fit although
// the clients are closed that it returns.
func (c *Client) Hold(bytes int64, now time.Time) (ok bool, evict []*Client) {
	b := c.budget
	if b.used.Add(bytes) <= b.limits.Bytes {
		c.held.Add(bytes)
		return true, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.excess() > 0 {
		evict = b.relieve(c, now)
	}
	// Those that were chosen hold their memory for a moment longer. That much more is allowed, and no
	// more than an eighth of the budget.
	if b.excess() > 0 || b.used.Load() > b.limits.Bytes+b.limits.Bytes/8 {
		b.used.Add(-bytes)
		return false, evict
	}
	c.held.Add(bytes)
	return true, evict
}

// Reset sets what the client holds to the memory of its connection and some bytes, which must not be more
// than it holds.
func (c *Client) Reset(bytes int64) {
	held := c.held.Load()
	freed := held - ConnectionBytes - bytes
	if freed <= 0 {
		return
	}
	c.held.Add(-freed)
	c.budget.used.Add(-freed)
}

// Begin records a phase. The time without a whole request goes on from Head to Body.
func (c *Client) Begin(p Phase, now time.Time) {
	if p != Body {
		c.since.Store(now.UnixNano())
	}
	c.phase.Store(int32(p))
}

// Since returns when the phase began; that of Body, when the one before began.
func (c *Client) Since() time.Time { return time.Unix(0, c.since.Load()) }

// Leave removes the client. It may be called more than once.
func (c *Client) Leave() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.left {
		return
	}
	c.left = true
	delete(b.clients, c)
	b.used.Add(-c.held.Swap(0))
	c.unchoose()
}

// unchoose forgets that the client was chosen. The budget's lock is held.
func (c *Client) unchoose() {
	if !c.chosen {
		return
	}
	c.chosen = false
	c.budget.chosen--
	c.budget.leaving.Add(-c.chosenHeld)
	c.chosenHeld = 0
}

// Evict closes the connections of clients that were chosen and returns how many it closed.
func Evict(clients []*Client) (closed int) {
	for _, c := range clients {
		if c.connection.Evict() {
			closed++
			continue
		}
		c.budget.mu.Lock()
		c.unchoose()
		c.budget.mu.Unlock()
	}
	return closed
}
