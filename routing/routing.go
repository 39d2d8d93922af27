// Package routing selects the queue of a request from the operators' routes.
package routing

import (
	"errors"
	"slices"
	"strings"
	"time"
)

// Errors of a request without a route.
var (
	ErrNoTable = errors.New("routing: no configuration is known yet")
	ErrNoRoute = errors.New("routing: the configuration has no such route")
)

// Route is a queue of jobs: requests to Host with a path below Prefix. Priority
// 0 is the most urgent.
type Route struct {
	Name           string        `cbor:"1,keyasint"`
	Host           string        `cbor:"2,keyasint"`
	Prefix         string        `cbor:"3,keyasint"`
	Service        string        `cbor:"4,keyasint"`
	Priority       int           `cbor:"5,keyasint,omitempty"`
	MaxAttempts    int           `cbor:"6,keyasint"`           // failed runs of a task after which its job fails
	Timeout        time.Duration `cbor:"7,keyasint,omitempty"` // of a request; 0: none
	Stretch        float64       `cbor:"8,keyasint"`           // objective, in multiples of the job's longest chain of work
	TargetDuration time.Duration `cbor:"9,keyasint,omitempty"` // added to the objective
}

// Table is one version of the operators' routes. It is not changed after Build.
type Table struct {
	Version  uint64
	Document []byte // as the store holds it, for peers
	byHost   map[string][]Route
	routes   int
}

// Build returns the table of a version.
func Build(version uint64, routes []Route, document []byte) *Table {
	t := &Table{
		Version:  version,
		Document: document,
		byHost:   make(map[string][]Route),
		routes:   len(routes),
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// Find returns the route with the longest prefix of the path. A port in the host
// does not count.
func (t *Table) Find(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
