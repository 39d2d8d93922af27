package faultproxy

import (
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// echoUDP starts a server that returns each datagram.
func echoUDP(t testing.TB) string {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadBuffer(socketBufferBytes)
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(buffer[:n], from)
		}
	}()
	return conn.LocalAddr().String()
}

func startUDP(t testing.TB, options UDPOptions) *UDP {
	t.Helper()
	options.Listen = "127.0.0.1:0"
	options.Upstream = echoUDP(t)
	relay, err := NewUDP(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay
}

func dialUDP(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func send(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func receive(t testing.TB, conn net.Conn) string {
	t.Helper()
	buffer := make([]byte, maxDatagramBytes)
	n, err := conn.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:n])
}

// waitDropped waits until the relay has dropped n datagrams or chunks. It has no
// timeout of its own.
func waitDropped(relay Relay, n int64) {
	for relay.Counters().Dropped < n {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a cut that lets datagrams through, against Restore not ending
// it, and against SilenceFlows affecting new flows or being undone by Restore.
func TestUDPCutRestoreAndSilence(t *testing.T) {
	relay := startUDP(t, UDPOptions{})
	existing := dialUDP(t, relay.Address())
	send(t, existing, "one")
	if got := receive(t, existing); got != "one" {
		t.Fatalf("received %q", got)
	}
	for i, cut := range []Cut{CutForward, CutBackward, CutBoth} {
		if err := relay.SetFaults(Faults{Cut: cut}); err != nil {
			t.Fatal(err)
		}
		send(t, existing, "cut")
		waitDropped(relay, int64(i+1))
	}
	relay.Restore()
	send(t, existing, "two")
	if got := receive(t, existing); got != "two" {
		t.Fatalf("after restore received %q", got)
	}
	if n := relay.SilenceFlows(); n != 1 {
		t.Fatalf("silenced %d flows", n)
	}
	relay.Restore()
	send(t, existing, "silent")
	waitDropped(relay, 4)
	newFlow := dialUDP(t, relay.Address())
	send(t, newFlow, "three")
	if got := receive(t, newFlow); got != "three" {
		t.Fatalf("new flow received %q", got)
	}
}

// Guards against loss that differs between runs with the same seed, and against
// faults for one client that affect another.
func TestUDPLossIsSeededAndPerClient(t *testing.T) {
	const sent = 64
	delivered := func() []int {
		relay := startUDP(t, UDPOptions{
			Seed:     7,
			Identify: func(netip.AddrPort) string { return "a" },
			Faults:   Faults{Loss: 0.5, Clients: []string{"a"}},
		})
		conn := dialUDP(t, relay.Address())
		var out []int
		for i := range sent {
			before := relay.Counters()
			send(t, conn, "datagram")
			if returned(relay, before) {
				out = append(out, i)
				receive(t, conn)
			}
		}
		if err := relay.SetFaults(Faults{Loss: 1, Clients: []string{"b"}}); err != nil {
			t.Fatal(err)
		}
		send(t, conn, "end")
		if got := receive(t, conn); got != "end" {
			t.Errorf("received %q", got)
		}
		return out
	}
	first, second := delivered(), delivered()
	if !slices.Equal(first, second) {
		t.Errorf("the same seed gave %v and %v", first, second)
	}
	if len(first) == 0 || len(first) == sent {
		t.Errorf("%d of %d datagrams survived", len(first), sent)
	}
}

// returned waits until the relay has dropped one datagram or forwarded it in both
// directions. It reports whether the datagram was forwarded.
func returned(relay Relay, before Counters) bool {
	for {
		now := relay.Counters()
		if now.Dropped > before.Dropped {
			return false
		}
		if now.Forwarded >= before.Forwarded+2 {
			return true
		}
		time.Sleep(50 * time.Microsecond)
	}
}

// Guards against ClientDelays being ignored, so that the delay of the relay applies
// to every client.
func TestUDPDelayPerClient(t *testing.T) {
	relay := startUDP(t, UDPOptions{
		Identify:     func(netip.AddrPort) string { return "near" },
		Faults:       Faults{Delay: time.Hour},
		ClientDelays: map[string]time.Duration{"near": 0},
	})
	conn := dialUDP(t, relay.Address())
	send(t, conn, "now")
	if got := receive(t, conn); got != "now" {
		t.Errorf("received %q", got)
	}
}

// BenchmarkUDPRelay sends 25,000 datagrams of 1,200 bytes a second to an echo
// server through a relay with a one-way delay of 1 ms, so the relay forwards 50,000
// a second. It reports by how much round trips exceed 2 ms, and the share lost.
func BenchmarkUDPRelay(b *testing.B) {
	const flows, perSecond = 10, 25000
	relay := startUDP(b, UDPOptions{Faults: Faults{Delay: time.Millisecond}})
	conns := make([]net.Conn, flows)
	results := make(chan []time.Duration, flows)
	begin := time.Now()
	for i := range conns {
		conns[i] = dialUDP(b, relay.Address())
		go func() { results <- collect(conns[i], begin) }()
	}
	b.ResetTimer()
	start := time.Now()
	payload := make([]byte, 1200)
	for i := range b.N {
		due := start.Add(time.Duration(i) * time.Second / perSecond)
		if wait := time.Until(due); wait > 0 {
			waitUntil(due)
		}
		binary.LittleEndian.PutUint64(payload, uint64(time.Since(begin)))
		_, _ = conns[i%flows].Write(payload)
	}
	b.StopTimer()
	sent := time.Since(start)
	var all []time.Duration
	for range conns {
		all = append(all, <-results...)
	}
	slices.Sort(all)
	excess := func(share float64) float64 {
		at := all[min(len(all)-1, int(share*float64(len(all))))] - 2*time.Millisecond
		return float64(at) / float64(time.Microsecond)
	}
	b.ReportMetric(float64(b.N)/sent.Seconds(), "sent/s")
	b.ReportMetric(float64(b.N-len(all))/float64(b.N), "lost")
	b.ReportMetric(excess(0.5), "p50-excess-µs")
	b.ReportMetric(excess(0.99), "p99-excess-µs")
}

// collect reads echoes until none arrives for a second.
func collect(conn net.Conn, begin time.Time) []time.Duration {
	var out []time.Duration
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(buffer); err != nil {
			return out
		}
		out = append(out, time.Since(begin)-time.Duration(binary.LittleEndian.Uint64(buffer)))
	}
}

// Guards against Faults.Duplicate having no effect, and against a datagram that is
// sent twice being counted as two.
func TestUDPDuplicates(t *testing.T) {
	relay := startUDP(t, UDPOptions{Seed: 5})
	if err := relay.SetFaults(Faults{Duplicate: 1}); err != nil {
		t.Fatal(err)
	}
	conn := dialUDP(t, relay.Address())
	send(t, conn, "a")
	for range 4 { // duplicated once on the way there, and each copy on the way back
		if got := receive(t, conn); got != "a" {
			t.Fatalf("got %q", got)
		}
	}
	if c := relay.Counters(); c.Duplicated != 3 || c.Forwarded != 3 {
		t.Errorf("counters %+v", c)
	}
}
