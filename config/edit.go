package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/catkinline/catkinline/label"
)

// Edit is a change of one object of the document. Edits of different objects never
// conflict.
type Edit struct {
	object Object
	intent any // requested content, encoded as JSON for the digest
	apply  func(Value) Value
}

// Object identifies the object that the edit changes; it need not exist yet.
func (e Edit) Object() Object { return e.object }

// SetDrain returns an edit that starts or ends draining of a target. The target need not
// be announced yet.
func SetDrain(target string, drain bool) Edit {
	return editTarget(target, struct {
		Drain bool
	}{drain}, func(t Target) Target {
		t.Drain = drain
		return t
	})
}

// SetLabels returns an edit that sets and removes label overrides of a target. Without an
// override, the label that the target announced applies.
func SetLabels(target string, set label.Set, remove []string) Edit {
	intent := struct {
		Set    label.Set
		Remove []string
	}{set, remove}
	return editTarget(target, intent, func(t Target) Target {
		t.Labels = t.Labels.Merge(set)
		for _, k := range remove {
			delete(t.Labels, k)
		}
		return t
	})
}

func editTarget(name string, intent any, change func(Target) Target) Edit {
	return Edit{
		object: Object{KindTarget, name},
		intent: intent,
		apply: func(v Value) Value {
			var t Target
			if v.Target != nil {
				t = *v.Target
			}
			t = change(t)
			if !t.Drain && len(t.Labels) == 0 {
				return Value{} // a target without overrides is not listed
			}
			return Value{Target: &t}
		},
	}
}

// PutWorkspace returns an edit that creates or replaces a workspace. Zero fields are set to
// the defaults.
func PutWorkspace(name string, workspace Workspace) Edit {
	workspace.SetDefaults()
	return Edit{
		object: Object{KindWorkspace, name},
		intent: workspace,
		apply:  func(Value) Value { return Value{Workspace: &workspace} },
	}
}

// PutService returns an edit that creates or replaces a service. Zero fields stay zero; call
// SetDefaults on the service first if they stand for the defaults.
func PutService(name string, service Service) Edit {
	return Edit{
		object: Object{KindService, name},
		intent: service,
		apply:  func(Value) Value { return Value{Service: &service} },
	}
}

// digestBytes is the length of a truncated digest. It is sufficient to distinguish the
// changes of one document.
const digestBytes = 8

// digest returns a hash of the requested content of a change.
func digest(intent any) string {
	data, err := json.Marshal(intent)
	if err != nil {
		return "" // not encodable: rejected by validation
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

func (e Edit) digest() string {
	return digest(struct {
		Object Object
		Intent any
	}{e.object, e.intent})
}
