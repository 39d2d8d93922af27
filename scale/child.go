package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"time"
)

// request is one line from the parent to a process of agents. The process
// answers each with an agentState.
type request struct {
	Start   int      // agents to add
	First   int      // number of the first one
	Service string   // of the agents to add
	Entries []string // that the agents to add link to
	Links   int      // entries of each agent, in turn
	Lose    int      // agents to end at once
}

// RunAgents is the process of agents: it reads requests until its input ends.
func RunAgents(in io.Reader, out io.Writer) error {
	f := newFleet()
	requests := json.NewDecoder(in)
	answers := json.NewEncoder(out)
	for {
		var r request
		if err := requests.Decode(&r); err != nil {
			return nil
		}
		for i := range r.Start {
			if err := f.start(r.First+i, r.Service, inTurn(r.Entries, r.First+i, r.Links)); err != nil {
				return err
			}
		}
		if r.Lose > 0 {
			f.lose(r.Lose)
		}
		if err := answers.Encode(f.state()); err != nil {
			return err
		}
	}
}

// inTurn returns n entries from the i-th on, so that all get equally many agents.
func inTurn(entries []string, i, n int) []string {
	out := make([]string, n)
	for j := range out {
		out[j] = entries[(i+j)%len(entries)]
	}
	return out
}

// agentsProcess is the parent's side of a process of agents.
type agentsProcess struct {
	cmd     *exec.Cmd
	mu      sync.Mutex
	in      *json.Encoder
	closeIn func() error
	out     *json.Decoder
}

func startAgents(executable string) (*agentsProcess, error) {
	cmd := exec.Command(executable, "scale", "--agents")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &agentsProcess{cmd: cmd, in: json.NewEncoder(in), closeIn: in.Close, out: json.NewDecoder(bufio.NewReader(out))}, nil
}

func (p *agentsProcess) ask(r request) (agentState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s agentState
	if err := p.in.Encode(r); err != nil {
		return s, err
	}
	err := p.out.Decode(&s)
	return s, err
}

func (p *agentsProcess) stop() {
	_ = p.closeIn()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// usage is what a process has used so far.
type usage struct {
	CPU time.Duration // user and system time
	RSS int64         // resident bytes now
}

// clockTick is the unit of the times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// readUsage reads /proc/PID/stat.
func readUsage(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	return parseStat(string(data))
}

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }
