package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func postTask(ctx context.Context, t *testing.T, url, id, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/tasks", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(TargetTaskHeader, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		t.Error(err)
		return nil
	}
	return response
}

// waitUntil polls until a condition holds; the timeout of the test bounds it.
func waitUntil(met func() bool) {
	for !met() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a second start of one identity that isn't counted, and against results
// that a caller can't attribute to its task.
func TestTargetCountsStartsByIdentity(t *testing.T) {
	target := NewTarget(TargetOptions{})
	server := httptest.NewServer(target)
	defer server.Close()
	for _, id := range []string{"a-1-0", "a-1-1", "a-1-0"} {
		response := postTask(t.Context(), t, server.URL, id, `{"echo":"e","result_bytes":10}`)
		var result TargetResult
		if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
			t.Fatal(err)
		}
		if result.Task != id || result.Echo != "e" || len(result.Padding) != 10 {
			t.Errorf("result of %s is %+v, want its id, the echo e and 10 bytes of padding", id, result)
		}
	}
	response, err := http.Get(server.URL + "/starts")
	if err != nil {
		t.Fatal(err)
	}
	var starts TargetStarts
	if err := json.NewDecoder(response.Body).Decode(&starts); err != nil {
		t.Fatal(err)
	}
	if starts.Identities != 2 || starts.StartedAgain != 1 || starts.Starts["a-1-0"] != 2 || starts.Echoes["e"] != 3 {
		t.Errorf("starts are %+v", starts)
	}
}

// Guards against a refused task that is counted as a start or isn't marked as not run,
// and against a slot that stays taken after the connection of its task was closed.
func TestTargetRefusesOverSlotLimitAndFreesCancelledSlots(t *testing.T) {
	target := NewTarget(TargetOptions{Slots: 1})
	server := httptest.NewServer(target)
	defer server.Close()
	if err := target.SetFaults(TargetFaults{Hang: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		postTask(ctx, t, server.URL, "a-1-0", `{}`)
	}()
	waitUntil(func() bool { return target.Status().Running == 1 })
	response := postTask(t.Context(), t, server.URL, "a-1-1", `{}`)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(TargetNotRunHeader) != "true" {
		t.Errorf("over the slot limit: status %d, headers %v", response.StatusCode, response.Header)
	}
	cancel()
	<-ended
	waitUntil(func() bool { return target.Status().Running == 0 })
	starts := target.Starts()
	if starts.Identities != 1 || starts.Outcomes != (TargetOutcomes{Cancelled: 1, Refused: 1}) {
		t.Errorf("starts are %+v", starts)
	}
}

// Guards against fault switches without effect, and against misspelt or invalid ones
// that are accepted.
func TestTargetFaultSwitches(t *testing.T) {
	target := NewTarget(TargetOptions{})
	server := httptest.NewServer(target)
	defer server.Close()
	steps := []struct {
		faults string
		set    int
		task   int
		notRun string
	}{
		{`{"fail_all":true}`, 200, 500, ""},
		{`{"refuse":true}`, 200, 503, "true"},
		{`{}`, 200, 200, ""},
		{`{"fail_al":true}`, 400, 200, ""},
		{`{"slots":-1}`, 400, 200, ""},
	}
	for i, step := range steps {
		response, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(step.faults))
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != step.set {
			t.Errorf("setting %s: status %d", step.faults, response.StatusCode)
		}
		response = postTask(t.Context(), t, server.URL, fmt.Sprintf("a-1-%d", i), `{}`)
		if response.StatusCode != step.task || response.Header.Get(TargetNotRunHeader) != step.notRun {
			t.Errorf("after %s: status %d, headers %v", step.faults, response.StatusCode, response.Header)
		}
		io.Copy(io.Discard, response.Body)
	}
}

// Guards against a silent target that counts a start or responds, and against a hung
// task that stays hung after the fault is cleared.
func TestTargetSilenceAndHang(t *testing.T) {
	target := NewTarget(TargetOptions{})
	server := httptest.NewServer(target)
	defer server.Close()
	if err := target.SetFaults(TargetFaults{Silent: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if response := postTask(ctx, t, server.URL, "a-1-0", `{}`); response != nil {
		t.Errorf("a silent target responded with %s", response.Status)
	}
	if starts := target.Starts(); starts.Identities != 0 {
		t.Errorf("a silent target counted %+v", starts)
	}
	if err := target.SetFaults(TargetFaults{Hang: true}); err != nil {
		t.Fatal(err)
	}
	statuses := make(chan int)
	go func() { statuses <- postTask(t.Context(), t, server.URL, "a-1-1", `{}`).StatusCode }()
	waitUntil(func() bool { return target.Status().Running == 1 })
	if err := target.SetFaults(TargetFaults{}); err != nil {
		t.Fatal(err)
	}
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("after the hang: status %d, want 200", status)
	}
}
