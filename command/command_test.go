package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/operator"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// transcript runs commands and compares their output and exit status with a golden
// file. hidden holds arguments that are appended to each command but vary between
// runs: they are not written, and the second is shown as ADDRESS.
type transcript struct {
	t      *testing.T
	hidden []string
	text   bytes.Buffer
}

func (s *transcript) run(line string) (stdout string, exit int) {
	var out bytes.Buffer
	fmt.Fprintf(&s.text, "$ catkinline %s\n", line)
	args := append(strings.Fields(line), s.hidden...)
	var text bytes.Buffer
	exit = Main(args, io.MultiWriter(&out, &text), &text)
	shown := text.String()
	if len(s.hidden) > 0 {
		shown = strings.ReplaceAll(shown, s.hidden[1], "ADDRESS")
	}
	s.text.WriteString(shown)
	fmt.Fprintf(&s.text, "exit status %d\n\n", exit)
	return out.String(), exit
}

func (s *transcript) compare(name string) {
	s.t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, s.text.Bytes(), 0o644); err != nil {
			s.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if !bytes.Equal(want, s.text.Bytes()) {
		s.t.Errorf("%s differs, got:\n%s", path, s.text.String())
	}
}

// fakeEntry is the store, with one key in memory, and the status behind the operator
// API.
type fakeEntry struct {
	kv.Store // nil: methods that are not defined here must not be called

	entry kv.Entry
}

func (f *fakeEntry) Get(context.Context, string) (kv.Entry, error) {
	if f.entry.Version == 0 {
		return f.entry, kv.ErrNotFound
	}
	return f.entry, nil
}

func (f *fakeEntry) CompareAndSwap(_ context.Context, key string, expected uint64, value []byte, _ kv.LeaseID) (uint64, error) {
	if expected != f.entry.Version {
		return 0, kv.ErrConflict
	}
	f.entry = kv.Entry{Key: key, Value: value, Version: expected + 7}
	return f.entry.Version, nil
}

func (f *fakeEntry) Confirmations(context.Context, uint64) (confirmed, missing []string) {
	return []string{"entry-1", "entry-2"}, nil
}

func (f *fakeEntry) Status(context.Context) operator.Status {
	return operator.Status{
		Revision: f.entry.Version,
		Entries: []operator.EntryStatus{
			{Name: "entry-1", Address: "10.0.0.5:7000", FailureDomain: "saimaa", Revision: 7},
			{Name: "entry-2", Address: "10.0.1.5:7000", FailureDomain: "lappi", Revision: 7, Leaving: true},
		},
		Targets: []operator.TargetStatus{
			{Name: "runner-1", Service: "frames", FailureDomain: "saimaa", Slots: 8, Running: 5, Labels: label.Set{"rack": "r1", "gpu": "yes"}},
			{Name: "runner-2", Service: "frames", FailureDomain: "lappi", Slots: 8, Draining: true, Ejected: true},
		},
		Queue: operator.QueueStatus{Jobs: 3, Tasks: 120, Bytes: 4096},
	}
}

// serve starts a TLS server and returns the arguments with which ctl connects to it.
func serve(t *testing.T, h http.Handler) []string {
	server := httptest.NewTLSServer(h)
	t.Cleanup(server.Close)
	before := clientTLS
	t.Cleanup(func() { clientTLS = before })
	clientTLS = func(s settings.TLS, role wire.Role) (*tls.Config, error) {
		if s.DevelopmentSecret != "kite" || role != wire.RoleOperator {
			t.Errorf("TLS settings %+v, role %s", s, role)
		}
		return server.Client().Transport.(*http.Transport).TLSClientConfig, nil
	}
	return []string{"--address", server.Listener.Addr().String(), "--development-secret", "kite"}
}

func operatorAPI(f *fakeEntry) http.Handler {
	return operator.NewHandler(operator.Options{
		Applier:   &config.Applier{Store: f, Holder: config.NewHolder()},
		Role:      func(*http.Request) (wire.Role, bool) { return wire.RoleOperator, true },
		Confirmer: f,
		Status:    f,
		Log:       zap.NewNop(),
	})
}

// Guards against errors that config check does not find, and against messages without
// their position.
func TestConfigCheck(t *testing.T) {
	s := transcript{t: t}
	s.run("config check testdata/config.json")
	s.run("config check testdata/config_faults.json")
	s.run("config check --kind entry testdata/entry.json")
	s.run("config check --kind entry testdata/entry_faults.json")
	s.run("config check --kind agent testdata/agent.json")
	s.run("config check --kind agent testdata/agent_faults.json")
	s.run("config check --kind agent testdata/config.json")
	s.run("config check testdata/absent.json")
	s.run("config check --kind other testdata/config.json")
	s.run("config check")
	s.run("config check --help")
	s.compare("config_check")
}

// Guards against a usage error that is not reported or exits with status 0.
func TestUsage(t *testing.T) {
	for line, want := range map[string]int{"": exitUsage, "--help": exitOK, "config": exitUsage, "config other": exitUsage, "no such": exitUsage} {
		var out bytes.Buffer
		if exit := Main(strings.Fields(line), &out, &out); exit != want {
			t.Errorf("%q: exit status %d", line, exit)
		}
		for _, c := range subcommands {
			if !strings.Contains(out.String(), c.name+" ") {
				t.Errorf("%q does not list %s", line, c.name)
			}
		}
	}
	s := transcript{t: t}
	s.run("ctl")
	s.run("ctl --help")
	s.run("ctl apply --help")
	s.run("ctl drain runner-1 --development-secret kite")
	s.run("ctl drain runner-1 --address localhost:80 --development-secret kite")
	s.run("ctl drain runner-1 --address 127.0.0.1:80")
	s.run("ctl drain runner/1 --address 127.0.0.1:80 --development-secret kite")
	s.run("ctl label runner-1 rack --address 127.0.0.1:80 --ca a --cert b --key c")
	s.compare("usage")
}

// Guards against ctl output that lacks the outcome of a change, one side of a
// conflict, or a part of the system's state. It runs a session of an operator.
func TestCtlSession(t *testing.T) {
	f := &fakeEntry{}
	s := transcript{t: t, hidden: serve(t, operatorAPI(f))}
	s.run("ctl get")
	s.run("ctl apply testdata/config.json --change-id c1")
	s.run("ctl apply testdata/config.json --change-id c1")
	s.run("ctl apply testdata/config_conflict.json")
	s.run("ctl diff testdata/config_conflict.json")
	s.run("ctl diff testdata/config.json")
	s.run("ctl diff testdata/config_faults.json")
	s.run("ctl apply testdata/config_faults.json --revision 7")
	s.run("ctl drain runner-1 --change-id c2")
	s.run("ctl undrain runner-1 --change-id c2")
	s.run("ctl undrain runner-1 --change-id c3 --json")
	s.run("ctl label runner-9 rack=r2 gpu- --change-id c4")
	s.run("ctl status")
	document, _ := s.run("ctl get")
	s.run("ctl apply testdata/config_conflict.json --json --change-id c5")
	s.compare("ctl_session")

	// The output of ctl get can be applied: its base is the revision that was read.
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{exitOK, exitFailed} {
		if _, exit := s.run("ctl apply " + file); exit != want {
			t.Errorf("exit status %d, want %d:\n%s", exit, want, s.text.String())
		}
	}
}

// Guards against a change of unknown outcome being reported as refused, and a change
// that was not sent or was refused being reported as unknown.
func TestCtlOutcomesWithoutResponse(t *testing.T) {
	s := transcript{t: t}
	respond := func(what string, h http.HandlerFunc, lines ...string) {
		fmt.Fprintf(&s.text, "# %s\n", what)
		s.hidden = serve(t, h)
		for _, l := range lines {
			s.run(l)
		}
	}
	respondWith := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	const unavailable = `{"outcome":"refused","code":503,"name":"config_unavailable","reason":"the store is down"}`
	respond("the connection is closed without a response", func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	}, "ctl drain runner-1 --change-id c1 --json")
	respond("a response of a proxy", respondWith(502, "bad gateway"), "ctl drain runner-1 --change-id c1", "ctl status")
	respond("the outcome is unknown", respondWith(504, `{"outcome":"unknown","code":502,"name":"config_unknown","reason":"no answer of the store"}`), "ctl drain runner-1 --change-id c1")
	respond("refused", respondWith(503, unavailable), "ctl get")
	respond("refused, but the change is repeated", respondWith(503, unavailable), "ctl undrain runner-1 --change-id c1")
	respond("entries are missing", respondWith(200, `{"outcome":"accepted","revision":9,"confirmed":["entry-1"],"missing":["entry-2"]}`), "ctl drain runner-1")
	respond("a response of a later release", respondWith(200, `{"revision":9,"source":"memory","document":{"later":{"n":12345678901234567890},"changes":[{"id":"a"},{"id":"b","revision":9}]}}`), "ctl get")
	s.compare("ctl_outcomes")

	// Network error messages differ between systems, so these are not in the golden file.
	if out, exit := s.run("ctl apply testdata/config.json"); exit != exitUnknown || !strings.HasPrefix(out, "unknown: 502") {
		t.Errorf("a response without an outcome: exit status %d, %s", exit, out)
	}
	respond("refused", respondWith(503, unavailable))
	if out, exit := s.run("ctl drain runner-1"); exit != exitFailed || !strings.Contains(out, "refused: 503") {
		t.Errorf("refused: exit status %d, %s", exit, out)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	s.hidden[1] = closed.Addr().String()
	if out, exit := s.run("ctl drain runner-1"); exit != exitFailed || !strings.Contains(out, "the change was not sent") {
		t.Errorf("not sent: exit status %d, %s", exit, out)
	}
	if out, exit := s.run("ctl drain runner-1 --change-id c1"); exit != exitUnknown || !strings.Contains(out, "earlier attempt") {
		t.Errorf("repeated change not sent: exit status %d, %s", exit, out)
	}
}
