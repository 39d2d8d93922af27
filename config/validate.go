package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/settings"
)

// Limits of the numbers in a document. They catch values with a wrong unit.
const (
	maxRules   = 64 // each is evaluated for every job
	maxRunMS   = 24 * 3600 * 1000
	maxWaiting = 1 << 24
	minWeight  = 0.001
	maxWeight  = 1000
	maxQuota   = 1 << 20
)

func tooLargeError(bytes int) settings.Errors {
	return settings.Errors{{Message: fmt.Sprintf("the document has %d bytes, the limit is %d", bytes, MaxBytes)}}
}

func (d Document) check(c *settings.Checker) {
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		path := memberPath("services", name)
		c.Name(path, name)
		d.Services[name].check(c, path)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Workspaces)) {
		path := memberPath("workspaces", name)
		c.Name(path, name)
		d.Workspaces[name].check(c, path)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Targets)) {
		path := memberPath("targets", name)
		c.Name(path, name)
		c.Labels(path+".labels", d.Targets[name].Labels)
	}
	if len(d.Changes) > MaxChanges {
		c.Add("changes", "%d changes, the limit is %d", len(d.Changes), MaxChanges)
	}
	for i, change := range d.Changes {
		checkChangeID(c, settings.IndexPath("changes", i)+".id", change.ID)
	}
}

// excessSize returns the size of the encoded document if it exceeds MaxBytes, and 0
// otherwise. The document must have no other errors, since it may then not be encodable.
func (d Document) excessSize() int {
	if n := len(d.withoutChanges().encode()); n > MaxBytes {
		return n
	}
	return 0
}

// refusal returns the result of a change that has errors or whose document is too large, nil
// if the change is valid.
func (d Document) refusal(errs settings.Errors) *Result {
	if len(errs) > 0 {
		r := invalidResult(errs)
		return &r
	}
	if n := d.excessSize(); n > 0 {
		r := tooLargeResult(n)
		return &r
	}
	return nil
}

// validationErrors returns all errors in the document except its size.
func (d Document) validationErrors() settings.Errors {
	c := settings.NewChecker(nil, nil)
	d.check(c)
	return c.Errors()
}

func memberPath(path, name string) string { return settings.MemberPath(path, name) }

func (s Service) check(c *settings.Checker, path string) {
	checkSelector(c, path+".targets", s.Targets)
	if len(s.Rules) > maxRules {
		c.Add(path+".rules", "%d rules, the limit is %d", len(s.Rules), maxRules)
	}
	for i, r := range s.Rules {
		rule := settings.IndexPath(path+".rules", i)
		checkSelector(c, rule+".requests", r.Requests)
		checkSelector(c, rule+".targets", r.Targets)
	}
	s.Short.check(c, path+".short")
	s.Long.check(c, path+".long")
	if s.Short.RunMS > s.Long.RunMS {
		c.Add(path+".short.run_ms", "is over long.run_ms")
	}
	settings.CheckRange(c, path+".deadline.max_ms", s.Deadline.MaxMS, 1, maxRunMS)
	settings.CheckRange(c, path+".deadline.default_ms", s.Deadline.DefaultMS, 1, maxRunMS)
	if s.Deadline.DefaultMS > s.Deadline.MaxMS {
		c.Add(path+".deadline.default_ms", "is over max_ms")
	}
	settings.CheckRange(c, path+".max_ejected_share", s.MaxEjectedShare, 0, 1)
}

func (l ClassLimits) check(c *settings.Checker, path string) {
	settings.CheckRange(c, path+".run_ms", l.RunMS, 1, maxRunMS)
	settings.CheckRange(c, path+".max_waiting", l.MaxWaiting, 1, maxWaiting)
}

func (w Workspace) check(c *settings.Checker, path string) {
	settings.CheckRange(c, path+".weight", w.Weight, minWeight, maxWeight)
	settings.CheckRange(c, path+".quota_slots", w.QuotaSlots, 0, maxQuota)
}

func checkSelector(c *settings.Checker, field, text string) {
	if _, err := label.Parse(text); err != nil {
		c.Add(field, "%v", err)
	}
}

// checkChangeID adds an error unless id can be sent in a header: 1 to MaxChangeIDBytes bytes
// of letters, digits, '.', '_', '/' and '-'.
func checkChangeID(c *settings.Checker, field, id string) {
	if id == "" || len(id) > MaxChangeIDBytes || !label.ValidName(id) {
		c.Add(field, "the change id %q is empty, longer than %d bytes or has invalid characters", id, MaxChangeIDBytes)
	}
}
