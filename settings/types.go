// Package settings reads and validates the settings of one process. The format is JSON with
// comments and trailing commas. Unknown fields are errors, and all errors in a file are
// reported together, each with its line, column and field.
package settings

import "github.com/catkinline/catkinline/label"

// Entry is the settings file of an entry. Name and FailureDomain are required. Processes
// without a region are all in the same region.
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
	Machine         Machine  `json:"machine"`
	Policy          Policy   `json:"policy"`
	// ClaimRetentionHours is how long the request key of a non-idempotent job is kept
	// after the job's end, to reject duplicates; default 24.
	ClaimRetentionHours float64 `json:"claim_retention_hours"`
	DrainSeconds        float64 `json:"drain_seconds"` // time between failing the readiness probe and refusing jobs at a planned stop; default 2
}

// Agent is the settings file of an agent. Name and FailureDomain are required, and so is at
// least one of Entries and Store.URL.
type Agent struct {
	Name          string   `json:"name"`
	FailureDomain string   `json:"failure_domain"`
	Region        string   `json:"region"`
	AdminAddress  string   `json:"admin_address"` // TCP ip:port for health and metrics; required
	Entries       []string `json:"entries"`       // UDP ip:port of entries to dial
	EntryLinks    int      `json:"entry_links"`   // number of entries to link to, chosen by a hash of the names; 0 (default): all
	Store         Store    `json:"store"`         // optional, to discover entries
	TLS           TLS      `json:"tls"`
	Log           Log      `json:"log"`
	Target        Target   `json:"target"`
	Machine       Machine  `json:"machine"`
	Policy        Policy   `json:"policy"`
}

// Target describes the target that an agent serves. Name and Service are required.
type Target struct {
	Name        string    `json:"name"`
	Service     string    `json:"service"`
	URL         string    `json:"url"` // http://ip:port of the target; required
	Labels      label.Set `json:"labels"`
	Slots       int       `json:"slots"`       // maximum number of concurrent tasks; default 8
	Connections int       `json:"connections"` // maximum number of concurrent HTTP connections, at least slots; default 64
}

// Store is the address of the platform's store and the timeout of its calls.
type Store struct {
	URL       string `json:"url"`        // http://ip:port; empty: no store
	TimeoutMS int    `json:"timeout_ms"` // of one call; default 1000
}

// TLS contains the paths of a process's certificate files. Either all three or
// DevelopmentSecret is required. In development mode a certificate authority is derived in
// memory from DevelopmentSecret, so that processes that share the secret trust each other
// without files.
type TLS struct {
	CA                string `json:"ca"`
	Certificate       string `json:"certificate"`
	Key               string `json:"key"`
	DevelopmentSecret string `json:"development_secret"`
}

// Log contains the log's level (debug, info, warn, error; default info) and format
// (json, console; default json).
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Limits are the size limits of one entry. Absent fields are set to the defaults.
type Limits struct {
	HeadBytes    int   `json:"head_bytes"`    // of the head of a request; default 16 KiB
	BodyBytes    int64 `json:"body_bytes"`    // of one job; default 32 MiB
	PayloadBytes int   `json:"payload_bytes"` // of one task; default 1 MiB
	ResultBytes  int   `json:"result_bytes"`  // of one task; default 4 MiB
	AnswerBytes  int64 `json:"answer_bytes"`  // of all results of one job together; default 64 MiB
	Tasks        int   `json:"tasks"`         // number in one job; default 160
	QueuedJobs   int   `json:"queued_jobs"`   // number waiting or running; default 20000
	QueuedTasks  int   `json:"queued_tasks"`  // number waiting; default 400000
	QueuedBytes  int64 `json:"queued_bytes"`  // payload bytes of waiting tasks; default 256 MiB
}

// Machine is what a process may use of its machine. Clients are refused before they exceed it.
type Machine struct {
	MemoryMB    int `json:"memory_mb"`   // 0 (default): not known, see package ingress
	Descriptors int `json:"descriptors"` // 0 (default): the limit of the process
}

// Policy selects the scheduling policies. The values other than the defaults are baselines for
// measurements.
type Policy struct {
	Order     string `json:"order"`     // remaining (default), fifo: the order of waiting tasks
	Binding   string `json:"binding"`   // late (default), random, two-choices
	Grants    string `json:"grants"`    // key (default), turns: how an agent picks the entry for a freed slot
	Reserve   string `json:"reserve"`   // learnt (default), none, fixed: slots reserved for short tasks
	Estimates string `json:"estimates"` // learnt (default), declared
	Admission string `json:"admission"` // feasible (default), bounds: whether jobs are refused by deadline, or by queue limits only
	Outliers  string `json:"outliers"`  // eject (default), none: whether outlier targets are ejected
}
