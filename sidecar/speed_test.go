package sidecar_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Guards against a placer that knows nothing of a target's speed after its restart, although the
// agent was told, and against a speed that is passed on for a target that is another machine.
func TestAgentPassesSpeedOn(t *testing.T) {
	runFixture(t, withRunTime(10*time.Millisecond), func(b *fixture) {
		first := b.open("a")
		told := &wire.TargetSpeed{Log: -0.6, Runs: 12}
		start := &wire.RunStart{Run: id(0, 1), Spec: "s", Need: workload.Resources{CPU: 1000}, TimeLeft: time.Second, Target: "i-standin", Speed: told}
		b.sidecar.Handle(first, start)
		foreign := *start
		foreign.Run, foreign.Target, foreign.Speed = id(1, 1), "i-earlier", &wire.TargetSpeed{Log: 1, Runs: 40}
		b.sidecar.Handle(first, &foreign)
		if got := b.open("b").state().Speed; got == nil || *got != *told {
			t.Errorf("a new link is told the speed %+v, want %+v", got, told)
		}
		b.number++
		b.sidecar.HandleReport(targets.Report{
			Target: "i-standin", Service: "frames", Capacity: workload.Resources{CPU: 48000, Memory: 131072}, Born: b.born(), Sequence: b.number,
		})
		if got := b.open("c").state().Speed; got != nil {
			t.Errorf("the speed %+v is passed on for a target of another size", got)
		}
	})
}
