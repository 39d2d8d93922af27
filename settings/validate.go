package settings

import (
	"github.com/catkinline/catkinline/wire"
)

// Limits of settings. They are not the limits of a machine: they catch a wrong unit, such as
// bytes instead of megabytes.
const (
	maxTimeoutMS    = 60_000
	maxDrainSeconds = 600
	maxClaimHours   = 24 * 366
	minClaimHours   = 0.25    // the longest deadline; with a shorter retention a claim could expire while its job runs
	maxHeadBytes    = 1 << 20 // more is not read by net/http
	maxBodyBytes    = 1 << 30
	maxAnswerBytes  = 1 << 30
	maxTasks        = 10_000 // keeps index ranges and acknowledgements far below the wire limits
	maxQueuedJobs   = 1 << 20
	maxQueuedTasks  = 1 << 24
	maxQueuedBytes  = 1 << 36
	maxSlots        = 4096
	maxEntryLinks   = 256 // number of entry names that an agent's slot table keeps
	maxConnections  = 1 << 16
	minMemoryMB     = 64 // less leaves nothing for clients
	maxMemoryMB     = 1 << 20
	minDescriptors  = 256
	maxDescriptors  = 1 << 24

	// A payload or a result is sent in one message; 64 KiB are left for the header.
	maxPayloadBytes = wire.MaxMessageBytes - 64<<10
)

func (e *Entry) check(c *Checker) {
	c.Name("name", e.Name)
	c.Name("failure_domain", e.FailureDomain)
	if e.Region != "" {
		c.Name("region", e.Region)
	}
	if c.Required("caller_address", e.CallerAddress) {
		c.ListenAddress("caller_address", e.CallerAddress)
	}
	if e.OperatorAddress != "" {
		c.ListenAddress("operator_address", e.OperatorAddress)
	}
	e.checkLink(c)
	c.DialAddresses("peers", e.Peers)
	e.Store.check(c)
	e.TLS.check(c)
	e.Log.check(c)
	e.Limits.check(c)
	e.Machine.check(c)
	e.Policy.check(c)
	CheckRange(c, "claim_retention_hours", e.ClaimRetentionHours, minClaimHours, maxClaimHours)
	CheckRange(c, "drain_seconds", e.DrainSeconds, 0, maxDrainSeconds)
}

// checkLink checks link_address and advertise. If link_address has port 0, the entry
// advertises the port that the system assigned.
func (e *Entry) checkLink(c *Checker) {
	if !c.Required("link_address", e.LinkAddress) {
		return
	}
	link, ok := c.ListenAddress("link_address", e.LinkAddress)
	if e.Advertise != e.LinkAddress {
		c.DialAddress("advertise", e.Advertise)
		return
	}
	if ok && link.Addr().IsUnspecified() {
		c.Add("advertise", "is required because link_address has no specified IP address")
	}
}

func (a *Agent) check(c *Checker) {
	c.Name("name", a.Name)
	c.Name("failure_domain", a.FailureDomain)
	if a.Region != "" {
		c.Name("region", a.Region)
	}
	if c.Required("admin_address", a.AdminAddress) {
		c.ListenAddress("admin_address", a.AdminAddress)
	}
	c.DialAddresses("entries", a.Entries)
	CheckRange(c, "entry_links", a.EntryLinks, 0, maxEntryLinks)
	if len(a.Entries) == 0 && a.Store.URL == "" {
		c.Add("entries", "is required unless store.url is set")
	}
	a.Store.check(c)
	a.TLS.check(c)
	a.Log.check(c)
	a.Target.check(c)
	a.Machine.check(c)
	a.Policy.check(c)
}

func (t *Target) check(c *Checker) {
	c.Name("target.name", t.Name)
	c.Name("target.service", t.Service)
	if c.Required("target.url", t.URL) {
		c.URL("target.url", t.URL)
	}
	c.Labels("target.labels", t.Labels)
	CheckRange(c, "target.slots", t.Slots, 1, maxSlots)
	CheckRange(c, "target.connections", t.Connections, 1, maxConnections)
	if t.Connections < t.Slots {
		c.Add("target.connections", "%d connections cannot fill %d slots", t.Connections, t.Slots)
	}
}

func (s *Store) check(c *Checker) {
	if s.URL != "" {
		c.URL("store.url", s.URL)
	}
	CheckRange(c, "store.timeout_ms", s.TimeoutMS, 1, maxTimeoutMS)
}

func (t *TLS) check(c *Checker) {
	files := t.CA != "" || t.Certificate != "" || t.Key != ""
	if t.DevelopmentSecret != "" {
		if files {
			c.Add("tls.development_secret", "cannot be combined with ca, certificate and key")
		}
		return
	}
	if !files {
		c.Add("tls", "needs ca, certificate and key, or development_secret")
		return
	}
	c.Required("tls.ca", t.CA)
	c.Required("tls.certificate", t.Certificate)
	c.Required("tls.key", t.Key)
}

func (l *Log) check(c *Checker) {
	c.OneOf("log.level", l.Level, "debug", "info", "warn", "error")
	c.OneOf("log.format", l.Format, "json", "console")
}

func (l *Limits) check(c *Checker) {
	CheckRange(c, "limits.head_bytes", l.HeadBytes, 1, maxHeadBytes)
	CheckRange(c, "limits.body_bytes", l.BodyBytes, 1, maxBodyBytes)
	CheckRange(c, "limits.payload_bytes", l.PayloadBytes, 1, maxPayloadBytes)
	CheckRange(c, "limits.result_bytes", l.ResultBytes, 1, maxPayloadBytes)
	CheckRange(c, "limits.answer_bytes", l.AnswerBytes, 1, maxAnswerBytes)
	CheckRange(c, "limits.tasks", l.Tasks, 1, maxTasks)
	CheckRange(c, "limits.queued_jobs", l.QueuedJobs, 1, maxQueuedJobs)
	CheckRange(c, "limits.queued_tasks", l.QueuedTasks, 1, maxQueuedTasks)
	CheckRange(c, "limits.queued_bytes", l.QueuedBytes, 1, maxQueuedBytes)
	if int64(l.PayloadBytes) > l.BodyBytes {
		c.Add("limits.payload_bytes", "is over body_bytes")
	}
	if l.AnswerBytes < int64(l.ResultBytes) {
		c.Add("limits.answer_bytes", "is below result_bytes: a result of the maximum size could not be returned")
	}
	if l.Tasks > l.QueuedTasks {
		c.Add("limits.queued_tasks", "is below tasks: a job with the maximum number of tasks could not be queued")
	}
}

func (m *Machine) check(c *Checker) {
	if m.MemoryMB != 0 {
		CheckRange(c, "machine.memory_mb", m.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if m.Descriptors != 0 {
		CheckRange(c, "machine.descriptors", m.Descriptors, minDescriptors, maxDescriptors)
	}
}

func (p *Policy) check(c *Checker) {
	c.OneOf("policy.order", p.Order, "remaining", "fifo")
	c.OneOf("policy.binding", p.Binding, "late", "random", "two-choices")
	c.OneOf("policy.grants", p.Grants, "key", "turns")
	c.OneOf("policy.reserve", p.Reserve, "learnt", "none", "fixed")
	c.OneOf("policy.estimates", p.Estimates, "learnt", "declared")
	c.OneOf("policy.admission", p.Admission, "feasible", "bounds")
	c.OneOf("policy.outliers", p.Outliers, "eject", "none")
}
