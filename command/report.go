package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/catkinline/catkinline/report"
)

type reportArgs struct {
	Logs  []string      `arg:"positional,required" help:"log files of gateways and sidecars; -: standard input"`
	Out   string        `arg:"--out,required" help:"HTML file to write"`
	Title string        `arg:"--title" default:"catkinline" help:"title of the page"`
	Width time.Duration `arg:"--interval" default:"1s" help:"interval in which jobs are counted"`
}

// Description implements arg.Described.
func (reportArgs) Description() string {
	return "Shows what the logs of gateways and sidecars say as a page with plots: how jobs were answered, how long that took, and what changed meanwhile."
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
	var day report.LogData
	for _, name := range a.Logs {
		if err := readLog(&day, name); err != nil {
			return failed(stderr, err)
		}
	}
	out, err := os.Create(a.Out)
	if err != nil {
		return failed(stderr, err)
	}
	if err := day.WritePage(out, a.Title, max(a.Width, time.Millisecond)); err != nil {
		_ = out.Close() // the first error counts
		return failed(stderr, err)
	}
	if err := out.Close(); err != nil {
		return failed(stderr, err)
	}
	return exitOK
}

func readLog(day *report.LogData, name string) error {
	if name == "-" {
		return day.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return day.Read(f)
}
