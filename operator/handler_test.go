package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// fakeStore is an in-memory store of one key.
type fakeStore struct {
	kv.Store // methods that the handler must not call are nil

	entry   kv.Entry
	getErr  error
	swapErr error
	written func() // called after a write; the response is then lost
}

func (s *fakeStore) Get(context.Context, string) (kv.Entry, error) {
	if s.getErr == nil && s.entry.Version == 0 {
		return s.entry, kv.ErrNotFound
	}
	return s.entry, s.getErr
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected uint64, value []byte, _ kv.LeaseID) (uint64, error) {
	if s.swapErr != nil {
		return 0, s.swapErr
	}
	if expected != s.entry.Version {
		return 0, kv.ErrConflict
	}
	s.entry = kv.Entry{Key: key, Value: value, Version: expected + 1}
	if s.written != nil {
		s.written()
		return 0, kv.ErrUnknown
	}
	return s.entry.Version, nil
}

// fixture is a handler with a fake store. The entries in late confirm only after lateBy.
type fixture struct {
	http.Handler
	store  *fakeStore
	late   []string
	lateBy time.Duration
	role   wire.Role
	start  time.Time
}

func newFixture() *fixture {
	f := &fixture{store: &fakeStore{}, role: wire.RoleOperator, start: time.Now()}
	f.Handler = NewHandler(Options{
		Applier:   &config.Applier{Store: f.store, Holder: config.NewHolder()},
		Role:      func(*http.Request) (wire.Role, bool) { return f.role, f.role != "" },
		Confirmer: f,
		Status:    f,
		Log:       zap.NewNop(),
	})
	return f
}

func (f *fixture) Confirmations(context.Context, uint64) (confirmed, missing []string) {
	if len(f.late) > 0 && time.Since(f.start) < f.lateBy {
		return []string{"entry-1"}, f.late
	}
	return append([]string{"entry-1"}, f.late...), nil
}

func (f *fixture) Status(context.Context) Status {
	return Status{Revision: f.store.entry.Version, Targets: []TargetStatus{{Name: "runner-1", Slots: 8, Running: 3}}}
}

// do sends a request with headers, given as pairs of name and value, and returns the status
// and the body, both decoded and as text.
func (f *fixture) do(method, path, body string, headers ...string) (int, ChangeResponse, string) {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, req)
	var c ChangeResponse
	_ = json.Unmarshal(w.Body.Bytes(), &c)
	return w.Code, c, w.Body.String()
}

const workspaces = `{"workspaces": {"shops": {"weight": 2}}, /* comment */}`

// Guards against an operator request that is served for another role, and against a route
// without the role check.
func TestOnlyOperatorsAreServed(t *testing.T) {
	f := newFixture()
	for _, role := range []wire.Role{"", wire.RoleEntry, wire.RoleAgent} {
		f.role = role
		for _, request := range []string{"GET /v1/config", "PUT /v1/config", "GET /v1/status", "POST /v1/targets/a/drain", "POST /v1/targets/a/undrain", "POST /v1/targets/a/labels", "GET /v1/other"} {
			method, path, _ := strings.Cut(request, " ")
			if status, c, _ := f.do(method, path, "{}", ChangeIDHeader, "c", "If-Match", "0"); status != http.StatusForbidden || c.Code != result.NotPermitted {
				t.Errorf("%q %s: %d %v", role, request, status, c)
			}
		}
	}
}

// Guards against a response whose status, outcome or code does not match the change's actual
// outcome.
func TestResponsesToChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		expect := func(what string, status int, c ChangeResponse, wantStatus int, outcome config.Outcome, code result.Code) {
			t.Helper()
			if status != wantStatus || c.Outcome != outcome || c.Code != code {
				t.Errorf("%s: %d %+v", what, status, c)
			}
		}
		put := func(body, base, id string) (int, ChangeResponse) {
			status, c, _ := f.do("PUT", "/v1/config", body, "If-Match", base, ChangeIDHeader, id)
			return status, c
		}
		status, c := put(workspaces, `"0"`, "c1")
		expect("first", status, c, 200, config.Accepted, 0)
		if c.Revision != 1 || len(c.Confirmed) != 1 || c.ChangeID != "c1" {
			t.Errorf("answer %+v", c)
		}
		status, c = put(`{"workspaces":{"shops":{"weight":5}}}`, "0", "c2")
		expect("conflict", status, c, 409, config.Refused, result.ConfigConflict)
		if o := c.Conflict.Objects[0]; o.Yours.Workspace.Weight != 5 || o.Theirs.Workspace.Weight != 2 {
			t.Errorf("conflict %+v", c.Conflict)
		}
		status, c = put("{\n\"workspaces\": {\"a\": {\"wieght\": 1}}}", "1", "c3")
		expect("invalid", status, c, 422, config.Refused, result.ConfigInvalid)
		if len(c.Errors) != 1 || c.Errors[0].Line != 2 || c.Errors[0].Field != "workspaces.a.wieght" {
			t.Errorf("errors %+v", c.Errors)
		}
		status, c = put(workspaces, "1", "")
		expect("without id", status, c, 422, config.Refused, result.ConfigInvalid)
		status, c = put(workspaces, "", "c4")
		expect("without revision", status, c, 422, config.Refused, result.ConfigInvalid)
		status, c = put(strings.Repeat(" ", 2<<20), "1", "c5")
		expect("too large", status, c, 413, config.Refused, result.ConfigTooLarge)
		f.store.swapErr = kv.ErrUnavailable
		status, c = put(workspaces, "1", "c6")
		expect("store down", status, c, 503, config.Refused, result.ConfigUnavailable)
		f.store.swapErr = kv.ErrUnknown
		status, c = put(workspaces, "1", "c7")
		expect("unknown", status, c, 504, config.Unknown, result.ConfigUnknown)
	})
}

// Guards against a response that does not list an entry without the change as missing, waits
// longer than confirmTimeout, or does not wait.
func TestConfirmations(t *testing.T) {
	for lateBy, missing := range map[time.Duration]int{0: 0, time.Second: 0, time.Hour: 2} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.late, f.lateBy = []string{"entry-2", "entry-3"}, lateBy
			_, c, _ := f.do("POST", "/v1/targets/runner-1/drain", "", ChangeIDHeader, "c1")
			if c.Outcome != config.Accepted || len(c.Missing) != missing || len(c.Confirmed) != 3-missing {
				t.Errorf("late by %v: %+v", lateBy, c)
			}
			if took := time.Since(f.start); took > confirmTimeout || took < min(lateBy, confirmTimeout) {
				t.Errorf("late by %v: answered after %v", lateBy, took)
			}
		})
	}
}

// Guards against a change with a lost store response that is not resolved, and not in effect
// in this entry, because the client disconnected.
func TestDisconnectedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		f.store.written = cancel
		req := httptest.NewRequestWithContext(ctx, "POST", "/v1/targets/runner-1/drain", nil)
		req.Header.Set(ChangeIDHeader, "c1")
		w := httptest.NewRecorder()
		f.ServeHTTP(w, req)
		if !strings.Contains(w.Body.String(), `"outcome":"accepted","revision":1`) {
			t.Errorf("answer %s", w.Body)
		}
	})
}

// Guards against an edit of a target that changes other content, and against a missing warning
// for a misspelt name.
func TestTargetEdits(t *testing.T) {
	f := newFixture()
	for i, step := range []struct{ path, body, want string }{
		{"runner-1/drain", "", `{"drain":true}`},
		{"runner-1/labels", `{"set": {"rack": "r2", "gpu": "no"}}`, `{"labels":{"gpu":"no","rack":"r2"},"drain":true}`},
		{"runner-1/labels", `{"remove": ["gpu"]}`, `{"labels":{"rack":"r2"},"drain":true}`},
		{"runner-1/undrain", "", `{"labels":{"rack":"r2"}}`},
		{"runner-9/drain", "", `{"labels":{"rack":"r2"}}`},
	} {
		_, c, body := f.do("POST", "/v1/targets/"+step.path, step.body, ChangeIDHeader, fmt.Sprint("c", i))
		s, err := config.Compile(1, f.store.entry.Value)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := json.Marshal(s.Target("runner-1"))
		if c.Outcome != config.Accepted || string(got) != step.want {
			t.Errorf("%s: target %s, answer %s", step.path, got, body)
		}
		if misspelt := strings.HasPrefix(step.path, "runner-9"); misspelt != (c.Warning != "") {
			t.Errorf("%s: warning %q", step.path, c.Warning)
		}
	}
	for _, body := range []string{"", "{}", `{"set":{"a b":"c"}}`, `{"set":{"a":"b"},"remove":["a"]}`, `{"drop":["a"]}`, `{"set":{"a":"b"}}` + strings.Repeat(" ", 1<<20)} {
		if status, c, _ := f.do("POST", "/v1/targets/runner-1/labels", body, ChangeIDHeader, "x"); status != 422 || len(c.Errors) == 0 {
			t.Errorf("%.40q: %d %+v", body, status, c)
		}
	}
}

// Guards against a store outage in which the configuration in effect cannot be read, or is
// reported as empty.
func TestReadsDuringStoreOutage(t *testing.T) {
	f := newFixture()
	f.store.getErr = kv.ErrUnavailable
	if status, c, _ := f.do("GET", "/v1/config", ""); status != 503 || c.Code != result.ConfigUnavailable {
		t.Errorf("never read: %d %+v", status, c)
	}
	f.store.getErr = nil
	if status, _, body := f.do("GET", "/v1/config", ""); status != 200 || !strings.Contains(body, `"revision":0,"source":"store"`) {
		t.Errorf("empty: %d %s", status, body)
	}
	f.do("PUT", "/v1/config", workspaces, "If-Match", "0", ChangeIDHeader, "c1")
	f.store.getErr = kv.ErrUnavailable
	if status, _, body := f.do("GET", "/v1/config", ""); status != 200 || !strings.Contains(body, `"revision":1,"source":"memory"`) {
		t.Errorf("in memory: %d %s", status, body)
	}
	if status, _, body := f.do("GET", "/v1/status", ""); status != 200 || !strings.Contains(body, `"running":3`) {
		t.Errorf("status: %d %s", status, body)
	}
}
