package settings

import (
	"bytes"
	"errors"
	"flag"
	stdlog "log"
	"os"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/zap"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against a default that is not applied, and against a default that replaces a value
// from the file.
func TestDefaultsFillAbsentFields(t *testing.T) {
	e, err := LoadEntry("testdata/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	if e.Limits.Tasks != 100 || e.Limits.QueuedJobs != DefaultQueuedJobs || e.Advertise != "127.0.0.1:7000" {
		t.Errorf("limits %+v, advertise %q", e.Limits, e.Advertise)
	}
	if e.Store.TimeoutMS != DefaultStoreTimeoutMS || e.Policy.Binding != "late" || e.Log.Format != "json" || e.DrainSeconds != DefaultDrainSeconds {
		t.Errorf("defaults are missing: %+v", e)
	}
	a, err := LoadAgent("testdata/agent.json")
	if err != nil {
		t.Fatal(err)
	}
	if a.Target.Slots != DefaultSlots || a.Target.Connections != DefaultConnections || a.Target.Labels["gpu"] != "yes" {
		t.Errorf("target %+v, want the default slots and connections and the label gpu=yes", a.Target)
	}
}

// Guards against validation that stops at the first error, reports an error twice or with a
// wrong position.
func TestEveryErrorIsReportedWithItsPosition(t *testing.T) {
	_, err := LoadEntry("testdata/entry_faults.json")
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("error %v", err)
	}
	got := errs.Error() + "\n"
	const golden = "testdata/entry_faults.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// Guards against a stack overflow or an unbounded list of errors on malicious input.
func TestMalformedInputIsBounded(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 1<<20), strings.Repeat(`{"a":`, 1<<18)} {
		if _, err := ParseEntry([]byte(text)); !strings.Contains(err.Error(), "nested deeper") {
			t.Errorf("%.20q: %v", text, err)
		}
	}
	for _, text := range []string{
		`{"name": "` + strings.Repeat("[", 1<<20),
		"{" + strings.Repeat(`"x":1,`, 1<<16) + "}",
		"{" + strings.Repeat("/**/", 1<<18) + "}",
	} {
		_, err := ParseEntry([]byte(text))
		var errs Errors
		if !errors.As(err, &errs) || len(errs) > MaxErrors+1 {
			t.Errorf("%d errors for %.20q, want 1 to MaxErrors and one that counts the rest", len(errs), text)
		}
	}
}

// Guards against a wrong line or column, for fields on any line and with any name.
func TestPositionsPointAtTheField(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1)) // the same cases on every run
	properties.Property("the error for an unknown field has the field's position", prop.ForAll(
		func(blank int, name string) bool {
			line := strings.Repeat("\n", blank)
			var v struct{}
			errs := Decode([]byte("{"+line+"  \"x"+name+"\": 1}"), &v)
			column := 3
			if blank == 0 {
				column = 4
			}
			return len(errs) == 1 && errs[0].Line == blank+1 && errs[0].Column == column && errs[0].Field == "x"+name
		},
		gen.IntRange(0, 50), gen.AlphaString(),
	))
	properties.Property("parent reverses MemberPath and IndexPath", prop.ForAll(
		func(names []string) bool {
			path := ""
			for i, n := range names {
				next := MemberPath(path, n)
				if back, _ := parent(next); back != path {
					return false
				}
				path = IndexPath(next, i)
				if back, _ := parent(path); back != next {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.OneGenOf(gen.AnyString(), gen.OneConstOf("a[0]", `b["c"]`, `"`, `\`, `]"]`, "d.e"))),
	))
	properties.TestingRun(t)
}

// Guards against a logger that ignores the configured level or format.
func TestLoggerFollowsSettings(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(Log{Level: "warn"}, &out)
	if err != nil {
		t.Fatal(err)
	}
	log.Info("quiet")
	log.Warn("loud")
	if s := out.String(); strings.Contains(s, "quiet") || !strings.Contains(s, `"msg":"loud"`) {
		t.Errorf("log %q", s)
	}
	if _, err := NewLogger(Log{Format: "xml"}, &out); err == nil {
		t.Error("an unknown format is accepted")
	}
}

// Guards against stack traces in the log, and against library output that bypasses the log's
// format and level and goes to standard error.
func TestLogHasOneLineForEachEvent(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLogger(Log{}, &out)
	if err != nil {
		t.Fatal(err)
	}
	failure := ErrLog.Wrap(errors.New("the cause"))
	log.Named("a").With(zap.Error(failure)).Warn("first", zap.NamedError("other", failure), zap.Error(nil))
	restore := CaptureStandardLog(log)
	stdlog.Print("second")
	restore()
	ServerLogger(log).Print("of one connection")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[1], `"level":"warn"`) || !strings.Contains(lines[1], `"msg":"second"`) {
		t.Fatalf("log %q", lines)
	}
	if strings.Contains(lines[0], "Verbose") || strings.Contains(lines[0], ".go") || strings.Count(lines[0], `:"log settings: the cause"`) != 2 {
		t.Errorf("line %s does not have the error's message twice and no stack trace", lines[0])
	}
}

// Guards against a panic or an unbounded list of errors on arbitrary input.
func FuzzSettings(f *testing.F) {
	for _, name := range []string{"entry.json", "agent.json", "entry_faults.json"} {
		data, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, parse := range []func([]byte) error{
			func(b []byte) error { _, err := ParseEntry(b); return err },
			func(b []byte) error { _, err := ParseAgent(b); return err },
		} {
			var errs Errors
			if errors.As(parse(data), &errs) && len(errs) > MaxErrors+1 {
				t.Errorf("%d errors, want at most MaxErrors and one that counts the rest", len(errs))
			}
		}
	})
}
