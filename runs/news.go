package runs

import "github.com/catkinline/catkinline/workload"

// manyTasks is the number of tasks from which more room makes no difference to an
// entry: it starts a job's tasks on several targets.
const manyTasks = 4

// news reports whether a change of a target's free room matters where a task has
// the given need: whether none, one, a few or many tasks fit. In a large fleet most
// changes matter to no entry but the one that started or awaited a task.
func news(told, free, need workload.Resources) bool {
	if need == (workload.Resources{}) {
		return told != free
	}
	return roomLevel(told, need) != roomLevel(free, need)
}

func roomLevel(free, need workload.Resources) int {
	switch n := free.MaxTasks(need, manyTasks); n {
	case 0, 1, manyTasks:
		return n
	default:
		return manyTasks / 2
	}
}
