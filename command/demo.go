package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/catkinline/catkinline/agent"
	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/entry"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
	"go.uber.org/zap"
)

type demoArgs struct {
	Targets int  `arg:"--targets" default:"3" help:"number of stand-in targets with 8 slots each"`
	Verbose bool `arg:"--verbose" help:"print the logs of the roles"`
}

// Description implements arg.Described.
func (demoArgs) Description() string {
	return "Runs a store, targets, agents and an entry in one process, sends three jobs, and prints a table of times and the answer to the last job."
}

// Epilogue implements arg.Epilogued.
func (demoArgs) Epilogue() string { return "Example:\n  catkinline demo" }

// demoDocument is the configuration document of the demo.
const demoDocument = `{
	"services": {"frames": {"rules": [{"requests": "kind=panorama", "targets": "memory=large"}], "non_idempotent": true}},
	"workspaces": {"north-crew": {"weight": 2}, "south-crew": {}},
}`

// demoTimeout limits the duration of the demo.
const demoTimeout = 20 * time.Second

func runDemo(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a demoArgs
	if exit, ok := parseArgs("demo", &a, args, stdout, stderr); !ok {
		return exit
	}
	log := zap.NewNop()
	if a.Verbose {
		var err error
		if log, err = settings.NewLogger(settings.Log{Level: "info", Format: "console"}, stderr); err != nil {
			return failed(stderr, err)
		}
	}
	defer settings.CaptureStandardLog(log)()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{out: stdout, log: log, failure: make(chan error, 1)}
	err := d.run(ctx, a.Targets)
	cancel()
	d.processes.Wait()
	if err != nil {
		return failed(stderr, err)
	}
	return exitOK
}

// demo is a complete system in one process: store, entry, agents and targets.
type demo struct {
	out       io.Writer
	log       *zap.Logger
	processes sync.WaitGroup
	failure   chan error
	store     string
	callers   string
	links     string
}

func (d *demo) start(name string, run func() error) {
	d.processes.Go(func() {
		if err := run(); err != nil {
			select {
			case d.failure <- fmt.Errorf("%s: %w", name, err):
			default:
			}
		}
	})
}

func (d *demo) run(ctx context.Context, targets int) error {
	if err := d.startStore(ctx); err != nil {
		return err
	}
	if err := d.startEntry(ctx); err != nil {
		return err
	}
	for i := range targets {
		if err := d.startTarget(ctx, i); err != nil {
			return err
		}
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	return d.sendJobs(ctx)
}

// startStore starts the stand-in store and writes the configuration to it.
func (d *demo) startStore(ctx context.Context) error {
	bound := make(chan net.Addr, 1)
	d.start("store", func() error {
		return standin.RunStore(ctx, "127.0.0.1:0", standin.RunStoreOptions{Listening: func(a net.Addr) { bound <- a }})
	})
	select {
	case a := <-bound:
		d.store = "http://" + a.String()
	case err := <-d.failure:
		return err
	}
	store, err := platform.NewStore(d.store, platform.StoreOptions{})
	if err != nil {
		return err
	}
	document, errs := config.Parse([]byte(demoDocument))
	if err := errs.Err(); err != nil {
		return err
	}
	applier := config.Applier{Store: store, Holder: config.NewHolder()}
	if r := applier.Apply(ctx, "demo", 0, document); r.Outcome != config.Accepted {
		return fmt.Errorf("configuration not accepted: %s", r.Reason)
	}
	return nil
}

func (d *demo) startEntry(ctx context.Context) error {
	addresses, err := freeAddresses()
	if err != nil {
		return err
	}
	d.callers, d.links = addresses[0], addresses[1]
	s := settings.Entry{
		Name: "entry-1", FailureDomain: "saimaa", Region: "fi",
		CallerAddress: d.callers, LinkAddress: d.links,
		Store: settings.Store{URL: d.store}, TLS: settings.TLS{DevelopmentSecret: "demo"},
	}
	settings.SetDefaults(&s)
	store, err := newStore(s.Store)
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Options{Settings: s, Log: d.log.Named("entry-1"), Store: store})
	if err != nil {
		return err
	}
	d.start("entry", func() error { return e.Run(ctx) })
	return nil
}

func (d *demo) startTarget(ctx context.Context, i int) error {
	bound := make(chan string, 1)
	name := fmt.Sprintf("target-%d", i+1)
	d.start(name, func() error {
		return standin.RunTarget(ctx, "127.0.0.1:0", standin.TargetOptions{Slots: 8, Listening: func(a string) { bound <- a }})
	})
	memory := "small"
	if i == 0 {
		memory = "large"
	}
	s := settings.Agent{
		Name: name, FailureDomain: "saimaa", Region: "fi", Entries: []string{d.links},
		TLS: settings.TLS{DevelopmentSecret: "demo"},
	}
	select {
	case address := <-bound:
		s.Target = settings.Target{Name: name, Service: "frames", URL: "http://" + address, Labels: label.Set{"memory": memory}}
	case err := <-d.failure:
		return err
	}
	settings.SetDefaults(&s)
	a, err := agent.NewProcess(s, nil, d.log.Named(name))
	if err != nil {
		return err
	}
	d.start(name, func() error { return a.Run(ctx) })
	return nil
}

// freeAddresses returns a free TCP and a free UDP address on loopback.
func freeAddresses() ([2]string, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return [2]string{}, err
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return [2]string{}, err
	}
	defer udp.Close()
	return [2]string{tcp.Addr().String(), udp.LocalAddr().String()}, nil
}

// pollInterval is how often the demo polls the entry's readiness.
const pollInterval = 50 * time.Millisecond

func (d *demo) waitReady(ctx context.Context) error {
	for {
		resp, err := http.Get("http://" + d.callers + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-d.failure:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// demoJobs returns three jobs that are sent at the same time: previews, an exposure
// check and a panorama.
func demoJobs() []api.Job {
	task := func(ms int) api.Task {
		payload, _ := json.Marshal(map[string]any{"run_ms": ms, "echo": fmt.Sprintf("frame of %d ms", ms)})
		return api.Task{Payload: string(payload), RunMS: float64(ms)}
	}
	previews := api.Job{Key: "previews", Workspace: "north-crew", DeadlineMS: 10_000, Idempotent: true, Labels: label.Set{"kind": "preview"}}
	for i := range 24 {
		previews.Tasks = append(previews.Tasks, task(50+25*(i%8)))
	}
	check := api.Job{Key: "exposure", Workspace: "south-crew", DeadlineMS: 10_000, Idempotent: true, Tasks: []api.Task{task(80)}}
	panorama := api.Job{Key: "panorama", Workspace: "north-crew", DeadlineMS: 15_000, Labels: label.Set{"kind": "panorama"}, Tasks: []api.Task{task(1500), task(900)}}
	return []api.Job{previews, check, panorama}
}

type jobTime struct {
	job    api.Job
	answer api.Answer
	err    error
	took   time.Duration
}

func (d *demo) sendJobs(ctx context.Context) error {
	c, err := client.New("http://" + d.callers)
	if err != nil {
		return err
	}
	jobs := demoJobs()
	times := make([]jobTime, len(jobs))
	var sent sync.WaitGroup
	for i, j := range jobs {
		sent.Go(func() {
			start := time.Now()
			answer, err := c.Submit(ctx, "frames", j)
			times[i] = jobTime{j, answer, err, time.Since(start)}
		})
	}
	sent.Wait()
	return d.print(times)
}

func (d *demo) print(times []jobTime) error {
	fmt.Fprintf(d.out, "%-10s %6s %-9s %12s %12s %6s\n", "job", "tasks", "state", "longest task", "answered in", "ratio")
	for _, t := range times {
		if t.err != nil {
			return t.err
		}
		if t.answer.State != api.StateComplete {
			return fmt.Errorf("job %s failed: %d %s: %s", t.job.Key, t.answer.Code, t.answer.Name, t.answer.Reason)
		}
		longest := 0.0
		for _, task := range t.job.Tasks {
			longest = max(longest, task.RunMS)
		}
		ms := float64(t.took.Microseconds()) / 1000
		fmt.Fprintf(d.out, "%-10s %6d %-9s %9.0f ms %9.1f ms %6.2f\n", t.job.Key, len(t.job.Tasks), t.answer.State, longest, ms, ms/longest)
	}
	fmt.Fprintf(d.out, "\nanswer of job %s:\n", times[len(times)-1].job.Key)
	encoder := json.NewEncoder(d.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(times[len(times)-1].answer)
}
