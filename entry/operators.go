package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/dispatch"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/operator"
	"github.com/catkinline/catkinline/outlier"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// serveOperators starts the operators' API if the settings contain its address and
// the entry has a store.
func (e *Entry) serveOperators() error {
	if e.settings.OperatorAddress == "" || e.store == nil {
		return nil
	}
	_, err := e.servers.ServeTLS(httpserve.Operators, e.settings.OperatorAddress, e.credentials.TLS("http/1.1"), e.operatorRoutes())
	return Error.Wrap(err)
}

func (e *Entry) operatorRoutes() http.Handler {
	return operator.NewHandler(operator.Options{
		Applier:   &config.Applier{Store: e.store, Holder: e.config},
		Role:      operatorRole,
		Confirmer: e,
		Status:    e,
		Log:       e.log,
	})
}

func operatorRole(req *http.Request) (wire.Role, bool) {
	if req.TLS == nil {
		return "", false
	}
	identity, err := transport.PeerIdentity(*req.TLS)
	return identity.Role, err == nil
}

// recordConfirmed records the configuration revision that a peer has applied.
func (e *Entry) recordConfirmed(name string, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed[name] = max(e.confirmed[name], revision)
}

// Confirmations implements operator.Confirmer. It lists every entry known from the
// store or a link, so that an unreachable entry counts as missing.
func (e *Entry) Confirmations(_ context.Context, revision uint64) (confirmed, missing []string) {
	if e.config.Current().Revision() >= revision {
		confirmed = append(confirmed, e.settings.Name)
	} else {
		missing = append(missing, e.settings.Name)
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, p := range e.members.Snapshot().Peers {
		if e.confirmed[p.Name] >= revision {
			confirmed = append(confirmed, p.Name)
		} else {
			missing = append(missing, p.Name)
		}
	}
	return confirmed, missing
}

// Status implements operator.StatusProvider.
func (e *Entry) Status(context.Context) operator.Status {
	out := operator.Status{Revision: e.config.Current().Revision(), Entries: e.entryStatus()}
	now := time.Now()
	for _, s := range *e.schedulers.Load() {
		status := s.Status(now)
		out.Queue.Jobs += status.Jobs
		out.Queue.Tasks += status.Waiting
		out.Queue.Bytes += status.Bytes
		for _, t := range status.Targets {
			out.Targets = append(out.Targets, targetStatus(t))
		}
	}
	return out
}

func targetStatus(t dispatch.TargetStatus) operator.TargetStatus {
	return operator.TargetStatus{
		Name:          t.Announce.Target,
		Service:       t.Announce.Service,
		FailureDomain: t.Announce.FailureDomain,
		Region:        t.Announce.Region,
		Labels:        t.Labels,
		Slots:         int(t.Announce.Slots),
		Running:       t.InFlight,
		Draining:      t.Drained,
		Ejected:       t.Health == outlier.Ejected,
	}
}

func (e *Entry) entryStatus() []operator.EntryStatus {
	status := func(p wire.Peer, revision uint64) operator.EntryStatus {
		return operator.EntryStatus{
			Name: p.Name, Address: p.Address, FailureDomain: p.FailureDomain, Region: p.Region, Revision: revision,
		}
	}
	self := status(e.self(), e.config.Current().Revision())
	self.Leaving = e.stopping.Load()
	out := []operator.EntryStatus{self}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, p := range e.members.Snapshot().Peers {
		out = append(out, status(p, e.confirmed[p.Name]))
	}
	return out
}

// gaugeInterval is the interval between updates of the gauges.
const gaugeInterval = 500 * time.Millisecond

// gaugeLoop updates the gauges and the counters of store calls.
func (e *Entry) gaugeLoop() error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case now := <-ticker.C:
			e.setGauges(now)
		}
	}
}

func (e *Entry) setGauges(now time.Time) {
	var waiting, out, ejected int
	var bytes int64
	for _, s := range *e.schedulers.Load() {
		status := s.Status(now)
		waiting += status.Waiting
		out += status.InFlight
		bytes += status.Bytes
		for _, t := range status.Targets {
			if t.Health != outlier.Healthy {
				ejected++
			}
		}
	}
	e.metrics.Set(metrics.JobsRunning, float64(e.counts.running.Load()))
	e.metrics.Set(metrics.TasksWaiting, float64(waiting))
	e.metrics.Set(metrics.TasksInFlight, float64(out))
	e.metrics.Set(metrics.QueuedBytes, float64(bytes))
	e.metrics.Set(metrics.TargetsEjected, float64(ejected))
	e.metrics.Set(metrics.AgentsLinked, float64(e.agentCount()))
	e.metrics.Set(metrics.PeersLinked, float64(len(e.peerLinks())))
	e.recordStoreCalls()
}
