package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/command"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/operator"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

// configDocument restricts the service to targets with a label, so that a label
// change can take a target out.
const configDocument = `{
	"services": {"frames": {"targets": "stage=live", "non_idempotent": true}},
	"workspaces": {"crew": {}}
}`

const (
	// configWaitTimeout bounds every wait for a condition. It is far above what
	// any of them takes on an idle machine.
	configWaitTimeout  = 60 * time.Second
	configPollInterval = 50 * time.Millisecond
	// configSeed is of the relays' losses and of payloads.
	configSeed = 11
	// configSecret is the development secret of a fleet's processes.
	configSecret = "fleet-on-loopback"
)

// configFleet is a fleet whose entries serve operators.
type configFleet struct {
	*fleet.Fleet
	t         *testing.T
	operators []string
}

func startConfigFleet(t *testing.T, entries, targets int, edit func(*fleet.Options)) *configFleet {
	t.Helper()
	options, err := fleet.TestOptions()
	if err != nil {
		t.Fatal(err)
	}
	f := &configFleet{t: t}
	options.Entries, options.Targets, options.Slots = entries, targets, 4
	options.Connections = 64
	options.Service = "frames"
	options.Store = true
	options.Configuration = json.RawMessage(configDocument)
	options.Network.Seed = configSeed
	options.TargetLabels = func(int) label.Set { return label.Set{"stage": "live"} }
	for range entries {
		f.operators = append(f.operators, configFreeAddress(t))
	}
	options.EditEntry = func(i int, s *settings.Entry) { s.OperatorAddress = f.operators[i] }
	if edit != nil {
		edit(&options)
	}
	if f.Fleet, err = fleet.Start(t.Context(), options); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, name := range f.Names() {
				t.Logf("log of %s:\n%s", name, f.LogTail(name))
			}
		}
		f.Close()
	})
	return f
}

// configPortsTaken counts the ports that were given to operator APIs. They are taken
// between those of a fleet's processes and those of outgoing connections, so
// that no parallel fleet takes one, from a start that differs between runs of
// the test binary.
var configPortsTaken atomic.Int32

const (
	configFirstPort = 32_001
	configPortCount = 767
)

func configFreeAddress(t *testing.T) string {
	t.Helper()
	for range configPortCount {
		port := configFirstPort + (os.Getpid()*61+int(configPortsTaken.Add(1)))%configPortCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("no free port for an operator API")
	return ""
}

func configExchangeJSON(t *testing.T, method, url string, body, into any) {
	t.Helper()
	data, _ := json.Marshal(body)
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s", method, url, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

// setStoreFaults switches faults of the store.
func (f *configFleet) setStoreFaults(change standin.StoreFaultChange) standin.StoreStatus {
	f.t.Helper()
	var status standin.StoreStatus
	configExchangeJSON(f.t, http.MethodPost, f.StoreURL()+standin.PathFaults, change, &status)
	return status
}

func (f *configFleet) setStoreDown(down bool) {
	f.setStoreFaults(standin.StoreFaultChange{Down: &down})
}

// setTargetFaults sets the same faults on every target.
func (f *configFleet) setTargetFaults(faults standin.TargetFaults) {
	for _, url := range f.TargetURLs() {
		configExchangeJSON(f.t, http.MethodPost, url+"/faults", faults, &standin.TargetFaults{})
	}
}

// startsByEcho counts the starts of payloads with an echo over all targets.
func (f *configFleet) startsByEcho(echo string) int {
	n := 0
	for i := range f.TargetURLs() {
		n += f.targetStarts(i).Echoes[echo]
	}
	return n
}

func (f *configFleet) targetStarts(target int) standin.TargetStarts {
	f.t.Helper()
	var s standin.TargetStarts
	configExchangeJSON(f.t, http.MethodGet, f.TargetURLs()[target]+"/starts", nil, &s)
	return s
}

// checkNoRepeatedStarts fails if any identity was started more than once.
func (f *configFleet) checkNoRepeatedStarts() {
	f.t.Helper()
	for i := range f.TargetURLs() {
		if n := f.targetStarts(i).StartedAgain; n > 0 {
			f.t.Errorf("target-%d started %d identities again", i, n)
		}
	}
}

// waitFor waits for a condition and returns how long it took.
func (f *configFleet) waitFor(what string, holds func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > configWaitTimeout {
			f.t.Fatalf("not within %v: %s", configWaitTimeout, what)
		}
		time.Sleep(configPollInterval)
	}
	return time.Since(start)
}

// must fails the test on an error of the fleet.
func (f *configFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func configJob(key string, idempotent bool, runMS ...int) api.Job {
	j := api.Job{Key: key, Workspace: "crew", DeadlineMS: 30_000, Idempotent: idempotent}
	for i, ms := range runMS {
		echo := key
		if i > 0 {
			echo = fmt.Sprintf("%s/%d", key, i)
		}
		payload, _ := json.Marshal(standin.TargetPayload{RunMS: float64(ms), Echo: echo})
		j.Tasks = append(j.Tasks, api.Task{Payload: string(payload), RunMS: float64(ms)})
	}
	return j
}

func (f *configFleet) submit(entryIndex int, j api.Job) (api.Answer, error) {
	c, err := client.New(f.CallerURLs()[entryIndex])
	if err != nil {
		return api.Answer{}, err
	}
	return c.Submit(context.Background(), "frames", j)
}

// checkNotRun submits a job and checks that it is refused with a code as not
// run.
func (f *configFleet) checkNotRun(what string, entryIndex int, j api.Job, code result.Code) {
	f.t.Helper()
	a, err := f.submit(entryIndex, j)
	if err != nil || a.Code != code || a.Ran != result.NotRun {
		f.t.Errorf("%s: answer %+v, %v; want %v, not run", what, a, err, code)
	}
}

// submitUntilComplete submits a job until it is answered in full. Every refusal before
// that must say that nothing ran.
func (f *configFleet) submitUntilComplete(entryIndex int, j api.Job) {
	f.t.Helper()
	f.waitFor("job "+j.Key+" is complete", func() bool {
		a, err := f.submit(entryIndex, j)
		if err != nil || a.State != api.StateComplete && a.Ran != result.NotRun {
			f.t.Fatalf("job %s: %+v, %v", j.Key, a, err)
		}
		if a.Code == result.AlreadyClaimed && !strings.Contains(a.Reason, `"running"`) {
			f.t.Fatalf("job %s, which did not run, keeps its key: %+v", j.Key, a)
		}
		return a.State == api.StateComplete
	})
}

// ctl runs the operator's program against an entry.
func (f *configFleet) ctl(entryIndex int, arguments ...string) (exit int, output string) {
	var out bytes.Buffer
	arguments = append([]string{"ctl"}, arguments...)
	arguments = append(arguments, "--address", f.operators[entryIndex], "--development-secret", configSecret)
	exit = command.Main(arguments, &out, &out)
	return exit, out.String()
}

// change makes an operator's change and decodes its answer.
func (f *configFleet) change(entryIndex int, arguments ...string) operator.ChangeResponse {
	_, output := f.ctl(entryIndex, append(arguments, "--json")...)
	var c operator.ChangeResponse
	if err := json.Unmarshal([]byte(output), &c); err != nil {
		f.t.Errorf("ctl %v: %v in %q", arguments, err, output)
	}
	return c
}

// sumMetric sums the values of a metric on a page over its labels, or over those
// lines that contain a text.
func (f *configFleet) sumMetric(page, name, with string) float64 {
	f.t.Helper()
	response, err := http.Get(page + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	sum := 0.0
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		rest, ok := strings.CutPrefix(line, "catkinline_"+name)
		if !ok || rest != "" && rest[0] != '{' && rest[0] != ' ' || !strings.Contains(rest, with) {
			continue
		}
		value, _ := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		sum += value
	}
	return sum
}

// revision returns the revision in force at an entry.
func (f *configFleet) revision(entryIndex int) uint64 {
	return uint64(f.sumMetric(f.EntryURLs()[entryIndex], "config_revision", ""))
}

// configLoad is a steady load of small idempotent jobs.
type configLoad struct {
	sent, complete, refused, broken atomic.Int64
	failures                        sync.Map
	workers                         sync.WaitGroup
	stop                            context.CancelFunc
}

// startLoad starts workers that submit one job after the other. The choice gives the
// entry of the next job, or -1 for a pause.
func (f *configFleet) startLoad(workers int, choose func(n int64) int) *configLoad {
	ctx, stop := context.WithCancel(context.Background())
	l := &configLoad{stop: stop}
	f.t.Cleanup(stop)
	for w := range workers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				n := l.sent.Add(1)
				i := choose(n)
				if i < 0 {
					l.sent.Add(-1)
					time.Sleep(configPollInterval)
					continue
				}
				a, err := f.submit(i, configJob(fmt.Sprintf("load-%d-%d", w, n), true, 10, 60))
				l.record(a, err)
			}
		})
	}
	return l
}

func (l *configLoad) record(a api.Answer, err error) {
	switch {
	case err != nil:
		l.broken.Add(1)
		l.failures.Store(err.Error(), true)
	case a.State == api.StateComplete && len(a.Results) == 2:
		l.complete.Add(1)
	default:
		l.refused.Add(1)
		l.failures.Store(fmt.Sprintf("%d %s %s %s", a.Code, a.Name, a.Ran, a.Reason), true)
	}
}

// stopAndWait stops the load and waits for the last answers.
func (l *configLoad) stopAndWait() {
	l.stop()
	l.workers.Wait()
}

// checkComplete fails unless every job was answered in full.
func (l *configLoad) checkComplete(t *testing.T) {
	t.Helper()
	l.stopAndWait()
	t.Logf("%d jobs sent, %d complete", l.sent.Load(), l.complete.Load())
	if l.complete.Load() != l.sent.Load() || l.sent.Load() == 0 {
		t.Errorf("%d jobs sent, %d complete, %d refused or failed, %d broken",
			l.sent.Load(), l.complete.Load(), l.refused.Load(), l.broken.Load())
		l.failures.Range(func(k, _ any) bool {
			t.Log(k)
			return true
		})
	}
}
