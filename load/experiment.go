// Package load generates open-loop load for a fleet of real processes and measures
// response time, goodput and cost. Arrivals never wait for responses, and response
// times count from the intended arrival, so that a slow system can't hide its
// delay by slowing the load generator (coordinated omission).
package load

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

// Err is the class of errors of this package.
var Err = errs.Class("load")

// Experiment is the content of an experiment file, which is JSON with comments.
// Unknown fields are rejected.
type Experiment struct {
	Name              string             `json:"name"`
	Seed              uint64             `json:"seed"`
	Seconds           float64            `json:"seconds"`         // duration of arrivals
	WarmupSeconds     float64            `json:"warmup_seconds"`  // groups leave out earlier arrivals, goodput earlier completions
	DrainSeconds      float64            `json:"drain_seconds"`   // longest wait for responses after Seconds
	MaxJobs           int                `json:"max_jobs"`        // default 200,000
	MaxOutstanding    int                `json:"max_outstanding"` // default 20,000; jobs above it are not sent
	IdealMS           float64            `json:"ideal_ms"`        // job overhead on an idle system; zero: measured before the run
	Service           string             `json:"service"`
	Fleet             Fleet              `json:"fleet"`
	Classes           []Class            `json:"classes"`
	Load              float64            `json:"load"` // task seconds per second and slot
	Swing             Swing              `json:"swing"`
	CancellationWaves []CancellationWave `json:"cancellation_waves"`
	Faults            []Fault            `json:"faults"`
	Quick             Quick              `json:"quick"`
	Variants          map[string]Variant `json:"variants"`
}

// Fleet is the size and network of the deployment under test.
type Fleet struct {
	Targets        int             `json:"targets"`
	Slots          int             `json:"slots"`
	Connections    int             `json:"connections"`
	Entries        int             `json:"entries"`
	FailureDomains []string        `json:"failure_domains"`
	Region         string          `json:"region"`
	DomainDelayMS  float64         `json:"domain_delay_ms"` // one way, between failure domains
	CallerDelayMS  float64         `json:"caller_delay_ms"` // one way, between callers and entries
	Store          bool            `json:"store"`
	LinkRelays     bool            `json:"link_relays"`
	TargetRelays   bool            `json:"target_relays"`
	StoreRelays    bool            `json:"store_relays"`
	TargetLabels   []label.Set     `json:"target_labels"` // target i has the labels at i modulo the length
	Configuration  json.RawMessage `json:"configuration"` // the operators' document; empty: generated from the service and the classes' workspaces
}

// Class is a kind of job that the load generator sends.
type Class struct {
	Name          string             `json:"name"`
	Share         float64            `json:"share"` // of all jobs, relative to the other classes
	Tasks         Distribution       `json:"tasks"` // number of tasks in a job
	RunMS         Distribution       `json:"run_ms"`
	Declared      Distribution       `json:"declared_factor"` // ratio of declared to actual run time; absent: 1
	Workspaces    map[string]float64 `json:"workspaces"`      // relative share of jobs by workspace
	Labels        label.Set          `json:"labels"`
	NonIdempotent bool               `json:"non_idempotent"`
	DeadlineMS    int64              `json:"deadline_ms"`
	PayloadBytes  int                `json:"payload_bytes"` // padding in each task's payload
	ResultBytes   int                `json:"result_bytes"`  // padding in each task's result
	Fail          bool               `json:"fail"`          // every task fails after its run time
}

// Swing describes periodic load peaks: the load is multiplied by Factor for Seconds
// at FirstAt and every Every seconds after it. A factor of zero means no peaks.
type Swing struct {
	Factor  float64 `json:"factor"`
	Seconds float64 `json:"seconds"`
	Every   float64 `json:"every"`
	FirstAt float64 `json:"first_at"`
}

// CancellationWave cancels a share of the outstanding jobs at one time.
type CancellationWave struct {
	AtSeconds float64  `json:"at_seconds"`
	Share     float64  `json:"share"`
	Classes   []string `json:"classes"` // empty: all
}

// Fault is a fault to inject at a time after the start. Exactly one of Process,
// Target, Relay and Store is set.
type Fault struct {
	AtSeconds float64               `json:"at_seconds"`
	Process   string                `json:"process"` // with Action
	Action    Action                `json:"action"`
	Target    *int                  `json:"target"` // with TargetFaults
	Faults    *standin.TargetFaults `json:"target_faults"`
	Relay     string                `json:"relay"` // with Change
	Change    *faultproxy.Change    `json:"change"`
	Store     json.RawMessage       `json:"store_faults"` // body of the stand-in store's POST /faults
}

// Action is the operation of a fault on a process.
type Action string

// The actions of a fault. ActionRestart first kills the process if it is running.
const (
	ActionTerminate Action = "terminate"
	ActionKill      Action = "kill"
	ActionFreeze    Action = "freeze"
	ActionResume    Action = "resume"
	ActionRestart   Action = "restart"
)

// Quick overrides durations for a short run. Times of load peaks, cancellation
// waves and faults are scaled by the ratio of the two values of Seconds.
type Quick struct {
	Seconds       float64 `json:"seconds"`
	WarmupSeconds float64 `json:"warmup_seconds"`
	DrainSeconds  float64 `json:"drain_seconds"`
}

// Variant overrides parts of an experiment. Policy, Entry and Agent are decoded
// over the settings that the fleet writes, after those of the variant that Extends
// names.
type Variant struct {
	Extends string          `json:"extends"`
	Load    *float64        `json:"load"`
	Swing   *Swing          `json:"swing"`
	Faults  *[]Fault        `json:"faults"`
	Policy  json.RawMessage `json:"policy"` // settings.Policy
	Entry   json.RawMessage `json:"entry"`  // settings.Entry
	Agent   json.RawMessage `json:"agent"`  // settings.Agent
}

// Defaults and limits of an experiment. The limits keep an erroneous file from
// occupying a machine for hours.
const (
	defaultMaxJobs        = 200_000
	defaultMaxOutstanding = 20_000
	defaultWarmupSeconds  = 2
	maxSeconds            = 900
	maxDrainSeconds       = 300
	maxTasksPerJob        = 10_000
	maxTasksTotal         = 4_000_000
)

// DefaultVariant is the variant that is used if none is named. The file need not
// define it.
const DefaultVariant = "default"

// Read reads and validates an experiment file.
func Read(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	return Parse(data)
}

// Parse decodes and validates an experiment, with all its variants, from JSON with
// comments.
func Parse(data []byte) (*Experiment, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	e := Experiment{
		MaxJobs:        defaultMaxJobs,
		MaxOutstanding: defaultMaxOutstanding,
		WarmupSeconds:  defaultWarmupSeconds,
	}
	if err := overlay(standard, &e); err != nil {
		return nil, err
	}
	for i := range e.Classes {
		if e.Classes[i].Declared == (Distribution{}) {
			e.Classes[i].Declared = Distribution{Min: 1, Max: 1}
		}
	}
	if err := e.validate(); err != nil {
		return nil, err
	}
	return &e, nil
}

// overlay decodes JSON over an existing value and rejects unknown fields.
func overlay(data []byte, into any) error {
	if len(data) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return Err.Wrap(decoder.Decode(into))
}

// resolvedExperiment is an experiment with one variant applied.
type resolvedExperiment struct {
	Experiment
	variant string
	chain   []Variant // in the order of application, base first
}

// resolve applies a variant and, if quick is set, the shorter durations of Quick.
func (e *Experiment) resolve(name string, quick bool) (*resolvedExperiment, error) {
	r := &resolvedExperiment{Experiment: *e, variant: name}
	if err := r.collectVariants(name); err != nil {
		return nil, err
	}
	for _, v := range r.chain {
		if v.Load != nil {
			r.Load = *v.Load
		}
		if v.Swing != nil {
			r.Swing = *v.Swing
		}
		if v.Faults != nil {
			r.Faults = *v.Faults
		}
	}
	if quick && e.Quick.Seconds > 0 {
		r.applyQuick()
	}
	return r, nil
}

// maxExtends bounds the depth of extends, so that a cycle ends with an error.
const maxExtends = 8

// collectVariants sets the chain of variants from the base to the named one.
func (r *resolvedExperiment) collectVariants(name string) error {
	for range maxExtends {
		v, ok := r.Variants[name]
		if !ok && name != DefaultVariant {
			return Err.New("variant %q is not defined", name)
		}
		r.chain = append([]Variant{v}, r.chain...)
		if v.Extends == "" {
			return nil
		}
		name = v.Extends
	}
	return Err.New("variant %q: extends is cyclic or deeper than %d", r.variant, maxExtends)
}

// applyQuick replaces the durations by those of Quick and scales the times of
// faults and load changes.
func (r *resolvedExperiment) applyQuick() {
	ratio := r.Quick.Seconds / r.Seconds
	r.Seconds = r.Quick.Seconds
	r.WarmupSeconds = r.Quick.WarmupSeconds
	r.DrainSeconds = r.Quick.DrainSeconds
	r.Swing.Seconds *= ratio
	r.Swing.Every *= ratio
	r.Swing.FirstAt *= ratio
	waves := append([]CancellationWave(nil), r.CancellationWaves...)
	for i := range waves {
		waves[i].AtSeconds *= ratio
	}
	faults := append([]Fault(nil), r.Faults...)
	for i := range faults {
		faults[i].AtSeconds *= ratio
	}
	r.CancellationWaves, r.Faults = waves, faults
}

// policy returns the policy overrides of the variant and those it extends.
func (r *resolvedExperiment) policy() (settings.Policy, error) {
	var p settings.Policy
	for _, v := range r.chain {
		if err := overlay(v.Policy, &p); err != nil {
			return p, err
		}
	}
	return p, nil
}

func (r *resolvedExperiment) editEntry(s *settings.Entry) error {
	for _, v := range r.chain {
		if err := overlay(v.Entry, s); err != nil {
			return err
		}
	}
	return nil
}

func (r *resolvedExperiment) editAgent(s *settings.Agent) error {
	for _, v := range r.chain {
		if err := overlay(v.Agent, s); err != nil {
			return err
		}
	}
	return nil
}
