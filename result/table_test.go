package result

import "testing"

// Guards against a code that reaches callers without a name or an HTTP status.
func TestEveryCodeIsDescribed(t *testing.T) {
	seen := map[string]Code{}
	for c, i := range All() {
		if i.Name == "" || i.Reason == "" || i.Status < 400 || i.Ran == "" {
			t.Errorf("code %d is incomplete: %+v", c, i)
		}
		if other, dup := seen[i.Name]; dup {
			t.Errorf("codes %d and %d share the name %s", c, other, i.Name)
		}
		seen[i.Name] = c
	}
}
