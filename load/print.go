package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the report as text.
func (report *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, variant %s, seed %d: %.0f s at load %.2f, round trips on the idle system %.1f ms\n",
		report.Experiment, report.Variant, report.Seed, report.Seconds, report.OfferedLoad, report.IdealMS)
	j := report.Jobs
	fmt.Fprintf(w, "jobs: %d planned, %d complete, %d failed with a code, %d broken, %d cancelled, %d unanswered, %d not sent\n",
		j.Planned, j.Complete, j.Failed, j.Broken, j.Cancelled, j.Unanswered, j.NotSent)
	report.printGroups(w)
	report.printGoodput(w)
	report.printFailures(w)
	report.printCost(w)
	for _, note := range report.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	for _, detail := range report.Broken {
		fmt.Fprintf(w, "broken: %s\n", detail)
	}
	for _, violation := range report.Violations {
		fmt.Fprintf(w, "VIOLATION: %s\n", violation)
	}
	if len(report.Violations) == 0 {
		fmt.Fprintln(w, "no violation: no task started twice, every complete response belongs to its request, no task of a job reported as not run was started")
	}
}

// table writes a header and rows of tab-terminated cells in aligned columns.
func table(w io.Writer, header string, rows func(io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, header)
	rows(t)
	t.Flush()
}

func (report *Report) printGroups(w io.Writer) {
	fmt.Fprintln(w, "response over ideal, complete jobs after the warm-up:")
	table(w, "by\tname\tjobs\tcomplete\tp50\tp90\tp99\tmax\tp99 ms\t", func(t io.Writer) {
		for _, g := range report.Groups {
			q := g.OverIdeal
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t\n",
				g.Kind, g.Name, g.Jobs, g.Complete, q.P50, q.P90, q.P99, q.Max, g.Response.P99)
		}
	})
}

func (report *Report) printGoodput(w io.Writer) {
	fmt.Fprintln(w, "goodput of complete jobs:")
	table(w, "phase\tseconds\tjobs/s\ttask seconds/s\t", func(t io.Writer) {
		for _, g := range report.Goodput {
			fmt.Fprintf(t, "%s\t%.1f\t%.2f\t%.2f\t\n", g.Phase, g.Seconds, g.JobsPerSecond, g.TaskSecondsPerSecond)
		}
	})
}

func (report *Report) printFailures(w io.Writer) {
	if len(report.Failures) == 0 {
		fmt.Fprintln(w, "failure reports: none")
		return
	}
	fmt.Fprintln(w, "failure reports:")
	table(w, "code\tname\tran\tjobs\t", func(t io.Writer) {
		for _, f := range report.Failures {
			fmt.Fprintf(t, "%d\t%s\t%s\t%d\t\n", f.Code, f.Name, f.Ran, f.Count)
		}
	})
}

func (report *Report) printCost(w io.Writer) {
	if report.Messages == nil {
		fmt.Fprintln(w, "messages per task: not measured")
	} else {
		fmt.Fprintf(w, "messages per task: %.2f, of which wasted %.3f\n", report.Messages.SentPerTask, report.Messages.WastedPerTask)
	}
	fmt.Fprintf(w, "task starts at the targets: %d\n", report.TaskStarts)
	for _, use := range report.Processor {
		fmt.Fprintf(w, "%s: %.0f µs of processor time per task over %d processes, at most %.0f MB\n",
			use.Role, use.MicrosecondsPerTask, use.Processes, use.PeakMemoryMB)
	}
}
