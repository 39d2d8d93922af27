// Package settings reads the settings of one process: JSON with comments,
// unknown fields refused, every error reported at once with line and field.
package settings

import "github.com/catkinline/catkinline/label"

// Entry is the settings file of an entry. Names are required, the region is
// not; without one, all processes are in the same region.
type Entry struct {
	Name            string   `json:"name"`
	FailureDomain   string   `json:"failure_domain"`
	Region          string   `json:"region"`
	CallerAddress   string   `json:"caller_address"`   // TCP ip:port for callers, health and metrics; required
	OperatorAddress string   `json:"operator_address"` // TCP ip:port for operators, TLS; empty: no operator API
	LinkAddress     string   `json:"link_address"`     // UDP ip:port for agents and peers; required
	Advertise       string   `json:"advertise"`        // UDP ip:port that others dial; default: link_address, with the bound port if its port is 0
	Peers           []string `json:"peers"`            // UDP ip:port of other entries
	Store           Store    `json:"store"`
	TLS             TLS      `json:"tls"`
	Log             Log      `json:"log"`
	Limits          Limits   `json:"limits"`
	Policy          Policy   `json:"policy"`
	// ClaimRetentionHours is how long the request key of a non-idempotent job is
	// remembered after its end; default 24.
	ClaimRetentionHours float64 `json:"claim_retention_hours"`
	DrainSeconds        float64 `json:"drain_seconds"` // how long readiness is false before a planned stop refuses jobs; default 2
}

// Agent is the settings file of an agent. At least one of Entries and
// Store.URL is required.
type Agent struct {
	Name          string   `json:"name"`
	FailureDomain string   `json:"failure_domain"`
	Region        string   `json:"region"`
	AdminAddress  string   `json:"admin_address"` // TCP ip:port for health and metrics; required
	Entries       []string `json:"entries"`       // UDP ip:port of entries to dial
	EntryLinks    int      `json:"entry_links"`   // entries to link to, by hash of the names; 0 (default): all
	Store         Store    `json:"store"`         // optional: a second way to find entries
	TLS           TLS      `json:"tls"`
	Log           Log      `json:"log"`
	Target        Target   `json:"target"`
	Policy        Policy   `json:"policy"`
}

// Target describes the target beside an agent.
type Target struct {
	Name        string    `json:"name"`
	Service     string    `json:"service"`
	URL         string    `json:"url"` // http://ip:port of the target; required
	Labels      label.Set `json:"labels"`
	Slots       int       `json:"slots"`       // tasks at once; default 8
	Connections int       `json:"connections"` // HTTP connections at once, not below slots; default 64
}

// Store says how to reach the platform's store.
type Store struct {
	URL       string `json:"url"`        // http://ip:port; empty: no store
	TimeoutMS int    `json:"timeout_ms"` // of one call; default 1000
}

// TLS names the files of a process's identity; all three are required. In
// development mode a certificate authority is derived in memory from
// DevelopmentSecret, so that processes that share the secret trust each other
// without files.
type TLS struct {
	CA                string `json:"ca"`
	Certificate       string `json:"certificate"`
	Key               string `json:"key"`
	DevelopmentSecret string `json:"development_secret"`
}

// Log sets the log's level (debug, info, warn, error; default info) and format
// (json, console; default json).
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Limits bound what one entry accepts. Absent fields take the defaults.
type Limits struct {
	BodyBytes    int64 `json:"body_bytes"`    // of one job; default 32 MiB
	PayloadBytes int   `json:"payload_bytes"` // of one task; default 1 MiB
	ResultBytes  int   `json:"result_bytes"`  // of one task; default 4 MiB
	AnswerBytes  int64 `json:"answer_bytes"`  // of all results of one job; default 64 MiB
	Tasks        int   `json:"tasks"`         // in one job; default 160
	QueuedJobs   int   `json:"queued_jobs"`   // waiting or running; default 20000
	QueuedTasks  int   `json:"queued_tasks"`  // waiting; default 400000
	QueuedBytes  int64 `json:"queued_bytes"`  // payloads of waiting tasks; default 256 MiB
}

// Policy selects decision rules. Every rule but the default is a baseline for
// measurements.
type Policy struct {
	Order     string `json:"order"`     // remaining (default), fifo
	Binding   string `json:"binding"`   // late (default), random, two-choices
	Grants    string `json:"grants"`    // key (default), turns: how an agent picks the entry for a freed slot
	Reserve   string `json:"reserve"`   // learnt (default), none, fixed: slots kept for short work
	Estimates string `json:"estimates"` // learnt (default), declared
	Admission string `json:"admission"` // feasible (default), bounds: refuse by deadline, or by queue bounds only
	Outliers  string `json:"outliers"`  // eject (default), none
}
