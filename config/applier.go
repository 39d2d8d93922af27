package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
)

// Times of an Applier. An operator waits for the answer, so a change ends well
// within the time a person will wait, even while the store is down.
const (
	applyTime    = 5 * time.Second // of a whole change with its repetitions
	callTime     = time.Second     // of one store call
	retryLowest  = 25 * time.Millisecond
	retryLongest = 500 * time.Millisecond
)

// Applier applies operators' changes by compare-and-swap on the store's key. It
// holds no state of its own; any number of them may work on one store.
type Applier struct {
	Store  kv.Store
	Holder *Holder // adopts what was applied, before the store confirms it to watches
}

// Read returns the snapshot of the store, or the holder's if that is newer, and
// has the holder adopt it. Revision 0 is no document.
func (a *Applier) Read(ctx context.Context) (*Snapshot, error) {
	v, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	if v.revision > 0 {
		if _, err := a.Holder.AdoptStored(v.revision, v.body); err != nil {
			return nil, err
		}
	}
	return a.Holder.Current(), nil
}

// Apply replaces the document, if its revision is still base (0: there is none
// yet). The id identifies the operator's action: a repetition with the same id
// and content is answered with the revision of the first application. The
// changes listed in d are ignored.
func (a *Applier) Apply(ctx context.Context, id string, base uint64, d Document) Result {
	d = d.content()
	if r := d.refusal(checkRequest(id, d)); r != nil {
		return *r
	}
	plan := func(current version) (Document, *Result) {
		if current.revision > base {
			r := conflicting(base, current.revision, Diff(d, current.document))
			return Document{}, &r
		}
		return d, nil
	}
	c := change{applier: a, entry: Change{ID: id, Digest: digest(d)}, plan: plan, lowest: max(base, a.Holder.Current().Revision())}
	return c.run(ctx)
}

// ApplyJSON is Apply of a text as Parse reads it. Faults carry their positions
// in the text.
func (a *Applier) ApplyJSON(ctx context.Context, id string, base uint64, data []byte) Result {
	if len(data) > kv.MaxValueBytes {
		return oversized(len(data))
	}
	d, faults := decode(data)
	if len(faults) > 0 {
		return invalid(faults)
	}
	return a.Apply(ctx, id, base, d)
}

// Edit changes one object of the current document. When another change comes
// first, it is repeated on the new document, unless the other change gave the
// same object different content; then the answer is the conflict.
func (a *Applier) Edit(ctx context.Context, id string, e Edit) Result {
	if faults := checkRequest(id, Document{}); len(faults) > 0 {
		return invalid(faults)
	}
	p := editPlan{edit: e}
	c := change{applier: a, entry: Change{ID: id, Digest: e.digest()}, plan: p.next, lowest: a.Holder.Current().Revision()}
	return c.run(ctx)
}

func checkRequest(id string, d Document) settings.Errors {
	c := settings.NewChecker(nil, d.faults())
	checkChangeID(c, "change id", id)
	return c.Errors()
}

// editPlan remembers what the object was when the edit first read it.
type editPlan struct {
	edit   Edit
	read   bool
	base   uint64
	before Value
	after  Value
}

func (p *editPlan) next(current version) (Document, *Result) {
	if len(current.unknown)+len(current.faults) > 0 {
		// Writing the document back would lose what this release cannot read.
		r := invalid(append(current.unknown, current.faults...))
		r.Reason = "the stored document cannot be edited by this release"
		return Document{}, &r
	}
	o := p.edit.object
	now := current.document.object(o)
	if !p.read {
		p.read, p.base, p.before, p.after = true, current.revision, now, p.edit.apply(now)
	}
	if !now.equal(p.before) && !now.equal(p.after) {
		r := conflicting(p.base, current.revision, []Difference{{Object: o, Yours: p.after, Theirs: now}})
		return Document{}, &r
	}
	d := current.document.with(o, p.after)
	return d, d.refusal(d.faults())
}

// version is the stored document at one revision; revision 0 is no document.
type version struct {
	revision uint64
	body     []byte
	document Document
	unknown  settings.Errors
	faults   settings.Errors
}

func (a *Applier) read(ctx context.Context) (version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	e, err := a.Store.Get(ctx, Key)
	if errors.Is(err, kv.ErrNotFound) {
		return version{}, nil
	}
	if err != nil {
		return version{}, err
	}
	v := version{revision: e.Version, body: e.Value}
	v.document, v.unknown, v.faults = ParseStored(e.Version, e.Value)
	return v, nil
}

// change is one change on its way into the store.
type change struct {
	applier *Applier
	entry   Change
	// plan returns the document to write after reading the current one, or the
	// refusal. It returns the same document for the same revision.
	plan func(current version) (Document, *Result)

	lowest  uint64 // reads below this revision are stale
	open    bool   // a write may have been applied or may still be
	openAt  uint64 // the revision that the open write expects
	lastErr error
}

// run repeats steps until one settles the change or the time is up.
//
// A write without an answer is never assumed to have failed. It is settled by a
// read that shows the change's id, or a revision beyond the one that the write
// expected without the id: then it can no longer be applied. While the revision
// is still the expected one, the same write is repeated: of two equal writes
// that expect the same revision at most one is applied.
func (c *change) run(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, applyTime)
	defer cancel()
	wait := backoff{lowest: retryLowest, longest: retryLongest}
	for {
		if r, done := c.step(ctx); done {
			return r
		}
		if !wait.sleep(ctx.Done()) {
			return c.timeUp()
		}
	}
}

func (c *change) timeUp() Result {
	detail := "the time for the change is up"
	if c.lastErr != nil {
		detail = c.lastErr.Error()
	}
	if c.open {
		r := refused(result.ConfigUnknown, detail)
		r.Outcome = Unknown
		return r
	}
	return refused(result.ConfigUnavailable, detail)
}

func (c *change) step(ctx context.Context) (Result, bool) {
	current, err := c.applier.read(ctx)
	if err != nil {
		c.lastErr = err
		return Result{}, false
	}
	if r, done := c.recorded(current); done {
		return r, true
	}
	if current.revision < c.lowest {
		c.lastErr = fmt.Errorf("the store answers with revision %d, which is older than %d", current.revision, c.lowest)
		return Result{}, false
	}
	if c.open && current.revision > c.openAt {
		if !current.document.completeSince(c.openAt) {
			c.lastErr = errors.New("the stored document no longer lists the changes since the write")
			return c.timeUp(), true
		}
		c.open = false
	}
	next, refusal := c.plan(current)
	if refusal != nil {
		return *refusal, true
	}
	return c.write(ctx, current, next)
}

// recorded answers a change that the document lists already.
func (c *change) recorded(current version) (Result, bool) {
	found, ok := current.document.find(c.entry.ID)
	if !ok {
		return Result{}, false
	}
	if found.Digest != c.entry.Digest {
		return invalid(settings.Errors{{
			Field:   "change id",
			Message: fmt.Sprintf("%q was used for another change, at revision %d", found.ID, found.Revision),
		}}), true
	}
	c.adopt(current.revision, current.body)
	return accepted(found.Revision), true
}

func (c *change) write(ctx context.Context, current version, next Document) (Result, bool) {
	next.Changes = current.document.Changes
	body := next.withChange(c.entry).encode()
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	revision, err := c.applier.Store.CompareAndSwap(ctx, Key, current.revision, body, 0)
	switch {
	case err == nil:
		c.adopt(revision, body)
		return accepted(revision), true
	case errors.Is(err, kv.ErrConflict):
		c.lowest = current.revision + 1
	case errors.Is(err, kv.ErrTooLarge):
		return oversized(len(body)), true
	case !errors.Is(err, kv.ErrUnavailable):
		c.open, c.openAt, c.lowest = true, current.revision, current.revision
	}
	c.lastErr = err
	return Result{}, false
}

// adopt makes an applied document effective here at once, so that it spreads to
// peers and agents even if the store goes down right after the write.
func (c *change) adopt(revision uint64, body []byte) {
	if _, err := c.applier.Holder.AdoptStored(revision, body); err != nil {
		c.lastErr = err
	}
}

// backoff spaces repetitions: each wait is drawn between half and all of a
// bound that doubles, so that many processes do not return to a store at once.
type backoff struct {
	lowest  time.Duration
	longest time.Duration
	bound   time.Duration
}

func (b *backoff) reset() { b.bound = 0 }

// sleep waits and reports false if done was closed first.
func (b *backoff) sleep(done <-chan struct{}) bool {
	b.bound = min(max(2*b.bound, b.lowest), b.longest)
	timer := time.NewTimer(b.bound/2 + rand.N(b.bound/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
