package sidecar

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/settings"
)

// Guards against targets that stay unused after a loss of all power while their agents wait for
// the list of entries to settle, and against links of a whole fleet to the entries that happen
// to register first.
func TestListSettlesAtFirstStartOnly(t *testing.T) {
	process := func(first bool, age time.Duration) *Process {
		p, err := NewProcess(ProcessOptions{Node: settings.Node{Name: "a", FirstStart: first}, Log: zap.NewNop(), LinkSecret: "s"})
		if err != nil {
			t.Fatal(err)
		}
		p.created = time.Now().Add(-age)
		return p
	}
	one, two := []string{"e1"}, []string{"e1", "e2"}
	for _, c := range []struct {
		first         bool
		age           time.Duration
		names, before []string
		want          bool
	}{
		{false, 0, one, nil, true},
		{true, 0, one, nil, false},
		{true, 0, two, one, false},
		{true, 0, two, two, true},
		{true, 2 * listSettleTimeout, two, one, true},
	} {
		if got := process(c.first, c.age).listSettled(c.names, c.before); got != c.want {
			t.Errorf("first start %t, age %v, list %v after %v: settled %t, want %t", c.first, c.age, c.names, c.before, got, c.want)
		}
	}
}
