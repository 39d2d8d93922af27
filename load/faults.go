package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/internal/fleet"
)

// system is what a run needs of the system under test; *fleet.Fleet is one.
type system interface {
	CallerURLs() []string
	EntryURLs() []string
	TargetURLs() []string
	StoreURL() string
	Names() []string
	Usage(name string) (fleet.Usage, error)
	Alive(name string) bool
	Terminate(name string) error
	Kill(name string) error
	Freeze(name string) error
	Resume(name string) error
	Restart(name string) error
	Relay(name string) faultproxy.Relay
}

// injectFaults makes the scheduled faults and returns those that could not be
// made.
func injectFaults(ctx context.Context, s system, faults []Fault, start time.Time) []string {
	ordered := slices.SortedStableFunc(slices.Values(faults), func(a, b Fault) int {
		return cmp.Compare(a.AtSeconds, b.AtSeconds)
	})
	var problems []string
	for _, f := range ordered {
		if !sleepUntil(ctx, start.Add(seconds(f.AtSeconds))) {
			break
		}
		if err := f.inject(ctx, s); err != nil {
			problems = append(problems, fmt.Sprintf("fault at %.1f s: %v", f.AtSeconds, err))
		}
	}
	return problems
}

func (f Fault) inject(ctx context.Context, s system) error {
	switch {
	case f.Target != nil:
		body, err := json.Marshal(f.Faults)
		if err != nil {
			return Err.Wrap(err)
		}
		return post(ctx, s.TargetURLs()[*f.Target]+"/faults", body)
	case f.Relay != "":
		relay := s.Relay(f.Relay)
		if relay == nil {
			return Err.New("no relay %q", f.Relay)
		}
		return faultproxy.Apply(relay, *f.Change)
	case len(f.Store) > 0:
		return post(ctx, s.StoreURL()+"/faults", f.Store)
	}
	return f.signal(s)
}

func (f Fault) signal(s system) error {
	switch f.Action {
	case ActionTerminate:
		return s.Terminate(f.Process)
	case ActionKill:
		return s.Kill(f.Process)
	case ActionFreeze:
		return s.Freeze(f.Process)
	case ActionResume:
		return s.Resume(f.Process)
	case ActionRestart:
		return s.Restart(f.Process)
	}
	return Err.New("unknown action %q", f.Action)
}

// ends reports whether a fault ends the process it names.
func (f Fault) ends() bool {
	return f.Action == ActionTerminate || f.Action == ActionKill || f.Action == ActionRestart
}

// adminTimeout bounds one request to a stand-in's own endpoints.
const adminTimeout = 10 * time.Second

func post(ctx context.Context, url string, body []byte) error {
	_, err := exchange(ctx, http.MethodPost, url, body)
	return err
}

// exchange makes one request and returns the body of a 200 answer.
func exchange(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, Err.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, Err.New("%s %s: %s: %s", method, url, response.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
