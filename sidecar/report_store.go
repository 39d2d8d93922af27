package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/targets"
)

// reportKeyPrefix and the name of an agent form the store key of the last report of the
// agent's target.
const reportKeyPrefix = "targets/"

const (
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = time.Second
	// storeRetryDelay is the delay between attempts while the store fails. It is long enough
	// to keep a whole fleet of agents far below the store's rate limits.
	storeRetryDelay = time.Second
)

// ReportStore saves the target's last report in the store for the next process of the agent,
// because the target may report only a few seconds after that process has started. The next
// process polls the target before it uses the report.
type ReportStore struct {
	store   kv.Store
	key     string
	log     *zap.Logger
	changed chan struct{}

	mu      sync.Mutex
	current targets.Report
}

// NewReportStore returns the report store of an agent's target. The key in the store contains
// the agent's name.
func NewReportStore(store kv.Store, agent string, log *zap.Logger) *ReportStore {
	return &ReportStore{store: store, key: reportKeyPrefix + agent, log: log, changed: make(chan struct{}, 1)}
}

// Save schedules a write of the newest report. It never blocks.
func (s *ReportStore) Save(r targets.Report) {
	s.mu.Lock()
	s.current = r
	s.mu.Unlock()
	signal(s.changed)
}

func (s *ReportStore) newest() targets.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Run passes the report that an earlier process saved to restore, and then writes changed
// reports until ctx ends.
func (s *ReportStore) Run(ctx context.Context, restore func(targets.Report)) {
	revision, saved, found := s.read(ctx)
	if found {
		restore(saved)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		for report := s.newest(); ctx.Err() == nil && !equalIgnoringSequence(report, saved); report = s.newest() {
			next, err := s.write(ctx, revision, report)
			if err == nil {
				revision, saved = next, report
				continue
			}
			s.log.Warn("cannot save the target report", zap.Uint64("revision", revision), zap.Error(err))
			sleep(ctx, storeRetryDelay)
			revision, saved, _ = s.read(ctx) // the failed write may have taken effect
		}
	}
}

// equalIgnoringSequence reports whether two reports differ at most in their sequence numbers and in
// what is not saved.
func equalIgnoringSequence(a, b targets.Report) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0
	return reflect.DeepEqual(a, b)
}

// read returns the saved report and its revision. It retries until the store answers or ctx
// ends.
func (s *ReportStore) read(ctx context.Context) (revision uint64, saved targets.Report, found bool) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout)
		e, err := s.store.Get(call, s.key)
		cancel()
		if errors.Is(err, kv.ErrNotFound) {
			return 0, targets.Report{}, false
		}
		if err == nil {
			if err = json.Unmarshal(e.Value, &saved); err == nil {
				return e.Version, saved, true
			}
			s.log.Warn("cannot decode the saved target report; it will be overwritten", zap.Error(err))
			return e.Version, targets.Report{}, false
		}
		s.log.Warn("cannot read the saved target report from the store", zap.Error(err))
		sleep(ctx, storeRetryDelay)
	}
	return 0, targets.Report{}, false
}

func (s *ReportStore) write(ctx context.Context, revision uint64, r targets.Report) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return s.store.CompareAndSwap(ctx, s.key, revision, value, 0)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
