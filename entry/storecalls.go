package entry

import (
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/metrics"
)

// storeCallReporter adds the increase of the store's call counts to the metrics.
type storeCallReporter struct {
	reported map[kv.CallCount]uint64 // by operation and outcome, Calls zeroed
}

// recordStoreCalls adds the calls since the last run to the metrics.
func (e *Entry) recordStoreCalls() {
	if e.store == nil {
		return
	}
	for _, c := range e.store.Counts() {
		if c.Outcome == kv.OutcomePending {
			continue // a gauge; the call is counted when it ends
		}
		key := kv.CallCount{Op: c.Op, Outcome: c.Outcome}
		if fresh := c.Calls - e.calls.reported[key]; fresh > 0 {
			e.metrics.Add(metrics.StoreCalls, int64(fresh), metrics.TagOperation, c.Op.String(), metrics.TagResult, c.Outcome.String())
			e.calls.reported[key] = c.Calls
		}
	}
}
