// Package metrics defines the names of all metrics, records them in a tally scope and serves
// them in the Prometheus text format.
package metrics

// Prefix is the prefix of every exported metric name.
const Prefix = "catkinline"

// Counters and gauges of the jobs in an entry. JobsEntered equals JobsComplete + JobsFailed +
// JobsRefused + JobsRunning at any time.
const (
	JobsEntered   = "jobs_entered"           // requests for a job
	JobsComplete  = "jobs_complete"          // answered with the results of all tasks
	JobsFailed    = "jobs_failed"            // accepted, then failed, by code
	JobsRefused   = "jobs_refused"           // refused on arrival without running, by code
	JobsForwarded = "jobs_forwarded"         // forwarded to a peer and answered by it, by outcome
	SchedulingLag = "scheduling_lag_seconds" // gauge: mean delay of a loop that should run at a fixed interval
	JobsRunning   = "jobs_running"           // gauge: accepted and not yet answered
	TasksWaiting  = "tasks_waiting"          // gauge: tasks not bound to a target
	TasksInFlight = "tasks_out"              // gauge: tasks sent and without an outcome yet
	QueuedBytes   = "queued_bytes"           // gauge: payload bytes of waiting tasks
	JobsEnded     = "jobs_ended"             // answered, by workspace and outcome
	// OverloadRefusals is counted at the placer that has the job.
	OverloadRefusals = "overload_refusals" // jobs refused since they cannot be answered in useful time, by workspace and state: arrival or waiting
)

// Counters and gauges of task starts, targets and links.
const (
	TaskStarts         = "task_starts"         // start messages sent (entry) or tasks started on the target (agent)
	TaskOutcomes       = "task_outcomes"       // outcomes, by state
	StartRefusals      = "start_refusals"      // starts refused by an agent, by code
	OutcomesIgnored    = "outcomes_ignored"    // outcomes that are late, duplicate or of another entry's task
	GrantsUnused       = "grants_unused"       // slot grants that were returned, revoked or expired without a start
	IdleSlotMillis     = "idle_slot_millis"    // idle slot time in ms while an entry had waiting tasks
	BadViews           = "bad_views"           // configuration views that an agent could not decode
	StatusFailures     = "status_failures"     // status requests to a target that got no valid response
	TargetEjections    = "target_ejections"    // targets ejected for failures or slowness
	TargetsEjected     = "targets_ejected"     // gauge: targets currently ejected or on probation
	RequestsUnanswered = "orders_unanswered"   // requests to a target without a response, by type
	TargetCrashes      = "target_crashes"      // crashes of targets with runs on them, as the agent saw them (agent) or as reported (entry)
	TargetsIsolated    = "targets_isolated"    // gauge: targets set apart for suspected tasks and blamed routes, as of the last change
	RunsFar            = "runs_far"            // runs that did their task away from the rack of its data
	RunsRestarted      = "runs_restarted"      // runs stopped by an entry because they took much longer than their siblings
	FastestTarget      = "fastest_target"      // gauge: highest learnt speed of a target relative to the mean
	SlowestTarget      = "slowest_target"      // gauge: lowest learnt speed of a target relative to the mean
	FarFactor          = "far_factor"          // gauge: learnt factor on the run time away from the rack of the data
	EntriesLinked      = "entries_linked"      // gauge: entries with an open link to this process
	FreeCPU            = "free_cpu"            // gauge: CPU that no run uses, in thousandths of a core
	AgentsLinked       = "agents_linked"       // gauge: agents with an open link to this process
	PeersLinked        = "peers_linked"        // gauge: peer entries with an open link to this process
	LinksClosed        = "links_closed"        // closed links, by reason: closed by either side, or failed
	EvacuatedDomains   = "evacuated_domains"   // gauge: failure domains in which this process starts no run
	EvacuationRevision = "evacuation_revision" // gauge: revision of the store of these domains
	EvacuationRefusals = "evacuation_refusals" // starts refused by an agent because its domain is evacuated (agent), or whose refusal arrived (entry)
	ConfigRevision     = "config_revision"     // gauge: revision of the configuration in effect in this process
)

// Counters of messages between processes and of store calls.
const (
	MessagesSent         = "messages_sent"     // by type
	MessagesReceived     = "messages_received" // by type
	MessageBytesSent     = "message_bytes_sent"
	MessageBytesReceived = "message_bytes_read"
	MessagesWasted       = "messages_wasted" // sent without contributing to a start, a result or required control
	StoreCalls           = "store_calls"     // by operation and result; a pending watch counts as one call
)

// Histograms, by workspace and class.
const (
	JobSeconds       = "job_seconds"        // time from arrival to the answer
	QueueSeconds     = "queue_seconds"      // time from arrival to the start of the first task
	TaskSeconds      = "task_seconds"       // run time measured by the agent
	ResponseOverhead = "response_over_work" // time to the answer divided by the run time of the longest task
)

// Tag keys of metrics.
const (
	TagCode      = "code"
	TagWorkspace = "workspace"
	TagOutcome   = "outcome"
	TagClass     = "class"
	TagType      = "type"
	TagState     = "state"
	TagOperation = "operation"
	TagResult    = "result"
	TagReason    = "reason"
)
