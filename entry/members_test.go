package entry

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/settings"
	"go.uber.org/zap"
)

// Guards against a claim retention in the settings that is not applied, so that a
// repeated request could run again too early.
func TestClaimsUseConfiguredRetention(t *testing.T) {
	parsed, err := settings.ParseEntry([]byte(`{"name": "e", "failure_domain": "d", "caller_address": "127.0.0.1:0",
		"link_address": "127.0.0.1:1", "tls": {"development_secret": "a"}, "claim_retention_hours": 36.5}`))
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(Options{Log: zap.NewNop(), Settings: parsed})
	if err != nil {
		t.Fatal(err)
	}
	if err := e.startMembers(); err != nil {
		t.Fatal(err)
	}
	if got := e.claimOptions().Retention; got != 36*time.Hour+30*time.Minute {
		t.Errorf("claims are kept for %v", got)
	}
}
