package httpserve

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/metrics"
)

// seriesGap is the time without a refusal after which the next one of its reason is logged again. Refusals
// come by the thousand; the counters show how many.
const seriesGap = 10 * time.Second

// group is a set of clients with a budget of their own.
type group struct {
	name     Group
	opts     Options
	budget   *ingress.Budget
	rulesNow atomic.Pointer[ingress.Rules]
	refusals refusals
	series   map[string]*atomic.Int64 // by reason: Unix time in ns of the last refusal
}

// limits returns the part of a plan for a group.
func limits(name Group, p ingress.Plan) ingress.Limits {
	switch name {
	case Readiness, Metrics:
		return p.Probes
	case Operators:
		return p.Operators
	}
	return p.Clients
}

func newGroup(name Group, o Options) *group {
	refusalBody := reasonBody
	if name == Callers && o.RefusalBody != nil {
		refusalBody = o.RefusalBody
	}
	g := &group{
		name: name, opts: o, budget: ingress.NewBudget(limits(name, o.Plan)),
		refusals: newRefusals(refusalBody), series: make(map[string]*atomic.Int64),
	}
	for _, reason := range []string{
		metrics.ReasonHeadTooLarge, metrics.ReasonHeadTimeout, metrics.ReasonBodyTooLarge, metrics.ReasonBodyTimeout,
		metrics.ReasonBusy, metrics.ReasonChosen, metrics.ReasonConnections, metrics.ReasonIdle, metrics.ReasonHandshake,
	} {
		g.series[reason] = new(atomic.Int64)
	}
	rules := ingress.DefaultRules
	g.rulesNow.Store(&rules)
	return g
}

// backlog returns how many connections may wait to be accepted.
func (g *group) backlog() int { return limits(g.name, g.opts.Plan).Backlog }

func (g *group) rules() *ingress.Rules { return g.rulesNow.Load() }

// count counts a refusal, and logs it if it is the first of a series.
func (g *group) count(reason string) { g.countMany(reason, 1) }

func (g *group) countMany(reason string, n int) {
	g.opts.Metrics.Add(metrics.ClientsRefused, int64(n), metrics.TagGroup, string(g.name), metrics.TagReason, reason)
	now := time.Now().UnixNano()
	last := g.series[reason].Swap(now)
	if reason == metrics.ReasonIdle || time.Duration(now-last) < seriesGap {
		return
	}
	connections, bytes := g.budget.Usage()
	g.opts.Log.Info("refusing clients", zap.String("group", string(g.name)), zap.String("reason", reason),
		zap.Int("connections", connections), zap.Int64("bytes", bytes))
}

// evict closes the connections of clients that were chosen.
func (g *group) evict(clients []*ingress.Client) {
	if n := ingress.Evict(clients); n > 0 {
		g.countMany(metrics.ReasonChosen, n)
	}
}

func (g *group) gaugeLoop(stop <-chan struct{}) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return nil
		case <-ticker.C:
			connections, bytes := g.budget.Usage()
			g.opts.Metrics.Set(metrics.ClientConnections, float64(connections), metrics.TagGroup, string(g.name))
			g.opts.Metrics.Set(metrics.ClientBytes, float64(bytes), metrics.TagGroup, string(g.name))
		}
	}
}

// handler returns a handler that tells the connection what the server has read before it calls h.
func (g *group) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c.tls != nil {
			state := c.tls.ConnectionState()
			r.TLS = &state
		}
		if !c.headRead(r.ContentLength) {
			g.count(metrics.ReasonBusy)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write(g.refusals.busy.body) // fails only if the client has gone
			return
		}
		h.ServeHTTP(w, r)
	})
}

// listener accepts the connections of a group from a drainListener.
type listener struct {
	net.Listener
	group *group
	tls   *tls.Config // nil: plain
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked, ok := accepted.(*drainConn)
		if !ok {
			_ = accepted.Close() // it has ended already
			continue
		}
		c := &conn{drainConn: tracked, group: l.group, inHead: true}
		client, evict := l.group.budget.Admit(c, time.Now())
		l.group.evict(evict)
		if client != nil {
			c.client = client
			if l.tls != nil {
				c.tls = tls.Server(tracked, l.tls)
			}
			return c, nil
		}
		l.group.count(metrics.ReasonConnections)
		if tcp, ok := tracked.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel keeps nothing of it
		}
		_ = tracked.Close()
	}
}
