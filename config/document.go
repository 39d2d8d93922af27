// Package config implements the operators' configuration document: validation, the
// compiled snapshot that the request path reads, the view sent to each agent, and changes
// by compare-and-swap on one key of the store.
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

// Size limits of a document.
const (
	// MaxChanges is the number of latest changes that a document lists. Older changes
	// can no longer be looked up by id: at 480 changes a day, after about three hours.
	MaxChanges = 64

	// MaxChangeIDBytes is the maximum length of a change id.
	MaxChangeIDBytes = 64

	// MaxBytes is the maximum size of the encoded document without its changes.
	// changesBytes of the store's limit are reserved for the changes, each of which
	// takes at most 150 bytes.
	MaxBytes     = kv.MaxValueBytes - changesBytes
	changesBytes = 16 << 10
)

// Document is the operators' configuration. It is stored as JSON with every default
// written out, so that releases with different defaults interpret it in the same way.
type Document struct {
	Services   map[string]Service   `json:"services,omitempty"`   // by service name
	Workspaces map[string]Workspace `json:"workspaces,omitempty"` // by workspace name
	Targets    map[string]Target    `json:"targets,omitempty"`    // by target name; absent: no overrides
	Changes    []Change             `json:"changes,omitempty"`    // oldest first; maintained by Applier
}

// Service is the configuration of one service. Its cbor tags define the encoding in an
// agent's view.
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

// Rule restricts the targets of matching requests: a request whose labels match Requests
// runs only on targets whose labels match Targets. If several rules match a request, all
// of them apply.
type Rule struct {
	Requests string `json:"requests" cbor:"1,keyasint"` // selector over request labels; empty: every request
	Targets  string `json:"targets" cbor:"2,keyasint"`  // selector over target labels
}

// ClassLimits are the limits for tasks of one run-time class.
type ClassLimits struct {
	RunMS      int `json:"run_ms" cbor:"1,keyasint"`      // maximum run time of one task; default 30000 (short), 600000 (long)
	MaxWaiting int `json:"max_waiting" cbor:"2,keyasint"` // maximum number of tasks waiting at one entry; default 200000 (short), 20000 (long)
}

// Deadline is the default and the maximum of a job's deadline, relative to its arrival.
type Deadline struct {
	DefaultMS int `json:"default_ms" cbor:"1,keyasint"` // for jobs without one; default 30000
	MaxMS     int `json:"max_ms" cbor:"2,keyasint"`     // default 900000
}

// Workspace is the scheduling weight and the quota of one workspace.
type Workspace struct {
	Weight     float64 `json:"weight"`                // share of the capacity relative to other workspaces; default 1
	QuotaSlots int     `json:"quota_slots,omitempty"` // slots in use at once over all entries; 0: no quota
}

// Target holds the operators' overrides for one target.
type Target struct {
	Labels label.Set `json:"labels,omitempty" cbor:"1,keyasint,omitempty"` // replace announced labels of the same key
	Drain  bool      `json:"drain,omitempty" cbor:"2,keyasint,omitempty"`  // no new work
}

// Change is the record of an applied change in the document.
type Change struct {
	ID string `json:"id"`
	// Revision is the document's revision after the change. The stored form of
	// the latest change has 0, since the store assigns the revision on writing.
	Revision uint64 `json:"revision,omitempty"`
	// Digest identifies the requested content, so that an id that is reused for
	// another change is not mistaken for a retry.
	Digest string `json:"digest,omitempty"`
}

// Defaults of a service for the workloads in docs/design.md, section 1.
const (
	defaultShortRunMS   = 30_000 // 30 times the typical run time of one second
	defaultLongRunMS    = 600_000
	defaultShortWaiting = 200_000 // half of the default limit of an entry's queue
	defaultLongWaiting  = 20_000
	defaultDeadlineMS   = 30_000
	defaultMaxDeadline  = 900_000
	defaultEjectedShare = 0.3 // three targets in a fleet of ten
)

// SetDefaults sets zero fields to their defaults. Zero booleans are kept: their default is
// false.
func (s *Service) SetDefaults() {
	s.Short.setDefaults(defaultShortRunMS, defaultShortWaiting)
	s.Long.setDefaults(defaultLongRunMS, defaultLongWaiting)
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

func (l *ClassLimits) setDefaults(runMS, maxWaiting int) {
	if l.RunMS == 0 {
		l.RunMS = runMS
	}
	if l.MaxWaiting == 0 {
		l.MaxWaiting = maxWaiting
	}
}

// SetDefaults sets a zero weight to 1. A zero quota is kept: it means no quota.
func (w *Workspace) SetDefaults() {
	if w.Weight == 0 {
		w.Weight = 1
	}
}

// Parse decodes and validates a document that an operator wrote: JSON with comments.
// Unknown fields are errors. It returns all errors from decoding and from Validate.
func Parse(data []byte) (Document, settings.Errors) {
	if len(data) > kv.MaxValueBytes {
		return Document{}, tooLargeError(len(data))
	}
	d, errs := decode(data)
	return d, d.withSizeError(errs)
}

// decode is like Parse but does not limit the size.
func decode(data []byte) (Document, settings.Errors) {
	var d Document
	source, errs := settings.DecodeWithSourceMap(data, &d)
	c := settings.NewChecker(source, errs)
	d.check(c)
	return d, c.Errors()
}

// Validate returns all errors in a document that was built in code. They have no
// positions.
func (d Document) Validate() settings.Errors { return d.withSizeError(d.validationErrors()) }

// withSizeError returns errs, or, if there are none, an error if the document is too
// large.
func (d Document) withSizeError(errs settings.Errors) settings.Errors {
	if len(errs) > 0 {
		return errs
	}
	if n := d.excessSize(); n > 0 {
		return tooLargeError(n)
	}
	return nil
}

// ParseStored decodes the stored document of a revision. Unknown fields are returned
// separately from other errors: a later release may have written them, and a reader may
// ignore them.
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

// withoutChanges returns a copy of the document without its list of changes.
func (d Document) withoutChanges() Document {
	d.Changes = nil
	return d
}

// encode returns the document as JSON. Equal documents have equal encodings.
func (d Document) encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		// Only values that JSON cannot represent fail, and Validate rejects those.
		panic(err)
	}
	return data
}

func (d Document) findChange(id string) (Change, bool) {
	for _, c := range d.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// completeSince reports whether the document still lists every change after a revision.
func (d Document) completeSince(revision uint64) bool {
	if len(d.Changes) == 0 {
		return false
	}
	if revision == 0 {
		return len(d.Changes) < MaxChanges
	}
	return d.Changes[0].Revision <= revision
}

// withChange returns a copy of the document with one more change listed. Changes before
// the latest MaxChanges are dropped.
func (d Document) withChange(c Change) Document {
	changes := append([]Change(nil), d.Changes...)
	changes = append(changes, c)
	d.Changes = changes[max(len(changes)-MaxChanges, 0):]
	return d
}
