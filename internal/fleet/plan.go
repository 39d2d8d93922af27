package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// plan holds the addresses that processes listen on.
type plan struct {
	store   string
	targets []string // TCP
	admins  []string // agents, TCP
	callers []string // entries, TCP
	links   []string // entries, UDP
}

// Ports are chosen below the range that Linux uses for outgoing connections
// (32768 and up), so that no connection takes the port of a process that is
// down for a restart.
const (
	firstPort = 10000
	lastPort  = 32000
	portTries = 4000
)

func newPlan(options Options) (plan, error) {
	var ports portPicker
	var p plan
	if options.Store {
		p.store = ports.tcp()
	}
	for range options.Targets {
		p.targets = append(p.targets, ports.tcp())
		p.admins = append(p.admins, ports.tcp())
	}
	for range options.Entries {
		p.callers = append(p.callers, ports.tcp())
		p.links = append(p.links, ports.udp())
	}
	return p, ports.err
}

// takenPorts are the ports of all fleets of this process. A port that is drawn
// stays free until the fleet's process listens, and again during a restart, so
// fleets that run in parallel would otherwise draw the same one.
var takenPorts struct {
	mu    sync.Mutex
	ports map[int]bool
}

// takePort reports whether a port was not taken before.
func takePort(port int) bool {
	takenPorts.mu.Lock()
	defer takenPorts.mu.Unlock()
	if takenPorts.ports == nil {
		takenPorts.ports = map[int]bool{}
	}
	if takenPorts.ports[port] {
		return false
	}
	takenPorts.ports[port] = true
	return true
}

// portPicker draws free loopback ports. A process of another program may still
// take one before it is used; the start then fails with that process's message.
type portPicker struct {
	err error
}

func (p *portPicker) tcp() string {
	return p.pick(func(address string) error {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
		}
		return err
	})
}

func (p *portPicker) udp() string {
	return p.pick(func(address string) error {
		conn, err := net.ListenPacket("udp", address)
		if err == nil {
			conn.Close()
		}
		return err
	})
}

func (p *portPicker) pick(try func(address string) error) string {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !takePort(port) {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if try(address) == nil {
			return address
		}
	}
	p.err = Error.New("no free loopback port between %d and %d", firstPort, lastPort)
	return ""
}

// FreeTCPAddress returns a free loopback ip:port that stays free between two processes
// that use it.
func FreeTCPAddress() (string, error) {
	var p portPicker
	return p.tcp(), p.err
}

// FreeUDPAddress is FreeTCPAddress for UDP.
func FreeUDPAddress() (string, error) {
	var p portPicker
	return p.udp(), p.err
}
