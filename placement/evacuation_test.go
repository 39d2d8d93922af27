package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// joinIn links an agent whose target, with room for four tasks, is in a failure domain.
func joinIn(s *placement.Scheduler, name, domain string, now time.Time) *recordingLink {
	l := &recordingLink{}
	s.LinkUp(name, 1, l)
	m := state(name, 8000, 8000)
	m.FailureDomain = domain
	s.HandleState(name, l, m, now)
	return l
}

// Guards against starts on targets in evacuated domains, also on those that announce themselves
// later or change over from one domain to the next, and against targets that stay unused after the
// revocation.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	s := placement.New(placement.Options{})
	a, b := joinIn(s, "a", "d1", begin), joinIn(s, "b", "d2", begin)
	s.SetEvacuations(evacuation.New(5, []string{"d1", "nowhere"}), begin)
	submit(t, s, request("1", 8, 2000), after(time.Millisecond))
	late := joinIn(s, "late", "d1", after(2*time.Millisecond))
	s.Tick(after(10 * time.Millisecond))
	if len(a.starts()) != 0 || len(late.starts()) != 0 || len(b.starts()) != 4 {
		t.Errorf("%d and %d starts in the evacuated domain, %d in the other one; want 0, 0, 4", len(a.starts()), len(late.starts()), len(b.starts()))
	}
	s.SetEvacuations(evacuation.New(6, []string{"d2"}), after(20*time.Millisecond))
	if n := len(a.starts()) + len(late.starts()); n != 4 {
		t.Errorf("%d starts in d1 after its revocation, want the 4 waiting tasks", n)
	}
	if b.stops() != 0 {
		t.Error("runs in d2 were stopped")
	}
}

// Guards against jobs that wait for their whole time while all targets that could run them are
// evacuated, against a lost run that is there already, and against an entry that becomes not ready.
func TestAllDomainsEvacuated(t *testing.T) {
	s := placement.New(placement.Options{})
	a, b := joinIn(s, "a", "d1", begin), joinIn(s, "b", "d2", begin)
	running := submit(t, s, request("1", 8, 2000), begin)
	waiting := submit(t, s, request("2", 2, 2000), begin)
	s.SetEvacuations(evacuation.New(5, []string{"d1"}), after(time.Millisecond))
	if answer, ended := answered(waiting); ended {
		t.Fatalf("answered although d2 is left: %+v", answer)
	}
	s.SetEvacuations(evacuation.New(6, []string{"d1", "d2"}), after(2*time.Millisecond))
	if answer, _ := answered(waiting); answer.Outcome != placement.Refused || answer.RetryAfter < time.Second {
		t.Errorf("answer to the waiting job: %+v, want a refusal with a delay", answer)
	}
	if _, refusal := s.Submit(request("3", 1, 2000), after(3*time.Millisecond)); refusal == nil || refusal.Outcome != placement.Refused || refusal.RetryAfter < time.Second {
		t.Errorf("answer to a new job: %+v, want a refusal with a delay", refusal)
	}
	if a.stops()+b.stops() != 0 || !s.HasTargets() || s.UsableTargets() != 2 {
		t.Errorf("%d runs were stopped, %d usable targets; want 0, 2", a.stops()+b.stops(), s.UsableTargets())
	}
	for _, l := range []*recordingLink{a, b} {
		for _, start := range l.starts() {
			s.HandleRunEnd(map[*recordingLink]string{a: "a", b: "b"}[l], l, &wire.RunEnd{Run: start.Run, Status: wire.EndDone}, after(100*time.Millisecond))
		}
	}
	if answer, _ := answered(running); answer.Outcome != placement.Done {
		t.Errorf("answer to the running job: %+v, want done", answer)
	}
}

// Guards against a job that waits although the last target outside the evacuated domains has gone
// for good, and against one that is refused while such a target only restarts.
func TestLastOtherTargetLeaves(t *testing.T) {
	s := placement.New(placement.Options{})
	joinIn(s, "a", "d1", begin)
	b := joinIn(s, "b", "d2", begin)
	s.SetEvacuations(evacuation.New(5, []string{"d1"}), begin)
	submit(t, s, request("1", 4, 2000), begin)
	r := request("2", 1, 2000)
	r.Route.TargetDuration = 4 * time.Second
	waiting := submit(t, s, r, begin)
	s.LinkDown("b", b, after(10*time.Millisecond))
	tickUntil(s, 20*time.Millisecond, 600*time.Millisecond)
	if answer, ended := answered(waiting); ended {
		t.Errorf("answer while the target may come back: %+v", answer)
	}
	if _, refusal := s.Submit(request("3", 1, 2000), after(610*time.Millisecond)); refusal != nil {
		t.Errorf("refused while the target may come back: %+v", refusal)
	}
	tickUntil(s, 620*time.Millisecond, 900*time.Millisecond)
	if answer, _ := answered(waiting); answer.Outcome != placement.Refused {
		t.Errorf("answer after the target has gone: %+v, want a refusal", answer)
	}
	if _, refusal := s.Submit(request("4", 1, 2000), after(time.Second)); refusal == nil {
		t.Error("accepted after the target has gone")
	}
}

// Guards against an agent's refusal that counts against its target, that is answered by the next
// start at once, or that leaves a job waiting that no other target could run.
func TestRefusalInEvacuatedDomain(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("entry knows the evacuation: %t", known), func(t *testing.T) {
			s := placement.New(placement.Options{})
			a := joinIn(s, "a", "d1", begin)
			ticket := submit(t, s, request("1", 1, 2000), begin)
			e := evacuation.New(5, []string{"d1"})
			if known {
				s.SetEvacuations(e, after(time.Millisecond))
			}
			if _, ended := answered(ticket); ended {
				t.Fatal("a job whose start is in flight was answered")
			}
			s.HandleRunEnd("a", a, &wire.RunEnd{
				Run: a.starts()[0].Run, Status: wire.EndNotRun, Evacuations: wire.NewEvacuations(e),
				Room: wire.Room{Free: capacity(8000), StartsReceived: 1},
			}, after(2*time.Millisecond))
			answer, ended := answered(ticket)
			if ended != known || known && answer.Outcome != placement.Refused {
				t.Errorf("answered: %t, %+v", ended, answer)
			}
			if n := len(a.starts()); n != 1 {
				t.Errorf("%d starts right after the refusal, want none but the first", n)
			}
			s.SetEvacuations(evacuation.New(6, nil), after(3*time.Millisecond))
			if known {
				submit(t, s, request("2", 1, 2000), after(3*time.Millisecond))
				if n := len(a.starts()); n != 2 {
					t.Errorf("%d starts after the revocation, want 2: the refusal is no fault of the target", n)
				}
			}
		})
	}
}

// Guards against a step that waits in vain because the only targets with its label are evacuated.
func TestLabelOnlyInEvacuatedDomain(t *testing.T) {
	s := placement.New(placement.Options{})
	joinIn(s, "b", "d2", begin)
	l := &recordingLink{}
	s.LinkUp("a", 1, l)
	m := state("a", 8000, 8000)
	m.FailureDomain, m.Labels = "d1", []string{"gpu"}
	s.HandleState("a", l, m, begin)
	s.SetEvacuations(evacuation.New(5, []string{"d1"}), begin)
	r := request("1", 1, 2000)
	r.Job.Steps = append(r.Job.Steps, workload.Step{Tasks: 1, Need: workload.Resources{CPU: 1000}, RequiredLabel: "gpu", After: []int{0}})
	if _, refusal := s.Submit(r, begin); refusal == nil || refusal.Outcome != placement.Refused {
		t.Errorf("answer: %+v, want a refusal", refusal)
	}
}
