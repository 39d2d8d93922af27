// Package routing selects the route of a job request by its host and path.
package routing

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/ingress"
)

// Errors for requests that no route matches. Callers get their texts in the response body.
var (
	ErrNoTable = errors.New("routing: no configuration is known yet")
	ErrNoRoute = errors.New("routing: the configuration has no such route")
)

// Route holds the settings for jobs that are requested from Host with a path that
// starts with Prefix. Priority 0 is the most urgent.
type Route struct {
	Name           string        `cbor:"1,keyasint"`
	Host           string        `cbor:"2,keyasint"`
	Prefix         string        `cbor:"3,keyasint"`
	Service        string        `cbor:"4,keyasint"`
	Priority       int           `cbor:"5,keyasint,omitempty"`
	MaxAttempts    int           `cbor:"6,keyasint"`           // failed runs of one task after which its job fails
	Timeout        time.Duration `cbor:"7,keyasint,omitempty"` // of a request; 0: no timeout
	Stretch        float64       `cbor:"8,keyasint"`           // multiple of the job's critical path that the latency objective allows
	TargetDuration time.Duration `cbor:"9,keyasint,omitempty"` // added to the latency objective
	// Unguarded says that targets of the service start what does not fit: nobody else keeps them
	// within their capacity.
	Unguarded bool `cbor:"10,keyasint,omitempty"`
	// ColdStart is how long a target of the service is slow after its start or an evacuation, and
	// ColdRate how many tasks a second it takes without harm meanwhile; 0: no limit.
	ColdStart time.Duration `cbor:"11,keyasint,omitempty"`
	ColdRate  float64       `cbor:"12,keyasint,omitempty"`
}

// Table is one version of the configured routes. It is immutable after Build and so
// safe for concurrent use.
type Table struct {
	Version    uint64
	Limits     ingress.Rules // of callers' requests; fields that are 0 are not configured
	Document   []byte        // the configuration as stored, to be sent to peers
	byHost     map[string][]Route
	routeCount int
}

// Build returns the table for a configuration version. Among routes of one host, longer
// prefixes take precedence; routes with prefixes of equal length keep their order.
func Build(version uint64, routes []Route, document []byte) *Table {
	t := &Table{
		Version:    version,
		Document:   document,
		byHost:     make(map[string][]Route),
		routeCount: len(routes),
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Routes returns the number of routes for all hosts.
func (t *Table) Routes() int { return t.routeCount }

// Find returns the route of the host with the longest prefix that matches the path. It
// ignores a port in host.
func (t *Table) Find(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
