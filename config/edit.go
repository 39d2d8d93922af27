package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/catkinline/catkinline/label"
)

// Edit changes one object of the document. Edits of different objects never
// conflict.
type Edit struct {
	object Object
	intent any // what identifies the edit, encodable
	apply  func(Value) Value
}

// Object returns the object that the edit changes.
func (e Edit) Object() Object { return e.object }

// SetDrain starts or ends the draining of a target. The target need not have
// been announced yet.
func SetDrain(target string, drain bool) Edit {
	return editTarget(target, struct {
		Drain bool
	}{drain}, func(t Target) Target {
		t.Drain = drain
		return t
	})
}

// SetLabels sets some label overrides of a target and removes others. Where an
// override is removed, the label that the target announced applies again.
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
				return Value{} // equal to a target without an override
			}
			return Value{Target: &t}
		},
	}
}

// PutWorkspace creates or replaces a workspace. Zero fields take the defaults.
func PutWorkspace(name string, workspace Workspace) Edit {
	workspace.SetDefaults()
	return Edit{
		object: Object{KindWorkspace, name},
		intent: workspace,
		apply:  func(Value) Value { return Value{Workspace: &workspace} },
	}
}

// PutService creates or replaces a service. Zero fields keep their meaning; call
// SetDefaults on the service before, if they stand for the defaults.
func PutService(name string, service Service) Edit {
	return Edit{
		object: Object{KindService, name},
		intent: service,
		apply:  func(Value) Value { return Value{Service: &service} },
	}
}

// digestBytes is enough to tell apart the changes of one document.
const digestBytes = 8

// digest identifies what a change asks for.
func digest(intent any) string {
	data, err := json.Marshal(intent)
	if err != nil {
		return "" // not encodable: validation refuses it
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
