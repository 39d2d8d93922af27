package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// Kind is the kind of a configuration object, as written in the operator API.
type Kind string

// Kinds of configuration objects.
const (
	KindService   Kind = "service"
	KindWorkspace Kind = "workspace"
	KindTarget    Kind = "target"
)

// Object identifies a configuration object; names are unique within a kind.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Value is the content of an object. At most the field of the object's kind is set; none
// is set if the document does not contain the object.
type Value struct {
	Service   *Service   `json:"service,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
	Target    *Target    `json:"target,omitempty"`
}

// Difference is an object whose content differs between two documents.
type Difference struct {
	Object
	Yours  Value `json:"yours"`
	Theirs Value `json:"theirs"`
}

// Diff returns the objects that differ between two documents, sorted by kind and name.
// The lists of changes are not compared.
func Diff(yours, theirs Document) []Difference {
	var out []Difference
	for _, o := range objects(yours, theirs) {
		d := Difference{Object: o, Yours: yours.object(o), Theirs: theirs.object(o)}
		if !d.Yours.equal(d.Theirs) {
			out = append(out, d)
		}
	}
	return out
}

// objects returns every object that any of the documents contains, sorted by kind and
// name.
func objects(documents ...Document) []Object {
	all := map[Object]bool{}
	for _, d := range documents {
		for name := range d.Services {
			all[Object{KindService, name}] = true
		}
		for name := range d.Workspaces {
			all[Object{KindWorkspace, name}] = true
		}
		for name := range d.Targets {
			all[Object{KindTarget, name}] = true
		}
	}
	return slices.SortedFunc(maps.Keys(all), func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// object returns the content of an object, the zero Value if the document does not contain it.
func (d Document) object(o Object) Value {
	var v Value
	switch o.Kind {
	case KindService:
		if s, ok := d.Services[o.Name]; ok {
			v.Service = &s
		}
	case KindWorkspace:
		if w, ok := d.Workspaces[o.Name]; ok {
			v.Workspace = &w
		}
	case KindTarget:
		if t, ok := d.Targets[o.Name]; ok {
			v.Target = &t
		}
	}
	return v
}

// with returns a copy of the document with the object's content replaced, or with the
// object removed if v is empty. The receiver's maps are not changed.
func (d Document) with(o Object, v Value) Document {
	switch o.Kind {
	case KindService:
		d.Services = withMapEntry(d.Services, o.Name, v.Service)
	case KindWorkspace:
		d.Workspaces = withMapEntry(d.Workspaces, o.Name, v.Workspace)
	case KindTarget:
		d.Targets = withMapEntry(d.Targets, o.Name, v.Target)
	}
	return d
}

// withMapEntry returns a copy of a map with one entry replaced, or deleted if value is
// nil.
func withMapEntry[T any](m map[string]T, name string, value *T) map[string]T {
	out := maps.Clone(m)
	if out == nil {
		out = map[string]T{}
	}
	if value == nil {
		delete(out, name)
	} else {
		out[name] = *value
	}
	return out
}

// equal compares the encoded forms, in which an empty map equals an absent one.
func (v Value) equal(other Value) bool {
	a, errA := json.Marshal(v)
	b, errB := json.Marshal(other)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}
