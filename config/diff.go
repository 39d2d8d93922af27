package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

// Kind is the kind of an object in the document.
type Kind string

// The kinds of objects.
const (
	KindService   Kind = "service"
	KindWorkspace Kind = "workspace"
	KindTarget    Kind = "target"
)

// Object names one object of the document.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Value is the content of an object: the field of its kind, or none if the
// document does not have the object.
type Value struct {
	Service   *Service   `json:"service,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
	Target    *Target    `json:"target,omitempty"`
}

// Difference is an object with its content on two sides.
type Difference struct {
	Object
	Yours  Value `json:"yours"`
	Theirs Value `json:"theirs"`
}

// Diff returns the objects in which two documents differ, by kind and name.
// Their changes are not compared.
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

// objects returns every object that one of the documents has.
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

// object returns the content of one object.
func (d Document) object(o Object) Value {
	var v Value
	switch o.Kind {
	case KindService:
		if s, ok := d.Services[o.Name]; ok {
			v.Service = &s
		}
	case KindWorkspace:
		if t, ok := d.Workspaces[o.Name]; ok {
			v.Workspace = &t
		}
	case KindTarget:
		if t, ok := d.Targets[o.Name]; ok {
			v.Target = &t
		}
	}
	return v
}

// with returns a copy of the document in which one object has other content.
func (d Document) with(o Object, v Value) Document {
	switch o.Kind {
	case KindService:
		d.Services = replaced(d.Services, o.Name, v.Service)
	case KindWorkspace:
		d.Workspaces = replaced(d.Workspaces, o.Name, v.Workspace)
	case KindTarget:
		d.Targets = replaced(d.Targets, o.Name, v.Target)
	}
	return d
}

func replaced[T any](objects map[string]T, name string, value *T) map[string]T {
	out := maps.Clone(objects)
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

// equal compares the encoded forms, so that an empty map equals an absent one.
func (v Value) equal(other Value) bool {
	a, errA := json.Marshal(v)
	b, errB := json.Marshal(other)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}
