package runs

import "github.com/catkinline/catkinline/workload"

// manyTasks is the number of tasks from which more free capacity makes no difference to
// an entry, since it spreads a job's tasks over several targets.
const manyTasks = 4

// capacityLevelChanged reports whether free differs from lastSent in its level for tasks
// of the given need: none, one, a few or many tasks fit. In a large fleet most smaller
// changes matter only to the entry that started or waits for a task.
func capacityLevelChanged(lastSent, free, need workload.Resources) bool {
	if need == (workload.Resources{}) {
		return lastSent != free
	}
	return capacityLevel(lastSent, need) != capacityLevel(free, need)
}

// capacityLevel returns 0, 1, manyTasks/2 for a few tasks, or manyTasks.
func capacityLevel(free, need workload.Resources) int {
	switch n := free.MaxTasks(need, manyTasks); n {
	case 0, 1, manyTasks:
		return n
	default:
		return manyTasks / 2
	}
}
