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

// configDocument restricts the service to targets with a label, so that changing the
// label removes a target from the service.
const configDocument = `{
	"services": {"frames": {"targets": "stage=live", "non_idempotent": true}},
	"workspaces": {"crew": {}}
}`

const (
	// configWaitTimeout bounds every wait for a condition. On an idle machine all of
	// them take far less.
	configWaitTimeout  = 60 * time.Second
	configPollInterval = 50 * time.Millisecond
	// configSeed seeds the packet loss of the relays.
	configSeed = 11
	// configSecret is the development secret that a fleet's processes share.
	configSecret = "fleet-on-loopback"
)

// configFleet is a fleet whose entries serve the operator API.
type configFleet struct {
	*fleet.Fleet
	t                 *testing.T
	operatorAddresses []string // by entry
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
		f.operatorAddresses = append(f.operatorAddresses, configFreeAddress(t))
	}
	options.EditEntry = func(i int, s *settings.Entry) { s.OperatorAddress = f.operatorAddresses[i] }
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

// configPortsTaken counts the ports assigned to operator APIs. Their range lies between
// the ports of a fleet's processes and those of outgoing connections, so that no
// parallel fleet takes one. The first port depends on the process id, so that it
// differs between runs of the test binary.
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

func configExchangeJSON(t *testing.T, method, url string, body, response any) {
	t.Helper()
	data, _ := json.Marshal(body)
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: status %s", method, url, httpResponse.Status)
	}
	if err := json.NewDecoder(httpResponse.Body).Decode(response); err != nil {
		t.Fatal(err)
	}
}

// setStoreFaults changes the faults of the stand-in store and returns its status.
func (f *configFleet) setStoreFaults(change standin.StoreFaultChange) standin.StoreStatus {
	f.t.Helper()
	var status standin.StoreStatus
	configExchangeJSON(f.t, http.MethodPost, f.StoreURL()+standin.PathFaults, change, &status)
	return status
}

func (f *configFleet) setStoreDown(down bool) {
	f.setStoreFaults(standin.StoreFaultChange{Down: &down})
}

// setTargetFaults sets the same faults on every stand-in target.
func (f *configFleet) setTargetFaults(faults standin.TargetFaults) {
	for _, url := range f.TargetURLs() {
		configExchangeJSON(f.t, http.MethodPost, url+"/faults", faults, &standin.TargetFaults{})
	}
}

// startsByEcho returns how many tasks with an echo value the targets started.
func (f *configFleet) startsByEcho(echo string) int {
	n := 0
	for i := range f.TargetURLs() {
		n += f.targetStarts(i).Echoes[echo]
	}
	return n
}

// targetStarts returns the start counts of a target.
func (f *configFleet) targetStarts(target int) standin.TargetStarts {
	f.t.Helper()
	var s standin.TargetStarts
	configExchangeJSON(f.t, http.MethodGet, f.TargetURLs()[target]+"/starts", nil, &s)
	return s
}

// checkNoRepeatedStarts fails the test if a target started a task identity more than once.
func (f *configFleet) checkNoRepeatedStarts() {
	f.t.Helper()
	for i := range f.TargetURLs() {
		if n := f.targetStarts(i).StartedAgain; n > 0 {
			f.t.Errorf("target-%d started %d task identities more than once", i, n)
		}
	}
}

// waitFor polls a condition until it is true and returns how long that took.
func (f *configFleet) waitFor(what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > configWaitTimeout {
			f.t.Fatalf("condition not met within %v: %s", configWaitTimeout, what)
		}
		time.Sleep(configPollInterval)
	}
	return time.Since(start)
}

// must fails the test at once if err is not nil.
func (f *configFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// configJob returns a job with one task per run time. Task 0 echoes the key, task N the
// key and its index.
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

// checkNotRun submits a job and checks that it is refused with the given code and
// reported as not run.
func (f *configFleet) checkNotRun(what string, entryIndex int, j api.Job, code result.Code) {
	f.t.Helper()
	a, err := f.submit(entryIndex, j)
	if err != nil || a.Code != code || a.Ran != result.NotRun {
		f.t.Errorf("%s: answer %+v, error %v; want code %v, not run", what, a, err, code)
	}
}

// submitUntilComplete submits a job repeatedly until its answer is complete. Every
// refusal before that must report it as not run.
func (f *configFleet) submitUntilComplete(entryIndex int, j api.Job) {
	f.t.Helper()
	f.waitFor("job "+j.Key+" is complete", func() bool {
		a, err := f.submit(entryIndex, j)
		if err != nil || a.State != api.StateComplete && a.Ran != result.NotRun {
			f.t.Fatalf("job %s: answer %+v, error %v; want complete or not run", j.Key, a, err)
		}
		if a.Code == result.AlreadyClaimed && !strings.Contains(a.Reason, `"running"`) {
			f.t.Fatalf("job %s did not run but its key is still claimed: %+v", j.Key, a)
		}
		return a.State == api.StateComplete
	})
}

// ctl runs "catkinline ctl" against the operator API of an entry.
func (f *configFleet) ctl(entryIndex int, arguments ...string) (exit int, output string) {
	var out bytes.Buffer
	arguments = append([]string{"ctl"}, arguments...)
	arguments = append(arguments, "--address", f.operatorAddresses[entryIndex], "--development-secret", configSecret)
	exit = command.Main(arguments, &out, &out)
	return exit, out.String()
}

// change makes a configuration change through an entry and decodes the response.
func (f *configFleet) change(entryIndex int, arguments ...string) operator.ChangeResponse {
	_, output := f.ctl(entryIndex, append(arguments, "--json")...)
	var c operator.ChangeResponse
	if err := json.Unmarshal([]byte(output), &c); err != nil {
		f.t.Errorf("ctl %v: %v in output %q", arguments, err, output)
	}
	return c
}

// sumMetric sums a metric of a process over all label values, or over the lines that
// contain a text. It returns 0 if the process does not respond.
func (f *configFleet) sumMetric(url, name, containing string) float64 {
	f.t.Helper()
	response, err := http.Get(url + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	sum := 0.0
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		rest, ok := strings.CutPrefix(line, "catkinline_"+name)
		if !ok || rest != "" && rest[0] != '{' && rest[0] != ' ' || !strings.Contains(rest, containing) {
			continue
		}
		value, _ := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		sum += value
	}
	return sum
}

// revision returns the configuration revision in force at an entry.
func (f *configFleet) revision(entryIndex int) uint64 {
	return uint64(f.sumMetric(f.EntryURLs()[entryIndex], "config_revision", ""))
}

// configLoad submits small idempotent jobs continuously and counts their answers.
type configLoad struct {
	sent, complete, refused, unanswered atomic.Int64
	failures                            sync.Map
	workers                             sync.WaitGroup
	cancel                              context.CancelFunc
}

// startLoad starts workers that each submit one job after another. chooseEntry returns
// the entry for the next job, or -1 if the worker must wait.
func (f *configFleet) startLoad(workers int, chooseEntry func(n int64) int) *configLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &configLoad{cancel: cancel}
	f.t.Cleanup(cancel)
	for w := range workers {
		l.workers.Go(func() {
			for ctx.Err() == nil {
				n := l.sent.Add(1)
				i := chooseEntry(n)
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
		l.unanswered.Add(1)
		l.failures.Store(err.Error(), true)
	case a.State == api.StateComplete && len(a.Results) == 2:
		l.complete.Add(1)
	default:
		l.refused.Add(1)
		l.failures.Store(fmt.Sprintf("%d %s %s %s", a.Code, a.Name, a.Ran, a.Reason), true)
	}
}

// stopAndWait stops the load and waits until the workers have ended.
func (l *configLoad) stopAndWait() {
	l.cancel()
	l.workers.Wait()
}

// checkComplete stops the load and fails the test unless every answer was complete.
func (l *configLoad) checkComplete(t *testing.T) {
	t.Helper()
	l.stopAndWait()
	t.Logf("%d jobs sent, %d complete", l.sent.Load(), l.complete.Load())
	if l.complete.Load() != l.sent.Load() || l.sent.Load() == 0 {
		t.Errorf("%d jobs sent, %d complete, %d refused or failed, %d without an answer",
			l.sent.Load(), l.complete.Load(), l.refused.Load(), l.unanswered.Load())
		l.failures.Range(func(k, _ any) bool {
			t.Log(k)
			return true
		})
	}
}
