package config

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/kv"
)

// Timeouts and delays of a Watcher. A change must take effect everywhere within 4 s. A
// silent watch delays it by at most watchTimeout and then one read of at most
// callTimeout; after an outage the longest delay is watchRetryMaxDelay.
const (
	watchTimeout       = 1500 * time.Millisecond
	watchRetryMinDelay = 50 * time.Millisecond
	watchRetryMaxDelay = time.Second
	refreshInterval    = 200 * time.Millisecond // minimum between reads caused by Refresh
	minWatchDuration   = 10 * time.Millisecond  // a watch that returns empty sooner did not wait
)

var errRefresh = errors.New("config: refresh")

// Watcher passes the documents of the store to a holder. It keeps one watch
// pending and reads the key again when the watch ends without a change, since
// a connection can go silent without an error. Neither a store that is down nor one that
// returns stale data reverts the holder's snapshot.
type Watcher struct {
	store  kv.Store
	holder *Holder
	log    *zap.Logger
	tomb   tomb.Tomb

	after    uint64 // store revision after which the next watch starts
	invalid  uint64 // revision of the last invalid document, which is logged once
	down     bool
	retry    backoff
	lastRead time.Time

	mu     sync.Mutex
	cancel context.CancelCauseFunc // of the pending watch
}

// StartWatcher starts a watcher, which runs until Stop is called.
func StartWatcher(store kv.Store, holder *Holder, log *zap.Logger) *Watcher {
	w := &Watcher{store: store, holder: holder, log: log}
	w.retry = backoff{minDelay: watchRetryMinDelay, maxDelay: watchRetryMaxDelay}
	w.tomb.Go(w.loop)
	return w
}

// Stop cancels the pending watch and waits until the watcher has ended.
func (w *Watcher) Stop() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// Refresh makes the watcher read the store at once, or refreshInterval after the last
// read. It is called when a peer or an agent reports a higher revision than the holder's.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel(errRefresh)
	}
}

func (w *Watcher) loop() error {
	for w.tomb.Alive() {
		err := w.readAndWatch()
		w.report(err)
		if err == nil {
			w.retry.reset()
			continue
		}
		w.retry.sleep(w.tomb.Dying())
	}
	return nil
}

// readAndWatch reads the key and then watches until a watch ends without a
// change.
func (w *Watcher) readAndWatch() error {
	if err := w.read(); err != nil {
		return err
	}
	w.report(nil)
	for {
		changed, err := w.watch()
		if err != nil || !changed {
			return err
		}
	}
}

func (w *Watcher) read() error {
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	w.lastRead = time.Now()
	entries, revision, err := w.store.List(ctx, Key)
	if err != nil {
		return err
	}
	for _, e := range entries {
		w.adopt(e)
	}
	w.after = max(w.after, revision)
	return nil
}

// watch waits for changes once.
func (w *Watcher) watch() (changed bool, err error) {
	ctx, cancel := w.watchContext()
	defer cancel()
	start := time.Now()
	changes, next, err := w.store.Watch(ctx, Key, w.after)
	if err != nil {
		return false, w.watchError(ctx, err)
	}
	for _, c := range changes {
		if !c.Deleted {
			w.adopt(c.Entry)
		}
	}
	advanced := next > w.after
	w.after = max(w.after, next)
	if !advanced && time.Since(start) < minWatchDuration {
		return false, errors.New("config: store watch returned at once without a change")
	}
	return advanced, nil
}

// watchContext returns the context of the pending watch, which Refresh cancels.
func (w *Watcher) watchContext() (context.Context, func()) {
	timed, stop := context.WithTimeout(w.tomb.Context(context.Background()), watchTimeout)
	ctx, cancel := context.WithCancelCause(timed)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
	return ctx, func() {
		cancel(nil)
		stop()
	}
}

// watchError returns nil for a watch that this watcher ended, and err for one that failed.
func (w *Watcher) watchError(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errRefresh):
		w.waitRefreshInterval()
		return nil
	case cause != nil:
		return nil
	}
	return err
}

// waitRefreshInterval waits until refreshInterval has passed since the last read, which
// limits the rate of the reads that Refresh triggers.
func (w *Watcher) waitRefreshInterval() {
	timer := time.NewTimer(time.Until(w.lastRead.Add(refreshInterval)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.tomb.Dying():
	}
}

func (w *Watcher) adopt(e kv.Entry) {
	if e.Key != Key || e.Version <= w.invalid {
		return
	}
	changed, err := w.holder.AdoptStored(e.Version, e.Value)
	if err != nil {
		w.invalid = e.Version
		w.log.Error("stored configuration is invalid; the previous one stays in effect",
			zap.Uint64("revision", e.Version), zap.Error(err))
		return
	}
	if changed {
		w.log.Debug("configuration adopted", zap.Uint64("revision", e.Version))
	}
}

// report logs when the store stops or starts responding.
func (w *Watcher) report(err error) {
	down := err != nil
	if down == w.down || !w.tomb.Alive() {
		return
	}
	w.down = down
	if down {
		w.log.Warn("store does not respond; the current configuration stays in effect", zap.Error(err))
		return
	}
	w.log.Info("store responds again")
}
