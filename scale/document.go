package scale

import (
	"encoding/json"
	"fmt"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/wire"
)

// service is the name of the service of all measured agents.
const service = "service-00"

func workspaceName(i int) string { return fmt.Sprintf("workspace-%03d", i) }

// document returns a configuration document with labels for every target. Each
// variant has other labels on every target.
func document(targets, workspaces, services, variant int) config.Document {
	d := config.Document{
		Services:   make(map[string]config.Service),
		Workspaces: make(map[string]config.Workspace),
		Targets:    make(map[string]config.Target),
	}
	for i := range services {
		s := config.Service{Rules: []config.Rule{
			{Requests: "kind=panorama", Targets: "memory=large"},
			{Requests: "kind in (preview|check)", Targets: "generation!=release-9"},
		}}
		s.SetDefaults()
		d.Services[fmt.Sprintf("service-%02d", i)] = s
	}
	for i := range workspaces {
		d.Workspaces[workspaceName(i)] = config.Workspace{Weight: float64(1 + i%4), QuotaSlots: 4000}
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

// documentBytes returns the size of the document at the target size, with a full
// list of recent changes. It returns 0 if the document can't be encoded.
func documentBytes() int {
	d := document(TargetAgents, TargetWorkspaces, TargetServices, 0)
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

// peerStateBytes returns the size of an entry's report to its peers if every
// workspace has running and waiting tasks.
func peerStateBytes() int {
	state := &wire.PeerState{Revision: 1 << 40}
	for i := range TargetWorkspaces {
		state.Workspaces = append(state.Workspaces, wire.WorkspaceUsage{Workspace: workspaceName(i), Running: 30, Waiting: 3000})
	}
	return encodedBytes(state)
}

// viewBytes returns the size of the configuration view message of one agent.
func viewBytes() int {
	d := document(1, 0, 1, 0)
	s := d.Services[service]
	view := config.AgentView{ServiceName: service, TargetName: targetName(0), Service: &s, Target: d.Targets[targetName(0)]}
	spec, err := view.Encode()
	if err != nil {
		return 0
	}
	return encodedBytes(&wire.View{Revision: 1 << 40, Config: spec})
}

// encodedBytes returns the size of an encoded message, or 0 if it can't be encoded.
func encodedBytes(m wire.Message) int {
	frame, err := wire.Encode(m)
	if err != nil {
		return 0
	}
	return len(frame)
}
