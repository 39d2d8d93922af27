package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// lagWeight is the weight of one tick in the exponential moving average. The mean
	// covers about ten ticks of 10 ms, which is less than the shortest objectives.
	lagWeight = 0.1
	// maxMeanLag is the mean lag above which this process has too little CPU for jobs of its
	// peers: each message of a job waits that long, a job takes four messages, and the
	// shortest objectives leave about 90 ms.
	maxMeanLag = 10 * time.Millisecond
)

// lagMeter measures the scheduling lag of this process: how late a loop runs that should run
// at a fixed interval. tick must be called from one goroutine; the other methods are safe for
// concurrent use.
type lagMeter struct {
	due  time.Time    // of the next tick
	mean atomic.Int64 // nanoseconds
}

// tick records that the loop runs at now. A delay of more than one interval counts as one lag,
// so that the ticks after it do not count it again.
func (m *lagMeter) tick(now time.Time, interval time.Duration) {
	lag := now.Sub(m.due)
	m.due = m.due.Add(interval)
	if lag < 0 || lag > interval {
		m.due = now.Add(interval)
	}
	lag = max(lag, 0)
	if lag > maxPause {
		lag = 0 // the first tick, or the first one after a pause of the process
	}
	mean := m.mean.Load()
	m.mean.Store(mean + int64(lagWeight*float64(int64(lag)-mean)))
}

// meanLag returns the moving average of the lag.
func (m *lagMeter) meanLag() time.Duration { return time.Duration(m.mean.Load()) }

// tooHigh reports whether this process should decline jobs of its peers.
func (m *lagMeter) tooHigh() bool { return m.meanLag() > maxMeanLag }
