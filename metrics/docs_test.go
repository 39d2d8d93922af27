package metrics

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// namesInCode returns the kind of each metric by name, read from names.go: a metric is a gauge
// if its comment begins with "gauge", a histogram in a group whose comment begins with
// "Histograms", and a counter otherwise.
func namesInCode(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "names.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]string)
	for _, d := range file.Decls {
		group := d.(*ast.GenDecl)
		for _, s := range group.Specs {
			value := s.(*ast.ValueSpec)
			id := value.Names[0].Name
			if id == "Prefix" || strings.HasPrefix(id, "Tag") {
				continue
			}
			name, err := strconv.Unquote(value.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			kind := "counter"
			if strings.HasPrefix(group.Doc.Text(), "Histograms") {
				kind = "histogram"
			}
			if strings.HasPrefix(value.Comment.Text(), "gauge") {
				kind = "gauge"
			}
			names[name] = kind
		}
	}
	return names
}

var (
	metricRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (counter|gauge|histogram) \\|.*\\| ([^|]+) \\|$")
	codeText  = regexp.MustCompile("`([a-z_]+)`")
)

// Guards against a metric that is missing from the operations page or has a wrong kind there,
// and against a removed metric that the page or one of its alarms still names.
func TestOperationsPageNamesEveryMetric(t *testing.T) {
	raw, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	code := namesInCode(t)
	documented := make(map[string]string)
	for _, row := range metricRow.FindAllStringSubmatch(string(raw), -1) {
		documented[row[1]] = row[2]
	}
	for name, kind := range code {
		if documented[name] != kind {
			t.Errorf("%s is a %s in the code and %q on the page", name, kind, documented[name])
		}
	}
	for name := range documented {
		if code[name] == "" {
			t.Errorf("%s is on the page only", name)
		}
	}
	_, alarms, _ := strings.Cut(string(raw), "\n## Alarms\n")
	alarms, _, _ = strings.Cut(alarms, "\n## ")
	var named []string
	for _, line := range strings.Split(alarms, "\n") {
		if m := codeText.FindStringSubmatch(line); m != nil {
			named = append(named, m[1])
		}
	}
	if len(named) == 0 || slices.ContainsFunc(named, func(n string) bool { return code[n] == "" }) {
		t.Errorf("the alarms use the metrics %v", named)
	}
}
