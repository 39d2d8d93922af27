package placement_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/catkinline/catkinline/workload"
)

// mix makes a fleet unequal: racks, tasks that take longer away from their data, tasks of a job
// that differ, and runs that take much longer than their siblings.
type mix struct {
	racks          int
	far            float64 // factor on the run time of a task whose data is in another rack
	dataShare      float64 // of the jobs, that name a data rack
	spread         float64 // sigma of the tasks of one job
	stragglerShare float64 // of the runs, that take tailFactor times as long
	dataRacks      map[string]string
}

// deployment is one of the two example loads of docs/design/requirements.md.
type deployment struct {
	hosts    int
	speeds   []float64 // in equal parts
	perRack  int
	far      float64
	kinds    []jobKind
	load     func(kind int, at time.Duration) float64
	dataRack float64 // share of the jobs; the document does not say it
}

const deploymentEntries = 10

// exampleKinds are the kinds of the requirements at given rates of A, B and C.
func exampleKinds(a, b, c float64) []jobKind {
	return []jobKind{
		{"A", a, 8, 55 * time.Millisecond, 0.00485, 0},
		{"B", b, 4, 830 * time.Millisecond, 0.0267, 2},
		{"C", c, 2, 185 * time.Millisecond, 0.00167, 1},
	}
}

// firstDeployment peaks at 1.5 times the mean, with a burst of one kind.
func firstDeployment() deployment {
	return deployment{61, []float64{1, 1, 1.3}, 7, 1.5, exampleKinds(206, 37.5, 600), func(kind int, at time.Duration) float64 {
		x := 1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/15)
		if kind == 2 && at > 2*time.Second && at < 6*time.Second {
			x *= 2
		}
		return x
	}, 0.3}
}

// secondDeployment swings by 0.55 within 15 s.
func secondDeployment() deployment {
	return deployment{58, []float64{0.55, 1.2, 1.2, 1.2}, 9, 3, exampleKinds(181, 33, 529), func(_ int, at time.Duration) float64 { return dailyLoad(at) }, 0.3}
}

func newDeployment(seed uint64, d deployment) *simFleet {
	f := newFleet(seed, deploymentEntries, d.hosts)
	f.kinds, f.taskCPU = d.kinds, 2800
	f.mix = mix{racks: (d.hosts + d.perRack - 1) / d.perRack, far: d.far, dataShare: d.dataRack, spread: 0.15, dataRacks: map[string]string{}}
	order := f.random.Perm(d.hosts)
	for i, h := range f.hosts {
		h.speed = d.speeds[order[i]%len(d.speeds)]
		h.rack = fmt.Sprint("rack-", i/d.perRack)
		h.cpu = []int64{32000, 32000, 48000}[order[i]/len(d.speeds)%3]
		h.table.SetCapacity(workload.Resources{CPU: h.cpu, Memory: 131072})
		h.broadcastState()
	}
	f.run(10 * time.Millisecond)
	return f
}

func (h *simHost) labels() []string {
	if h.rack == "" {
		return nil
	}
	return []string{"kind", h.rack}
}

func (m *mix) dataRack(f *simFleet, job string) string {
	if m.dataShare == 0 || f.random.Float64() >= m.dataShare {
		return ""
	}
	m.dataRacks[job] = fmt.Sprint("rack-", f.random.IntN(m.racks))
	return m.dataRacks[job]
}

// factor returns what a run takes longer than its job's tasks do on average: by its task, its
// rack, and its own length.
func (m *mix) factor(h *simHost, id workload.RunID) float64 {
	factor := 1.0
	if m.spread > 0 {
		factor = math.Exp(m.spread * normal(id.Task.String()))
	}
	if rack := m.dataRacks[id.Task.Job]; rack != "" && rack != h.rack {
		factor *= m.far
	}
	if m.stragglerShare > 0 && uniform(id.String()) < m.stragglerShare {
		factor *= tailFactor
	}
	return factor
}

// uniform returns a number from 0 to 1 that depends on a name only, so that a task is as long
// wherever it runs.
func uniform(name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return float64((x^x>>33)>>11) / (1 << 53)
}

// normal returns a normally distributed number that depends on a name only.
func normal(name string) float64 {
	return math.Sqrt(-2*math.Log(1-uniform(name+"/a"))) * math.Cos(2*math.Pi*uniform(name+"/b"))
}
