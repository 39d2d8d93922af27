package scale

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"github.com/catkinline/catkinline/api"
)

// Step is the measurement of one step for one number of agents. Processor time and
// memory are means over the processes of a role. Wire bytes include the UDP and IP
// headers. Traffic is counted at the agents: what they send, the entries receive.
type Step struct {
	Name       string              `json:"name"`
	Agents     int                 `json:"agents"`
	Entries    int                 `json:"entries"`
	Seconds    float64             `json:"seconds"`
	EntryMS    float64             `json:"entry_ms"`  // processor time of one entry
	AgentMS    float64             `json:"agent_ms"`  // processor time of one agent
	EntryMB    float64             `json:"entry_mb"`  // resident memory of one entry at the end
	AgentsMB   float64             `json:"agents_mb"` // resident memory of the process of all agents
	ToEntry    int64               `json:"to_entry"`  // wire bytes that one entry received from agents
	FromEntry  int64               `json:"from_entry"`
	Packets    int64               `json:"packets"` // packets of one entry, both directions
	Messages   map[string]Messages `json:"messages"`
	Starts     int64               `json:"starts"` // task starts at all agents
	Reads      int64               `json:"reads"`  // store calls, pending watches included
	Writes     int64               `json:"writes"`
	ConvergeMS int64               `json:"whole_ms,omitempty"` // time until all agents had their links and the current revision
	Waiting    int                 `json:"waiting,omitempty"`  // tasks queued at all entries
	JobsDone   int64               `json:"jobs_done,omitempty"`
	JobsFailed int64               `json:"jobs_failed,omitempty"`
	Failure    string              `json:"failure,omitempty"` // reason of the last failed job

	mu sync.Mutex // guards Failure while jobs run
}

// noteFailure stores the reason of a failed job. The last one is kept.
func (s *Step) noteFailure(answer api.Answer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Failure = err.Error()
		return
	}
	s.Failure = answer.Name + ": " + answer.Reason
}

const mebibyte = 1 << 20

// setDifferences sets the measurements from the samples before and after the step.
// A process that isn't in the first sample was started during the step, so its
// usage counts in full.
func (s *Step) setDifferences(before, after sample) {
	s.Seconds = after.at.Sub(before.at).Seconds()
	entries := float64(len(after.entries))
	for pid, u := range after.entries {
		s.EntryMS += float64((u.CPU - before.entries[pid].CPU).Milliseconds()) / entries
		s.EntryMB += float64(u.RSS) / mebibyte / entries
	}
	s.AgentMS = float64((after.agents.CPU - before.agents.CPU).Microseconds()) / 1000 / float64(s.Agents)
	s.AgentsMB = float64(after.agents.RSS) / mebibyte
	from, to := before.state.Traffic, after.state.Traffic
	sent := int64(to.Wire.PacketsSent - from.Wire.PacketsSent)
	received := int64(to.Wire.PacketsReceived - from.Wire.PacketsReceived)
	n := int64(s.Entries)
	s.ToEntry = (int64(to.Wire.BytesSent-from.Wire.BytesSent) + sent*headerBytes) / n
	s.FromEntry = (int64(to.Wire.BytesReceived-from.Wire.BytesReceived) + received*headerBytes) / n
	s.Packets = (sent + received) / n
	s.Messages = make(map[string]Messages)
	for name, m := range to.Types {
		old := from.Types[name]
		d := Messages{m.Sent - old.Sent, m.Received - old.Received, m.BytesSent - old.BytesSent, m.BytesReceived - old.BytesReceived}
		if d.Sent+d.Received > 0 {
			s.Messages[name] = d
		}
	}
	s.Starts = after.state.Starts - before.state.Starts
	s.Reads = int64(after.calls.Reads - before.calls.Reads)
	s.Writes = int64(after.calls.Writes - before.calls.Writes)
}

// messages returns the number of messages that the agents sent and received.
func (s *Step) messages() (sent, received int64) {
	for _, m := range s.Messages {
		sent += m.Sent
		received += m.Received
	}
	return sent, received
}

// Report holds the measurements for all numbers of agents, the lines fitted to them
// and the sizes of messages and documents at the target size.
type Report struct {
	Steps         []*Step `json:"steps"`
	Fits          []Fit   `json:"fits"`
	DocumentBytes int     `json:"document_bytes"` // at the target size
	PeerBytes     int     `json:"peer_bytes"`     // of one report of all workspaces' usage to a peer
	ViewBytes     int     `json:"view_bytes"`     // of one agent's configuration view
}

// value returns a quantity of the named step for a number of agents. It reports
// false if the step was not measured.
func (r *Report) value(name string, size int, f func(*Step) float64) (float64, bool) {
	for _, s := range r.Steps {
		if s.Name == name && s.Agents == size {
			return f(s), true
		}
	}
	return 0, false
}

// costPerStart returns the processor time in ms that one process of a role needs per
// task start. It is the difference between the steps with high and low load,
// which excludes the cost of the idle process.
func (r *Report) costPerStart(size int, processorMS func(*Step) float64, starts func(*Step) float64) (float64, bool) {
	lowMS, ok := r.value("load low", size, processorMS)
	highMS, highOK := r.value("load high", size, processorMS)
	fewStarts, _ := r.value("load low", size, starts)
	manyStarts, _ := r.value("load high", size, starts)
	if !ok || !highOK || manyStarts <= fewStarts {
		return 0, false
	}
	return (highMS - lowMS) / (manyStarts - fewStarts), true
}

// fitLines fits a line to each quantity that was measured for two or more sizes.
func (r *Report) fitLines(sizes []int) {
	step := func(name string, f func(*Step) float64) func(int) (float64, bool) {
		return func(n int) (float64, bool) { return r.value(name, n, f) }
	}
	perSecond := func(f func(*Step) float64) func(*Step) float64 {
		return func(s *Step) float64 { return f(s) / s.Seconds }
	}
	entryMS := func(s *Step) float64 { return s.EntryMS }
	agentMS := func(s *Step) float64 { return s.AgentMS }
	for _, q := range []struct {
		name  string
		value func(int) (float64, bool)
	}{
		{"entry, idle, ms/s", step("idle", perSecond(entryMS))},
		{"agent, idle, ms/s", step("idle", perSecond(agentMS))},
		{"entry, idle, bytes in/s", step("idle", perSecond(func(s *Step) float64 { return float64(s.ToEntry) }))},
		{"entry, idle, bytes out/s", step("idle", perSecond(func(s *Step) float64 { return float64(s.FromEntry) }))},
		{"entry, idle, MB", step("idle", func(s *Step) float64 { return s.EntryMB })},
		{"process of agents, idle, MB", step("idle", func(s *Step) float64 { return s.AgentsMB })},
		{"store, idle, calls/s", step("idle", perSecond(func(s *Step) float64 { return float64(s.Reads + s.Writes) }))},
		{"entry, one start, ms", func(n int) (float64, bool) {
			return r.costPerStart(n, entryMS, func(s *Step) float64 { return float64(s.Starts) / float64(s.Entries) })
		}},
		{"agent, one start, ms", func(n int) (float64, bool) {
			return r.costPerStart(n, agentMS, func(s *Step) float64 { return float64(s.Starts) / float64(s.Agents) })
		}},
		{"entry, change of a workspace, ms", step("change workspace", entryMS)},
		{"entry, change of a service, ms", step("change service", entryMS)},
		{"entry, change of every target, ms", step("change targets", entryMS)},
		{"entry, change of a service, bytes out", step("change service", func(s *Step) float64 { return float64(s.FromEntry) })},
		{"entry, restart, ms", step("restart of all entries", entryMS)},
		{"entry, restart, bytes in", step("restart of all entries", func(s *Step) float64 { return float64(s.ToEntry) })},
	} {
		var x, y []float64
		for _, n := range sizes {
			if v, ok := q.value(n); ok {
				x, y = append(x, float64(n)), append(y, v)
			}
		}
		if len(x) > 1 {
			r.Fits = append(r.Fits, fitLine(q.name, x, y, TargetAgents))
		}
	}
}

// header is the column header of the table of steps.
const header = "agents entries step                                   s  entry ms  agent ms  entry MB agents MB   in KB  out KB msgs in msgs out  starts reads writes whole ms  done failed"

// PrintHeader prints the column header of the table whose rows Step.Print prints.
func PrintHeader(w io.Writer) { fmt.Fprintln(w, header) }

// Print prints one row of the table of steps. Bytes and entry processor time are per
// entry, messages are of all entries together.
func (s *Step) Print(w io.Writer) {
	in, out := s.messages()
	fmt.Fprintf(w, "%6d %7d %-35s %5.1f %9.0f %9.2f %9.0f %9.0f %7.0f %7.0f %7d %8d %7d %5d %6d %8d %5d %6d\n",
		s.Agents, s.Entries, s.Name, s.Seconds, s.EntryMS, s.AgentMS, s.EntryMB, s.AgentsMB,
		float64(s.ToEntry)/1000, float64(s.FromEntry)/1000, in, out, s.Starts, s.Reads, s.Writes, s.ConvergeMS, s.JobsDone, s.JobsFailed)
	if s.Failure != "" {
		fmt.Fprintln(w, "  last failed job:", s.Failure)
	}
}

// Print prints the fitted lines and the sizes at the target size.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "by number of agents\tslope\terror\tintercept\tlargest run\tat %d (extrapolated)\t\n", TargetAgents)
	for _, f := range r.Fits {
		fmt.Fprintf(t, "%s\t%.4g\t%.2g\t%.4g\t%g\t%.4g\t\n", f.Quantity, f.Slope, f.Error, f.Intercept, f.Largest, f.Target)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "bytes at the target size: document %d, report to a peer %d, view %d\n", r.DocumentBytes, r.PeerBytes, r.ViewBytes)
}
