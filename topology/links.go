package topology

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/wire"
)

const (
	// substituteDelay is how long a chosen placer may be unreachable before the agent links to
	// the next one in its order. A process that was killed is back within about a second, and
	// the agent's other link serves its target meanwhile.
	substituteDelay = 800 * time.Millisecond
	// unlinkedDelay is the same for an agent without any link.
	unlinkedDelay = 100 * time.Millisecond
	// retryDelay is the time after which an entry that could not be linked as a substitute is
	// tried again.
	retryDelay = 5 * time.Second
	// settleTime is how long all chosen placers must have been linked before a surplus link is
	// retired, so that a placer that fails again soon does not move links twice.
	settleTime = time.Second
	// retireTime is how long a retiring link stays open without work, so that starts that were
	// sent before the entry learned of it still arrive.
	retireTime = 500 * time.Millisecond
)

// StoreList is the source name of a list of entries that was read from the store.
const StoreList = ""

// Links decides which entries an agent keeps links to: the first of the placers in the order
// of Subset, and the next ones in place of those that cannot be reached; if no placer can be
// reached, other entries, which then place jobs themselves. A link that is no longer needed is
// retired after the link that replaces it is up: the entry is told to send no more starts, and
// the link is closed when no run of the entry is left. It is not safe for concurrent use.
type Links struct {
	rules   Rules
	agent   string
	lists   map[string][]wire.Peer // by source: a linked entry, or StoreList
	linked  map[string]time.Time   // by entry name, since when
	missing map[string]time.Time   // by name of an entry to be linked, since when it has had no link
	retired map[string]time.Time   // by name of a linked entry, since when its link is retiring
	leaving Leaving                // entries that have begun a planned stop, until they are no longer listed

	wasLinked bool        // an entry was linked at some time
	changed   bool        // the lists, or the linked entries whose lists count, have changed
	chosen    []wire.Peer // placers to be linked to
	others    []wire.Peer // all other entries, in the order in which they are substitutes
}

// NewLinks returns the Links of an agent.
func NewLinks(agent string, rules Rules) *Links {
	return &Links{
		rules: rules, agent: agent,
		lists: make(map[string][]wire.Peer), linked: make(map[string]time.Time),
		missing: make(map[string]time.Time), retired: make(map[string]time.Time), leaving: make(Leaving),
	}
}

// SetList replaces the list of live entries from a source. A list that was read from the store
// while no entry is linked replaces all others, whose sources may be gone for good.
func (l *Links) SetList(source string, peers []wire.Peer) {
	if source == StoreList && len(l.linked) == 0 {
		clear(l.lists)
	}
	before, known := l.lists[source]
	l.lists[source] = slices.Clone(peers)
	l.changed = l.changed || !known || !slices.EqualFunc(before, peers, l.sameEntry)
}

// sameEntry reports whether two listed peers are the same but for their incarnation, which only
// influences the links to an entry that has begun a planned stop.
func (l *Links) sameEntry(a, b wire.Peer) bool {
	if _, leaving := l.leaving[a.Name]; !leaving {
		a.Incarnation = b.Incarnation
	}
	return a == b
}

// LinkUp records an open link to an entry. One that has begun a planned stop says so again on each
// link.
func (l *Links) LinkUp(entry string, now time.Time) {
	l.linked[entry], l.wasLinked, l.changed = now, true, true
	delete(l.retired, entry)
	delete(l.missing, entry)
	delete(l.leaving, entry)
}

// LinkDown records that an entry is no longer linked. Its list is kept while no other entry
// is linked.
func (l *Links) LinkDown(entry string) {
	delete(l.linked, entry)
	delete(l.retired, entry)
	l.changed = true
}

// Leaving records that a process of a linked entry has begun a planned stop. Its link stays open for
// the runs that it has, but another entry is linked at once, and the entry is not linked again before
// it is listed as another process.
func (l *Links) Leaving(entry string, process wire.Incarnation) {
	if _, linked := l.linked[entry]; linked {
		l.leaving[entry], l.changed = process, true
	}
}

func (l *Links) isLeaving(name string) bool {
	_, leaving := l.leaving[name]
	return leaving
}

// Moves are the changes to make to an agent's links.
type Moves struct {
	Keep   []wire.Peer // entries to link to and to stay linked to
	Retire []string    // linked entries to tell that no more starts are accepted
	Close  []string    // linked entries whose links to close if they have no work
}

// Next returns the changes that are due. It has to be called after each change of the lists
// or links, and regularly.
func (l *Links) Next(now time.Time) Moves {
	if l.changed {
		l.choose()
	}
	m := Moves{Keep: l.keep(l.chosen, l.others, now)}
	if len(l.chosen) > 0 {
		l.retireSurplus(l.chosen, m.Keep, now)
	}
	m.Retire = slices.Sorted(maps.Keys(l.retired))
	for _, name := range m.Retire {
		if now.Sub(l.retired[name]) >= retireTime {
			m.Close = append(m.Close, name)
		}
	}
	return m
}

// choose updates the chosen placers and the order of the others from the lists.
func (l *Links) choose() {
	live := l.live()
	l.leaving.remove(live)
	placers := l.rules.Placers(live, l.leaving)
	wanted := min(l.rules.LinksPerTarget(len(live)), len(placers))
	order := Subset(l.agent, placers, 0)
	l.chosen, l.others = order[:wanted], slices.Concat(order[wanted:], Subset(l.agent, without(live, placers), 0))
	l.changed = false
}

// without returns the entries that are not among the excluded ones.
func without(entries, excluded []wire.Peer) []wire.Peer {
	return slices.DeleteFunc(slices.Clone(entries), func(p wire.Peer) bool {
		return slices.ContainsFunc(excluded, func(e wire.Peer) bool { return e.Name == p.Name })
	})
}

// keep returns the chosen entries, and the substitutes for those that have been missing too
// long. A substitute that is not linked within substituteDelay gives way to the next one, so
// that an agent dials few entries at a time.
func (l *Links) keep(chosen, others []wire.Peer, now time.Time) []wire.Peer {
	keep, missing := slices.Clone(chosen), make(map[string]time.Time)
	needed := 0
	for _, p := range chosen {
		if l.isLinked(p) {
			continue
		}
		missing[p.Name] = l.missingSince(p, now)
		if l.isLeaving(p.Name) || now.Sub(missing[p.Name]) >= l.substituteDelay() {
			needed++
		}
	}
	for _, p := range others {
		if needed > 0 && l.isLinked(p) {
			keep = append(keep, p)
			needed--
		}
	}
	for _, p := range others {
		since := l.missingSince(p, now)
		if needed == 0 || l.isLinked(p) || now.Sub(since) >= substituteDelay && now.Sub(since) < retryDelay {
			continue
		}
		if now.Sub(since) >= retryDelay {
			since = now
		}
		keep = append(keep, p)
		missing[p.Name] = since
		needed--
	}
	for name, since := range l.missing {
		if _, known := missing[name]; !known && now.Sub(since) < retryDelay && !l.isLinkedTo(name) {
			missing[name] = since
		}
	}
	l.missing = missing
	return keep
}

// substituteDelay returns how long a chosen entry may be missing. An agent that has lost its
// last link does not wait for the processes to come back, since nothing else places on its
// target.
func (l *Links) substituteDelay() time.Duration {
	if len(l.linked) == 0 && l.wasLinked {
		return unlinkedDelay
	}
	return substituteDelay
}

func (l *Links) isLinked(p wire.Peer) bool { return l.isLinkedTo(p.Name) }

func (l *Links) isLinkedTo(name string) bool {
	_, linked := l.linked[name]
	_, retiring := l.retired[name]
	return linked && !retiring && !l.isLeaving(name)
}

// missingSince returns since when an entry has been wanted and not linked.
func (l *Links) missingSince(p wire.Peer, now time.Time) time.Time {
	if since, known := l.missing[p.Name]; known {
		return since
	}
	return now
}

// live returns the entries in the lists of the linked entries or, while none is linked, in
// all lists, each with its latest incarnation.
func (l *Links) live() []wire.Peer {
	if len(l.linked) > 0 {
		maps.DeleteFunc(l.lists, func(source string, _ []wire.Peer) bool {
			_, linked := l.linked[source]
			return !linked && l.hasListOfLinked()
		})
	}
	latest := make(map[string]wire.Peer)
	for _, list := range l.lists {
		for _, p := range list {
			if known, ok := latest[p.Name]; !ok || p.Incarnation > known.Incarnation {
				latest[p.Name] = p
			}
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b wire.Peer) int { return strings.Compare(a.Name, b.Name) })
}

// hasListOfLinked reports whether a linked entry has sent its list.
func (l *Links) hasListOfLinked() bool {
	for name := range l.linked {
		if len(l.lists[name]) > 0 {
			return true
		}
	}
	return false
}

// retireSurplus begins to retire one linked entry that is not to be kept.
func (l *Links) retireSurplus(chosen, keep []wire.Peer, now time.Time) {
	if len(l.retired) > 0 || len(l.linked) <= len(chosen) {
		return
	}
	for _, p := range chosen {
		if since := l.linked[p.Name]; !l.isLinked(p) || now.Sub(since) < settleTime {
			return
		}
	}
	surplus := ""
	for name, since := range l.linked {
		kept := slices.ContainsFunc(keep, func(p wire.Peer) bool { return p.Name == name })
		if !kept && !l.isLeaving(name) && (surplus == "" || cmp.Or(since.Compare(l.linked[surplus]), strings.Compare(name, surplus)) < 0) {
			surplus = name
		}
	}
	if surplus != "" {
		l.retired[surplus] = now
	}
}
