package settings

// Defaults that are not a plain text. The reasons are those of the users'
// workloads in docs/design.md, section 1.
const (
	DefaultDrainSeconds        = 2    // a load balancer needs about two probes to notice
	DefaultClaimRetentionHours = 24   // users repeat their requests daily, under new keys
	DefaultStoreTimeoutMS      = 1000 // the store answers in milliseconds when it is well
	DefaultSlots               = 8
	DefaultConnections         = 64
	DefaultBodyBytes           = 32 << 20
	DefaultPayloadBytes        = 1 << 20
	DefaultResultBytes         = 4 << 20
	DefaultAnswerBytes         = 64 << 20 // 160 results of the greatest size would take 640 MiB of an entry's memory
	DefaultTasks               = 160
	DefaultQueuedJobs          = 20_000
	DefaultQueuedTasks         = 400_000
	DefaultQueuedBytes         = 256 << 20
)

// fill sets a zero field to its default.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetDefaults fills zero fields. Zero drain seconds are a valid setting, so their
// default is set only where a file is read.
func (e *Entry) SetDefaults() {
	fill(&e.ClaimRetentionHours, DefaultClaimRetentionHours)
}

// SetDefaults fills zero fields.
func (t *Target) SetDefaults() {
	fill(&t.Slots, DefaultSlots)
	fill(&t.Connections, DefaultConnections)
}

// SetDefaults fills zero fields.
func (s *Store) SetDefaults() {
	fill(&s.TimeoutMS, DefaultStoreTimeoutMS)
}

// SetDefaults fills zero fields.
func (l *Log) SetDefaults() {
	fill(&l.Level, "info")
	fill(&l.Format, "json")
}

// SetDefaults fills zero fields.
func (l *Limits) SetDefaults() {
	fill(&l.BodyBytes, DefaultBodyBytes)
	fill(&l.PayloadBytes, DefaultPayloadBytes)
	fill(&l.ResultBytes, DefaultResultBytes)
	fill(&l.AnswerBytes, DefaultAnswerBytes)
	fill(&l.Tasks, DefaultTasks)
	fill(&l.QueuedJobs, DefaultQueuedJobs)
	fill(&l.QueuedTasks, DefaultQueuedTasks)
	fill(&l.QueuedBytes, DefaultQueuedBytes)
}

// SetDefaults fills zero fields.
func (p *Policy) SetDefaults() {
	fill(&p.Order, "remaining")
	fill(&p.Binding, "late")
	fill(&p.Grants, "key")
	fill(&p.Reserve, "learnt")
	fill(&p.Estimates, "learnt")
	fill(&p.Admission, "feasible")
	fill(&p.Outliers, "eject")
}
