package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/settings"
)

type submitArgs struct {
	File    string `arg:"positional,required" help:"job file, JSON with comments"`
	Entry   string `arg:"--entry" default:"http://127.0.0.1:8080" help:"URL of an entry or a load balancer"`
	Service string `arg:"--service,required" help:"service that runs the job"`
	JSON    bool   `arg:"--json" help:"print the answer as JSON"`
}

// Description implements arg.Described.
func (submitArgs) Description() string {
	return "Sends a job and prints the answer. The exit status is 0 if the job completed, 1 if it failed, and 3 if it is unknown whether it ran."
}

// Epilogue implements arg.Epilogued.
func (submitArgs) Epilogue() string {
	return "Example:\n  catkinline submit --service frames --entry http://127.0.0.1:8080 job.json"
}

func runSubmit(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a submitArgs
	if exit, ok := parseArgs("submit", &a, args, stdout, stderr); !ok {
		return exit
	}
	job, err := readJob(a.File)
	if err != nil {
		return failed(stderr, err)
	}
	c, err := client.New(a.Entry)
	if err != nil {
		return failed(stderr, err)
	}
	answer, err := c.Submit(ctx, a.Service, job)
	if errors.Is(err, client.ErrBroken) {
		failed(stderr, err)
		return exitUnknown
	}
	if err != nil {
		return failed(stderr, err)
	}
	return printAnswer(answer, a.JSON, stdout, stderr)
}

func readJob(path string) (api.Job, error) {
	var job api.Job
	data, err := os.ReadFile(path)
	if err != nil {
		return job, err
	}
	return job, settings.Decode(data, &job).Err()
}

func printAnswer(a api.Answer, asJSON bool, stdout, stderr io.Writer) int {
	exit := exitOK
	if a.State != api.StateComplete {
		exit = exitFailed
		if a.Ran == "unknown" {
			exit = exitUnknown
		}
	}
	if asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(a); err != nil {
			return failed(stderr, err)
		}
		return exit
	}
	fmt.Fprintln(stdout, a.State)
	for i, r := range a.Results {
		fmt.Fprintf(stdout, "%d\t%s\n", i, r)
	}
	if a.Code != 0 {
		fmt.Fprintf(stdout, "%d %s: %s (ran: %s)\n", a.Code, a.Name, a.Reason, a.Ran)
	}
	return exit
}
