package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/catkinline/catkinline/label"
)

// MaxNameBytes bounds the names of processes, targets, services and workspaces.
// They become label values and metric tags.
const MaxNameBytes = 63

// Checker collects the validation errors of a decoded value, with their positions. Fields at
// which decoding failed are not reported a second time.
type Checker struct {
	source *SourceMap
	errs   Errors
}

// NewChecker returns a checker that starts with the errors of decoding. The source map may be nil.
func NewChecker(source *SourceMap, decoding Errors) *Checker {
	return &Checker{source: source, errs: slices.Clone(decoding)}
}

// Errors returns all errors found so far in the order of the text.
func (c *Checker) Errors() Errors { return c.errs.ordered() }

// Add records an error of a field, unless decoding already failed there.
func (c *Checker) Add(field, format string, args ...any) {
	if c.source.reported(field) {
		return
	}
	c.errs = append(c.errs, c.source.ErrorAt(field, fmt.Sprintf(format, args...)))
}

// Required adds an error if value is empty, and returns whether it is set.
func (c *Checker) Required(field, value string) bool {
	if value == "" {
		c.Add(field, "is required")
	}
	return value != ""
}

// Name checks a name: one to MaxNameBytes bytes of letters, digits, '.', '_'
// and '-'. '/' is left out because names are parts of URL paths and store keys.
func (c *Checker) Name(field, value string) {
	if !c.Required(field, value) {
		return
	}
	if len(value) > MaxNameBytes || !label.ValidName(value) || strings.Contains(value, "/") {
		c.Add(field, "%q is longer than %d bytes or has other characters than letters, digits, '.', '_' and '-'", value, MaxNameBytes)
	}
}

// OneOf checks that a text is one of those allowed.
func (c *Checker) OneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.Add(field, "%q is not one of: %s", value, strings.Join(allowed, ", "))
	}
}

// CheckRange checks that lowest <= value <= highest.
func CheckRange[T cmp.Ordered](c *Checker, field string, value, lowest, highest T) {
	inside := value >= lowest && value <= highest
	if !inside {
		c.Add(field, "%v is not between %v and %v", value, lowest, highest)
	}
}

// ListenAddress checks an address to listen on: ip:port, where port 0 means any.
func (c *Checker) ListenAddress(field, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.Add(field, "%q is not an address of the form ip:port", value)
	}
	return a, err == nil
}

// DialAddress checks an address to dial: ip:port, neither unspecified.
func (c *Checker) DialAddress(field, value string) {
	a, ok := c.ListenAddress(field, value)
	if ok && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.Add(field, "%q cannot be dialled: it needs a specified IP address and a port", value)
	}
}

// DialAddresses checks a list of addresses to dial, without repetitions.
func (c *Checker) DialAddresses(field string, values []string) {
	for i, v := range values {
		c.DialAddress(IndexPath(field, i), v)
		if slices.Index(values, v) < i {
			c.Add(IndexPath(field, i), "%q is listed twice", v)
		}
	}
}

// URL checks a base address of the form http://ip:port.
func (c *Checker) URL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		c.Add(field, "%q is not of the form http://ip:port", value)
		return
	}
	c.DialAddress(field, u.Host)
}

// Labels checks the number of labels, their keys and their values.
func (c *Checker) Labels(field string, set label.Set) {
	if len(set) > label.MaxLabels {
		c.Add(field, "%d labels, the limit is %d", len(set), label.MaxLabels)
	}
	for k, v := range set {
		c.LabelKey(MemberPath(field, k), k)
		if len(v) > label.MaxValueBytes || !label.ValidName(v) {
			c.Add(MemberPath(field, k), "the value %q is longer than %d bytes or has invalid characters", v, label.MaxValueBytes)
		}
	}
}

// LabelKey checks the key of a label.
func (c *Checker) LabelKey(field, key string) {
	if key == "" || len(key) > label.MaxKeyBytes || !label.ValidName(key) {
		c.Add(field, "the key %q is empty, longer than %d bytes or has invalid characters", key, label.MaxKeyBytes)
	}
}
