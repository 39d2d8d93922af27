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

// request is a message from the parent to the agent process, one JSON value per
// line. The process replies to each with an agentState.
type request struct {
	Start   int      // number of agents to add
	First   int      // index of the first agent to add
	Service string   // service of the agents to add
	Entries []string // addresses of the entries, among which the agents' links are spread
	Links   int      // number of entries that each agent links to
	Lose    int      // number of agents to kill, the last added first
}

// RunAgents runs the agent process: it carries out requests from in and writes an
// agentState to out for each. It returns nil when in ends or a request is not
// valid JSON.
func RunAgents(in io.Reader, out io.Writer) error {
	group := newAgentGroup()
	requests := json.NewDecoder(in)
	replies := json.NewEncoder(out)
	for {
		var r request
		if err := requests.Decode(&r); err != nil {
			return nil
		}
		for i := range r.Start {
			if err := group.start(r.First+i, r.Service, roundRobin(r.Entries, r.First+i, r.Links)); err != nil {
				return err
			}
		}
		if r.Lose > 0 {
			group.killLast(r.Lose)
		}
		if err := replies.Encode(group.state()); err != nil {
			return err
		}
	}
}

// roundRobin returns n consecutive entries from index i on, with wrap-around, so that
// the agents are spread evenly over the entries.
func roundRobin(entries []string, i, n int) []string {
	out := make([]string, n)
	for j := range out {
		out[j] = entries[(i+j)%len(entries)]
	}
	return out
}

// agentProcess is the parent's handle of a process that runs all agents. It is safe
// for concurrent queries.
type agentProcess struct {
	cmd     *exec.Cmd
	mu      sync.Mutex
	in      *json.Encoder
	closeIn func() error
	out     *json.Decoder
}

func startAgentProcess(executable string) (*agentProcess, error) {
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
	return &agentProcess{cmd: cmd, in: json.NewEncoder(in), closeIn: in.Close, out: json.NewDecoder(bufio.NewReader(out))}, nil
}

// query sends a request and waits for the reply.
func (p *agentProcess) query(r request) (agentState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s agentState
	if err := p.in.Encode(r); err != nil {
		return s, err
	}
	err := p.out.Decode(&s)
	return s, err
}

func (p *agentProcess) stop() {
	_ = p.closeIn()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// usage is the processor time and memory of a process.
type usage struct {
	CPU time.Duration // user and system time since the start
	RSS int64         // resident bytes
}

// clockTick is the unit of times in /proc/PID/stat, with the usual 100 ticks per
// second of Linux.
const clockTick = 10 * time.Millisecond

// readUsage reads the usage of a process from /proc/PID/stat.
func readUsage(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	return parseStat(string(data))
}

// withJitter returns a random duration from half of d to one and a half of d.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
