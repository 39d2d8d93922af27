package runs

import "github.com/catkinline/catkinline/workload"

// manyTasks is the number of tasks from which more room makes no difference to an
// entry that has nothing waiting: it starts a job's tasks on several targets.
const manyTasks = 4

// News reports whether a change of a target's free room matters to an entry that
// has no work waiting, where a usual task has the given need: whether none, one, a
// few or many tasks fit. In a large fleet most changes matter to no entry but the
// one that started or awaited the task.
func News(told, free, need workload.Resources) bool {
	if need == (workload.Resources{}) {
		return told != free
	}
	return roomLevel(told, need) != roomLevel(free, need)
}

func roomLevel(free, need workload.Resources) int {
	switch n := free.Holds(need, manyTasks); n {
	case 0, 1, manyTasks:
		return n
	default:
		return manyTasks / 2
	}
}
