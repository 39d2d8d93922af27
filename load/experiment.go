// Package load drives a fleet of real processes with an open loop of jobs and
// measures response, goodput and cost. Arrivals never wait for answers, and
// delays count from the intended time of arrival, so that a slow system can't
// hide its delay by slowing its load.
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

// Experiment is an experiment file: JSON with comments, unknown fields refused.
type Experiment struct {
	Name           string             `json:"name"`
	Seed           uint64             `json:"seed"`
	Seconds        float64            `json:"seconds"`         // how long jobs arrive
	WarmupSeconds  float64            `json:"warmup_seconds"`  // arrivals before are sent and not reported
	DrainSeconds   float64            `json:"drain_seconds"`   // longest wait for answers after the last arrival
	MaxJobs        int                `json:"max_jobs"`        // default 200,000
	MaxOutstanding int                `json:"max_outstanding"` // default 20,000; arrivals over it are not sent
	IdealMS        float64            `json:"ideal_ms"`        // round trips on an idle system; zero: measured first
	Service        string             `json:"service"`
	Fleet          Fleet              `json:"fleet"`
	Classes        []Class            `json:"classes"`
	Load           float64            `json:"load"` // task seconds per second and slot
	Swing          Swing              `json:"swing"`
	Waves          []Wave             `json:"cancellation_waves"`
	Faults         []Fault            `json:"faults"`
	Quick          Quick              `json:"quick"`
	Variants       map[string]Variant `json:"variants"`
}

// Fleet is the deployment under test.
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
	Configuration  json.RawMessage `json:"configuration"` // the operators' document; empty: the service and the classes' workspaces
}

// Class is a kind of job.
type Class struct {
	Name          string             `json:"name"`
	Share         float64            `json:"share"` // of the jobs, relative to other classes
	Tasks         Distribution       `json:"tasks"` // tasks in a job
	RunMS         Distribution       `json:"run_ms"`
	Declared      Distribution       `json:"declared_factor"` // declared over true run time; absent: 1
	Workspaces    map[string]float64 `json:"workspaces"`      // workspace to share
	Labels        label.Set          `json:"labels"`
	NonIdempotent bool               `json:"non_idempotent"`
	DeadlineMS    int64              `json:"deadline_ms"`
	PayloadBytes  int                `json:"payload_bytes"` // padding in each task's payload
	ResultBytes   int                `json:"result_bytes"`  // padding in each task's result
	Fail          bool               `json:"fail"`          // every task fails after its run time
}

// Swing multiplies the load by Factor for Seconds in every Every seconds,
// beginning at FirstAt. A zero factor means no swing.
type Swing struct {
	Factor  float64 `json:"factor"`
	Seconds float64 `json:"seconds"`
	Every   float64 `json:"every"`
	FirstAt float64 `json:"first_at"`
}

// Wave cancels a share of the outstanding jobs at one moment.
type Wave struct {
	AtSeconds float64  `json:"at_seconds"`
	Share     float64  `json:"share"`
	Classes   []string `json:"classes"` // empty: all
}

// Fault is one scheduled action. Exactly one of Process, Target, Relay and
// Store is set.
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

// Action is what a fault does to a process.
type Action string

// The actions of a fault. Restart kills the process first if it runs.
const (
	ActionTerminate Action = "terminate"
	ActionKill      Action = "kill"
	ActionFreeze    Action = "freeze"
	ActionResume    Action = "resume"
	ActionRestart   Action = "restart"
)

// Quick replaces values for a short run. Times of waves and faults are scaled
// by the ratio of the durations.
type Quick struct {
	Seconds       float64 `json:"seconds"`
	WarmupSeconds float64 `json:"warmup_seconds"`
	DrainSeconds  float64 `json:"drain_seconds"`
}

// Variant changes an experiment. Policy, Entry and Agent are applied over the
// settings that the fleet writes, those of Extends first.
type Variant struct {
	Extends string          `json:"extends"`
	Load    *float64        `json:"load"`
	Swing   *Swing          `json:"swing"`
	Faults  *[]Fault        `json:"faults"`
	Policy  json.RawMessage `json:"policy"` // settings.Policy
	Entry   json.RawMessage `json:"entry"`  // settings.Entry
	Agent   json.RawMessage `json:"agent"`  // settings.Agent
}

// Defaults and bounds of an experiment; the bounds keep a mistaken file from
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

// DefaultVariant is the variant that is used when none is named; it needs no
// entry in the file.
const DefaultVariant = "default"

// Read reads an experiment file.
func Read(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	return Parse(data)
}

// Parse reads an experiment from JSON with comments and checks it.
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

// overlay decodes JSON over a value and refuses unknown fields.
func overlay(data []byte, into any) error {
	if len(data) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return Err.Wrap(decoder.Decode(into))
}

// resolved is an experiment with one variant applied.
type resolved struct {
	Experiment
	variant string
	chain   []Variant // base first
}

// resolve applies a variant and, if quick, the quick scale.
func (e *Experiment) resolve(name string, quick bool) (*resolved, error) {
	r := &resolved{Experiment: *e, variant: name}
	if err := r.collect(name); err != nil {
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
		r.scale()
	}
	return r, nil
}

// maxExtends bounds chains of variants, which would otherwise loop.
const maxExtends = 8

func (r *resolved) collect(name string) error {
	for range maxExtends {
		v, ok := r.Variants[name]
		if !ok && name != DefaultVariant {
			return Err.New("no variant %q", name)
		}
		r.chain = append([]Variant{v}, r.chain...)
		if v.Extends == "" {
			return nil
		}
		name = v.Extends
	}
	return Err.New("variant %q: extends forms a loop or is deeper than %d", r.variant, maxExtends)
}

// scale shortens the experiment to its quick form.
func (r *resolved) scale() {
	ratio := r.Quick.Seconds / r.Seconds
	r.Seconds = r.Quick.Seconds
	r.WarmupSeconds = r.Quick.WarmupSeconds
	r.DrainSeconds = r.Quick.DrainSeconds
	r.Swing.Seconds *= ratio
	r.Swing.Every *= ratio
	r.Swing.FirstAt *= ratio
	waves := append([]Wave(nil), r.Waves...)
	for i := range waves {
		waves[i].AtSeconds *= ratio
	}
	faults := append([]Fault(nil), r.Faults...)
	for i := range faults {
		faults[i].AtSeconds *= ratio
	}
	r.Waves, r.Faults = waves, faults
}

// policy returns the policy of the variant.
func (r *resolved) policy() (settings.Policy, error) {
	var p settings.Policy
	for _, v := range r.chain {
		if err := overlay(v.Policy, &p); err != nil {
			return p, err
		}
	}
	return p, nil
}

func (r *resolved) editEntry(s *settings.Entry) error {
	for _, v := range r.chain {
		if err := overlay(v.Entry, s); err != nil {
			return err
		}
	}
	return nil
}

func (r *resolved) editAgent(s *settings.Agent) error {
	for _, v := range r.chain {
		if err := overlay(v.Agent, s); err != nil {
			return err
		}
	}
	return nil
}
