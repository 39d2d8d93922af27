package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// overlapMargin is the shortest overlap of two runs that counts; the record is exact to about
// a millisecond.
const overlapMargin = 10 * time.Millisecond

// Bounds of the rules, as in the settings of the deployment.
const (
	ackTime    = 4 * time.Second
	cancelTime = 3 * time.Second
	stopBound  = 50 * time.Millisecond
	applyTime  = 2 * time.Second
	drainTime  = 2 * time.Second
	resendTime = 1300 * time.Millisecond
)

// siteRunners is the number of runners of the site, of which one may crash, leave or be cut off at a time.
const siteRunners = 11

// exitTime is how long a runner that leaves takes to end, with its work: less than stop_ms.
const exitTime = 20 * time.Millisecond

// previewRoute is the only route of most cases.
var previewRoute = route{name: "r-preview", host: "kuva.example", prefix: "/kuva/", timeout: 30 * time.Second}

// ordinaryRunners returns runners of one kind and size.
func (s *scene) ordinaryRunners(n int) []identity {
	var list []identity
	for i := range n {
		list = append(list, identity{
			id: fmt.Sprintf("i-%04d", i+1), service: s.service, labels: []string{"a", fmt.Sprintf("r1-%d", i+1)}, cpu: 32000, memory: 131072,
		})
	}
	return list
}

// traffic submits a job to each gateway in turn until the time is over, and waits for the answers.
func (s *scene) traffic(r route, job func() jobBody, interval, length time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		m := s.edges[n%len(s.edges)]
		wg.Go(func() { s.client.submit(m, r, newJobID(), job(), 5*time.Second) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// simpleJob returns a job of one step.
func simpleJob(tasks int, work time.Duration) jobBody {
	return jobBody{
		Spec: fmt.Sprintf("work=%d", work.Milliseconds()), BestEffort: true,
		Steps: []step{{Count: tasks, CPU: 3100, Memory: 64, Estimate: work.Milliseconds()}},
	}
}

// foreignReport sends a sidecar one liveness report of another writer, with a service that no
// configuration names. It must name no runner to use, and the runner that is there must hold.
func foreignReport(s *scene) ([]string, error) {
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(4)); err != nil {
		return nil, err
	}
	if s.trouble {
		time.AfterFunc(5*time.Second, func() {
			side := s.sides[0]
			writer := identity{id: "w-71c0", service: "mittausasema", zone: side.zone, labels: []string{"m"}, cpu: 4000, memory: 8192}
			body := heartbeatBody(writer, fmt.Sprintf("%s:%d", side.ip, runnerPort+1), "ready", time.Now().Add(-time.Second), 1)
			status, err := postHeartbeat(context.Background(), side.control(), writer.id, body)
			s.rec.printf("foreign report of %s for service %s to %s: status %d, %v", writer.id, writer.service, side.name, status, err)
		})
	}
	job := func() jobBody {
		j := simpleJob(4, 800*time.Millisecond)
		j.Steps[0].CPU = 1500
		return j
	}
	s.traffic(previewRoute, job, 75*time.Millisecond, 10*time.Second)
	var violations []string
	for _, o := range overlaps(s.spans.snapshot(), overlapMargin) {
		violations = append(violations, "TWICE: "+o.String())
	}
	return violations, nil
}

// leavingRunner takes a runner away as planned that has work which lasts longer than its drain.
func leavingRunner(s *scene) ([]string, error) {
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(siteRunners)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	left := make(chan error, 1)
	if s.trouble {
		time.AfterFunc(2*time.Second, func() { left <- s.sides[0].runner.leave(drainTime+500*time.Millisecond, exitTime) })
	}
	var wg sync.WaitGroup
	for n := range 26 {
		m := s.edges[n%len(s.edges)]
		wg.Go(func() { s.client.submit(m, previewRoute, newJobID(), simpleJob(3, 7*time.Second), 25*time.Second) })
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	if s.trouble {
		if err := <-left; err != nil {
			return nil, err
		}
	}
	var violations []string
	for _, o := range overlaps(s.spans.snapshot(), overlapMargin) {
		violations = append(violations, "TWICE: "+o.String())
	}
	return violations, nil
}

// kindRounds is how often the runner comes back as kind b; between two of them it is kind a again.
const kindRounds = 3

// otherKind has a runner of kind a crash and come back under its id as kind b. A heartbeat that its earlier
// life had sent arrives right after the new one has registered. Jobs that need kind a must not start
// there.
func otherKind(s *scene) ([]string, error) {
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	runners := s.ordinaryRunners(siteRunners)
	for i := 2; i < len(runners); i++ {
		runners[i].labels[0] = "b"
	}
	if err := s.start(3, runners); err != nil {
		return nil, err
	}
	settled := make(chan []time.Time, 1)
	if s.trouble {
		go func() { settled <- s.changeKinds(s.sides[0].runner) }()
	}
	job := func() jobBody {
		j := simpleJob(1, 300*time.Millisecond)
		j.Steps[0].Requirements = "a"
		return j
	}
	s.traffic(previewRoute, job, 100*time.Millisecond, 3*time.Second+kindRounds*8*time.Second)
	var times []time.Time
	if s.trouble {
		times = <-settled
	}
	var violations []string
	for _, p := range s.spans.snapshot() {
		if strings.HasPrefix(p.labels, "a,") || !duringKindB(times, p.from) {
			continue
		}
		violations = append(violations, fmt.Sprintf("ROUTE: %s needs a and started at %.3f on %s with labels %s", p.task, s.rec.seconds(p.from), p.runner, p.labels))
	}
	return violations, nil
}

// changeKinds lets a runner of kind a come back as kind b and as kind a by turns, and returns the times from
// which on a start on kind b counts: half a second after all of its heartbeats had been answered.
func (s *scene) changeKinds(r *runner) []time.Time {
	var settled []time.Time
	time.Sleep(2 * time.Second)
	for range kindRounds {
		who, _ := r.current()
		deliver := r.lateHeartbeat()
		for _, kind := range []string{"b", "a"} {
			r.crash("crashed")
			time.Sleep(700 * time.Millisecond)
			who.labels = []string{kind, who.labels[1]}
			if err := r.start(who, 0); err != nil {
				s.rec.printf("runner %s cannot start: %v", r.name, err)
				return settled
			}
			if kind == "b" {
				time.Sleep(10 * time.Millisecond)
				deliver()
				time.Sleep(500 * time.Millisecond)
				settled = append(settled, time.Now())
			}
			time.Sleep(3 * time.Second)
		}
	}
	return settled
}

// duringKindB reports whether a time is one from which on starts on kind b count.
func duringKindB(settled []time.Time, t time.Time) bool {
	for _, from := range settled {
		if !t.Before(from) && t.Sub(from) < 3*time.Second {
			return true
		}
	}
	return false
}

// lateCopy cancels a job, and seconds after the answers to both requests a copy of the job's
// request arrives at another gateway.
func lateCopy(s *scene) ([]string, error) {
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(4)); err != nil {
		return nil, err
	}
	type cancelled struct {
		id string
		at time.Time
	}
	var acknowledged []cancelled
	var late sync.WaitGroup
	for n := range 3 {
		id, m := newJobID(), s.edges[n%len(s.edges)]
		job := simpleJob(4, 3*time.Second)
		answered := make(chan answer, 1)
		go func() { answered <- s.client.submit(m, previewRoute, id, job, 20*time.Second) }()
		time.Sleep(time.Second)
		ack := s.client.cancel(m, previewRoute, id)
		first := <-answered
		if ack.status/100 != 2 || first.status/100 != 2 {
			return nil, fmt.Errorf("job %s: cancelling was answered %d, its request %d, want 2xx", id, ack.status, first.status)
		}
		acknowledged = append(acknowledged, cancelled{id, ack.at})
		if s.trouble {
			late.Go(func() {
				time.Sleep(cancelTime + 500*time.Millisecond)
				s.rec.printf("a copy of the request of %s arrives late", id)
				s.client.submit(s.edges[(n+1)%len(s.edges)], previewRoute, id, job, 20*time.Second)
			})
		}
	}
	time.Sleep(cancelTime + 5*time.Second)
	late.Wait()
	var violations []string
	for _, p := range s.spans.snapshot() {
		for _, c := range acknowledged {
			if strings.HasPrefix(p.task, c.id+".") && p.from.Sub(c.at) > cancelTime {
				violations = append(violations, fmt.Sprintf("UNASKED: %s started on %s %.1f s after the cancelling of its job was acknowledged",
					p.task, p.runner, p.from.Sub(c.at).Seconds()))
			}
		}
	}
	return violations, nil
}

// droppedRoute cancels a job whose route has been removed from the configuration meanwhile.
func droppedRoute(s *scene) ([]string, error) {
	other := route{name: "r-check", host: "kuva.example", prefix: "/tarkistus/", timeout: 30 * time.Second}
	if _, err := s.configure(previewRoute, other); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(4)); err != nil {
		return nil, err
	}
	id, m := newJobID(), s.edges[0]
	job := simpleJob(2, 16*time.Second)
	answered := make(chan answer, 1)
	go func() { answered <- s.client.submit(m, previewRoute, id, job, 25*time.Second) }()
	time.Sleep(time.Second)
	if s.trouble {
		if _, err := s.configure(other); err != nil {
			return nil, err
		}
		time.Sleep(applyTime + 500*time.Millisecond)
	}
	// A client asks again until it has an answer that acknowledges the cancelling.
	first := time.Now()
	done := first.Add(ackTime)
	for time.Now().Before(first.Add(ackTime)) {
		a := s.client.cancel(m, previewRoute, id)
		if a.status/100 == 2 || a.status == 410 {
			done = a.at
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	limit := done.Add(cancelTime + stopBound)
	<-answered
	var violations []string
	for _, p := range s.spans.snapshot() {
		if strings.HasPrefix(p.task, id+".") && p.to.After(limit) {
			violations = append(violations, fmt.Sprintf("UNASKED: %s was at work on %s until %.1f s after its job was first cancelled",
				p.task, p.runner, p.to.Sub(first).Seconds()))
		}
	}
	return violations, nil
}

// waitingCancel cancels a job that waits in a gateway that has just started again.
func waitingCancel(s *scene) ([]string, error) {
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(4)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	m := s.edges[0]
	if s.trouble {
		m.kill(s.deployment)
		if err := m.start(s.deployment); err != nil {
			return nil, err
		}
		if err := s.await(m.name+" accepts connections", 5*time.Second, func() bool { return accepts(m.front()) }); err != nil {
			return nil, err
		}
	}
	return s.cancelAndWatch(m, []*machine{m}, simpleJob(2, 9*time.Second), 150*time.Millisecond)
}

// accepts reports whether something listens at an address.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// cancelAndWatch submits a job at one gateway, and cancels it a while later at the first of some gateways
// that answers. It returns the tasks that are still at work when they have to be gone.
func (s *scene) cancelAndWatch(at *machine, cancelAt []*machine, job jobBody, pause time.Duration) ([]string, error) {
	id := newJobID()
	answered := make(chan answer, 1)
	go func() { answered <- s.client.submit(at, previewRoute, id, job, 20*time.Second) }()
	time.Sleep(pause)
	var ack answer
	for _, m := range cancelAt {
		if ack = s.client.cancel(m, previewRoute, id); ack.err == nil {
			break
		}
	}
	if ack.status/100 != 2 && ack.status != 410 {
		return nil, fmt.Errorf("cancelling job %s was answered %d, want 2xx or 410", id, ack.status)
	}
	limit := ack.at.Add(cancelTime + stopBound)
	<-answered
	time.Sleep(time.Until(limit.Add(200 * time.Millisecond)))
	var violations []string
	for _, p := range s.spans.snapshot() {
		if strings.HasPrefix(p.task, id+".") && p.to.After(limit) {
			violations = append(violations, fmt.Sprintf("UNASKED: %s was at work on %s until %.1f s after the cancelling of its job was acknowledged with %d",
				p.task, p.runner, p.to.Sub(ack.at).Seconds(), ack.status))
		}
	}
	return violations, nil
}

// cancelRetried cancels one of many running jobs through the ingress. The channel of the DELETE is reset
// before the request has reached a gateway, and the client's retry reaches another one.
func cancelRetried(s *scene) ([]string, error) {
	const others = 24 // jobs of other clients, whose channels stay as they are
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(siteRunners)); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	in, err := s.newIngress(s.edges[0])
	if err != nil {
		return nil, err
	}
	defer in.listener.Close()
	for range others {
		go s.client.submit(in.machine, previewRoute, newJobID(), simpleJob(1, 9*time.Second), 20*time.Second)
	}
	if s.trouble {
		time.AfterFunc(800*time.Millisecond, func() { in.resetNext.Store(true) })
	}
	return s.cancelAndWatch(in.machine, []*machine{in.machine, s.edges[1]}, simpleJob(2, 10*time.Second), time.Second)
}

// lateOrders has the runners leave half of the orders unanswered and carry them out late, in spells. Half of
// the jobs take longer than their clients wait: the gateway answers 504, and the client sends the job again to
// another node. No task may run twice at the same time.
func lateOrders(s *scene) ([]string, error) {
	const (
		spells   = 10
		spellFor = 5500 * time.Millisecond
		calmFor  = 3500 * time.Millisecond
		wait     = 1500 * time.Millisecond
	)
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(8)); err != nil {
		return nil, err
	}
	setLateShare := func(share float64) {
		s.rec.printf("share of late orders: %.2f", share)
		for _, m := range s.sides {
			m.runner.setLateShare(share)
		}
	}
	if s.trouble {
		go func() {
			for range spells {
				time.Sleep(calmFor)
				setLateShare(0.5)
				time.Sleep(spellFor)
				setLateShare(0)
			}
		}()
	}
	var wg sync.WaitGroup
	end := time.Now().Add(spells * (spellFor + calmFor))
	for n := 0; time.Now().Before(end); n++ {
		job := simpleJob(2, 170*time.Millisecond)
		if n%2 == 0 {
			job = simpleJob(4, 4*time.Second)
		}
		job.Steps[0].CPU = 400
		wg.Go(func() {
			id := newJobID()
			a := s.client.submit(s.edges[n%3], previewRoute, id, job, wait+100*time.Millisecond)
			if a.status == http.StatusGatewayTimeout {
				time.Sleep(resendTime)
				s.client.submit(s.edges[(n+1)%3], previewRoute, id, job, wait+100*time.Millisecond)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	var violations []string
	for _, o := range overlaps(s.spans.snapshot(), overlapMargin) {
		violations = append(violations, "TWICE: "+o.String())
	}
	return violations, nil
}

// frozenGateway freezes one gateway after the other for four seconds. Clients whose request is not answered
// within their time budget leave, and send their job again to another node. No task may run twice at the same
// time.
func frozenGateway(s *scene) ([]string, error) {
	const (
		freezes   = 14
		freezeFor = 4 * time.Second
		calmFor   = 2500 * time.Millisecond
		wait      = 1500 * time.Millisecond
	)
	if _, err := s.configure(previewRoute); err != nil {
		return nil, err
	}
	if err := s.start(3, s.ordinaryRunners(12)); err != nil {
		return nil, err
	}
	in := s.watchRotation()
	if s.trouble {
		go func() {
			for i := range freezes {
				time.Sleep(calmFor)
				m := s.edges[i%len(s.edges)]
				m.signal(s.deployment, syscall.SIGSTOP)
				time.Sleep(freezeFor)
				m.signal(s.deployment, syscall.SIGCONT)
			}
		}()
	}
	job := simpleJob(4, 760*time.Millisecond)
	job.Steps[0].CPU = 500
	var wg sync.WaitGroup
	for end := time.Now().Add(freezes * (freezeFor + calmFor)); time.Now().Before(end); time.Sleep(time.Second / 150) {
		wg.Go(func() {
			id, m := newJobID(), in.pick(nil)
			for range 3 {
				a := s.client.submit(m, previewRoute, id, job, wait)
				if a.err == nil && a.status != http.StatusGatewayTimeout && a.status != http.StatusBadGateway {
					return
				}
				time.Sleep(resendTime)
				m = in.pick(m)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	var violations []string
	for _, o := range overlaps(s.spans.snapshot(), 0) {
		violations = append(violations, "TWICE: "+o.String())
	}
	return violations, nil
}
