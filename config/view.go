package config

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/catkinline/catkinline/wire"
)

// ErrView is the error class of views that cannot be encoded, decoded or validated.
var ErrView = errs.Class("agent view")

// AgentView is the part of the configuration that one agent needs. Its encoded form is sent in
// wire.View.Config.
type AgentView struct {
	ServiceName string   `cbor:"1,keyasint"`
	TargetName  string   `cbor:"2,keyasint"`
	Service     *Service `cbor:"3,keyasint,omitempty"` // nil: the service is not configured
	Target      Target   `cbor:"4,keyasint"`
}

// viewEncMode is deterministic, because an entry sends a view only if its bytes have changed.
var viewEncMode = newViewEncMode()

func newViewEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// viewDecMode limits the memory that decoding a view from another process allocates. A
// service has at most 64 rules and a target at most 32 labels.
var viewDecMode = newViewDecMode()

func newViewDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 10,
		MaxMapPairs:      1 << 10,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the view's encoding. Equal views have equal encodings.
func (v AgentView) Encode() ([]byte, error) {
	data, err := viewEncMode.Marshal(v)
	return data, ErrView.Wrap(err)
}

// DecodeView decodes and validates a view from another process. Its errors are in ErrView.
func DecodeView(data []byte) (AgentView, error) {
	var v AgentView
	if err := viewDecMode.Unmarshal(data, &v); err != nil {
		return AgentView{}, ErrView.Wrap(err)
	}
	if invalid := v.check(); len(invalid) > 0 {
		return AgentView{}, ErrView.Wrap(invalid)
	}
	return v, nil
}

// Compiled returns the view's service with its parsed selectors, nil if the service is not
// configured. It panics on invalid selectors; the view must come from DecodeView.
func (v AgentView) Compiled() *CompiledService {
	if v.Service == nil {
		return nil
	}
	return compileService(v.ServiceName, *v.Service)
}

// ViewTracker tracks an agent's current view and the revision up to which that view is
// known to be current. The zero value has no view. Links are identified by name. ViewTracker
// is not safe for concurrent use.
//
// An entry sends a view only when its bytes differ from those it last sent on the same link,
// and otherwise only the revision. In between, the agent may have adopted a different view
// from another entry. A revision without a view therefore refers to the last view of its own
// link, never to the agent's current one.
type ViewTracker struct {
	current wire.View
	byLink  map[string]wire.View
}

// Current returns the view with the highest known revision.
func (v *ViewTracker) Current() wire.View { return v.current }

// Receive records a view received on a link and reports whether the current view or its
// revision changed.
func (v *ViewTracker) Receive(link string, view wire.View) bool {
	if v.byLink == nil {
		v.byLink = map[string]wire.View{}
	}
	v.byLink[link] = view
	return v.adopt(view)
}

// ReceiveRevision records a revision received without a view on a link: the link's last
// view is unchanged at that revision. It reports whether the current view or its revision
// changed.
func (v *ViewTracker) ReceiveRevision(link string, revision uint64) bool {
	view, ok := v.byLink[link]
	if !ok || revision < view.Revision {
		return false
	}
	view.Revision = revision
	v.byLink[link] = view
	return v.adopt(view)
}

// RemoveLink drops the link's last view. The current view stays.
func (v *ViewTracker) RemoveLink(link string) { delete(v.byLink, link) }

func (v *ViewTracker) adopt(view wire.View) bool {
	if view.Revision <= v.current.Revision {
		return false
	}
	v.current = view
	return true
}
