package agent

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

func livePeers(n int) []wire.Peer {
	var out []wire.Peer
	for i := range n {
		out = append(out, wire.Peer{Name: fmt.Sprintf("entry-%d", i)})
	}
	return out
}

// listingEntry is an entry that only sends its agents the list of live entries.
type listingEntry struct {
	self wire.Peer
	list func(self wire.Peer) []wire.Peer
	up   chan string
	left chan string
}

func (e *listingEntry) LinkUp(l *transport.Link) {
	_ = l.Send(&wire.Peers{Peers: e.list(e.self)})
	e.up <- e.self.Name
}

func (e *listingEntry) Handle(l *transport.Link, m wire.Message) {
	switch m.(type) {
	case *wire.Leave:
		e.left <- e.self.Name
	case *wire.Heartbeat:
		_ = l.Send(&wire.Peers{Peers: e.list(e.self)})
	}
}

func (e *listingEntry) LinkDown(*transport.Link, error) {}

func (e *listingEntry) listen(t *testing.T, name string, i wire.Incarnation) *transport.Listener {
	t.Helper()
	identity := transport.Identity{Role: wire.RoleEntry, Name: name}
	credentials, err := transport.NewCredentials(settings.TLS{DevelopmentSecret: "s"}, identity)
	if err != nil {
		t.Fatal(err)
	}
	l, err := transport.Listen("127.0.0.1:0", transport.Options{
		Self: identity, Incarnation: i, Credentials: credentials,
		Handler: e, Revision: func() uint64 { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Guards against an agent that waits for an idle link to time out although another
// entry already lists a newer incarnation of the crashed entry.
func TestLinkToReplacedEntryIsClosed(t *testing.T) {
	up := make(chan string, 64)
	var restarted atomic.Bool
	peers := livePeers(2)
	list := func(self wire.Peer) []wire.Peer {
		out := slices.Clone(peers)
		if restarted.Load() {
			out[0].Incarnation = 100
		}
		return out
	}
	for i := range peers {
		e := &listingEntry{list: list, up: up, left: make(chan string, 1), self: peers[i]}
		peers[i].Incarnation = wire.Incarnation(i + 1)
		peers[i].Address = e.listen(t, peers[i].Name, peers[i].Incarnation).Address().String()
	}
	p, err := NewProcess(settings.Agent{
		Name: "target-1", Entries: []string{peers[0].Address, peers[1].Address},
		TLS: settings.TLS{DevelopmentSecret: "s"}, Target: settings.Target{Name: "target-1"},
	}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go p.Run(t.Context())
	<-up
	<-up
	restarted.Store(true)
	if got := <-up; got != peers[0].Name {
		t.Errorf("linked again to %s, want %s", got, peers[0].Name)
	}
}

// Guards against an agent that keeps links to entries outside its subset, closes one
// without sending Leave, or does not link to another entry when one goes away.
func TestProcessLinksToItsSubset(t *testing.T) {
	up, left := make(chan string, 64), make(chan string, 64)
	peers := livePeers(3)
	first := topology.Subset("target-1", peers, 1)[0].Name
	var gone atomic.Bool
	list := func(self wire.Peer) []wire.Peer {
		out := []wire.Peer{self}
		for _, p := range peers {
			if p.Name != self.Name && !(gone.Load() && p.Name == first) {
				out = append(out, p)
			}
		}
		return out
	}
	var addresses []string
	listeners := map[string]*transport.Listener{}
	for i := range peers {
		e := &listingEntry{list: list, up: up, left: left}
		l := e.listen(t, peers[i].Name, wire.Incarnation(i+1))
		peers[i].Address = l.Address().String()
		e.self = peers[i]
		listeners[peers[i].Name] = l
		addresses = append(addresses, peers[i].Address)
	}
	other := slices.IndexFunc(peers, func(p wire.Peer) bool { return p.Name != first })
	p, err := NewProcess(settings.Agent{
		Name: "target-1", Entries: addresses[other : other+1], EntryLinks: 1,
		TLS: settings.TLS{DevelopmentSecret: "s"}, Target: settings.Target{Name: "target-1"},
	}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go p.Run(t.Context())
	for _, want := range []string{peers[other].Name, first} {
		if got := <-up; got != want {
			t.Fatalf("linked to %s, want %s", got, want)
		}
	}
	if got := <-left; got != peers[other].Name {
		t.Fatalf("left %s, want %s", got, peers[other].Name)
	}
	gone.Store(true)
	listeners[first].Close()
	for {
		if got := <-up; got != first {
			break
		}
	}
}
