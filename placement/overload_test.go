package placement_test

import "testing"

func TestOverloadFigures(t *testing.T) {
	for _, l := range []overloadLoad{burstsAbovePeak(), waves(), spareCapacity()} {
		for _, m := range playOverload(l, []uint64{1, 2}) {
			t.Log(l.name, m)
		}
	}
}
