package job

import (
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/catkinline/catkinline/result"
)

func testLimits() Limits {
	l := DefaultLimits()
	l.BodyBytes = 4096
	l.Tasks = 3
	l.PayloadBytes = 16
	l.Labels = 2
	l.Nesting = 4
	return l
}

const bodyPrefix = `{"key":"k","workspace":"t","deadline_ms":500,`

// Guards against a limit that is not checked or is reported with the code of another
// limit.
func TestDecodeRefusals(t *testing.T) {
	long := strings.Repeat("x", 70)
	cases := map[string]struct {
		body string
		code result.Code
	}{
		"empty":              {``, result.BadRequest},
		"trailing":           {bodyPrefix + `"tasks":[{}]} {}`, result.BadRequest},
		"null task":          {bodyPrefix + `"tasks":[null]}`, result.BadRequest},
		"payload object":     {bodyPrefix + `"tasks":[{"payload":{}}]}`, result.BadRequest},
		"repeated field":     {bodyPrefix + `"tasks":[{"payload":"a"}],"tasks":[{}]}`, result.BadRequest},
		"repeated label":     {bodyPrefix + `"labels":{"a":"b","a":"c"},"tasks":[{}]}`, result.BadRequest},
		"invalid UTF-8":      {bodyPrefix + `"tasks":[{"payload":"` + "\xff" + `"}]}`, result.BadRequest},
		"unpaired surrogate": {bodyPrefix + `"tasks":[{"payload":"\ud800x"}]}`, result.BadRequest},
		"long key":           {`{"key":"` + strings.Repeat("k", 257) + `","workspace":"t","deadline_ms":5,"tasks":[{}]}`, result.BadRequest},
		"unknown field":      {bodyPrefix + `"tasks":[{}],"extra":1}`, result.UnknownField},
		"other case":         {bodyPrefix + `"Tasks":[{}]}`, result.UnknownField},
		"escaped name":       {bodyPrefix + `"t\u0061sks":[{}]}`, result.UnknownField},
		"unknown in task":    {bodyPrefix + `"tasks":[{"pay":"x"}]}`, result.UnknownField},
		"body":               {bodyPrefix + `"tasks":[{}]}` + strings.Repeat(" ", 4096), result.BodyTooLarge},
		"tasks":              {bodyPrefix + `"tasks":[{},{},{},{}]}`, result.TooManyTasks},
		"tasks, cut off":     {bodyPrefix + `"tasks":[1,2,3,4`, result.TooManyTasks},
		"no tasks":           {bodyPrefix + `"tasks":[]}`, result.NoTasks},
		"payload":            {bodyPrefix + `"tasks":[{"payload":"12345678901234567"}]}`, result.PayloadTooLarge},
		"labels":             {bodyPrefix + `"labels":{"a":"","b":"","c":""},"tasks":[{}]}`, result.TooManyLabels},
		"label key":          {bodyPrefix + `"labels":{"` + long + `":""},"tasks":[{}]}`, result.LabelTooLong},
		"label value":        {bodyPrefix + `"labels":{"a":"` + long + `"},"tasks":[{}]}`, result.LabelTooLong},
		"nesting":            {bodyPrefix + `"tasks":[[[[[]]]]]}`, result.NestingTooDeep},
		"no deadline":        {`{"key":"k","workspace":"t","tasks":[{}]}`, result.BadDeadline},
		"huge deadline":      {`{"key":"k","workspace":"t","deadline_ms":9223372036854775807,"tasks":[{}]}`, result.BadDeadline},
		"no workspace":       {`{"key":"k","deadline_ms":5,"tasks":[{}]}`, result.UnknownWorkspace},
		"no key":             {`{"workspace":"t","deadline_ms":5,"tasks":[{}]}`, result.MissingKey},
		"null":               {`null`, result.MissingKey},
		"label characters":   {bodyPrefix + `"labels":{"a b":""},"tasks":[{}]}`, result.BadLabel},
		"empty label key":    {bodyPrefix + `"labels":{"":"a"},"tasks":[{}]}`, result.BadLabel},
		"negative run time":  {bodyPrefix + `"tasks":[{"run_ms":-0.5}]}`, result.BadHint},
		"negative size":      {bodyPrefix + `"tasks":[{"size_bytes":-1}]}`, result.BadHint},
	}
	for name, c := range cases {
		spec, err := Decode([]byte(c.body), testLimits())
		if err == nil || spec != nil {
			t.Errorf("%s: accepted", name)
			continue
		}
		if err.Code != c.code || err.Ran != result.NotRun {
			t.Errorf("%s: got %v ran=%s, want %v", name, err, err.Ran, c.code)
		}
	}
}

// Guards against a payload that is changed by decoding, and against hints whose sums
// overflow.
func TestDecodeAccepts(t *testing.T) {
	text := bodyPrefix + `"idempotent":true,"labels":{"a":"b"},"tasks":[{"payload":"\ud83e\ude81 \"[{\\","run_ms":1e300},{"run_ms":2.5,"size_bytes":7}]}`
	spec, err := Decode([]byte(text), testLimits())
	if err != nil {
		t.Fatal(err)
	}
	if got := string(spec.Tasks[0].Payload); got != "\U0001FA81 \"[{\\" {
		t.Errorf("payload %q", got)
	}
	if spec.Tasks[0].RunTime != maxRunTimeHint || spec.Tasks[1].RunTime != 2500*time.Microsecond || spec.Tasks[1].SizeBytes != 7 {
		t.Errorf("hints %+v", spec.Tasks)
	}
	if spec.Deadline != 500*time.Millisecond || !spec.Idempotent || spec.Labels["a"] != "b" || spec.PayloadBytes() != 9 {
		t.Errorf("spec %+v", spec)
	}
}

// FuzzDecode guards against input that makes the decoder panic, that is accepted
// although it exceeds a limit, or that is refused with a code outside 100 to 114.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(bodyPrefix + `"tasks":[{}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := testLimits()
		spec, err := Decode(raw, l)
		if err != nil {
			if err.Code < 100 || err.Code > 114 || err.Ran != result.NotRun {
				t.Fatalf("%v ran=%s", err, err.Ran)
			}
			return
		}
		if refusal := spec.Validate(l); refusal != nil {
			t.Fatalf("accepted, but Validate returns %v", refusal)
		}
		for i := range spec.Tasks {
			p := spec.Tasks[i].Payload
			if !utf8.Valid(p) {
				t.Fatalf("task %d has the payload %q, which is not valid UTF-8", i, p)
			}
		}
	})
}
