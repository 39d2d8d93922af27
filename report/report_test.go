package report

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"
)

const log = `   0.1000 edge-a-1 {"level":"info","ts":"2026-08-17T03:14:46.100Z","msg":"job ended","job":"a1","route":"preview","outcome":"done","in_time":true,"took":0.06,"targets":3,"queue":2}
{"level":"info","ts":"2026-08-17T03:14:46.300Z","msg":"job ended","job":"a2","route":"preview","outcome":"done","in_time":false,"took":0.5,"targets":2,"queue":4}
{"level":"info","ts":"2026-08-17T03:14:47.400Z","msg":"job ended","job":"a3","route":"quote <i>","outcome":"refused","in_time":false,"took":0,"targets":2,"queue":4}
{"level":"info","ts":"2026-08-17T03:14:47.500Z","msg":"job ended","job":"a4","route":"preview","outcome":"expired","in_time":false,"took":2,"targets":2,"queue":4}
{"level":"info","ts":"2026-08-17T03:14:47.600Z","msg":"job ended","job":"a5","route":"preview","outcome":"cancelled","in_time":false,"took":2,"targets":2,"queue":4}
{"level":"info","ts":"2026-08-17T03:14:47.700Z","msg":"forwarded job ended","job":"a6","route":"preview","outcome":"done","took":2}
{"level":"info","ts":"2026-08-17T03:14:47.700Z","msg":"forwarded job ended","job":"a7","route":"preview","outcome":"expired","took":2}
{"level":"warn","ts":"2026-08-17T03:14:46.200Z","msg":"store lost","error":"refused"}
{"level":"info","ts":"2026-08-17T03:14:46.150Z","msg":"target changed","agent":"side-a-1","change":"distrusted","detail":"failures"}
{"level":"info","ts":"2026-08-17T03:14:46.150Z","msg":"peer linked","peer":"edge-a-2"}
panic: not a log line
{"broken
`

func readTestLog(t *testing.T) *LogData {
	t.Helper()
	var d LogData
	if err := d.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	return &d
}

// Guards against jobs that are counted under another result or not at all, and against other
// text between the log lines that ends the reading.
func TestReadCountsEveryJob(t *testing.T) {
	d := readTestLog(t)
	if len(d.Jobs) != 6 || d.Skipped != 2 || len(d.Changes) != 2 {
		t.Fatalf("%d jobs, %d lines skipped, changes %v", len(d.Jobs), d.Skipped, d.Changes)
	}
	for i, want := range []Result{InTime, Late, Refused, Failed, Abandoned, Failed} {
		if d.Jobs[i].Result != want {
			t.Errorf("job %d is %q, want %q", i, d.Jobs[i].Result, want)
		}
	}
	if got := d.Changes[1].Detail; got != "side-a-1 distrusted failures" {
		t.Errorf("change of a target: %q", got)
	}
}

// Guards against quantiles that include jobs that were not done, and against jobs that are
// missing from the intervals.
func TestBins(t *testing.T) {
	bins := readTestLog(t).Bins(time.Second, "")
	if len(bins) != 2 || bins[0].Jobs() != 2 || bins[1].Jobs() != 4 {
		t.Fatalf("got bins %+v, want two with 2 and 4 jobs", bins)
	}
	if b := bins[0]; b.Quantile(0.5) != 60*time.Millisecond || b.Quantile(0.99) != 500*time.Millisecond || b.WaitingTasks != 3 || b.Targets != 2 {
		t.Errorf("first interval: %+v", b)
	}
	if got := bins[1].Quantile(0.5); got != 0 {
		t.Errorf("quantile of an interval without done jobs: %v", got)
	}
	if got := readTestLog(t).Bins(time.Second, "quote <i>"); got[1].Jobs() != 1 || got[0].Jobs() != 0 {
		t.Errorf("one route: %+v", got)
	}
}

// Guards against a page that lacks a plot, has malformed markup, or does not escape a route's
// name.
func TestPage(t *testing.T) {
	var out bytes.Buffer
	if err := readTestLog(t).WritePage(&out, "a day", time.Second); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if n := strings.Count(page, "<svg"); n != 6 {
		t.Errorf("%d plots, want 6: four of all jobs and one for each route", n)
	}
	for _, want := range []string{"<td>preview</td><td>5</td>", "quote &lt;i&gt;", "store lost", "2 lines of the files are not log lines"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for i, element := range strings.Split(page, "<svg")[1:] {
		text, _, _ := strings.Cut("<svg"+element, "</svg>")
		decoder := xml.NewDecoder(strings.NewReader(text + "</svg>"))
		for {
			if _, err := decoder.Token(); err == io.EOF {
				break
			} else if err != nil {
				t.Fatalf("plot %d: %v", i, err)
			}
		}
	}
}

// Guards against an empty page when the files are not logs of jobs.
func TestPageWithoutJobsIsAnError(t *testing.T) {
	var d LogData
	if err := d.WritePage(io.Discard, "nothing", time.Second); err == nil {
		t.Error("no error for a page without jobs")
	}
}
