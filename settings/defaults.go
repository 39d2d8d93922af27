package settings

// Numeric defaults, for the workloads in docs/design.md, section 1.
const (
	DefaultDrainSeconds        = 2    // a load balancer needs about two probes to notice
	DefaultClaimRetentionHours = 24   // users repeat their requests daily, with new keys
	DefaultStoreTimeoutMS      = 1000 // a healthy store responds within milliseconds
	DefaultSlots               = 8
	DefaultConnections         = 64
	DefaultHeadBytes           = 16 << 10 // callers send a few short header lines; proxies add some
	DefaultBodyBytes           = 32 << 20
	DefaultPayloadBytes        = 1 << 20
	DefaultResultBytes         = 4 << 20
	DefaultAnswerBytes         = 64 << 20 // 160 results of the maximum size would take 640 MiB of an entry's memory
	DefaultTasks               = 160
	DefaultQueuedJobs          = 20_000
	DefaultQueuedTasks         = 400_000
	DefaultQueuedBytes         = 256 << 20
)

// setIfZero sets a zero field to its default.
func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetDefaults sets zero fields to their defaults. Zero drain seconds are a valid setting, so their
// default is set only where a file is read.
func (e *Entry) SetDefaults() {
	setIfZero(&e.ClaimRetentionHours, DefaultClaimRetentionHours)
}

// SetDefaults sets zero fields to their defaults and keeps all others.
func (t *Target) SetDefaults() {
	setIfZero(&t.Slots, DefaultSlots)
	setIfZero(&t.Connections, DefaultConnections)
}

// SetDefaults sets zero fields to their defaults and keeps all others.
func (s *Store) SetDefaults() {
	setIfZero(&s.TimeoutMS, DefaultStoreTimeoutMS)
}

// SetDefaults sets zero fields to their defaults and keeps all others.
func (l *Log) SetDefaults() {
	setIfZero(&l.Level, "info")
	setIfZero(&l.Format, "json")
}

// SetDefaults sets zero fields to their defaults and keeps all others.
func (l *Limits) SetDefaults() {
	setIfZero(&l.HeadBytes, DefaultHeadBytes)
	setIfZero(&l.BodyBytes, DefaultBodyBytes)
	setIfZero(&l.PayloadBytes, DefaultPayloadBytes)
	setIfZero(&l.ResultBytes, DefaultResultBytes)
	setIfZero(&l.AnswerBytes, DefaultAnswerBytes)
	setIfZero(&l.Tasks, DefaultTasks)
	setIfZero(&l.QueuedJobs, DefaultQueuedJobs)
	setIfZero(&l.QueuedTasks, DefaultQueuedTasks)
	setIfZero(&l.QueuedBytes, DefaultQueuedBytes)
}

// SetDefaults sets zero fields to their defaults and keeps all others.
func (p *Policy) SetDefaults() {
	setIfZero(&p.Order, "remaining")
	setIfZero(&p.Binding, "late")
	setIfZero(&p.Grants, "key")
	setIfZero(&p.Reserve, "learnt")
	setIfZero(&p.Estimates, "learnt")
	setIfZero(&p.Admission, "feasible")
	setIfZero(&p.Outliers, "eject")
}
