// Package admission decides whether an entry accepts a job: bounds on its queue,
// the workspaces' shares of it, and whether the job can be answered within its
// deadline.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/result"
)

// Usage is an amount of queue. All of an entry's accepted jobs count as Jobs,
// their waiting tasks as Tasks and those tasks' payloads as Bytes.
type Usage struct {
	Jobs  int
	Tasks int
	Bytes int64
}

func (u Usage) plus(d Usage) Usage {
	return Usage{u.Jobs + d.Jobs, u.Tasks + d.Tasks, u.Bytes + d.Bytes}
}

func (u Usage) minus(d Usage) Usage {
	return Usage{u.Jobs - d.Jobs, u.Tasks - d.Tasks, u.Bytes - d.Bytes}
}

func (u Usage) scale(f float64) Usage {
	return Usage{int(float64(u.Jobs) * f), int(float64(u.Tasks) * f), int64(float64(u.Bytes) * f)}
}

func (u Usage) fits(bound Usage) bool {
	return u.Jobs <= bound.Jobs && u.Tasks <= bound.Tasks && u.Bytes <= bound.Bytes
}

// Options set the controller. Zero fields take the defaults.
type Options struct {
	Bound           Usage   // of one entry; default 20,000 jobs, 400,000 tasks, 256 MiB
	WorkspaceFactor float64 // a workspace may hold this many times what is free; default 2
	BoundsOnly      bool    // baseline: no check of deadlines
}

func (o Options) withDefaults() Options {
	options.Default(&o.Bound.Jobs, 20_000)
	options.Default(&o.Bound.Tasks, 400_000)
	options.Default(&o.Bound.Bytes, 256<<20)
	options.Default(&o.WorkspaceFactor, 2)
	return o
}

const (
	// reopenFill is the fill at which a full queue accepts jobs again. Without the
	// gap, single places that come free go to small jobs only.
	reopenFill = 0.8
	// minWorkspaceShare keeps a full queue from being reported to a small workspace as the
	// workspace's own fault.
	minWorkspaceShare = 0.5
	// marginShare is the share of its deadline that a job may be expected to
	// need for strainedTime after a refusal. Work accepted with no margin expires
	// in the queue when the rate falls, and its resubmission adds load.
	marginShare    = 0.8
	marginDuration = 5 * time.Second
)

// Request describes a job that asks to be accepted.
type Request struct {
	Workspace   string
	Usage       Usage
	Deadline    time.Duration // time left until the answer is due
	Work        time.Duration // expected slot time of all its tasks
	LongestTask time.Duration // expected run time of its longest task
	WorkAhead   time.Duration // expected slot time of running work and of waiting work that the order puts first
	SlotShare   float64       // share of the service's slots that can run it; zero means all
	Confident   bool          // Work and LongestTask rest on observations, not on declarations
}

// Controller holds what one entry has accepted for one service or for all of
// them. It is not safe for concurrent use.
type Controller struct {
	options      Options
	rate         *Rate
	random       *rand.Rand
	use          Usage
	workspaces   map[string]Usage
	full         bool      // the queue was full and has not reached reopenAt
	marginUntil  time.Time // until when deadlines are checked with a margin
	retryHorizon time.Time // to which resubmissions are promised a place
}

// New returns a controller without accepted jobs. The rate is the caller's to
// feed; random is the source of jitter.
func New(o Options, rate *Rate, random *rand.Rand) *Controller {
	return &Controller{options: o.withDefaults(), rate: rate, random: random, workspaces: map[string]Usage{}}
}

// Usage returns what is accepted and not released.
func (c *Controller) Usage() Usage { return c.use }

// WorkspaceUsage returns one workspace's part of Use.
func (c *Controller) WorkspaceUsage(workspace string) Usage { return c.workspaces[workspace] }

// Admit accepts a job and counts it, or returns the reason not to: QueueFull,
// WorkspaceQueueFull or DeadlineInfeasible, with a time after which to retry. A
// deadline that no wait can make feasible has none.
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

// Adjust changes what a workspace is counted with: less when tasks are sent and jobs
// end, more when a task waits again. It never refuses.
func (c *Controller) Adjust(workspace string, d Usage) {
	c.use = c.use.plus(d)
	u := c.workspaces[workspace].plus(d)
	if u == (Usage{}) {
		delete(c.workspaces, workspace)
		return
	}
	c.workspaces[workspace] = u
}

func (c *Controller) checkBounds(r Request, now time.Time) *result.Error {
	bound := c.options.Bound
	if c.full && c.use.fits(bound.scale(reopenFill)) {
		c.full = false
	}
	after := c.use.plus(r.Usage)
	if c.full || !after.fits(bound) {
		c.full = c.full || !c.use.fits(bound.scale(reopenFill))
		return result.New(result.QueueFull, "").WithRetryAfter(c.retryAfter(r, now))
	}
	if !c.workspaceFits(r, bound.minus(after)) {
		return result.New(result.WorkspaceQueueFull, "").WithRetryAfter(c.retryAfter(r, now))
	}
	return nil
}

// workspaceFits reports whether a workspace may hold what it asks for: a multiple of what
// stays free, so that one workspace alone leaves room and many workspaces share evenly,
// and in any case minWorkspaceShare of an equal share.
func (c *Controller) workspaceFits(r Request, free Usage) bool {
	held, known := c.workspaces[r.Workspace]
	workspaces := len(c.workspaces)
	if !known {
		workspaces++
	}
	after := held.plus(r.Usage)
	if after.fits(free.scale(c.options.WorkspaceFactor)) {
		return true
	}
	return after.fits(c.options.Bound.scale(minWorkspaceShare / float64(workspaces)))
}

// checkDeadline compares the time to the deadline with the time that the work
// ahead and the job's own work take at the measured rate. An estimate without
// confidence counts as zero: it never refuses by itself.
func (c *Controller) checkDeadline(r Request, now time.Time) *result.Error {
	rate := c.rateFor(r)
	if rate <= 0 {
		return nil
	}
	if !r.Confident {
		r.Work, r.LongestTask = 0, 0
	}
	alone := max(r.LongestTask, scaled(r.Work, 1/rate))
	if alone > r.Deadline {
		return result.Newf(result.DeadlineInfeasible, "the job alone is expected to take %v", alone.Round(time.Millisecond))
	}
	wait := scaled(r.WorkAhead, 1/rate)
	finish := max(wait+r.LongestTask, scaled(r.WorkAhead+r.Work, 1/rate))
	if finish > r.Deadline {
		c.marginUntil = now.Add(marginDuration)
	}
	if finish <= r.Deadline && (now.After(c.marginUntil) || finish <= c.deadlineWithMargin(r, alone)) {
		return nil
	}
	err := result.Newf(result.DeadlineInfeasible, "the answer is expected after %v", finish.Round(time.Millisecond))
	return err.WithRetryAfter(c.retryAfter(r, now))
}

// deadlineWithMargin returns the time within which a job must be expected to end while the
// controller is strained. The time that the job needs alone takes no cut, or a
// job could be refused with no work ahead of it.
func (c *Controller) deadlineWithMargin(r Request, alone time.Duration) time.Duration {
	return alone + scaled(r.Deadline-alone, marginShare)
}

// rateFor returns the slot seconds per second that the job's targets work off.
func (c *Controller) rateFor(r Request) float64 {
	share := r.SlotShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return c.rate.Value() * share
}

func scaled(d time.Duration, f float64) time.Duration {
	const longest = float64(24 * time.Hour)
	return time.Duration(min(float64(d)*f, longest))
}
