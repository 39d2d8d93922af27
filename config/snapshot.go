package config

import (
	"fmt"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// Snapshot is a document compiled for the request path, together with newer parts that
// agents returned before the whole document arrived. Snapshots and everything that their
// methods return are immutable.
type Snapshot struct {
	revision uint64
	document Document
	body     []byte
	services map[string]*CompiledService

	// Parts with a higher revision than the document's.
	newerServices map[string]newerService
	newerTargets  map[string]newerTarget
}

type newerService struct {
	revision uint64
	service  *CompiledService // nil: not configured
}

type newerTarget struct {
	revision uint64
	target   Target
}

// CompiledService is a service with its parsed selectors.
type CompiledService struct {
	Service
	Name    string
	targets label.Selector
	rules   []compiledRule
}

type compiledRule struct {
	requests label.Selector
	targets  label.Selector
}

// Compile returns the snapshot of a stored document at a revision. Unknown fields are
// ignored, since during an upgrade a later release may have written them. The error is of type settings.Errors.
func Compile(revision uint64, body []byte) (*Snapshot, error) {
	document, _, errs := ParseStored(revision, body)
	if len(errs) > 0 {
		return nil, errs
	}
	s := &Snapshot{revision: revision, document: document, body: body, services: map[string]*CompiledService{}}
	for name, service := range document.Services {
		s.services[name] = compileService(name, service)
	}
	return s, nil
}

// compileService parses the selectors of a service that has been validated.
func compileService(name string, service Service) *CompiledService {
	out := &CompiledService{Service: service, Name: name, targets: mustParseSelector(service.Targets)}
	for _, r := range service.Rules {
		out.rules = append(out.rules, compiledRule{mustParseSelector(r.Requests), mustParseSelector(r.Targets)})
	}
	return out
}

func mustParseSelector(text string) label.Selector {
	s, err := label.Parse(text)
	if err != nil {
		panic(fmt.Sprintf("config: selector %q was not validated: %v", text, err))
	}
	return s
}

// Revision returns the revision of the whole document, 0 if there is none yet. Only this
// revision may be announced to other processes: merged parts with a higher revision do not
// include the rest of the document.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Document returns the whole document. It must not be changed.
func (s *Snapshot) Document() Document { return s.document }

// Body returns the document's stored form, for a peer. It must not be changed.
func (s *Snapshot) Body() []byte { return s.body }

// Service returns the newest known configuration of a service, false if it is not configured.
func (s *Snapshot) Service(name string) (*CompiledService, bool) {
	if newer, ok := s.newerServices[name]; ok {
		return newer.service, newer.service != nil
	}
	service, ok := s.services[name]
	return service, ok
}

// Workspace returns a workspace's configuration, false if it is not configured.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.document.Workspaces[name]
	return w, ok
}

// Workspaces returns all workspaces by name. The map must not be changed.
func (s *Snapshot) Workspaces() map[string]Workspace { return s.document.Workspaces }

// Target returns the operators' overrides for a target, the zero value if there are none.
func (s *Snapshot) Target(name string) Target {
	if newer, ok := s.newerTargets[name]; ok {
		return newer.target
	}
	return s.document.Targets[name]
}

// TargetLabels returns the effective labels of a target: the announced labels with the
// operators' overrides applied.
func (s *Snapshot) TargetLabels(name string, announced label.Set) label.Set {
	overrides := s.Target(name).Labels
	if len(overrides) == 0 {
		return announced
	}
	return announced.Merge(overrides)
}

// Eligible reports whether a request may run on a target, by their labels. The target's labels
// are those that TargetLabels returns. It is false for a service that is not configured.
func (s *Snapshot) Eligible(service string, request, target label.Set) bool {
	c, ok := s.Service(service)
	return ok && c.Filter(request).Eligible(target)
}

// RevisionFor returns the revision to send with a start of a service's task on a target: the
// highest one for which the configuration of both the service and the target is known.
func (s *Snapshot) RevisionFor(service, target string) uint64 {
	return max(s.revision, min(s.newerServices[service].revision, s.newerTargets[target].revision))
}

// Filter is a list of selectors over target labels. A request may run only on targets that
// match all of them.
type Filter []label.Selector

// Filter returns the selectors for a request: the service's selector and those of every rule
// that matches the request.
func (c *CompiledService) Filter(request label.Set) Filter {
	out := Filter{c.targets}
	for _, r := range c.rules {
		if r.requests.Matches(request) {
			out = append(out, r.targets)
		}
	}
	return out
}

// Eligible reports whether the labels of a target match every selector.
func (f Filter) Eligible(target label.Set) bool {
	for _, s := range f {
		if !s.Matches(target) {
			return false
		}
	}
	return true
}

// Limits returns the limits of a run-time class.
func (c *CompiledService) Limits(class wire.Class) ClassLimits {
	if class == wire.ClassLong {
		return c.Long
	}
	return c.Short
}

// View returns the view for the agent of one target, at the document's revision. It omits
// newer merged parts, since a view must have the content of a single revision.
func (s *Snapshot) View(service, target string) (wire.View, error) {
	v := AgentView{ServiceName: service, TargetName: target, Target: s.document.Targets[target]}
	if c, ok := s.services[service]; ok {
		v.Service = &c.Service
	}
	spec, err := v.Encode()
	return wire.View{Revision: s.revision, Config: spec}, err
}

// withNewerView returns a copy with the newer parts of an agent's view merged, and whether
// there were any.
func (s *Snapshot) withNewerView(revision uint64, v AgentView) (*Snapshot, bool) {
	if revision <= s.revision {
		return s, false
	}
	out, changed := *s, false
	if revision > s.newerServices[v.ServiceName].revision {
		var service *CompiledService
		if v.Service != nil {
			service = compileService(v.ServiceName, *v.Service)
		}
		out.newerServices = withMapEntry(s.newerServices, v.ServiceName, &newerService{revision, service})
		changed = true
	}
	if revision > s.newerTargets[v.TargetName].revision {
		out.newerTargets = withMapEntry(s.newerTargets, v.TargetName, &newerTarget{revision, v.Target})
		changed = true
	}
	return &out, changed
}

// retainNewer copies the parts of the previous snapshot that are newer than this document.
func (s *Snapshot) retainNewer(old *Snapshot) {
	for name, n := range old.newerServices {
		if n.revision > s.revision {
			s.newerServices = withMapEntry(s.newerServices, name, &n)
		}
	}
	for name, n := range old.newerTargets {
		if n.revision > s.revision {
			s.newerTargets = withMapEntry(s.newerTargets, name, &n)
		}
	}
}

// check returns the errors in a view that another process sent.
func (v AgentView) check() settings.Errors {
	d := Document{}
	if v.Service != nil {
		d.Services = map[string]Service{v.ServiceName: *v.Service}
	}
	d.Targets = map[string]Target{v.TargetName: v.Target}
	return d.Validate()
}
