package entry

import (
	"time"

	"github.com/catkinline/catkinline/claim"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/member"
)

// startMembers starts the membership, the configuration watcher and the claims.
// Without a store it only creates the membership, which then contains just the peers
// known from links.
func (e *Entry) startMembers() error {
	if e.store == nil {
		e.members = member.New(nil, e.self(), member.Options{Log: e.log})
		return nil
	}
	e.members = member.New(e.store, e.self(), member.Options{Log: e.log})
	e.members.Start()
	e.watcher = config.StartWatcher(e.store, e.config, e.log)
	e.claims = claim.New(e.store, e.incarnation, e.claimOptions())
	e.claims.Start()
	return nil
}

func (e *Entry) claimOptions() claim.Options {
	return claim.Options{
		Retention: time.Duration(e.settings.ClaimRetentionHours * float64(time.Hour)),
		IsLive:    e.members.IsLive,
		Scopes:    e.claimScopes,
		Log:       e.log,
	}
}
