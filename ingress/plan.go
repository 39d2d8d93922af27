// Package ingress decides how much clients outside this system may hold at a process: how many
// connections, how many bytes of heads and bodies, and whose connection is closed first when that is
// exhausted. It does no I/O and takes the time as an argument.
package ingress

import "time"

// Machine is what a process may use of its machine. Zero fields are not known.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int
}

// Defaults for a machine that is not described.
const (
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
)

const (
	// otherMemory is the resident memory outside Go's runtime, in bytes: the program's code and
	// tables, of which 13 to 17 MB were resident.
	otherMemory = 20 << 20
	// ownMemory is reserved for links, reports, the store, jobs and the runtime itself: a gateway and a
	// sidecar without clients have 10 to 15 MB in Go's runtime, each link 0.1 MB.
	ownMemory = 36 << 20
	// clientShare is the part of the rest that clients may hold, in percent. What was held before takes as
	// much again until the garbage collector has run, and the kernel's buffers are not counted.
	clientShare = 40
	// goShare is the part of the memory without otherMemory that Go's runtime may use, in percent. The rest is for the
	// kernel's buffers. With all of it, crowds of 1,500 clients had a gateway of 144 MB at 143 MB; with 75%, at
	// 113 MB, and 40 MB were seen in the kernel's buffers; with 65%, at 97 MB.
	goShare = 65
	// minClientMemory is the least budget of callers or of a target. It serves one report of the largest size,
	// 4 MiB, which counts twice when it is whole, and 100 connections.
	minClientMemory = 10 << 20

	// messageShare is the part of the memory for large messages that are being received, one in so many.
	messageShare = 8
	// minMessageMemory serves two messages of the largest size, 5 MiB.
	minMessageMemory = 10 << 20

	// ownDescriptors are reserved for links, the store, the target and files: a sidecar holds up to 64
	// connections to its target and 32 to the store, a gateway one socket for each peer.
	ownDescriptors = 112
	// overshoot is the share of its connections by which a group may exceed them for as long as those
	// that are to be closed are not closed yet.
	overshoot = 16
)

// Connections and memory for the load balancer's and the operators' requests, which are few. They are
// apart from those of callers, so that no crowd of callers makes an entry look dead.
const (
	probeConnections = 32
	probeMemory      = 2 << 20
	// probeBacklog is more than their clients open at once.
	probeBacklog = 128
)

// backlogShare is the part of the connections with space in the kernel that wait to be accepted, one in so many.
const backlogShare = 5

// operatorMemory serves one configuration of the largest size, 1 MB, which counts twice when it is whole. An entry
// has one address for operators in place of two for probes.
const operatorMemory = 2 * probeMemory

// ReceiveBuffer is how many bytes of a connection with a small request may wait in the kernel. They are
// memory of the machine.
const ReceiveBuffer = 16 << 10

// Limits bound what the clients of one group of addresses hold.
type Limits struct {
	Connections int
	Backlog     int // connections that wait in the kernel to be accepted; 0: as many as the system allows
	Bytes       int64
}

// Plan divides a machine.
type Plan struct {
	GoMemory  int64  // limit for Go's runtime, in bytes; 0: none
	Clients   Limits // callers at a gateway or an entry, the target at a sidecar
	Probes    Limits // readiness and metrics, each
	Operators Limits // at an entry
	Messages  int64  // bytes of large messages that are being received; 0: no limit
}

// NewPlan divides a machine.
func NewPlan(m Machine) Plan {
	var p Plan
	if m.Memory > 0 {
		p.Messages = max(m.Memory/messageShare, minMessageMemory)
		p.GoMemory = max((m.Memory-otherMemory)*goShare/100, m.Memory/2)
	} else {
		m.Memory = defaultMemory
	}
	if m.Descriptors <= 0 {
		m.Descriptors = defaultDescriptors
	}
	clients := (m.Memory - otherMemory - ownMemory) * clientShare / 100
	p.Clients.Bytes = max(clients-2*probeMemory, minClientMemory)
	p.Probes = Limits{Connections: probeConnections, Backlog: probeBacklog, Bytes: probeMemory}
	p.Operators = Limits{Connections: probeConnections, Backlog: probeBacklog, Bytes: operatorMemory}
	descriptors := max(m.Descriptors-ownDescriptors-2*probeConnections, m.Descriptors/4)
	if p.GoMemory > 0 { // what waits in the kernel fits into the rest
		buffers := int((m.Memory - otherMemory - p.GoMemory) / ReceiveBuffer)
		p.Clients.Backlog = max(buffers/backlogShare, probeBacklog)
		descriptors = min(descriptors, max(buffers-p.Clients.Backlog, probeBacklog))
	}
	p.Clients.Connections = descriptors * overshoot / (overshoot + 1)
	return p
}

// Rules are the limits of requests, as the operators configure them.
type Rules struct {
	MaxHead     int           // bytes of a request's head
	MaxBody     int           // bytes of a request's body
	HeadTimeout time.Duration // from the first to the last byte of a head
	// IdleTimeout is how long a connection may stay without a byte: before the first request, between
	// requests, and within a body.
	IdleTimeout time.Duration
	BodyTimeout time.Duration // from the first to the last byte of a body; 0: none
}

// DefaultRules are in force until the operators' are known. They are the limits that the platform's
// pages tell callers.
var DefaultRules = Rules{MaxHead: 16 << 10, MaxBody: 256 << 10, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// WithDefaults returns the rules with the defaults for fields that are 0 or less.
func (r Rules) WithDefaults() Rules {
	if r.MaxHead <= 0 {
		r.MaxHead = DefaultRules.MaxHead
	}
	if r.MaxBody <= 0 {
		r.MaxBody = DefaultRules.MaxBody
	}
	if r.HeadTimeout <= 0 {
		r.HeadTimeout = DefaultRules.HeadTimeout
	}
	if r.IdleTimeout <= 0 {
		r.IdleTimeout = DefaultRules.IdleTimeout
	}
	return r
}
