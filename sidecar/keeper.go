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

// reportsPrefix is where agents keep the last reports of their targets in the
// store: the prefix and the name of the agent.
const reportsPrefix = "targets/"

const (
	// keeperTimeout bounds one call to the store.
	keeperTimeout = time.Second
	// keeperPause is the time between attempts while the store fails. Agents call
	// seldom, so that a fleet of them stays far below the store's rates.
	keeperPause = time.Second
)

// ReportStore keeps the target's last report in the store for the agent's next process,
// since the target may report only some seconds after that has started. The next
// process asks the target before it trusts the report.
type ReportStore struct {
	store   kv.Store
	key     string
	log     *zap.Logger
	changed chan struct{}

	mu      sync.Mutex
	current targets.Report
}

// NewReportStore returns the keeper of an agent's target.
func NewReportStore(store kv.Store, agent string, log *zap.Logger) *ReportStore {
	return &ReportStore{store: store, key: reportsPrefix + agent, log: log, changed: make(chan struct{}, 1)}
}

// Save notes the newest report. It never blocks.
func (k *ReportStore) Save(r targets.Report) {
	k.mu.Lock()
	k.current = r
	k.mu.Unlock()
	signal(k.changed)
}

func (k *ReportStore) newest() targets.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// Run hands what an earlier process kept to recall, and then keeps reports until
// ctx ends.
func (k *ReportStore) Run(ctx context.Context, recall func(targets.Report)) {
	revision, kept, found := k.read(ctx)
	if found {
		recall(kept)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		}
		for report := k.newest(); ctx.Err() == nil && !sameTarget(report, kept); report = k.newest() {
			next, err := k.write(ctx, revision, report)
			if err == nil {
				revision, kept = next, report
				continue
			}
			k.log.Warn("the target's report cannot be kept", zap.Uint64("revision", revision), zap.Error(err))
			pause(ctx, keeperPause)
			revision, kept, _ = k.read(ctx) // the write may have been done
		}
	}
}

// sameTarget reports whether two reports differ in their sequence only.
func sameTarget(a, b targets.Report) bool {
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

// read reads the key until the store answers.
func (k *ReportStore) read(ctx context.Context) (revision uint64, kept targets.Report, found bool) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, keeperTimeout)
		e, err := k.store.Get(call, k.key)
		cancel()
		if errors.Is(err, kv.ErrNotFound) {
			return 0, targets.Report{}, false
		}
		if err == nil {
			if err = json.Unmarshal(e.Value, &kept); err == nil {
				return e.Version, kept, true
			}
			k.log.Warn("the kept report cannot be read; it is written anew", zap.Error(err))
			return e.Version, targets.Report{}, false
		}
		k.log.Warn("the kept report cannot be looked up", zap.Error(err))
		pause(ctx, keeperPause)
	}
	return 0, targets.Report{}, false
}

func (k *ReportStore) write(ctx context.Context, revision uint64, r targets.Report) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	return k.store.CompareAndSwap(ctx, k.key, revision, value, 0)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
