package scale

import (
	"encoding/json"
	"fmt"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/label"
)

// service is the service of all measured agents.
const service = "service-00"

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// document returns a configuration with an override for every target. The
// variant changes every override.
func document(targets, teams, services, variant int) config.Document {
	d := config.Document{
		Services: make(map[string]config.Service),
		Teams:    make(map[string]config.Team),
		Targets:  make(map[string]config.Target),
	}
	for i := range services {
		s := config.Service{Rules: []config.Rule{
			{Requests: "kind=panorama", Targets: "memory=large"},
			{Requests: "kind in (preview|check)", Targets: "generation!=release-9"},
		}}
		s.SetDefaults()
		d.Services[fmt.Sprintf("service-%02d", i)] = s
	}
	for i := range teams {
		d.Teams[teamName(i)] = config.Team{Weight: float64(1 + i%4), QuotaSlots: 4000}
	}
	for i := range targets {
		d.Targets[targetName(i)] = config.Target{Labels: label.Set{
			"memory":     "large",
			"rack":       fmt.Sprintf("rack-%03d", i/3),
			"generation": fmt.Sprintf("release-%d", variant),
		}}
	}
	return d
}

// documentBytes is the size of the document at the target size, with the ids of
// its last changes.
func documentBytes() int {
	d := document(TargetAgents, TargetTeams, TargetServices, 0)
	for i := range config.MaxChanges {
		d.Changes = append(d.Changes, config.Change{
			ID: fmt.Sprintf("%064d", i), Revision: 1 << 62, Digest: fmt.Sprintf("%064d", i),
		})
	}
	text, err := json.Marshal(d)
	if err != nil {
		return 0
	}
	return len(text)
}
