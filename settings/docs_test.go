package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// fieldValues adds the JSON paths and values of a struct's fields to into. Zero values are
// "none".
func fieldValues(prefix string, v reflect.Value, into map[string]string) {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("json")
		f := v.Field(i)
		switch {
		case f.Kind() == reflect.Struct:
			fieldValues(path+".", f, into)
		case f.IsZero():
			into[path] = "none"
		default:
			into[path] = fmt.Sprint(f.Interface())
		}
	}
}

var settingRow = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| ([^|]+) \\|")

// checkTable compares the table under a heading of the page with the defaults of parsed
// settings. The paths in required are documented as required.
func checkTable(t *testing.T, page, title string, parsed any, required string) {
	t.Helper()
	want := make(map[string]string)
	fieldValues("", reflect.ValueOf(parsed), want)
	for _, path := range strings.Fields(required) {
		want[path] = "required"
	}
	if want["advertise"] == "127.0.0.1:1" {
		want["advertise"] = "`link_address`"
	}
	_, section, _ := strings.Cut(page, "\n### "+title+"\n")
	section, _, _ = strings.Cut(section, "\n##")
	got := make(map[string]string)
	for _, row := range settingRow.FindAllStringSubmatch(section, -1) {
		got[row[1]] = row[2]
	}
	for path, value := range want {
		if got[path] != value {
			t.Errorf("%s: %s has default %s, the page has %q", title, path, value, got[path])
		}
	}
	for path := range got {
		if want[path] == "" {
			t.Errorf("%s: %s is on the page only", title, path)
		}
	}
}

// Guards against a settings field that is missing from the operations page, or documented
// with a wrong default.
func TestOperationsPageListsEverySetting(t *testing.T) {
	raw, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	const tls = `"tls": {"ca": "a", "certificate": "b", "key": "c"}`
	entry, err := ParseEntry([]byte(`{"name": "e", "failure_domain": "d", "caller_address": "127.0.0.1:1",
		"link_address": "127.0.0.1:1", ` + tls + `}`))
	if err != nil {
		t.Fatal(err)
	}
	checkTable(t, string(raw), "Entry settings", entry,
		"name failure_domain caller_address link_address tls.ca tls.certificate tls.key")
	agent, err := ParseAgent([]byte(`{"name": "a", "failure_domain": "d", "admin_address": "127.0.0.1:1",
		"entries": ["127.0.0.1:2"], "target": {"name": "t", "service": "s", "url": "http://127.0.0.1:3"}, ` + tls + `}`))
	if err != nil {
		t.Fatal(err)
	}
	checkTable(t, string(raw), "Agent settings", agent,
		"name failure_domain admin_address entries tls.ca tls.certificate tls.key target.name target.service target.url")
}
