package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the CPU time and memory of a process.
type Usage struct {
	CPUTime           time.Duration `json:"processor"` // user and system time of all runs since the first start
	ResidentBytes     int64         `json:"memory"`    // current resident set size; 0 if not running
	PeakResidentBytes int64         `json:"peak"`      // peak resident set size of the current run
}

// clockTick is the unit of CPU time in /proc. Linux reports it to user space at a
// fixed 100 Hz.
const clockTick = 10 * time.Millisecond

// Usage reads the CPU time and memory of a process from /proc.
func (f *Fleet) Usage(name string) (Usage, error) {
	p, err := f.process(name)
	if err != nil {
		return Usage{}, err
	}
	command, _, alive := p.state()
	p.mu.Lock()
	usage := Usage{CPUTime: p.exitedCPUTime}
	p.mu.Unlock()
	if !alive {
		return usage, nil
	}
	running, err := cpuTime(command.Process.Pid)
	if err != nil {
		return usage, err
	}
	usage.CPUTime += running
	usage.ResidentBytes, usage.PeakResidentBytes = memory(command.Process.Pid)
	return usage, nil
}

// Columns of /proc/PID/stat, counted after the command name, which is in
// parentheses and may contain spaces.
const (
	statUserColumn   = 11
	statSystemColumn = 12
)

func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	text := string(data)
	columns := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(columns) <= statSystemColumn {
		return 0, Error.New("/proc/%d/stat has an unexpected format: %q", pid, text)
	}
	var ticks int64
	for _, column := range []string{columns[statUserColumn], columns[statSystemColumn]} {
		n, err := strconv.ParseInt(column, 10, 64)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

func memory(pid int) (now, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = kilobytes << 10
		case "VmHWM:":
			peak = kilobytes << 10
		}
	}
	return now, peak
}
