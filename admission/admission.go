// Package admission decides whether an entry accepts a job. It checks the bounds on
// the entry's queue, each workspace's share of the queue, and whether the job is
// expected to finish before its deadline.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/result"
)

// Usage is an amount of queue capacity: the accepted jobs, their waiting tasks, and
// the payload bytes of those tasks.
type Usage struct {
	Jobs  int
	Tasks int
	Bytes int64
}

func (u Usage) add(d Usage) Usage {
	return Usage{u.Jobs + d.Jobs, u.Tasks + d.Tasks, u.Bytes + d.Bytes}
}

func (u Usage) subtract(d Usage) Usage {
	return Usage{u.Jobs - d.Jobs, u.Tasks - d.Tasks, u.Bytes - d.Bytes}
}

func (u Usage) scale(f float64) Usage {
	return Usage{int(float64(u.Jobs) * f), int(float64(u.Tasks) * f), int64(float64(u.Bytes) * f)}
}

func (u Usage) fits(bound Usage) bool {
	return u.Jobs <= bound.Jobs && u.Tasks <= bound.Tasks && u.Bytes <= bound.Bytes
}

// Options configure a Controller. Zero fields take the defaults.
type Options struct {
	Bound           Usage   // queue bound of one entry; default 20,000 jobs, 400,000 tasks, 256 MiB
	WorkspaceFactor float64 // limit of a workspace as a multiple of the free capacity; default 2
	BoundsOnly      bool    // skips the deadline check; for baseline measurements
}

func (o Options) withDefaults() Options {
	options.Default(&o.Bound.Jobs, 20_000)
	options.Default(&o.Bound.Tasks, 400_000)
	options.Default(&o.Bound.Bytes, 256<<20)
	options.Default(&o.WorkspaceFactor, 2)
	return o
}

const (
	// reopenFill is the fraction of the bound to which a full queue must drain before
	// it accepts jobs again. Without this hysteresis only small jobs would fit into
	// the places that come free one by one.
	reopenFill = 0.8
	// minWorkspaceShare is the fraction of an equal share that every workspace may
	// use. It keeps a full queue from being reported to a small workspace as
	// WorkspaceQueueFull.
	minWorkspaceShare = 0.5
	// marginShare is the fraction of the time to its deadline that a job may be
	// expected to take during marginDuration after a refusal. Work accepted without a
	// margin expires in the queue when the rate falls, and its resubmission adds
	// load.
	marginShare    = 0.8
	marginDuration = 5 * time.Second
)

// Request describes a job to be admitted.
type Request struct {
	Workspace   string
	Usage       Usage
	Deadline    time.Duration // time left until the response is due
	Work        time.Duration // expected slot time of all its tasks
	LongestTask time.Duration // expected run time of its longest task
	WorkAhead   time.Duration // expected slot time of running work and of waiting work ordered before the job
	SlotShare   float64       // fraction of the service's slots that can run the job; zero means all
	Confident   bool          // Work and LongestTask are based on observed, not declared, run times
}

// Controller tracks the accepted jobs of one entry, for one service or for all
// services, and admits new ones. It is not safe for concurrent use.
type Controller struct {
	options      Options
	rate         *Rate
	random       *rand.Rand
	usage        Usage
	workspaces   map[string]Usage
	full         bool      // the queue was full and has not drained to reopenFill yet
	marginUntil  time.Time // deadlines are checked with a margin until then
	retryHorizon time.Time // time up to which retries are already scheduled
}

// New returns a Controller without accepted jobs. The caller updates rate; random is
// the source of jitter for retry hints.
func New(o Options, rate *Rate, random *rand.Rand) *Controller {
	return &Controller{options: o.withDefaults(), rate: rate, random: random, workspaces: map[string]Usage{}}
}

// Usage returns the usage of all accepted jobs that were not released.
func (c *Controller) Usage() Usage { return c.usage }

// WorkspaceUsage returns the part of Usage that belongs to a workspace.
func (c *Controller) WorkspaceUsage(workspace string) Usage { return c.workspaces[workspace] }

// Admit accepts a job and adds its usage, or returns an error with the code
// QueueFull, WorkspaceQueueFull or DeadlineInfeasible and a time to retry after. The
// error has no retry time if the deadline could not be met even by an empty queue.
func (c *Controller) Admit(r Request, now time.Time) *result.Error {
	if err := c.checkBounds(r, now); err != nil {
		return err
	}
	if !c.options.BoundsOnly {
		if err := c.checkDeadline(r, now); err != nil {
			return err
		}
	}
	c.Adjust(r.Workspace, r.Usage)
	return nil
}

// Adjust changes the usage of a workspace by d, which is negative when tasks are sent
// or jobs end and positive when a task returns to the queue. It enforces no bounds.
func (c *Controller) Adjust(workspace string, d Usage) {
	c.usage = c.usage.add(d)
	u := c.workspaces[workspace].add(d)
	if u == (Usage{}) {
		delete(c.workspaces, workspace)
		return
	}
	c.workspaces[workspace] = u
}

func (c *Controller) checkBounds(r Request, now time.Time) *result.Error {
	bound := c.options.Bound
	if c.full && c.usage.fits(bound.scale(reopenFill)) {
		c.full = false
	}
	after := c.usage.add(r.Usage)
	if c.full || !after.fits(bound) {
		c.full = c.full || !c.usage.fits(bound.scale(reopenFill))
		return result.New(result.QueueFull, "").WithRetryAfter(c.retryAfter(r, now))
	}
	if !c.workspaceFits(r, bound.subtract(after)) {
		return result.New(result.WorkspaceQueueFull, "").WithRetryAfter(c.retryAfter(r, now))
	}
	return nil
}

// workspaceFits reports whether the usage of a workspace stays within its limit: a
// multiple of the capacity that stays free, so that a single workspace leaves room
// for others and many workspaces share evenly, but at least minWorkspaceShare of an
// equal share.
func (c *Controller) workspaceFits(r Request, remaining Usage) bool {
	held, known := c.workspaces[r.Workspace]
	workspaces := len(c.workspaces)
	if !known {
		workspaces++
	}
	after := held.add(r.Usage)
	if after.fits(remaining.scale(c.options.WorkspaceFactor)) {
		return true
	}
	return after.fits(c.options.Bound.scale(minWorkspaceShare / float64(workspaces)))
}

// checkDeadline compares the time to the deadline with the time that the work ahead
// and the job's own work take at the measured rate. An estimate that is not confident
// counts as zero, so that it never causes a refusal by itself.
func (c *Controller) checkDeadline(r Request, now time.Time) *result.Error {
	rate := c.rateFor(r)
	if rate <= 0 {
		return nil
	}
	if !r.Confident {
		r.Work, r.LongestTask = 0, 0
	}
	alone := max(r.LongestTask, scaleDuration(r.Work, 1/rate))
	if alone > r.Deadline {
		return result.Newf(result.DeadlineInfeasible, "the job alone is expected to take %v", alone.Round(time.Millisecond))
	}
	wait := scaleDuration(r.WorkAhead, 1/rate)
	finish := max(wait+r.LongestTask, scaleDuration(r.WorkAhead+r.Work, 1/rate))
	if finish > r.Deadline {
		c.marginUntil = now.Add(marginDuration)
	}
	if finish <= r.Deadline && (now.After(c.marginUntil) || finish <= c.deadlineWithMargin(r, alone)) {
		return nil
	}
	err := result.Newf(result.DeadlineInfeasible, "the answer is expected after %v", finish.Round(time.Millisecond))
	return err.WithRetryAfter(c.retryAfter(r, now))
}

// deadlineWithMargin returns the time within which a job must be expected to finish
// while the margin applies. The time that the job takes alone is not reduced, since a
// job could otherwise be refused with no work ahead of it.
func (c *Controller) deadlineWithMargin(r Request, alone time.Duration) time.Duration {
	return alone + scaleDuration(r.Deadline-alone, marginShare)
}

// rateFor returns the rate, in slot seconds per second, at which the targets that can
// run the job process work.
func (c *Controller) rateFor(r Request) float64 {
	share := r.SlotShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return c.rate.Value() * share
}

func scaleDuration(d time.Duration, f float64) time.Duration {
	const longest = float64(24 * time.Hour)
	return time.Duration(min(float64(d)*f, longest))
}
