// Package operator serves the operators' API: reading and changing the
// configuration document, and the status of the system.
package operator

import (
	"context"
	"net/http"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/wire"
)

// ChangeIDHeader is the header with the id of a change. The client chooses one
// for each action of an operator and repeats it when it repeats the action.
const ChangeIDHeader = "Catkinline-Change-Id"

// RoleFunc returns the role of the client that sent a request, as its
// certificate states it, and false for a client without one.
type RoleFunc func(*http.Request) (wire.Role, bool)

// Confirmer knows which live entries have a revision of the configuration, or a
// higher one, in effect. It may return at once or wait until every entry has
// confirmed or ctx is done.
type Confirmer interface {
	Confirmations(ctx context.Context, revision uint64) (confirmed, missing []string)
}

// StatusProvider returns the status as this entry knows it.
type StatusProvider interface {
	Status(ctx context.Context) Status
}

// ConfigResponse is the response to GET /v1/config.
type ConfigResponse struct {
	Revision uint64          `json:"revision"` // 0: there is no document yet
	Source   Source          `json:"source"`
	Document config.Document `json:"document"`
}

// Source states where a document was read from.
type Source string

// Sources of a document. A document from memory may be older than the store's.
const (
	FromStore  Source = "store"
	FromMemory Source = "memory"
)

// ChangeResponse is the response to a request that changes the configuration.
type ChangeResponse struct {
	config.Result
	ChangeID  string   `json:"change_id,omitempty"`
	Confirmed []string `json:"confirmed,omitempty"` // entries in which the revision is in effect
	Missing   []string `json:"missing,omitempty"`   // live entries that have not confirmed it in time
	Warning   string   `json:"warning,omitempty"`
}

// LabelsRequest is the body of a request that changes the label overrides of a target.
type LabelsRequest struct {
	Set    label.Set `json:"set,omitempty"`
	Remove []string  `json:"remove,omitempty"` // keys of overrides
}

// Status is the state of the system as one entry knows it.
type Status struct {
	Revision uint64         `json:"revision"` // of the configuration at this entry
	Entries  []EntryStatus  `json:"entries"`
	Targets  []TargetStatus `json:"targets"`
	Queue    QueueStatus    `json:"queue"`
}

// EntryStatus is the state of one live entry.
type EntryStatus struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	Revision      uint64 `json:"revision"` // of the configuration, as last heard
	Leaving       bool   `json:"leaving,omitempty"`
}

// TargetStatus is the state of one announced target.
type TargetStatus struct {
	Name          string    `json:"name"`
	Service       string    `json:"service"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region,omitempty"`
	Labels        label.Set `json:"labels,omitempty"` // with the operators' overrides
	Slots         int       `json:"slots"`
	Running       int       `json:"running"`
	Draining      bool      `json:"draining,omitempty"`
	Ejected       bool      `json:"ejected,omitempty"`
}

// QueueStatus is the totals of the answering entry's queue.
type QueueStatus struct {
	Jobs  int   `json:"jobs"`  // waiting or running
	Tasks int   `json:"tasks"` // waiting
	Bytes int64 `json:"bytes"` // payloads of waiting tasks
}
