package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// pressureWeight is the weight of one tick in the mean lag: some ten ticks of
	// 10 ms make the mean, less than the shortest objectives.
	pressureWeight = 0.1
	// highLag is the mean lag above which this process has too little processor for
	// the jobs of its peers: every message of a job waits that long, a job takes four,
	// and the shortest objectives leave some 90 ms.
	highLag = 10 * time.Millisecond
)

// pressure measures how late this process gets to what is due: the lag of a loop
// that should run at a fixed interval.
type pressure struct {
	due  time.Time
	mean atomic.Int64 // nanoseconds
}

// tick takes in that the loop runs, at a time. Pauses beyond one interval are one
// lag, so that the ticks after them do not count them again.
func (p *pressure) tick(now time.Time, interval time.Duration) {
	lag := now.Sub(p.due)
	p.due = p.due.Add(interval)
	if lag < 0 || lag > interval {
		p.due = now.Add(interval)
	}
	lag = max(lag, 0)
	if lag > maxPause {
		lag = 0 // the first tick, or one after a pause of the whole process
	}
	mean := p.mean.Load()
	p.mean.Store(mean + int64(pressureWeight*float64(int64(lag)-mean)))
}

// lag returns the mean lag.
func (p *pressure) lag() time.Duration { return time.Duration(p.mean.Load()) }

// high reports whether this process should take no work from its peers.
func (p *pressure) high() bool { return p.lag() > highLag }
