package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/operator"
)

func (c *ctl) writeJSON(v any) int {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return c.failed(err)
	}
	return exitOK
}

// writeRaw writes a response of the entry and changes only its white space.
func (c *ctl) writeRaw(raw []byte) int {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(raw), "", "  "); err != nil {
		return c.failed(err)
	}
	fmt.Fprintln(c.out, out.String())
	return exitOK
}

// report writes the outcome of a change and returns the exit status.
func (c *ctl) report(response operator.ChangeResponse) int {
	if c.args.JSON {
		c.writeJSON(response)
	} else {
		writeChange(c.out, response)
	}
	switch response.Outcome {
	case config.Accepted:
		return exitOK
	case config.Refused:
		return exitFailed
	}
	return exitUnknown
}

func writeChange(w io.Writer, c operator.ChangeResponse) {
	if c.Outcome == config.Accepted {
		fmt.Fprintf(w, "accepted: revision %d\n", c.Revision)
	} else {
		fmt.Fprintf(w, "%s: %d %s: %s\n", c.Outcome, c.Code, c.Name, c.Reason)
	}
	writeList(w, "confirmed by", c.Confirmed)
	writeList(w, "not yet confirmed by", c.Missing)
	if c.Warning != "" {
		fmt.Fprintf(w, "warning: %s\n", c.Warning)
	}
	writeErrors(w, "  ", c.Errors)
	if c.Conflict != nil {
		fmt.Fprintf(w, "made from revision %d, current revision %d\n", c.Conflict.Base, c.Conflict.Current)
		writeDifferences(w, "yours", "theirs", c.Conflict.Objects)
	}
	if c.Outcome != config.Accepted && c.Outcome != config.Refused {
		fmt.Fprintf(w, "to resolve it, repeat the command with --change-id %s\n", c.ChangeID)
	}
}

func writeList(w io.Writer, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(w, "%s: %s\n", title, strings.Join(names, ", "))
	}
}

// writeDifferences writes both values of each object. yours and theirs are their
// titles.
func writeDifferences(w io.Writer, yours, theirs string, differences []config.Difference) {
	width := max(len(yours), len(theirs)) + 1
	for _, d := range differences {
		fmt.Fprintf(w, "%s %s\n", d.Kind, d.Name)
		fmt.Fprintf(w, "  %-*s %s\n", width, yours+":", valueText(d.Yours))
		fmt.Fprintf(w, "  %-*s %s\n", width, theirs+":", valueText(d.Theirs))
	}
}

func valueText(v config.Value) string {
	var content any
	switch {
	case v.Service != nil:
		content = v.Service
	case v.Workspace != nil:
		content = v.Workspace
	case v.Target != nil:
		content = v.Target
	default:
		return "(absent)"
	}
	text, err := json.Marshal(content)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func writeStatus(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "revision %d\n", s.Revision)
	fmt.Fprintf(w, "queue: %d jobs, %d tasks, %d bytes\n\n", s.Queue.Jobs, s.Queue.Tasks, s.Queue.Bytes)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tADDRESS\tDOMAIN\tREVISION\tSTATE")
	for _, e := range s.Entries {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", e.Name, e.Address, e.FailureDomain, e.Revision, stateText("leaving", e.Leaving))
	}
	_ = table.Flush() // an error of standard output cannot be reported
	fmt.Fprintln(w)
	fmt.Fprintln(table, "TARGET\tSERVICE\tDOMAIN\tRUNNING\tSTATE\tLABELS")
	for _, t := range s.Targets {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d/%d\t%s\t%s\n", t.Name, t.Service, t.FailureDomain, t.Running, t.Slots, targetState(t), labelText(t.Labels))
	}
	_ = table.Flush()
}

func targetState(t operator.TargetStatus) string {
	if t.Draining && t.Ejected {
		return "draining, ejected"
	}
	if t.Draining {
		return "draining"
	}
	return stateText("ejected", t.Ejected)
}

// stateText returns name if the state holds, and "live" otherwise.
func stateText(name string, holds bool) string {
	if holds {
		return name
	}
	return "live"
}

func labelText(labels map[string]string) string {
	if len(labels) == 0 {
		return "-"
	}
	out := make([]string, 0, len(labels))
	for k, v := range labels {
		out = append(out, k+"="+v)
	}
	slices.Sort(out)
	return strings.Join(out, ",")
}
