package dispatch

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
)

// Guards against a target that refuses at once, for example because it is down,
// and uses up the attempts of tasks that another target could run.
func TestRefusingTargetDoesNotUseUpAttempts(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	f.agents[0].refuse = true
	ticket := f.submit(0, spec(64, 300*time.Millisecond))
	f.advance(5 * time.Second)
	if a, ok := answer(ticket); !ok || a.Err != nil {
		t.Fatalf("answered %v, error %v", ok, a.Err)
	}
	f.agents[0].refuse = false
	before := f.agents[1].ran
	after := f.submit(0, spec(64, 300*time.Millisecond))
	f.advance(5 * time.Second)
	if a, ok := answer(after); !ok || a.Err != nil {
		t.Fatalf("answered %v, error %v", ok, a.Err)
	}
	if got := f.agents[1].ran - before; got > 48 {
		t.Errorf("the target that is well again got %d of 64 tasks", 64-got)
	}
	f.checkStarts()
}

// Guards against a job that hangs, or that is said to have run, although every
// target refuses it.
func TestJobThatEveryTargetRefusesEndsNotRun(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	f.agents[0].refuse, f.agents[1].refuse = true, true
	ticket := f.submit(0, spec(1, 300*time.Millisecond))
	f.advance(30 * time.Second)
	a, ok := answer(ticket)
	if !ok || a.Err == nil || a.Err.Code != result.AttemptsSpent || a.Err.Ran != result.NotRun {
		t.Fatalf("answered %v, error %+v", ok, a.Err)
	}
	if len(f.starts) != 0 {
		t.Errorf("%d tasks started", len(f.starts))
	}
}
