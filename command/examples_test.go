package command

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/catkinline/catkinline/job"
)

// Guards against example files that this release rejects, and against example files
// of a kind that no parser reads.
func TestExampleFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../examples/*.json")
	if err != nil || len(paths) < 6 {
		t.Fatalf("%d examples, error %v", len(paths), err)
	}
	for _, path := range paths {
		name := filepath.Base(path)
		if name == "job.json" {
			checkExampleJob(t, path)
			continue
		}
		kind, _, _ := strings.Cut(strings.TrimSuffix(name, ".json"), "-")
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		check, ok := checkers[kind]
		if !ok {
			t.Errorf("%s: no parser reads %q", name, kind)
		} else if err := check(data); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// checkExampleJob reads a job as submit does and decodes the request body as an entry
// does.
func checkExampleJob(t *testing.T, path string) {
	sent, err := readJob(path)
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if _, refusal := job.Decode(body, job.DefaultLimits()); refusal != nil {
		t.Error(refusal)
	}
}
