package entry

import (
	"sync"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// quotaBook follows the teams' use of slots at this entry. It implements
// dispatch.Quotas.
type quotaBook struct {
	mu      sync.Mutex
	running map[string]int
	teams   map[string]config.Team
}

func newQuotaBook() *quotaBook {
	return &quotaBook{running: make(map[string]int)}
}

func (q *quotaBook) setTeams(teams map[string]config.Team, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.teams = teams
}

// Allow implements dispatch.Quotas.
func (q *quotaBook) Allow(team string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := q.teams[team].QuotaSlots
	return limit == 0 || q.running[team] < limit
}

// Started implements dispatch.Quotas.
func (q *quotaBook) Started(team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[team]++
}

// Ended implements dispatch.Quotas.
func (q *quotaBook) Ended(team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[team]--
}

// Report returns what peers are told.
func (q *quotaBook) Report() []wire.TeamUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	uses := make([]wire.TeamUse, 0, len(q.running))
	for team, n := range q.running {
		if n > 0 {
			uses = append(uses, wire.TeamUse{Team: team, Running: uint32(n)})
		}
	}
	return uses
}

func (e *Entry) handlePeerState(_ *transport.Link, _ *wire.PeerState) {}
