// Package metrics holds the names of all metrics, the tally scope that they are
// recorded in, and the page that shows them.
package metrics

// Prefix is the first part of every metric's name on the page.
const Prefix = "catkinline"

// Counters of the caller's side of an entry. Entered equals complete + failed +
// refused + running at any time.
const (
	JobsEntered   = "jobs_entered"           // every request for a job
	JobsComplete  = "jobs_complete"          // answered with every result
	JobsFailed    = "jobs_failed"            // accepted and failed, by code
	JobsRefused   = "jobs_refused"           // refused on arrival, not run, by code
	JobsForwarded = "jobs_forwarded"         // answered by a peer that they were handed to, by outcome
	SchedulingLag = "scheduling_lag_seconds" // gauge: how late this process gets to what is due
	JobsRunning   = "jobs_running"           // gauge: accepted and not yet answered
	TasksWaiting  = "tasks_waiting"          // gauge: tasks not bound to a target
	TasksOut      = "tasks_out"              // gauge: tasks sent without an outcome
	QueuedBytes   = "queued_bytes"           // gauge: payload bytes of waiting tasks
	JobsEnded     = "jobs_ended"             // answered, by workspace and outcome
)

// Counters of starts and outcomes.
const (
	TaskStarts       = "task_starts"       // start messages sent (entry) or tasks started on the target (agent)
	TaskOutcomes     = "task_outcomes"     // outcomes, by state
	StartRefusals    = "start_refusals"    // starts refused by an agent, by code
	OutcomesIgnored  = "outcomes_ignored"  // late, duplicate or foreign outcomes
	GrantsUnused     = "grants_unused"     // slots granted and returned, revoked or expired without a start
	IdleSlotMillis   = "idle_slot_millis"  // slot time in ms that was idle while an entry had waiting work
	BadViews         = "bad_views"         // configuration views that an agent could not decode
	StatusFailures   = "status_failures"   // status requests to a target without a usable answer
	TargetEjections  = "target_ejections"  // targets taken out for failures or slowness
	TargetsEjected   = "targets_ejected"   // gauge: targets now ejected or on probation
	OrdersUnanswered = "orders_unanswered" // orders to a target without an answer, by kind
	EntriesLinked    = "entries_linked"    // gauge: entries with an open link
	FreeCPU          = "free_cpu"          // gauge: thousandths of a core that no run uses
	AgentsLinked     = "agents_linked"     // gauge: agents with an open link
	PeersLinked      = "peers_linked"      // gauge: entries with an open link
	LinksClosed      = "links_closed"      // links that closed, by reason: closed by a side, or failed
	ConfigRevision   = "config_revision"   // gauge: revision in force in this process
)

// Counters of messages between processes and of store calls.
const (
	MessagesSent     = "messages_sent"     // by type
	MessagesReceived = "messages_received" // by type
	MessageBytesSent = "message_bytes_sent"
	MessageBytesRead = "message_bytes_read"
	MessagesWasted   = "messages_wasted" // led to no start, result or needed control
	StoreCalls       = "store_calls"     // by operation and result; a pending watch is one
)

// Histograms, by workspace and class.
const (
	JobSeconds       = "job_seconds"        // arrival to answer
	QueueSeconds     = "queue_seconds"      // arrival to the start of the first task
	TaskSeconds      = "task_seconds"       // run time that the agent measured
	ResponseOverhead = "response_over_work" // answer time over the longest task's run time
)

// Tags of metrics.
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
