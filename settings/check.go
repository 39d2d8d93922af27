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

// MaxNameBytes is the maximum length of the names of processes, targets, services and
// workspaces. Names are also used as label values and metric tags.
const MaxNameBytes = 63

// Checker collects the validation errors of a decoded value, with their positions. Fields at
// which decoding failed are not reported a second time.
type Checker struct {
	source *SourceMap
	errs   Errors
}

// NewChecker returns a checker that starts with the errors from decoding. The source map may be nil.
func NewChecker(source *SourceMap, decoding Errors) *Checker {
	return &Checker{source: source, errs: slices.Clone(decoding)}
}

// Errors returns the errors found so far, sorted by position and field, at most MaxErrors
// and one that counts the rest.
func (c *Checker) Errors() Errors { return c.errs.ordered() }

// Add records an error for a field, unless decoding already failed there.
func (c *Checker) Add(field, format string, args ...any) {
	if c.source.reported(field) {
		return
	}
	c.errs = append(c.errs, c.source.ErrorAt(field, fmt.Sprintf(format, args...)))
}

// Required adds an error if value is empty, and reports whether it is not.
func (c *Checker) Required(field, value string) bool {
	if value == "" {
		c.Add(field, "is required")
	}
	return value != ""
}

// Name adds an error unless value is a name: 1 to MaxNameBytes bytes of letters, digits,
// '.', '_' and '-'. '/' is not allowed because names are parts of URL paths and store keys.
func (c *Checker) Name(field, value string) {
	if !c.Required(field, value) {
		return
	}
	if len(value) > MaxNameBytes || !label.ValidName(value) || strings.Contains(value, "/") {
		c.Add(field, "%q is longer than %d bytes or has other characters than letters, digits, '.', '_' and '-'", value, MaxNameBytes)
	}
}

// OneOf adds an error unless value is one of the allowed ones.
func (c *Checker) OneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.Add(field, "%q is not one of: %s", value, strings.Join(allowed, ", "))
	}
}

// CheckRange adds an error unless lowest <= value <= highest. NaN is out of every range.
func CheckRange[T cmp.Ordered](c *Checker, field string, value, lowest, highest T) {
	inRange := value >= lowest && value <= highest
	if !inRange {
		c.Add(field, "%v is not between %v and %v", value, lowest, highest)
	}
}

// ListenAddress parses an address to listen on, of the form ip:port, where port 0 means any
// free port. It adds an error and returns false if value has another form.
func (c *Checker) ListenAddress(field, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.Add(field, "%q is not an address of the form ip:port", value)
	}
	return a, err == nil
}

// DialAddress adds an error unless value is an address that can be dialled: ip:port with a
// specified IP address and a port other than 0.
func (c *Checker) DialAddress(field, value string) {
	a, ok := c.ListenAddress(field, value)
	if ok && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.Add(field, "%q cannot be dialled: it needs a specified IP address and a port", value)
	}
}

// DialAddresses checks each address as DialAddress does, and adds an error for duplicates.
func (c *Checker) DialAddresses(field string, values []string) {
	for i, v := range values {
		c.DialAddress(IndexPath(field, i), v)
		if slices.Index(values, v) < i {
			c.Add(IndexPath(field, i), "%q is listed twice", v)
		}
	}
}

// URL adds an error unless value is a base URL of the form http://ip:port.
func (c *Checker) URL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		c.Add(field, "%q is not of the form http://ip:port", value)
		return
	}
	c.DialAddress(field, u.Host)
}

// Labels adds an error for too many labels and for each invalid key or value.
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

// LabelKey adds an error unless key is a valid label key.
func (c *Checker) LabelKey(field, key string) {
	if key == "" || len(key) > label.MaxKeyBytes || !label.ValidName(key) {
		c.Add(field, "the key %q is empty, longer than %d bytes or has invalid characters", key, label.MaxKeyBytes)
	}
}
