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

// ChangeIDHeader is the header with the id of a change, which makes retries idempotent. The
// client generates an id for each action of an operator and sends the same id on retries.
const ChangeIDHeader = "Catkinline-Change-Id"

// RoleFunc returns the role in the certificate of the client that sent a request, and false if
// the client has none.
type RoleFunc func(*http.Request) (wire.Role, bool)

// Confirmer reports in which live entries a revision of the configuration, or a higher one,
// is in effect (confirmed) and in which it is not yet (missing). It may return at once or
// wait until every entry has confirmed or ctx is done.
type Confirmer interface {
	Confirmations(ctx context.Context, revision uint64) (confirmed, missing []string)
}

// StatusProvider returns the status of the system from the view of this entry.
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
	Confirmed []string `json:"confirmed,omitempty"` // names of entries in which the revision is in effect
	Missing   []string `json:"missing,omitempty"`   // names of live entries that did not confirm it in time
	Warning   string   `json:"warning,omitempty"`
}

// LabelsRequest is the body of a request that changes the label overrides of a target.
type LabelsRequest struct {
	Set    label.Set `json:"set,omitempty"`
	Remove []string  `json:"remove,omitempty"` // keys of overrides
}

// Status is the state of the system from the view of one entry.
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
	Revision      uint64 `json:"revision"` // of the configuration, as last received from the entry
	Leaving       bool   `json:"leaving,omitempty"`
}

// TargetStatus is the state of one announced target.
type TargetStatus struct {
	Name          string    `json:"name"`
	Service       string    `json:"service"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region,omitempty"`
	Labels        label.Set `json:"labels,omitempty"` // with the operators' overrides applied
	Slots         int       `json:"slots"`
	Running       int       `json:"running"`
	Draining      bool      `json:"draining,omitempty"`
	Ejected       bool      `json:"ejected,omitempty"`
}

// QueueStatus contains the totals of the queue of the entry that serves the request.
type QueueStatus struct {
	Jobs  int   `json:"jobs"`  // waiting or running
	Tasks int   `json:"tasks"` // waiting
	Bytes int64 `json:"bytes"` // payloads of waiting tasks
}
