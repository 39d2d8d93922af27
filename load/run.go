package load

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/settings"
)

// RunOptions select the variant and seed of a run and the files it uses.
type RunOptions struct {
	Executable string // path of the catkinline binary
	Directory  string // directory for settings and logs, which are kept; empty: a temporary one
	Variant    string // empty: DefaultVariant
	Seed       uint64 // added to the experiment's seed
	Quick      bool   // use the durations of Experiment.Quick
}

// Run starts the fleet of one variant, generates the load, checks the results and
// stops every process. Violations are in the report, not in the error.
func Run(ctx context.Context, e *Experiment, options RunOptions) (*Report, error) {
	if options.Variant == "" {
		options.Variant = DefaultVariant
	}
	plan, err := e.resolve(options.Variant, options.Quick)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleetOptions, err := plan.fleetOptions(options)
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(ctx, fleetOptions)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return plan.measure(ctx, f, e.Seed+options.Seed)
}

// fleetOptions converts the experiment to the options of its fleet.
func (r *resolvedExperiment) fleetOptions(options RunOptions) (fleet.Options, error) {
	policy, err := r.policy()
	if err != nil {
		return fleet.Options{}, err
	}
	f := r.Fleet
	out := fleet.Options{
		Executable:     options.Executable,
		Directory:      options.Directory,
		Targets:        f.Targets,
		Entries:        f.Entries,
		Slots:          f.Slots,
		Connections:    f.Connections,
		FailureDomains: f.FailureDomains,
		Region:         f.Region,
		Service:        r.Service,
		Store:          f.Store,
		Configuration:  r.configuration(),
		Policy:         policy,
		Network: fleet.Network{
			DomainDelay:  milliseconds(f.DomainDelayMS),
			CallerDelay:  milliseconds(f.CallerDelayMS),
			RelayLinks:   f.LinkRelays,
			RelayTargets: f.TargetRelays,
			RelayStores:  f.StoreRelays,
			Seed:         r.Seed,
		},
		// The errors can be ignored: validation has decoded the overlays.
		EditEntry: func(_ int, s *settings.Entry) { _ = r.editEntry(s) },
		EditAgent: func(_ int, s *settings.Agent) { _ = r.editAgent(s) },
	}
	if len(f.TargetLabels) > 0 {
		out.TargetLabels = func(i int) label.Set { return f.TargetLabels[i%len(f.TargetLabels)] }
	}
	return out, nil
}

// measure generates the load for a ready system and returns the report.
func (r *resolvedExperiment) measure(ctx context.Context, s system, seed uint64) (*Report, error) {
	jobs, err := r.schedule(seed)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := newBalancer(s.CallerURLs(), s.EntryURLs())
	var background sync.WaitGroup
	background.Go(func() { b.watch(ctx) })
	ideal, note := r.ideal(ctx, b)
	before, usedBefore := scrape(ctx, s.EntryURLs()), processUsage(s)

	d := newDriver(r, fmt.Sprintf("%s-%d", r.Name, seed), jobs, b)
	var injectionErrors []string
	background.Go(func() { injectionErrors = injectFaults(ctx, s, r.Faults, time.Now()) })
	d.drive(ctx)
	if err := ctx.Err(); err != nil {
		return nil, Err.Wrap(err)
	}
	report := newReport(d, ideal, seed)
	report.addCounters(scrape(ctx, s.EntryURLs()).since(before))
	usedAfter := processUsage(s)
	found := checkRun(ctx, s, d)
	cancel()
	background.Wait()
	report.addFindings(found)
	report.addProcessorUsage(usedBefore, usedAfter, found.starts)
	report.Violations = append(report.Violations, injectionErrors...)
	if note != "" {
		report.Notes = append(report.Notes, note)
	}
	return report, nil
}

func processUsage(s system) map[string]fleet.Usage {
	out := map[string]fleet.Usage{}
	for _, name := range s.Names() {
		if u, err := s.Usage(name); err == nil {
			out[name] = u
		}
	}
	return out
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// Probe jobs on the idle system before a run.
const (
	idealProbes = 20
	// idealTimeout bounds the wait for the first complete response: links between
	// entries and agents may open after both are ready.
	idealTimeout    = 10 * time.Second
	idealDeadlineMS = 5000
	// idealRunMS bounds the run time of a probe. Within it, probes run as long as
	// the shortest tasks of their class, so that they do not bias the run-time
	// estimates that the system learns.
	idealRunMS = 100
)

// ideal returns the overhead of a job on the idle system: the median response time
// of single-task jobs less their run time. If it can't be measured, the note says so.
func (r *resolvedExperiment) ideal(ctx context.Context, b *balancer) (ideal time.Duration, note string) {
	if r.IdealMS > 0 {
		return milliseconds(r.IdealMS), ""
	}
	for i := range r.Classes {
		probe := r.Classes[i]
		if probe.Fail {
			continue
		}
		probe.DeadlineMS = idealDeadlineMS
		probe.NonIdempotent = false
		if overheads := r.probe(ctx, b, &probe); len(overheads) > 0 {
			slices.Sort(overheads)
			return overheads[len(overheads)/2], ""
		}
	}
	return 0, "no probe job completed on the idle system; the ideal response time is that of the longest task, without overhead"
}

// probe sends single-task jobs one after another and returns the overhead of the
// complete ones. It returns nil if a job fails after idealTimeout or ctx is done.
func (r *resolvedExperiment) probe(ctx context.Context, b *balancer, class *Class) []time.Duration {
	deadline := time.Now().Add(idealTimeout)
	run := min(class.RunMS.Min, idealRunMS)
	var overheads []time.Duration
	for n := 0; len(overheads) < idealProbes; n++ {
		job := plannedJob{
			class:     class,
			workspace: slices.Min(slices.Collect(maps.Keys(class.Workspaces))),
			entry:     float64(n%idealProbes) / idealProbes,
			runMS:     []float64{run},
			declared:  []float64{run},
		}
		d := newDriver(r, fmt.Sprintf("probe-%s-%d", class.Name, n), []plannedJob{job}, b)
		d.send(ctx, 0, time.Now())
		d.client.CloseIdleConnections()
		switch {
		case d.records[0].outcome == outcomeComplete && d.records[0].violation == "":
			overheads = append(overheads, d.records[0].took-job.longest())
		case time.Now().After(deadline) || ctx.Err() != nil:
			return nil
		default:
			sleepUntil(ctx, time.Now().Add(probeInterval))
		}
	}
	return overheads
}

// document is the operators' configuration that the fleet starts with. It contains
// every default explicitly, as the stored form does.
type document struct {
	Services   map[string]documentService   `json:"services"`
	Workspaces map[string]documentWorkspace `json:"workspaces"`
}

type documentService struct {
	Short           documentClass    `json:"short"`
	Long            documentClass    `json:"long"`
	Deadline        documentDeadline `json:"deadline"`
	NonIdempotent   bool             `json:"non_idempotent"`
	MaxEjectedShare float64          `json:"max_ejected_share"`
}

type documentClass struct {
	RunMS      int `json:"run_ms"`
	MaxWaiting int `json:"max_waiting"`
}

type documentDeadline struct {
	DefaultMS int `json:"default_ms"`
	MaxMS     int `json:"max_ms"`
}

type documentWorkspace struct {
	Weight float64 `json:"weight"`
}

// configuration returns the experiment's document or, if it has none, one with the
// service and the workspaces of all classes.
func (r *resolvedExperiment) configuration() json.RawMessage {
	if len(r.Fleet.Configuration) > 0 {
		return r.Fleet.Configuration
	}
	service := documentService{
		Short:           documentClass{RunMS: 30_000, MaxWaiting: 200_000},
		Long:            documentClass{RunMS: 600_000, MaxWaiting: 200_000},
		Deadline:        documentDeadline{DefaultMS: 30_000, MaxMS: 900_000},
		NonIdempotent:   true,
		MaxEjectedShare: 0.3,
	}
	d := document{
		Services:   map[string]documentService{r.Service: service},
		Workspaces: map[string]documentWorkspace{},
	}
	for _, class := range r.Classes {
		for workspace := range class.Workspaces {
			d.Workspaces[workspace] = documentWorkspace{Weight: 1}
		}
	}
	data, _ := json.Marshal(d) // strings and finite numbers can always be encoded
	return data
}

// role returns the role of a process name: "entry" for "entry-3".
func role(process string) string {
	name, _, _ := strings.Cut(process, "-")
	return name
}
