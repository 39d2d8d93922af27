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

// Timeouts and retry delays of an Applier. An operator waits for the response, so a
// change ends within a few seconds even while the store is down.
const (
	applyTimeout  = 5 * time.Second // for a change including its retries
	callTimeout   = time.Second     // for one store call
	retryMinDelay = 25 * time.Millisecond
	retryMaxDelay = 500 * time.Millisecond
)

// Applier applies operators' changes by compare-and-swap on Key. It is stateless and
// safe for concurrent use; any number of appliers may share one store.
type Applier struct {
	Store  kv.Store
	Holder *Holder // adopts an applied document before the watch delivers it
}

// Read returns the newer of the store's snapshot and the holder's, which adopts it.
// Revision 0 means that there is no document.
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

// Apply replaces the document if its revision is still base (0: there is no document
// yet). It is idempotent: a retry with the same id and content returns the revision of
// the first application. The changes listed in d are ignored.
func (a *Applier) Apply(ctx context.Context, id string, base uint64, d Document) Result {
	d = d.withoutChanges()
	if r := d.refusal(checkRequest(id, d)); r != nil {
		return *r
	}
	plan := func(current storedDocument) (Document, *Result) {
		if current.revision > base {
			r := conflictResult(base, current.revision, Diff(d, current.document))
			return Document{}, &r
		}
		return d, nil
	}
	c := pendingChange{applier: a, change: Change{ID: id, Digest: digest(d)}, plan: plan, minRevision: max(base, a.Holder.Current().Revision())}
	return c.run(ctx)
}

// ApplyJSON is like Apply but takes the document as text in the form that Parse
// accepts. Its errors carry their positions in the text.
func (a *Applier) ApplyJSON(ctx context.Context, id string, base uint64, data []byte) Result {
	if len(data) > kv.MaxValueBytes {
		return tooLargeResult(len(data))
	}
	d, errs := decode(data)
	if len(errs) > 0 {
		return invalidResult(errs)
	}
	return a.Apply(ctx, id, base, d)
}

// Edit changes one object of the current document. If a concurrent change is written
// first, the edit is retried on the new document, unless that change gave the same
// object other content: then Edit returns a conflict.
func (a *Applier) Edit(ctx context.Context, id string, e Edit) Result {
	if errs := checkRequest(id, Document{}); len(errs) > 0 {
		return invalidResult(errs)
	}
	p := editPlan{edit: e}
	c := pendingChange{applier: a, change: Change{ID: id, Digest: e.digest()}, plan: p.next, minRevision: a.Holder.Current().Revision()}
	return c.run(ctx)
}

func checkRequest(id string, d Document) settings.Errors {
	c := settings.NewChecker(nil, d.validationErrors())
	checkChangeID(c, "change id", id)
	return c.Errors()
}

// editPlan keeps the object's content from the first read, to detect concurrent changes.
type editPlan struct {
	edit    Edit
	hasRead bool
	base    uint64
	before  Value
	after   Value
}

func (p *editPlan) next(current storedDocument) (Document, *Result) {
	if len(current.unknownFields)+len(current.errs) > 0 {
		// Writing the document back would drop the fields that this release cannot read.
		r := invalidResult(append(current.unknownFields, current.errs...))
		r.Reason = "the stored document cannot be edited by this release"
		return Document{}, &r
	}
	o := p.edit.object
	now := current.document.object(o)
	if !p.hasRead {
		p.hasRead, p.base, p.before, p.after = true, current.revision, now, p.edit.apply(now)
	}
	if !now.equal(p.before) && !now.equal(p.after) {
		r := conflictResult(p.base, current.revision, []Difference{{Object: o, Yours: p.after, Theirs: now}})
		return Document{}, &r
	}
	d := current.document.with(o, p.after)
	return d, d.refusal(d.validationErrors())
}

// storedDocument is the document as read from the store. Revision 0 means that there is
// no document.
type storedDocument struct {
	revision      uint64
	body          []byte
	document      Document
	unknownFields settings.Errors
	errs          settings.Errors
}

func (a *Applier) read(ctx context.Context) (storedDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := a.Store.Get(ctx, Key)
	if errors.Is(err, kv.ErrNotFound) {
		return storedDocument{}, nil
	}
	if err != nil {
		return storedDocument{}, err
	}
	v := storedDocument{revision: e.Version, body: e.Value}
	v.document, v.unknownFields, v.errs = ParseStored(e.Version, e.Value)
	return v, nil
}

// pendingChange is a change that is being written to the store.
type pendingChange struct {
	applier *Applier
	change  Change
	// plan returns the document to write in place of the current one, or the
	// refusal. It is deterministic: the same revision gives the same document.
	plan func(current storedDocument) (Document, *Result)

	minRevision    uint64 // reads below this revision are stale
	unresolved     bool   // a write without a response may have been applied or may still be
	unresolvedBase uint64 // revision that the unresolved write expects
	lastErr        error
}

// run retries step until the outcome of the change is known or applyTimeout expires.
//
// A write without a response is never assumed to have failed. Its outcome is known when
// a read shows the change's id, or a revision higher than the write expected without the
// id: then the write can no longer be applied. While the revision is still the expected
// one, the same write is retried: of two equal writes that expect the same revision at
// most one is applied.
func (c *pendingChange) run(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	wait := backoff{minDelay: retryMinDelay, maxDelay: retryMaxDelay}
	for {
		if r, done := c.step(ctx); done {
			return r
		}
		if !wait.sleep(ctx.Done()) {
			return c.timeoutResult()
		}
	}
}

func (c *pendingChange) timeoutResult() Result {
	detail := "the change timed out"
	if c.lastErr != nil {
		detail = c.lastErr.Error()
	}
	if c.unresolved {
		r := refusedResult(result.ConfigUnknown, detail)
		r.Outcome = Unknown
		return r
	}
	return refusedResult(result.ConfigUnavailable, detail)
}

func (c *pendingChange) step(ctx context.Context) (Result, bool) {
	current, err := c.applier.read(ctx)
	if err != nil {
		c.recordFailure(ctx, err)
		return Result{}, false
	}
	if r, done := c.findRecorded(current); done {
		return r, true
	}
	if current.revision < c.minRevision {
		c.lastErr = fmt.Errorf("the store returned revision %d, which is older than %d", current.revision, c.minRevision)
		return Result{}, false
	}
	if c.unresolved && current.revision > c.unresolvedBase {
		if !current.document.completeSince(c.unresolvedBase) {
			c.lastErr = errors.New("the stored document no longer lists the changes since the write")
			return c.timeoutResult(), true
		}
		c.unresolved = false
	}
	next, refusal := c.plan(current)
	if refusal != nil {
		return *refusal, true
	}
	return c.write(ctx, current, next)
}

// findRecorded returns the result of a change that the document already lists, and
// rejects an id that was used for another change.
func (c *pendingChange) findRecorded(current storedDocument) (Result, bool) {
	found, ok := current.document.findChange(c.change.ID)
	if !ok {
		return Result{}, false
	}
	if found.Digest != c.change.Digest {
		return invalidResult(settings.Errors{{
			Field:   "change id",
			Message: fmt.Sprintf("%q was used for another change, at revision %d", found.ID, found.Revision),
		}}), true
	}
	c.adopt(current.revision, current.body)
	return acceptedResult(found.Revision), true
}

func (c *pendingChange) write(ctx context.Context, current storedDocument, next Document) (Result, bool) {
	next.Changes = current.document.Changes
	body := next.withChange(c.change).encode()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := c.applier.Store.CompareAndSwap(call, Key, current.revision, body, 0)
	switch {
	case err == nil:
		c.adopt(revision, body)
		return acceptedResult(revision), true
	case errors.Is(err, kv.ErrConflict):
		c.minRevision = current.revision + 1
	case errors.Is(err, kv.ErrTooLarge):
		return tooLargeResult(len(body)), true
	case !errors.Is(err, kv.ErrUnavailable):
		c.unresolved, c.unresolvedBase, c.minRevision = true, current.revision, current.revision
	}
	c.recordFailure(ctx, err)
	return Result{}, false
}

// recordFailure keeps the error of an attempt for the result. An attempt that the end of ctx interrupted
// says less than the store's earlier answer, if there is one.
func (c *pendingChange) recordFailure(ctx context.Context, err error) {
	if c.lastErr == nil || ctx.Err() == nil {
		c.lastErr = err
	}
}

// adopt puts an applied document into effect in this process at once, so that peers and
// agents receive it even if the store goes down right after the write.
func (c *pendingChange) adopt(revision uint64, body []byte) {
	if _, err := c.applier.Holder.AdoptStored(revision, body); err != nil {
		c.lastErr = err
	}
}

// backoff is an exponential backoff with jitter: each delay is drawn between half of a
// doubling limit and the limit, so that many processes do not retry at the same time.
type backoff struct {
	minDelay time.Duration
	maxDelay time.Duration
	limit    time.Duration // upper end of the latest delay
}

func (b *backoff) reset() { b.limit = 0 }

// sleep waits for the next delay. It returns false if done is closed first.
func (b *backoff) sleep(done <-chan struct{}) bool {
	b.limit = min(max(2*b.limit, b.minDelay), b.maxDelay)
	timer := time.NewTimer(b.limit/2 + rand.N(b.limit/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
