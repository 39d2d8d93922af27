package fleet

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/catkinline/catkinline/internal/faultproxy"
)

// loopback has port 0, so that the kernel chooses a relay's port.
const loopback = "127.0.0.1:0"

// startRelays starts the relays that the options ask for.
func (f *Fleet) startRelays() error {
	n := f.options.Network
	for i := range f.options.Entries {
		name := entryName(i)
		if n.RelayLinks || n.DomainDelay > 0 {
			if err := f.addLinkRelay(i); err != nil {
				return err
			}
		}
		if n.RelayCallers || n.CallerDelay > 0 {
			if err := f.addTCP("caller/"+name, f.plan.callers[i], n.CallerDelay); err != nil {
				return err
			}
		}
		if n.RelayStores && f.options.Store {
			if err := f.addTCP("store/"+name, f.plan.store, 0); err != nil {
				return err
			}
		}
	}
	if n.RelayStores && f.options.Store {
		if err := f.addTCP("store/agents", f.plan.store, 0); err != nil {
			return err
		}
	}
	for i := range f.options.Targets {
		if !n.RelayTargets {
			break
		}
		if err := f.addTCP("target/"+agentName(i), f.plan.targets[i], 0); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addTCP(name, upstream string, delay time.Duration) error {
	relay, err := faultproxy.NewTCP(faultproxy.TCPOptions{
		Listen:   loopback,
		Upstream: upstream,
		Faults:   faultproxy.Faults{Delay: delay},
	})
	if err != nil {
		return err
	}
	f.relays[name] = relay
	return nil
}

// addLinkRelay starts a relay in front of an entry's link address. Flows from
// processes in the entry's own failure domain are not delayed.
func (f *Fleet) addLinkRelay(i int) error {
	delays := map[string]time.Duration{}
	for j := range f.options.Targets {
		if f.domain(j) == f.domain(i) {
			delays[agentName(j)] = 0
		}
	}
	for j := range f.options.Entries {
		if f.domain(j) == f.domain(i) {
			delays[entryName(j)] = 0
		}
	}
	relay, err := faultproxy.NewUDP(faultproxy.UDPOptions{
		Listen:       loopback,
		Upstream:     f.plan.links[i],
		Faults:       faultproxy.Faults{Delay: f.options.Network.DomainDelay},
		Seed:         f.options.Network.Seed + uint64(i),
		Identify:     f.udpPortOwner,
		ClientDelays: delays,
	})
	if err != nil {
		return err
	}
	f.relays["link/"+entryName(i)] = relay
	return nil
}

// udpPortOwner returns the name of the process of the fleet that has a local UDP
// port open, or "". It reads /proc and is called once for each new flow.
func (f *Fleet) udpPortOwner(client netip.AddrPort) string {
	inodes := udpInodes(client.Port())
	if len(inodes) == 0 {
		return ""
	}
	for name, pid := range f.pids() {
		if holdsSocket(pid, inodes) {
			return name
		}
	}
	return ""
}

func (f *Fleet) pids() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.processes))
	for name, p := range f.processes {
		if command, _, alive := p.state(); alive {
			out[name] = command.Process.Pid
		}
	}
	return out
}

// Columns of /proc/net/udp.
const (
	udpLocalColumn = 1
	udpInodeColumn = 9
)

// udpInodes returns the socket inodes bound to a local UDP port.
func udpInodes(port uint16) map[string]bool {
	suffix := fmt.Sprintf(":%04X", port)
	inodes := map[string]bool{}
	for _, path := range []string{"/proc/net/udp", "/proc/net/udp6"} {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			columns := strings.Fields(lines.Text())
			if len(columns) > udpInodeColumn && strings.HasSuffix(columns[udpLocalColumn], suffix) {
				inodes["socket:["+columns[udpInodeColumn]+"]"] = true
			}
		}
		file.Close()
	}
	return inodes
}

func holdsSocket(pid int, inodes map[string]bool) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	files, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, file := range files {
		link, err := os.Readlink(filepath.Join(directory, file.Name()))
		if err == nil && inodes[link] {
			return true
		}
	}
	return false
}
