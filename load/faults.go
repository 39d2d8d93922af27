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

// system is the interface of the system under test, which *fleet.Fleet implements.
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

// injectFaults injects the faults at their scheduled times after start. It returns
// a message for each fault that could not be injected.
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
			problems = append(problems, fmt.Sprintf("fault at %.1f s could not be injected: %v", f.AtSeconds, err))
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
			return Err.New("relay %q does not exist", f.Relay)
		}
		return faultproxy.Apply(relay, *f.Change)
	case len(f.Store) > 0:
		return post(ctx, s.StoreURL()+"/faults", f.Store)
	}
	return f.applyAction(s)
}

// applyAction applies the action to the process.
func (f Fault) applyAction(s system) error {
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

// endsProcess reports whether the fault ends its process, as a restart also does.
func (f Fault) endsProcess() bool {
	return f.Action == ActionTerminate || f.Action == ActionKill || f.Action == ActionRestart
}

// adminTimeout bounds a request to an administrative endpoint of a process.
const adminTimeout = 10 * time.Second

func post(ctx context.Context, url string, body []byte) error {
	_, err := doRequest(ctx, http.MethodPost, url, body)
	return err
}

// doRequest sends a request and returns the response body. A status other than 200
// is an error that contains the body.
func doRequest(ctx context.Context, method, url string, body []byte) ([]byte, error) {
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
