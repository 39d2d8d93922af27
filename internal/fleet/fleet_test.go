package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

func TestMain(m *testing.M) {
	RunChild(fakeProgram)
	os.Exit(m.Run())
}

// fakeProgram acts as the program. It runs the actual stand-in target, and an entry
// and an agent that only exchange single datagrams.
func fakeProgram(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	switch arguments[0] {
	case "standin":
		if standin.RunTarget(ctx, arguments[3], standin.TargetOptions{}) != nil {
			return 1
		}
	case "entry":
		var s settings.Entry
		readSettings(arguments[2], &s)
		go echo(s.LinkAddress)
		serveHTTP(ctx, s.CallerAddress, func() string { return s.Name })
	case "agent":
		var s settings.Agent
		readSettings(arguments[2], &s)
		serveHTTP(ctx, s.AdminAddress, func() string { return askEntry(s.Entries[0]) })
	}
	return 0
}

func readSettings(path string, into any) {
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		panic(err)
	}
}

func serveHTTP(ctx context.Context, address string, answer func() string) {
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/ask", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer()) })
	server := &http.Server{Addr: address, Handler: mux}
	context.AfterFunc(ctx, func() { server.Close() })
	_ = server.ListenAndServe()
}

func echo(address string) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		panic(err)
	}
	buffer := make([]byte, 100)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		_, _ = conn.WriteTo(buffer[:n], from)
	}
}

// askEntry sends one datagram to an entry from a new socket and returns the reply.
func askEntry(entry string) string {
	conn, err := net.Dial("udp", entry)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_, _ = conn.Write([]byte("hello"))
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	buffer := make([]byte, 100)
	n, err := conn.Read(buffer)
	if err != nil {
		return "silence"
	}
	return string(buffer[:n])
}

func startTestFleet(t *testing.T, edit func(*Options)) *Fleet {
	t.Helper()
	options, err := TestOptions()
	if err != nil {
		t.Fatal(err)
	}
	options.Targets, options.Entries, options.Slots = 2, 1, 8
	if edit != nil {
		edit(&options)
	}
	f, err := Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against processes that outlive the fleet, signals that reach the wrong
// process, and a restart that changes the process's address.
func TestSignalsRestartAndClose(t *testing.T) {
	f := startTestFleet(t, nil)
	if err := f.Kill("entry-0"); err != nil {
		t.Fatal(err)
	}
	if status, err := f.WaitExit(t.Context(), "entry-0"); err != nil || status != -1 {
		t.Errorf("after the kill: status %d, %v", status, err)
	}
	if !f.Alive("agent-0") || f.Alive("entry-0") {
		t.Error("the kill reached another process")
	}
	if err := f.Restart("entry-0"); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(t.Context(), "entry-0"); err != nil {
		t.Fatal(err)
	}
	if got := get(t, f.CallerURLs()[0]+"/ask"); got != "entry-0" {
		t.Errorf("the restarted entry answers %q", got)
	}
	if err := f.Freeze("agent-1"); err != nil {
		t.Fatal(err)
	}
	if err := f.Terminate("agent-0"); err != nil {
		t.Fatal(err)
	}
	if status, err := f.WaitExit(t.Context(), "agent-0"); err != nil || status != 0 {
		t.Errorf("after the planned stop: status %d, %v", status, err)
	}
	f.Close()
	for _, name := range f.Names() {
		if f.Alive(name) {
			t.Errorf("%s outlives the fleet", name)
		}
	}
	if _, err := os.Stat(f.directory); !os.IsNotExist(err) {
		t.Errorf("the temporary directory remains: %v", err)
	}
}

// Guards against Close returning while the fleet is still being closed because its
// context ended. A program that exits then would leave processes behind.
func TestCloseWaitsForCloseByContext(t *testing.T) {
	options, err := TestOptions()
	if err != nil {
		t.Fatal(err)
	}
	options.Targets, options.Slots = 10, 1
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f, err := Start(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	for !f.isClosing() {
		time.Sleep(time.Microsecond)
	}
	f.Close()
	for _, name := range f.Names() {
		if f.Alive(name) {
			t.Errorf("%s runs after Close", name)
		}
	}
	if _, err := os.Stat(f.directory); !os.IsNotExist(err) {
		t.Errorf("the temporary directory remains: %v", err)
	}
}

func (f *Fleet) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Guards against a relay that does not know which process a flow belongs to.
// Delays and cuts by failure domain would then apply to every agent.
func TestLinkRelayIdentifiesClient(t *testing.T) {
	f := startTestFleet(t, func(o *Options) { o.Network.RelayLinks = true })
	err := f.Relay("link/entry-0").SetFaults(faultproxy.Faults{Cut: faultproxy.CutBoth, Clients: []string{"agent-0"}})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"silence", "hello"} {
		if got := get(t, f.AgentURLs()[i]+"/ask"); got != want {
			t.Errorf("agent-%d got %q, want %q", i, got, want)
		}
	}
}

// Guards against CPU time and memory that are read from the wrong column, and
// against CPU time that is lost when the process exits.
func TestUsage(t *testing.T) {
	f := startTestFleet(t, nil)
	before, err := f.Usage("target-0")
	if err != nil || before.ResidentBytes < 1<<20 || before.PeakResidentBytes < before.ResidentBytes {
		t.Fatalf("usage is %+v, %v", before, err)
	}
	if err := f.Kill("target-0"); err != nil {
		t.Fatal(err)
	}
	if _, err := f.WaitExit(t.Context(), "target-0"); err != nil {
		t.Fatal(err)
	}
	after, err := f.Usage("target-0")
	if err != nil || after.CPUTime <= 0 || after.CPUTime < before.CPUTime || after.ResidentBytes != 0 {
		t.Errorf("usage went from %+v to %+v, %v", before, after, err)
	}
}

// Guards against fleets that start fleets recursively, as a test binary that does
// not call RunChild would.
func TestStartFailsInProcessOfFleet(t *testing.T) {
	t.Setenv(childVariable, "1")
	options, err := TestOptions()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Start(t.Context(), options); err == nil {
		t.Error("a process of a fleet started a fleet")
	}
}

// Guards against settings files with zero values, which would override the defaults
// of the process that reads them.
func TestSettingsFileOmitsZeros(t *testing.T) {
	got, err := withoutZeros(settings.Agent{Name: "a", Target: settings.Target{Slots: 8}, Entries: []string{"e"}})
	if err != nil {
		t.Fatal(err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, got); err != nil {
		t.Fatal(err)
	}
	if want := `{"entries":["e"],"name":"a","target":{"slots":8}}`; compact.String() != want {
		t.Errorf("wrote %s, want %s", &compact, want)
	}
}

// Guards against a fleet above MaxProcesses, and against a failed start whose error
// does not show the cause.
func TestStartFailures(t *testing.T) {
	options, err := TestOptions()
	if err != nil {
		t.Fatal(err)
	}
	options.Targets = 30
	options.Entries = 1
	if _, err := Start(t.Context(), options); err == nil || !strings.Contains(err.Error(), "61 processes") {
		t.Errorf("61 processes: %v", err)
	}
	options.Targets = 0
	options.EditEntry = func(_ int, s *settings.Entry) { s.CallerAddress = "nowhere" }
	if _, err := Start(t.Context(), options); err == nil || !strings.Contains(err.Error(), "entry-0 ended before it was ready") {
		t.Errorf("an entry that ends: %v", err)
	}
}
