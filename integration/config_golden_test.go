package integration

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

var configUpdate = flag.Bool("update", false, "rewrite the golden files")

// configReplacements replaces the parts of a session that differ between runs by
// placeholders. Longer patterns come first, since shorter ones match parts of them.
var configReplacements = []struct {
	pattern     *regexp.Regexp
	placeholder string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`[0-9a-f]{12,16}-\d+-\d+`), "TASK"},
	{regexp.MustCompile(`\b1[0-9]{12}\b`), "REVISION"},
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "CHANGE"},
	{regexp.MustCompile(`"retry_after_ms":\d+`), `"retry_after_ms":N`},
	{regexp.MustCompile(`"digest": ?"[0-9a-f]+"`), `"digest":"DIGEST"`},
	{regexp.MustCompile(`has sent nothing for [0-9.ms]+`), "has sent nothing for TIME"},
}

func configReplaceVolatile(text string) string {
	for _, r := range configReplacements {
		text = r.pattern.ReplaceAllString(text, r.placeholder)
	}
	return text
}

// checkGolden compares a session with its golden file.
func checkGolden(t *testing.T, name, session string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	session = configReplaceVolatile(session)
	if *configUpdate {
		if err := os.WriteFile(path, []byte(session), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if session != string(want) {
		t.Errorf("the session differs from %s; got:\n%s", path, session)
	}
}

// Guards against an unintended change of the caller API: the complete answer and each
// class of refusal.
func TestConfigCallerSession(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, 1, func(o *fleet.Options) {
		o.Configuration = json.RawMessage(`{"services": {
			"frames": {"targets": "stage=live", "non_idempotent": true, "rules": [{"requests": "kind=panorama", "targets": "memory=large"}]},
			"checks": {}}, "workspaces": {"crew": {}}}`)
	})
	f.waitForAgentLinks(1, 1)
	var session strings.Builder
	send := func(title, service, body string) {
		url := f.CallerURLs()[0] + "/v1/services/" + service + "/jobs"
		response, err := http.Post(url, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		fmt.Fprintf(&session, "# %s\nPOST /v1/services/%s/jobs\n%s\n%s\n%s\n", title, service, body, response.Status, data)
	}
	job := func(key, rest string) string {
		return `{"key":"` + key + `","workspace":"crew","deadline_ms":20000,` + rest + `}`
	}
	tasks := `"tasks":[{"payload":"{\"run_ms\":20,\"echo\":\"one\"}"},{"payload":"{\"run_ms\":5,\"echo\":\"two\"}"}]`
	send("complete", "frames", job("a", `"idempotent":true,`+tasks))
	send("complete, not idempotent", "frames", job("b", tasks))
	f.checkNotRun("claim recorded", 0, configJob("b", false, 20), 206)
	send("not JSON", "frames", "{")
	send("no task", "frames", job("c", `"idempotent":true,"tasks":[]`))
	send("unknown service", "prints", job("d", `"idempotent":true,`+tasks))
	send("unknown workspace", "frames", strings.Replace(job("e", `"idempotent":true,`+tasks), "crew", "lab", 1))
	send("service takes idempotent jobs only", "checks", job("f", tasks))
	send("deadline over the bound", "frames", strings.Replace(job("g", `"idempotent":true,`+tasks), "20000", "900001", 1))
	send("no matching target", "frames", job("h", `"idempotent":true,"labels":{"kind":"panorama"},`+tasks))
	send("a task fails", "frames", job("i", `"idempotent":true,"tasks":[{"payload":"{\"fail\":true}"}]`))
	f.setStoreDown(true)
	send("not idempotent, store down", "frames", job("j", tasks))
	f.setStoreDown(false)
	checkGolden(t, "config_caller.golden", session.String())
}

// Guards against an unintended change of the output and exit status of "catkinline ctl".
func TestConfigOperatorSession(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	f.waitForAgentLinks(2, 2)
	f.waitFor("the entries are linked to each other", func() bool {
		return f.sumMetric(f.EntryURLs()[0], "peers_linked", "") == 1 && f.sumMetric(f.EntryURLs()[1], "peers_linked", "") == 1
	})
	var session strings.Builder
	run := func(arguments ...string) string {
		exit, output := f.ctl(0, arguments...)
		commandLine := regexp.MustCompile(`\S*/`).ReplaceAllString(strings.Join(arguments, " "), "")
		output = regexp.MustCompile(`\S*/(new|old)\.json`).ReplaceAllString(output, "$1.json")
		fmt.Fprintf(&session, "$ catkinline ctl %s\n%sexit status %d\n\n", commandLine, output, exit)
		return output
	}
	directory := t.TempDir()
	write := func(name string, document []byte) string {
		path := filepath.Join(directory, name)
		f.must(os.WriteFile(path, document, 0o600))
		return path
	}
	run("drain", "target-1", "--change-id", "drain-1")
	old, _ := json.Marshal(f.readDocument(0).Document)
	run("label", "target-0", "rack=r2", "--change-id", "label-1")
	run("get")
	current, _ := json.Marshal(f.readDocument(0).Document)
	edited := bytes.Replace(current, []byte(`"crew":{"weight":1}`), []byte(`"crew":{"weight":3}`), 1)
	path := write("new.json", edited)
	run("diff", path)
	run("apply", path, "--change-id", "apply-1")
	run("apply", path, "--change-id", "apply-1")
	run("apply", write("old.json", old), "--change-id", "apply-2")
	f.waitFor("both targets show the changes", func() bool {
		_, output := f.ctl(0, "status", "--json")
		output = strings.ReplaceAll(output, " ", "")
		return strings.Contains(output, `"rack":"r2"`) && strings.Contains(output, `"draining":true`)
	})
	run("status")
	run("undrain", "target-1", "--change-id", "undrain-1")
	run("label", "target-0", "rack-", "--change-id", "label-2")
	f.setStoreDown(true)
	run("drain", "target-0", "--change-id", "drain-2")
	f.setStoreDown(false)
	checkGolden(t, "config_operator.golden", session.String())
}

// Guards against an agent that does not log a change of its state, or that logs while
// its state does not change.
func TestConfigAgentSession(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, 1, func(o *fleet.Options) {
		o.EditAgent = func(_ int, s *settings.Agent) { s.Log.Format = "json" }
	})
	f.waitForAgentLinks(1, 1)
	f.submitUntilComplete(0, configJob("one", true, 20, 20))
	f.must(f.Terminate("entry-0"))
	_, err := f.WaitExit(t.Context(), "entry-0")
	f.must(err)
	f.must(f.Restart("entry-0"))
	f.must(f.WaitReady(t.Context(), "entry-0"))
	f.waitForAgentLinks(1, 1)
	f.setTargetFaults(standin.TargetFaults{FailAll: true})
	_, _ = f.submit(0, configJob("two", true, 20))
	f.must(f.Terminate("agent-0"))
	_, err = f.WaitExit(t.Context(), "agent-0")
	f.must(err)
	var session strings.Builder
	for line := range strings.Lines(f.Log("agent-0")) {
		var fields map[string]any
		f.must(json.Unmarshal([]byte(line), &fields))
		delete(fields, "ts")
		delete(fields, "errorVerbose")
		data, _ := json.Marshal(fields)
		session.Write(append(data, '\n'))
	}
	checkGolden(t, "config_agent.golden", session.String())
}
