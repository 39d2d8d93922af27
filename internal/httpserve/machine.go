package httpserve

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/settings"
)

// Machine returns the limits of a process. Descriptors that are not in the settings are those that the kernel
// allows the process.
func Machine(s settings.Machine) ingress.Machine {
	m := ingress.Machine{Memory: int64(s.MemoryMB) << 20, Descriptors: s.Descriptors}
	var limit unix.Rlimit
	if m.Descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		m.Descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return m
}
