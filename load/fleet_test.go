package load

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

func TestMain(m *testing.M) {
	fleet.RunChild(fakeProgram)
	os.Exit(m.Run())
}

// fakeProgram replaces the program in child processes. It runs the real stand-in
// target, a store that accepts every request, an agent that announces the URL of its
// target in datagrams, or an entry that starts tasks on the announced targets.
func fakeProgram(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	ready := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }
	switch {
	case arguments[0] == "standin" && arguments[1] == "target":
		if standin.RunTarget(ctx, arguments[3], standin.TargetOptions{}) != nil {
			return 1
		}
	case arguments[0] == "standin":
		serveChild(ctx, arguments[3], map[string]http.HandlerFunc{"/": ready})
	case arguments[0] == "entry":
		var s settings.Entry
		readChildSettings(arguments[2], &s)
		var targets knownTargets
		go targets.listen(s.LinkAddress)
		serveChild(ctx, s.CallerAddress, map[string]http.HandlerFunc{"/readyz": targets.serveReady, "/v1/": targets.serveJob})
	case arguments[0] == "agent":
		var s settings.Agent
		readChildSettings(arguments[2], &s)
		go announce(s)
		serveChild(ctx, s.AdminAddress, map[string]http.HandlerFunc{"/readyz": ready})
	}
	return 0
}

func readChildSettings(path string, into any) {
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		panic(err)
	}
}

func serveChild(ctx context.Context, address string, handlers map[string]http.HandlerFunc) {
	mux := http.NewServeMux()
	for path, handler := range handlers {
		mux.HandleFunc(path, handler)
	}
	server := &http.Server{Addr: address, Handler: mux}
	context.AfterFunc(ctx, func() { server.Close() })
	_ = server.ListenAndServe()
}

func announce(s settings.Agent) {
	for {
		for _, entry := range s.Entries {
			conn, err := net.Dial("udp", entry)
			if err == nil {
				_, _ = io.WriteString(conn, s.Target.URL)
				conn.Close()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// knownTargets holds the URLs of the targets that were announced to an entry.
type knownTargets struct {
	mu   sync.Mutex
	urls []string
	jobs int
}

func (k *knownTargets) listen(address string) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		panic(err)
	}
	buffer := make([]byte, 100)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		k.add(string(buffer[:n]))
	}
}

func (k *knownTargets) add(url string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.urls {
		if known == url {
			return
		}
	}
	k.urls = append(k.urls, url)
}

// serveReady responds with 503 until both targets are known, so that no job depends
// on how fast the processes start.
func (k *knownTargets) serveReady(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.urls) < 2 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (k *knownTargets) serveJob(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	f := fakeSystem{targets: append([]string(nil), k.urls...)}
	k.jobs++
	// The process id makes task identities unique across restarts of the entry.
	f.jobs.Store(int64(os.Getpid())<<20 + int64(k.jobs))
	k.mu.Unlock()
	f.serveJob(w, r)
}

// Guards against a run that starts processes without the variant's settings, ignores
// faults, leaves processes running, or reports the scheduled kill of an entry as a
// violation.
func TestRunWithProcesses(t *testing.T) {
	options, err := fleet.TestOptions()
	if err != nil {
		t.Fatal(err)
	}
	e := parseTestExperiment(t,
		`"connections": 8, "entries": 1`, `"connections": 8, "entries": 2, "store": true,
			"domain_delay_ms": 1, "caller_delay_ms": 1, "failure_domains": ["x", "y"]`,
		`"load": 0.4`, `"load": 0.4, "faults": [
			{"at_seconds": 0.1, "process": "entry-1", "action": "kill"},
			{"at_seconds": 0.1, "target": 0, "target_faults": {"slow_factor": 2}},
			{"at_seconds": 0.2, "relay": "caller/entry-0", "change": {"faults": {"delay_ms": 2}}}]`)
	directory := t.TempDir()
	report, err := Run(t.Context(), e, RunOptions{
		Executable: options.Executable,
		Directory:  directory,
		Variant:    "fifo-small",
	})
	if err != nil {
		t.Fatal(err)
	}
	j := report.Jobs
	if j.Complete == 0 || j.Complete+j.Failed+j.Broken != j.Planned || len(report.Violations) != 0 {
		t.Errorf("jobs are %+v, violations %q", j, report.Violations)
	}
	if len(report.Processor) != 2 || report.Processor[0].Processes != 2 || report.Processor[0].PeakMemoryMB == 0 {
		t.Errorf("processor usage is %+v", report.Processor)
	}
	var entry settings.Entry
	readChildSettings(directory+"/entry-0.json", &entry)
	if entry.Policy.Order != "fifo" || entry.Limits.Tasks != 5 || len(entry.Peers) != 1 {
		t.Errorf("entry settings are %+v", entry)
	}
	var s settings.Agent
	readChildSettings(directory+"/agent-1.json", &s)
	if s.FailureDomain != "y" || s.Target.Slots != 1 || s.Target.Connections != 8 || len(s.Entries) != 2 {
		t.Errorf("agent settings are %+v", s)
	}
	connection, err := net.Dial("tcp", strings.TrimPrefix(s.Target.URL, "http://"))
	if err == nil {
		connection.Close()
		t.Error("a target still accepts connections after the run")
	}
}
