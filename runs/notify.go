package runs

import "github.com/catkinline/catkinline/workload"

// fitChanged reports whether free differs from lastSent in whether a task of the given need
// fits. In a large fleet other changes matter only to the entry that started a task or waits:
// the others start tasks where they last knew room, and one in many of these starts is refused.
func fitChanged(lastSent, free, need workload.Resources) bool {
	if need == (workload.Resources{}) {
		return lastSent != free
	}
	return need.FitsIn(lastSent) != need.FitsIn(free)
}
