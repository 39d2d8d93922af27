package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
	"go.uber.org/zap"
)

// agentSender delivers the messages to an agent to the test.
type agentSender chan wire.Message

func (s agentSender) Send(m wire.Message) error {
	s <- m
	return nil
}

const callerDocument = `{"services": {"frames": {"deadline": {"max_ms": 60000}}}, "workspaces": {"t": {}}}`

// newTestEntry returns an entry with small limits, without sockets and loops, and the
// messages to its only agent, which has not granted a slot yet.
func newTestEntry(t *testing.T) (*Entry, agentSender) {
	t.Helper()
	e, err := New(Options{Log: zap.NewNop(), Settings: settings.Entry{
		Name: "e", LinkAddress: "127.0.0.1:1", TLS: settings.TLS{DevelopmentSecret: "a"},
		Limits: settings.Limits{BodyBytes: 2048, PayloadBytes: 64, ResultBytes: 64, Tasks: 3},
	}})
	if err != nil {
		t.Fatal(err)
	}
	e.settings.Limits.SetDefaults()
	if err := e.startMembers(); err != nil {
		t.Fatal(err)
	}
	if _, err := e.config.AdoptStored(1, []byte(callerDocument)); err != nil {
		t.Fatal(err)
	}
	s, link := e.scheduler("frames"), make(agentSender, 64)
	now := time.Now()
	s.LinkUp("a", 7, link, now)
	s.HandleAnnounce("a", link, &wire.Announce{Target: "r", Service: "frames", Slots: 1}, now)
	return e, link
}

func post(ctx context.Context, e *Entry, path, body string) (*httptest.ResponseRecorder, api.Answer) {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	w := httptest.NewRecorder()
	e.callerRoutes().ServeHTTP(w, req)
	var a api.Answer
	_ = json.Unmarshal(w.Body.Bytes(), &a)
	return w, a
}

const (
	framesPath = "/v1/services/frames/jobs"
	jobHead    = `{"key":"k","workspace":"t","idempotent":true,"deadline_ms":5000,`
)

// Guards against a limit that is not checked at the API or is answered with
// another code or HTTP status, and against a refused job that is not counted.
func TestLimitsReturnTheirCodeAndStatus(t *testing.T) {
	e, _ := newTestEntry(t)
	long := strings.Repeat("x", 70)
	var labels []string
	for i := range 40 {
		labels = append(labels, `"l`+strings.Repeat("i", i)+`":""`)
	}
	cases := []struct {
		path, body string
		code       result.Code
		status     int
	}{
		{framesPath, ``, result.BadRequest, 400},
		{framesPath, `[]`, result.BadRequest, 400},
		{framesPath, jobHead + `"tasks":[{}]`, result.BadRequest, 400},
		{framesPath, jobHead + `"tasks":[{"payload":1}]}`, result.BadRequest, 400},
		{framesPath, jobHead + `"tasks":[{"payload":"` + "\xff" + `"}]}`, result.BadRequest, 400},
		{framesPath, jobHead + `"tasks":[{}],"priority":1}`, result.UnknownField, 400},
		{framesPath, jobHead + `"tasks":[{}]}` + strings.Repeat(" ", 2048), result.BodyTooLarge, 413},
		{framesPath, jobHead + `"tasks":[{},{},{},{}]}`, result.TooManyTasks, 400},
		{framesPath, jobHead + `"tasks":[]}`, result.NoTasks, 400},
		{framesPath, jobHead + `"tasks":[{"payload":"` + long + `"}]}`, result.PayloadTooLarge, 413},
		{framesPath, jobHead + `"labels":{` + strings.Join(labels, ",") + `},"tasks":[{}]}`, result.TooManyLabels, 400},
		{framesPath, jobHead + `"labels":{"a":"` + long + `"},"tasks":[{}]}`, result.LabelTooLong, 400},
		{framesPath, jobHead + `"labels":{"a b":""},"tasks":[{}]}`, result.BadLabel, 400},
		{framesPath, jobHead + `"tasks":[[[[[[[[[[[]]]]]]]]]]]}`, result.NestingTooDeep, 400},
		{framesPath, jobHead + `"tasks":[{"run_ms":-1}]}`, result.BadHint, 400},
		{framesPath, `{"workspace":"t","deadline_ms":5,"tasks":[{}]}`, result.MissingKey, 400},
		{framesPath, `{"key":"k","workspace":"t","idempotent":true,"deadline_ms":60001,"tasks":[{}]}`, result.BadDeadline, 400},
		{framesPath, `{"key":"k","workspace":"u","idempotent":true,"deadline_ms":500,"tasks":[{}]}`, result.UnknownWorkspace, 403},
		{"/v1/services/x/jobs", jobHead + `"tasks":[{}]}`, result.UnknownService, 404},
	}
	for _, c := range cases {
		w, a := post(t.Context(), e, c.path, c.body)
		if w.Code != c.status || a.Code != c.code || a.State != api.StateFailed || a.Ran != result.NotRun || a.Name != c.code.String() {
			t.Errorf("%.60s: status %d, answer %+v, want %d %s", c.body, w.Code, a, c.status, c.code)
		}
	}
	if got, n := e.Counts(), int64(len(cases)); got != (Counts{Entered: n, Refused: n}) {
		t.Errorf("counts %+v after %d refusals", got, n)
	}
}

// Guards against a retryable refusal without a Retry-After time.
func TestStoppingEntryAnswersWithRetryAfter(t *testing.T) {
	e, _ := newTestEntry(t)
	e.refusing.Store(true)
	w, a := post(t.Context(), e, framesPath, jobHead+`"tasks":[{}]}`)
	if w.Code != 503 || w.Header().Get("Retry-After") != "1" || a.RetryAfterMS != 1000 || a.Code != result.Stopping {
		t.Errorf("status %d, Retry-After %q, answer %+v", w.Code, w.Header().Get("Retry-After"), a)
	}
	body, _ := encodeAnswer(job.Answer{Err: result.New(result.QueueFull, "").WithRetryAfter(1200 * time.Millisecond)})
	if !strings.Contains(string(body), `"retry_after_ms":1200`) {
		t.Errorf("body %s", body)
	}
}

// Guards against results that reach the caller changed, such as bytes that are not
// UTF-8.
func TestResultBytesArePreserved(t *testing.T) {
	e, link := newTestEntry(t)
	want := []string{"\xff\x00\xfe", "text \u2260 <&>"}
	go func() {
		s := e.scheduler("frames")
		for m := range link {
			switch m := m.(type) {
			case *wire.Demand:
				if m.Waiting > 0 {
					s.HandleGrant("a", link, &wire.Grant{ID: wire.GrantID{Agent: 7, Seq: 1}, Slots: 2, TTL: time.Minute}, time.Now())
				}
			case *wire.Start:
				o := wire.Outcome{Task: m.Task, State: wire.StateDone, Result: []byte(want[m.Task.Index])}
				s.HandleOutcome("a", link, &o, time.Now())
			}
		}
	}()
	w, a := post(t.Context(), e, framesPath, jobHead+`"tasks":[{},{}]}`)
	if w.Code != 200 || len(a.Results) != 2 || string(a.Results[0]) != want[0] || string(a.Results[1]) != want[1] {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
	if w.Header().Get("Content-Type") != "application/json" {
		t.Errorf("content type %q", w.Header().Get("Content-Type"))
	}
}

// Guards against a job that keeps running, or is not counted, after its caller has
// disconnected.
func TestCallerDisconnectCancelsJob(t *testing.T) {
	e, link := newTestEntry(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-link // the demand message: the job is queued
		cancel()
	}()
	_, a := post(ctx, e, framesPath, jobHead+`"tasks":[{}]}`)
	if a.Code != result.CancelledInQueue || a.Ran != result.NotRun {
		t.Errorf("answer %+v", a)
	}
	if got := e.Counts(); got != (Counts{Entered: 1, Failed: 1}) {
		t.Errorf("counts %+v", got)
	}
	if status := e.scheduler("frames").Status(time.Now()); status.Jobs != 0 || status.Waiting != 0 {
		t.Errorf("still queued: %+v", status)
	}
}

// Guards against operator requests accepted from a client without a certificate, with
// one of another authority, or with one of an agent or entry.
func TestOperatorAPIRequiresOperatorCertificate(t *testing.T) {
	e, _ := newTestEntry(t)
	server := httptest.NewUnstartedServer(e.operatorRoutes())
	server.TLS = e.credentials.TLS("http/1.1")
	server.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	server.StartTLS()
	t.Cleanup(server.Close)
	for name, c := range map[string]struct {
		role   wire.Role
		secret string
		status int
	}{
		"operator": {wire.RoleOperator, "a", 200},
		"agent":    {wire.RoleAgent, "a", 403},
		"entry":    {wire.RoleEntry, "a", 403},
		"foreign":  {wire.RoleOperator, "b", 0},
		"none":     {"", "", 0},
	} {
		config := server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		config.InsecureSkipVerify = true
		if c.role != "" {
			own, err := transport.NewCredentials(settings.TLS{DevelopmentSecret: c.secret}, transport.Identity{Role: c.role, Name: "x"})
			if err != nil {
				t.Fatal(err)
			}
			config.GetClientCertificate = own.TLS().GetClientCertificate
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		got := 0
		if resp, err := client.Get(server.URL + "/v1/status"); err == nil {
			got = resp.StatusCode
			_ = resp.Body.Close()
		}
		client.CloseIdleConnections()
		if got != c.status {
			t.Errorf("%s: status %d, want %d", name, got, c.status)
		}
	}
}

// Guards against a configured default deadline of a service that is not applied.
func TestJobWithoutDeadlineUsesServiceDefault(t *testing.T) {
	e, _ := newTestEntry(t)
	body := `{"key":"k","workspace":"t","idempotent":true,"tasks":[{}]}`
	spec, refusal := job.Decode([]byte(body), e.jobLimits("frames"))
	if refusal != nil || spec.Deadline != 30*time.Second {
		t.Fatalf("%+v, refusal %v", spec, refusal)
	}
	if _, refusal := job.Decode([]byte(body), e.jobLimits("unknown")); refusal == nil || refusal.Code != result.BadDeadline {
		t.Errorf("a service that is not configured has no default: %v", refusal)
	}
}

// Guards against an answer whose encoding result by result differs from that of api.Answer.
func TestAnswerIsEncodedAsDocumented(t *testing.T) {
	for _, results := range [][]string{nil, {""}, {"a\"<&>\u2028", "\xff\x00", strings.Repeat("x", 1000)}} {
		want := api.Answer{State: api.StateComplete}
		a := job.Answer{}
		for _, r := range results {
			want.Results = append(want.Results, api.Result(r))
			a.Results = append(a.Results, []byte(r))
		}
		text, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		if body, status := encodeAnswer(a); status != http.StatusOK || string(body) != string(text)+"\n" {
			t.Errorf("status %d, %s, want %s", status, body, text)
		}
	}
}
