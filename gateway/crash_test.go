package gateway

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

func crashOf(target string, task workload.TaskID) *wire.CrashReport {
	return &wire.CrashReport{Target: target, Born: 1, Suspects: []crash.Suspect{{Task: task, Route: "r", RunTime: time.Millisecond}}}
}

func (l *recordingLink) crashReports() int {
	n := 0
	for _, m := range l.sent() {
		if _, ok := m.(*wire.CrashReport); ok {
			n++
		}
	}
	return n
}

// Guards against a job whose task has crashed two targets and that crashes more when it is
// handed in again at another gateway, or at one that has just started: what one gateway learns
// of crashes, the others know.
func TestCrashesAreSharedWithPeers(t *testing.T) {
	task := workload.TaskID{Job: "5c0e7a21d94b36f8"}
	first, second := newPlacer(t), newPlacer(t)
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	first.forwarder.linkUp(l)
	first.handleAgentCrash(crashOf("a", task))
	first.handleAgentCrash(crashOf("a", task))
	first.handlePeerCrash(crashOf("b", task))
	if n := l.crashReports(); n != 1 {
		t.Errorf("the linked peer got %d reports, want the one that is new and from an agent", n)
	}
	late := &recordingLink{silentLink: silentLink{name: "late"}}
	first.sendCrashes(late)
	if late.crashReports() != 2 {
		t.Fatalf("a new peer got %d reports, want 2", late.crashReports())
	}
	for _, m := range late.sent() {
		second.handlePeerCrash(m.(*wire.CrashReport))
	}
	_, a := second.scheduler.Submit(placement.Request{
		Job:   workload.Job{ID: task.Job, Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 1000}}}},
		Route: routing.Route{Name: "r", MaxAttempts: 2}, Deadline: time.Now().Add(time.Second),
	}, time.Now())
	if a == nil || a.Outcome != placement.Failed {
		t.Errorf("answer of the second gateway: %+v, want failed", a)
	}
}
