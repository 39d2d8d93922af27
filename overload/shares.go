package overload

import (
	"math"
	"time"
)

// Shares compares the work that each kind of job gets with its share of the recent demand.
type Shares struct {
	kinds  map[string]*share
	agedAt time.Time
	filled float64 // share of usualMemory that has been observed
}

// share has a kind's recent work, in thousandths of core-seconds, with weights that fall to 1/e in
// shareMemory, and in usualMemory for usual.
type share struct{ wanted, served, usual, weight float64 }

const (
	// shareMemory is short since bursts last 3 to 7 s and a kind must not starve for the first of them.
	shareMemory = time.Second
	// usualMemory is longer than bursts and waves of demand.
	usualMemory = 20 * time.Second
	// minFilled bounds the share of usualMemory that counts as observed, for the first second.
	minFilled = 0.05
	// fullShare is the part of its due at which a kind counts as served. Jobs that have just arrived
	// are not served yet, and nothing may change without overload.
	fullShare = 0.95
	// minWeight keeps a kind that has got nothing from going ahead of much shorter jobs for long.
	minWeight = 0.25
)

// NewShares returns Shares without observations.
func NewShares() *Shares { return &Shares{kinds: make(map[string]*share)} }

func (s *Shares) of(kind string) *share {
	k := s.kinds[kind]
	if k == nil {
		k = &share{weight: 1}
		s.kinds[kind] = k
	}
	return k
}

// Wanted records the work of a job that arrived.
func (s *Shares) Wanted(kind string, work float64) {
	k := s.of(kind)
	k.wanted += work
	k.usual += work
}

// Served records work that was started.
func (s *Shares) Served(kind string, work float64) { s.of(kind).served += work }

// Weight returns the multiplier of a kind's aging delay: 1 while all kinds get what they ask for,
// less for a kind that gets a smaller part of its usual demand than all kinds together.
func (s *Shares) Weight(kind string) float64 { return s.of(kind).weight }

// Age lowers the weight of past work and computes the kinds' weights.
func (s *Shares) Age(now time.Time) {
	elapsed := now.Sub(s.agedAt).Seconds()
	first := s.agedAt.IsZero()
	s.agedAt = now
	if first || elapsed <= 0 {
		return
	}
	keep, keepUsual := math.Exp(-elapsed/shareMemory.Seconds()), math.Exp(-elapsed/usualMemory.Seconds())
	s.filled = 1 - (1-s.filled)*keepUsual
	wanted, served := 0.0, 0.0
	for _, k := range s.kinds {
		k.wanted *= keep
		k.served *= keep
		k.usual *= keepUsual
		due := k.due(s.filled)
		wanted += due
		served += min(k.served, due)
	}
	for kind, k := range s.kinds {
		if k.usual < 1 {
			delete(s.kinds, kind)
			continue
		}
		k.weight = 1
		if due := k.due(s.filled); served > 0 && k.served < fullShare*due {
			k.weight = min(1, max(minWeight, k.served/due*wanted/served))
		}
	}
}

// due returns the recent work that the kind asked for, or what it usually asks for in the same time
// if that is less, so that a kind pays for its own burst.
func (k *share) due(filled float64) float64 {
	return min(k.wanted, k.usual*shareMemory.Seconds()/(usualMemory.Seconds()*max(filled, minFilled)))
}
