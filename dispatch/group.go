package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/result"
)

// group is a set of selectors that requests need, with the targets that match them.
// The jobs of a group can run on the same targets.
type group struct {
	id         queue.Group
	key        string
	filter     config.Filter
	targets    []*target
	emptySince time.Time // zero if a target matches
}

// noTargetTimeout is how long queued jobs wait for a target of their group to
// return. New jobs of a group without targets are rejected at once.
const noTargetTimeout = 5 * time.Second

// groupFor returns the group of a request under the current configuration, and
// creates it if necessary.
func (s *Scheduler) groupFor(request label.Set) (*group, *result.Error) {
	if s.snapshot == nil {
		return nil, result.New(result.NotConfigured, "")
	}
	service, ok := s.snapshot.Service(s.opts.Service)
	if !ok {
		return nil, result.New(result.UnknownService, s.opts.Service)
	}
	filter := service.Filter(request)
	key := filterKey(filter)
	if g := s.groups[key]; g != nil {
		return g, nil
	}
	g := &group{id: queue.Group(len(s.groupsByID)), key: key, filter: filter}
	s.groups[key] = g
	s.groupsByID = append(s.groupsByID, g)
	s.assignTargets(g)
	return g, nil
}

func filterKey(f config.Filter) string {
	texts := make([]string, len(f))
	for i, s := range f {
		texts[i] = s.String()
	}
	return strings.Join(texts, ";")
}

// assignTargets finds the targets of a group. Targets that lost their link stay in
// the group until targetLossTimeout, so that a short loss of a link rejects no job.
func (s *Scheduler) assignTargets(g *group) {
	g.targets = g.targets[:0]
	for _, t := range s.sortedTargets {
		if t.announced && !t.announce.Draining && !t.drained && s.regionAllowed(t) && g.filter.Eligible(t.labels) {
			g.targets = append(g.targets, t)
			t.groups = append(t.groups, g.id)
			t.groupSetKey += strconv.Itoa(int(g.id)) + ","
		}
	}
}

func (s *Scheduler) regionAllowed(t *target) bool {
	if t.distance < distanceOtherRegion {
		return true
	}
	service, ok := s.snapshot.Service(s.opts.Service)
	return ok && service.SpillAcrossRegions
}

// Distances from this entry to a target, nearest first.
const (
	distanceSameDomain  = iota // same failure domain
	distanceSameRegion         // same region
	distanceOtherRegion        // another region
)

// applyConfig derives the distance, the labels and the drain state of a target from
// its announcement and the configuration.
func (s *Scheduler) applyConfig(t *target) {
	t.distance = s.distance(t)
	t.labels = t.announce.Labels
	if s.snapshot == nil {
		return
	}
	t.labels = s.snapshot.TargetLabels(t.announce.Target, t.announce.Labels)
	t.drained = s.snapshot.Target(t.announce.Target).Drain
}

func (s *Scheduler) distance(t *target) int {
	switch {
	case t.announce.FailureDomain == s.opts.FailureDomain:
		return distanceSameDomain
	case t.announce.Region == s.opts.Region:
		return distanceSameRegion
	}
	return distanceOtherRegion
}

// rebuildGroups assigns targets to every group again after a target or the
// configuration has changed.
func (s *Scheduler) rebuildGroups() {
	for _, t := range s.targets {
		t.groups, t.groupSetKey = nil, ""
	}
	for _, g := range s.groupsByID {
		s.assignTargets(g)
	}
}

// addTarget adds a target and keeps the list sorted by name, so that the order of
// messages does not depend on map iteration.
func (s *Scheduler) addTarget(name string) *target {
	t := newTarget(name)
	s.targets[name] = t
	s.outliers.Add(name)
	at, _ := slices.BinarySearchFunc(s.sortedTargets, name, func(t *target, name string) int {
		return strings.Compare(t.name, name)
	})
	s.sortedTargets = slices.Insert(s.sortedTargets, at, t)
	return t
}

func (s *Scheduler) removeTarget(t *target) {
	delete(s.targets, t.name)
	s.outliers.Remove(t.name)
	s.sortedTargets = slices.DeleteFunc(s.sortedTargets, func(other *target) bool { return other == t })
}

// SetConfig applies a newer configuration and assigns every job to a group of it.
func (s *Scheduler) SetConfig(snapshot *config.Snapshot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snapshot
	s.setWeights()
	if service, ok := snapshot.Service(s.opts.Service); ok {
		s.outliers.SetMaxEjectedShare(service.MaxEjectedShare)
	}
	for _, t := range s.targets {
		t.configStale = false
		s.applyConfig(t)
	}
	s.groups = make(map[string]*group)
	s.groupsByID = nil
	s.rebuildGroups()
	for _, j := range s.jobsInOrder() {
		s.reassignGroup(j, now)
	}
	s.schedule(now)
}

func (s *Scheduler) setWeights() {
	weights := make(map[string]float64)
	for name, workspace := range s.snapshot.Workspaces() {
		weights[name] = workspace.Weight
	}
	s.queue.SetWeights(weights)
}

// reassignGroup finds the group of a job under a new configuration. A job whose
// service was removed fails; its answer reports whether tasks have run.
func (s *Scheduler) reassignGroup(j *activeJob, now time.Time) {
	s.dequeue(j)
	g, refusal := s.groupFor(j.job.Spec().Labels)
	if refusal != nil {
		if j.job.Fail(refusal) {
			s.finish(j, now)
		}
		return
	}
	j.group = g
	if !j.held {
		s.enqueue(j)
	}
}

// jobsInOrder returns the jobs in order of arrival. The queue orders jobs with
// equal keys by insertion.
func (s *Scheduler) jobsInOrder() []*activeJob {
	jobs := slices.Collect(maps.Values(s.jobs))
	slices.SortFunc(jobs, func(a, b *activeJob) int { return cmp.Compare(a.seq, b.seq) })
	return jobs
}
