// Package config holds the operators' configuration document: its validation,
// the compiled snapshot that the request path reads, the view that one agent
// needs, and changes by compare-and-swap on one key of the store.
package config

import (
	"encoding/json"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/settings"
)

// Key is the store key of the document. The store's version of the key is the
// document's revision.
const Key = "config"

// Limits of a document.
const (
	// MaxChanges is the number of changes that a document remembers. At 480
	// changes a day an answer can be resolved for about three hours.
	MaxChanges = 64

	// MaxChangeIDBytes bounds the id of a change.
	MaxChangeIDBytes = 64

	// MaxBytes bounds the encoded document without its changes; changesBytes
	// of the store's limit are kept for them (each takes at most 150 bytes).
	MaxBytes     = kv.MaxValueBytes - changesBytes
	changesBytes = 16 << 10
)

// Document is the operators' configuration. Its stored form is JSON with every
// default written out, so that releases with other defaults agree about it.
type Document struct {
	Services   map[string]Service   `json:"services,omitempty"`   // by service name
	Workspaces map[string]Workspace `json:"workspaces,omitempty"` // by workspace name
	Targets    map[string]Target    `json:"targets,omitempty"`    // by target name; absent: no overrides
	Changes    []Change             `json:"changes,omitempty"`    // oldest first; the system maintains them
}

// Service is the configuration of one service.
type Service struct {
	Targets            string      `json:"targets,omitempty" cbor:"1,keyasint,omitempty"` // selector over target labels; empty: every target of the service
	Rules              []Rule      `json:"rules,omitempty" cbor:"2,keyasint,omitempty"`
	Short              ClassLimits `json:"short" cbor:"3,keyasint"`
	Long               ClassLimits `json:"long" cbor:"4,keyasint"`
	Deadline           Deadline    `json:"deadline" cbor:"5,keyasint"`
	SpillAcrossRegions bool        `json:"spill_across_regions" cbor:"6,keyasint,omitempty"` // default false
	NonIdempotent      bool        `json:"non_idempotent" cbor:"7,keyasint,omitempty"`       // whether such requests are allowed; default false
	MaxEjectedShare    float64     `json:"max_ejected_share" cbor:"8,keyasint,omitempty"`    // of the service's targets, 0 to 1; default 0.3
}

// Rule restricts the targets of some requests: a request whose labels match
// Requests runs only on targets whose labels match Targets. Every rule that
// matches a request must hold.
type Rule struct {
	Requests string `json:"requests" cbor:"1,keyasint"` // selector over request labels; empty: every request
	Targets  string `json:"targets" cbor:"2,keyasint"`  // selector over target labels
}

// ClassLimits bound the tasks of one run-time class.
type ClassLimits struct {
	RunMS      int `json:"run_ms" cbor:"1,keyasint"`      // run time of one task; default 30000 (short), 600000 (long)
	MaxWaiting int `json:"max_waiting" cbor:"2,keyasint"` // tasks waiting at one entry; default 200000 (short), 20000 (long)
}

// Deadline bounds the deadline of a job.
type Deadline struct {
	DefaultMS int `json:"default_ms" cbor:"1,keyasint"` // for jobs without one; default 30000
	MaxMS     int `json:"max_ms" cbor:"2,keyasint"`     // default 900000
}

// Workspace is the configuration of one workspace.
type Workspace struct {
	Weight     float64 `json:"weight"`                // share of the capacity relative to other workspaces; default 1
	QuotaSlots int     `json:"quota_slots,omitempty"` // slots in use at once over all entries; 0: no quota
}

// Target is what operators set about one target.
type Target struct {
	Labels label.Set `json:"labels,omitempty" cbor:"1,keyasint,omitempty"` // replace announced labels of the same key
	Drain  bool      `json:"drain,omitempty" cbor:"2,keyasint,omitempty"`  // no new work
}

// Change records one applied change.
type Change struct {
	ID string `json:"id"`
	// Revision is the document's revision after the change. The stored form of
	// the latest change has 0, since the store assigns the revision on writing.
	Revision uint64 `json:"revision,omitempty"`
	// Digest identifies what was asked for, so that an id that is used again
	// for something else is not taken for a repetition.
	Digest string `json:"digest,omitempty"`
}

// Defaults of a service; see the users' workloads in docs/design.md, section 1.
const (
	defaultShortRunMS   = 30_000 // 30 times a usual task of one second
	defaultLongRunMS    = 600_000
	defaultShortWaiting = 200_000 // half of the default bound of an entry's queue
	defaultLongWaiting  = 20_000
	defaultDeadlineMS   = 30_000
	defaultMaxDeadline  = 900_000
	defaultEjectedShare = 0.3 // three of ten targets, the fleet of one user
)

// SetDefaults fills zero fields.
func (s *Service) SetDefaults() {
	s.Short.fill(defaultShortRunMS, defaultShortWaiting)
	s.Long.fill(defaultLongRunMS, defaultLongWaiting)
	if s.Deadline.DefaultMS == 0 {
		s.Deadline.DefaultMS = defaultDeadlineMS
	}
	if s.Deadline.MaxMS == 0 {
		s.Deadline.MaxMS = defaultMaxDeadline
	}
	if s.MaxEjectedShare == 0 {
		s.MaxEjectedShare = defaultEjectedShare
	}
}

func (l *ClassLimits) fill(runMS, maxWaiting int) {
	if l.RunMS == 0 {
		l.RunMS = runMS
	}
	if l.MaxWaiting == 0 {
		l.MaxWaiting = maxWaiting
	}
}

// SetDefaults fills zero fields.
func (t *Workspace) SetDefaults() {
	if t.Weight == 0 {
		t.Weight = 1
	}
}

// Parse reads a document that an operator wrote: JSON with comments, unknown
// fields refused. The errors are those of decoding and of Validate.
func Parse(data []byte) (Document, settings.Errors) {
	if len(data) > kv.MaxValueBytes {
		return Document{}, tooLarge(len(data))
	}
	d, faults := decode(data)
	return d, d.orSize(faults)
}

// decode is Parse without the limit on the size.
func decode(data []byte) (Document, settings.Errors) {
	var d Document
	source, errs := settings.DecodeWithSourceMap(data, &d)
	c := settings.NewChecker(source, errs)
	d.check(c)
	return d, c.Errors()
}

// Validate returns every fault of a document that was built in code.
func (d Document) Validate() settings.Errors { return d.orSize(d.faults()) }

// orSize adds an excessive size to a document without other faults.
func (d Document) orSize(faults settings.Errors) settings.Errors {
	if len(faults) > 0 {
		return faults
	}
	if n := d.oversize(); n > 0 {
		return tooLarge(n)
	}
	return nil
}

// ParseStored reads the stored form at a revision. Fields that this release
// does not know are returned apart from other faults: a later release may have
// written them, and a reader may pass over them.
func ParseStored(revision uint64, data []byte) (d Document, unknown, errs settings.Errors) {
	source, decoding := settings.DecodeWithSourceMap(data, &d)
	unknown, decoding = decoding.SplitUnknown()
	c := settings.NewChecker(source, decoding)
	d.check(c)
	if n := len(d.Changes); n > 0 && d.Changes[n-1].Revision == 0 {
		d.Changes[n-1].Revision = revision
	}
	return d, unknown, c.Errors()
}

// content returns the document without its changes.
func (d Document) content() Document {
	d.Changes = nil
	return d
}

// encode returns JSON, equal for equal documents.
func (d Document) encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		// Only values that JSON cannot express fail, and Validate excludes them.
		panic(err)
	}
	return data
}

// find returns the change with an id.
func (d Document) find(id string) (Change, bool) {
	for _, c := range d.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// completeSince reports whether every change after a revision is still listed.
func (d Document) completeSince(revision uint64) bool {
	if len(d.Changes) == 0 {
		return false
	}
	if revision == 0 {
		return len(d.Changes) < MaxChanges
	}
	return d.Changes[0].Revision <= revision
}

// withChange returns the stored form after one more change.
func (d Document) withChange(c Change) Document {
	changes := append([]Change(nil), d.Changes...)
	changes = append(changes, c)
	d.Changes = changes[max(len(changes)-MaxChanges, 0):]
	return d
}
