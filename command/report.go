package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/catkinline/catkinline/report"
)

type reportArgs struct {
	Logs     []string      `arg:"positional,required" help:"log files of gateways and sidecars; - is standard input"`
	Out      string        `arg:"--out,required" help:"HTML file to write"`
	Title    string        `arg:"--title" default:"catkinline" help:"title of the page"`
	Interval time.Duration `arg:"--interval" default:"1s" help:"length of the intervals in which jobs are counted"`
}

// Description implements arg.Described.
func (reportArgs) Description() string {
	return "Writes an HTML page with plots from the logs of gateways and sidecars: the results of jobs, their response times, and what changed meanwhile."
}

// Epilogue implements arg.Epilogued.
func (reportArgs) Epilogue() string {
	return "Example:\n  catkinline report --out day.html edge-*.log side-*.log"
}

func runReport(_ context.Context, args []string, stdout, stderr io.Writer) int {
	var a reportArgs
	if exit, ok := parseArgs("report", &a, args, stdout, stderr); !ok {
		return exit
	}
	var data report.LogData
	for _, name := range a.Logs {
		if err := readLog(&data, name); err != nil {
			return failed(stderr, err)
		}
	}
	out, err := os.Create(a.Out)
	if err != nil {
		return failed(stderr, err)
	}
	if err := data.WritePage(out, a.Title, max(a.Interval, time.Millisecond)); err != nil {
		_ = out.Close() // the earlier error is reported
		return failed(stderr, err)
	}
	if err := out.Close(); err != nil {
		return failed(stderr, err)
	}
	return exitOK
}

func readLog(data *report.LogData, name string) error {
	if name == "-" {
		return data.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return data.Read(f)
}
