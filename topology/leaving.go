package topology

import "github.com/catkinline/catkinline/wire"

// Leaving has the entries that are known to have begun a planned stop, by name, with the incarnation of
// the process that stops. An entry that was started again is none of them.
type Leaving map[string]wire.Incarnation

// Has reports whether a listed entry is a process that stops.
func (l Leaving) Has(p wire.Peer) bool {
	incarnation, leaving := l[p.Name]
	return leaving && p.Incarnation <= incarnation
}

// compare orders entries that stop after the others.
func (l Leaving) compare(a, b wire.Peer) int {
	switch aLeaves, bLeaves := l.Has(a), l.Has(b); {
	case aLeaves == bLeaves:
		return 0
	case aLeaves:
		return 1
	default:
		return -1
	}
}

// remove forgets the entries that are not listed, or that are listed as another process.
func (l Leaving) remove(listed []wire.Peer) {
	kept := make(map[string]bool)
	for _, p := range listed {
		kept[p.Name] = l.Has(p)
	}
	for name := range l {
		if !kept[name] {
			delete(l, name)
		}
	}
}
