package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used.
type Usage struct {
	CPUTime           time.Duration `json:"processor"` // user and system, all runs since the first start
	ResidentBytes     int64         `json:"memory"`    // resident bytes now; 0 if not running
	PeakResidentBytes int64         `json:"peak"`      // most resident bytes of this run
}

// clockTick is the unit of processor time in /proc; Linux fixes it at 100 Hz
// for user space.
const clockTick = 10 * time.Millisecond

// Usage reads a process's usage from /proc.
func (f *Fleet) Usage(name string) (Usage, error) {
	p, err := f.process(name)
	if err != nil {
		return Usage{}, err
	}
	command, _, alive := p.state()
	p.mu.Lock()
	usage := Usage{CPUTime: p.past}
	p.mu.Unlock()
	if !alive {
		return usage, nil
	}
	running, err := processorTime(command.Process.Pid)
	if err != nil {
		return usage, err
	}
	usage.CPUTime += running
	usage.ResidentBytes, usage.PeakResidentBytes = memory(command.Process.Pid)
	return usage, nil
}

// Columns of /proc/PID/stat after the command, which may contain spaces and
// ends with a parenthesis.
const (
	statUser   = 11
	statSystem = 12
)

func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	text := string(data)
	columns := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(columns) <= statSystem {
		return 0, Error.New("unexpected /proc/%d/stat: %q", pid, text)
	}
	var ticks int64
	for _, column := range []string{columns[statUser], columns[statSystem]} {
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
