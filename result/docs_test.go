package result

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

const docPath = "../docs/result-codes.md"

// Guards against a code that the documentation lacks or describes differently.
func TestDocumentedTableEqualsCode(t *testing.T) {
	raw, err := os.ReadFile(docPath)
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "| 1") || strings.HasPrefix(line, "| 2") || strings.HasPrefix(line, "| 3") ||
			strings.HasPrefix(line, "| 4") || strings.HasPrefix(line, "| 5") {
			documented = append(documented, line)
		}
	}
	var want []string
	for _, c := range slices.Sorted(maps.Keys(All())) {
		i, _ := Lookup(c)
		want = append(want, fmt.Sprintf("| %d | `%s` | %d | `%s` | %s |", c, i.Name, i.Status, i.Ran, i.Reason))
	}
	if got := strings.Join(documented, "\n"); got != strings.Join(want, "\n") {
		t.Errorf("%s differs from the code; the table must be:\n%s", docPath, strings.Join(want, "\n"))
	}
}
