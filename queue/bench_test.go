package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// BenchmarkSelect measures the queue operations of one task start: Select, Update,
// Charge and Peek, with 390 workspaces and 4 groups. One in twenty workspaces is
// over its quota.
func BenchmarkSelect(b *testing.B) {
	for _, jobs := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			q := New(Options{})
			for n := range jobs {
				it := item(n, fmt.Sprint("workspace-", n%390), time.Duration(r.IntN(60_000))*time.Millisecond, time.Duration(r.IntN(20_000))*time.Millisecond)
				it.Group, it.Class = Group(n%4), wire.Class(n/390%2)
				q.Add(it)
			}
			allow := func(workspace string, _ wire.Class) bool {
				return workspace[len(workspace)-1] != '7' || len(workspace) > 7
			}
			groups := []Group{0, 2, 3}
			b.ResetTimer()
			for b.Loop() {
				job, _ := q.Select(groups, allow)
				j := q.jobs[job]
				left := j.item.Remaining - 300*time.Millisecond
				if left < 0 {
					left = time.Minute
				}
				q.Update(job, left, j.item.Waiting, j.item.Class)
				q.Charge(j.item.Workspace, 300*time.Millisecond)
				q.Peek(groups, nil)
			}
		})
	}
}

// BenchmarkRemove measures one removal while all jobs of the queue are being
// cancelled.
func BenchmarkRemove(b *testing.B) {
	for _, jobs := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			for done := 0; done < b.N; done += jobs {
				b.StopTimer()
				q := New(Options{})
				for n := range jobs {
					q.Add(item(n, fmt.Sprint(n%390), time.Duration(n*7919%60_000)*time.Millisecond, time.Duration(n)*time.Millisecond))
				}
				b.StartTimer()
				for n := range min(jobs, b.N-done) {
					q.Remove(id(n))
				}
			}
		})
	}
}
