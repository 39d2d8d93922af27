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

// Ports are chosen below the default range of ephemeral ports on Linux (32768 and
// up), so that no outgoing connection takes the port of a process that is being
// restarted.
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

// reservedPorts are the ports of all fleets of this process. A chosen port is free
// until its process listens, and again during a restart, so parallel fleets could
// otherwise choose the same port.
var reservedPorts struct {
	mu    sync.Mutex
	ports map[int]bool
}

// reservePort reserves a port. It returns false if the port was already reserved.
func reservePort(port int) bool {
	reservedPorts.mu.Lock()
	defer reservedPorts.mu.Unlock()
	if reservedPorts.ports == nil {
		reservedPorts.ports = map[int]bool{}
	}
	if reservedPorts.ports[port] {
		return false
	}
	reservedPorts.ports[port] = true
	return true
}

// portPicker chooses random free loopback ports. Another program may still take a
// port before it is used; the process then fails to start, and Start returns the
// end of its log.
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
		if !reservePort(port) {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if try(address) == nil {
			return address
		}
	}
	p.err = Error.New("no free loopback port found between %d and %d", firstPort, lastPort)
	return ""
}

// FreeTCPAddress returns a free loopback ip:port for TCP. It is below the ephemeral
// range and is returned only once by this process, so it also stays free while the
// process that listens on it is restarted.
func FreeTCPAddress() (string, error) {
	var p portPicker
	return p.tcp(), p.err
}

// FreeUDPAddress is FreeTCPAddress for UDP.
func FreeUDPAddress() (string, error) {
	var p portPicker
	return p.udp(), p.err
}
