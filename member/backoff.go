package member

import (
	"math/rand/v2"
	"time"
)

// backoff returns the delays between failed attempts. The limit doubles from
// minBackoff to bound; each delay is drawn from the upper half of the limit, so that
// entries spread out and none retries at once.
type backoff struct {
	bound    time.Duration
	random   *rand.Rand
	failures int
	limit    time.Duration
}

func newBackoff(bound time.Duration, random *rand.Rand) *backoff {
	return &backoff{bound: bound, random: random, limit: minBackoff}
}

func (b *backoff) reset() {
	b.failures = 0
	b.limit = minBackoff
}

func (b *backoff) next() time.Duration {
	limit := min(b.limit, b.bound)
	b.failures++
	b.limit = 2 * limit
	half := limit / 2
	return half + time.Duration(b.random.Int64N(int64(half)+1))
}

// jitter returns d, randomly increased or decreased by up to the given fraction.
func jitter(random *rand.Rand, d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*random.Float64()-1)))
}
