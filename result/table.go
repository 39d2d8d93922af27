package result

import "net/http"

// table is the source of docs/result-codes.md; a test compares the two.
var table = map[Code]Info{
	BadRequest:       {"bad_request", http.StatusBadRequest, NotRun, "the body is not a valid job"},
	UnknownField:     {"unknown_field", http.StatusBadRequest, NotRun, "the body has a field that is not defined"},
	BodyTooLarge:     {"body_too_large", http.StatusRequestEntityTooLarge, NotRun, "the body is over the size limit"},
	TooManyTasks:     {"too_many_tasks", http.StatusBadRequest, NotRun, "the job has more tasks than the limit"},
	NoTasks:          {"no_tasks", http.StatusBadRequest, NotRun, "the job has no task"},
	PayloadTooLarge:  {"payload_too_large", http.StatusRequestEntityTooLarge, NotRun, "a task's payload is over the size limit"},
	TooManyLabels:    {"too_many_labels", http.StatusBadRequest, NotRun, "the job has more labels than the limit"},
	LabelTooLong:     {"label_too_long", http.StatusBadRequest, NotRun, "a label's key or value is over the length limit"},
	NestingTooDeep:   {"nesting_too_deep", http.StatusBadRequest, NotRun, "the body is nested deeper than the limit"},
	BadDeadline:      {"bad_deadline", http.StatusBadRequest, NotRun, "the deadline is missing or outside the service's bounds"},
	UnknownService:   {"unknown_service", http.StatusNotFound, NotRun, "no service of this name is configured"},
	UnknownWorkspace: {"unknown_workspace", http.StatusForbidden, NotRun, "no workspace of this name is configured"},
	MissingKey:       {"missing_key", http.StatusBadRequest, NotRun, "the job has no request key"},
	BadLabel:         {"bad_label", http.StatusBadRequest, NotRun, "a label's key or value has characters that are not allowed"},
	BadHint:          {"bad_hint", http.StatusBadRequest, NotRun, "a declared size or run time is negative"},
	HeadTooLarge:     {"head_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, "the head of the request is over the size limit"},
	RequestTimeout:   {"request_timeout", http.StatusRequestTimeout, NotRun, "the request did not arrive in time"},

	NoMatchingTarget:   {"no_matching_target", http.StatusUnprocessableEntity, NotRun, "no announced target matches the selectors"},
	QueueFull:          {"queue_full", http.StatusServiceUnavailable, NotRun, "the queue is full"},
	DeadlineInfeasible: {"deadline_infeasible", http.StatusServiceUnavailable, NotRun, "the job cannot be answered within its deadline at the current rate"},
	WorkspaceQueueFull: {"workspace_queue_full", http.StatusTooManyRequests, NotRun, "the workspace's share of the queue is full"},
	Stopping:           {"stopping", http.StatusServiceUnavailable, NotRun, "this entry is shutting down"},
	ClaimUnavailable:   {"claim_unavailable", http.StatusServiceUnavailable, NotRun, "the claim of a non-idempotent job could not be recorded"},
	AlreadyClaimed:     {"already_claimed", http.StatusConflict, NotRun, "this submission was not run: the request key is claimed by an earlier one"},
	NotConfigured:      {"not_configured", http.StatusServiceUnavailable, NotRun, "this entry has no configuration yet"},
	ExpiredInQueue:     {"expired_in_queue", http.StatusServiceUnavailable, NotRun, "the deadline passed before any task started"},
	CancelledInQueue:   {"cancelled_in_queue", statusClientClosedRequest, NotRun, "the caller went away before any task started"},
	Busy:               {"busy", http.StatusServiceUnavailable, NotRun, "clients hold too much of this entry"},

	TaskFailed:       {"task_failed", http.StatusBadGateway, RanYes, "a task failed on its target"},
	OutcomeUnknown:   {"outcome_unknown", http.StatusBadGateway, RanUnknown, "the outcome of a task is not known"},
	DeadlineExceeded: {"deadline_exceeded", http.StatusGatewayTimeout, RanYes, "the deadline passed before every task was done"},
	Cancelled:        {"cancelled", statusClientClosedRequest, RanYes, "the caller went away"},
	ResultTooLarge:   {"result_too_large", http.StatusBadGateway, RanYes, "a result, or the job's results together, are over the size limit"},
	TargetTimeout:    {"target_timeout", http.StatusGatewayTimeout, RanUnknown, "the target did not answer within the time limit"},
	AttemptsSpent:    {"attempts_spent", http.StatusServiceUnavailable, NotRun, "every attempt to start a task was refused"},
	TargetLost:       {"target_lost", http.StatusBadGateway, RanUnknown, "the agent or target was lost while a task was out"},
	AnswerDropped:    {"answer_dropped", http.StatusBadGateway, RanYes, "the job is done, but clients hold too much of this entry for its answer"},

	GrantExpired:   {"grant_expired", http.StatusServiceUnavailable, NotRun, "the grant is unknown, used or expired"},
	OldRevision:    {"old_revision", http.StatusServiceUnavailable, NotRun, "the start carries an older configuration revision"},
	Draining:       {"draining", http.StatusServiceUnavailable, NotRun, "the target is leaving"},
	SlotsFull:      {"slots_full", http.StatusServiceUnavailable, NotRun, "every slot is taken"},
	IdentityBarred: {"identity_barred", http.StatusServiceUnavailable, NotRun, "the attempt was barred by an earlier query"},
	DuplicateStart: {"duplicate_start", http.StatusConflict, RanUnknown, "the task was started before"},
	StartTooLate:   {"start_too_late", http.StatusServiceUnavailable, NotRun, "the start's time left has passed"},
	TargetRefused:  {"target_refused", http.StatusServiceUnavailable, NotRun, "the target refused the task without running it"},
	WrongService:   {"wrong_service", http.StatusServiceUnavailable, NotRun, "the target does not serve this service"},

	ConfigConflict:    {"config_conflict", http.StatusConflict, NotRun, "another change was applied first"},
	ConfigInvalid:     {"config_invalid", http.StatusUnprocessableEntity, NotRun, "the configuration is not valid"},
	ConfigUnknown:     {"config_unknown", http.StatusGatewayTimeout, RanUnknown, "it is not known whether the change was applied"},
	ConfigUnavailable: {"config_unavailable", http.StatusServiceUnavailable, NotRun, "the store is not available and the change was not applied"},
	NotPermitted:      {"not_permitted", http.StatusForbidden, NotRun, "the client's certificate does not carry the required role"},
	ConfigTooLarge:    {"config_too_large", http.StatusRequestEntityTooLarge, NotRun, "the configuration is over the store's value limit"},
}

// statusClientClosedRequest is the usual non-standard HTTP status for a client
// that closed its connection; no one reads it, but counters and logs carry it.
const statusClientClosedRequest = 499
