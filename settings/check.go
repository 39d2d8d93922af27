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

// Check collects the faults of a decoded value, with their positions. Fields at
// which decoding failed are not reported a second time.
type Check struct {
	source *Source
	errs   Errors
}

// NewCheck continues after DecodeSource. Source may be nil.
func NewCheck(source *Source, decoding Errors) *Check {
	return &Check{source: source, errs: slices.Clone(decoding)}
}

// Errors returns every fault found so far in the order of the text.
func (c *Check) Errors() Errors { return c.errs.ordered() }

// Add reports a fault at a field.
func (c *Check) Add(field, format string, args ...any) {
	if c.source.reported(field) {
		return
	}
	c.errs = append(c.errs, c.source.At(field, fmt.Sprintf(format, args...)))
}

// Required reports an empty text and returns whether there is one.
func (c *Check) Required(field, value string) bool {
	if value == "" {
		c.Add(field, "is required")
	}
	return value != ""
}

// Name checks a name: one to MaxNameBytes bytes of letters, digits, '.', '_'
// and '-'. '/' is left out because names are parts of URL paths and store keys.
func (c *Check) Name(field, value string) {
	if !c.Required(field, value) {
		return
	}
	if len(value) > MaxNameBytes || !label.ValidName(value) || strings.Contains(value, "/") {
		c.Add(field, "%q is longer than %d bytes or has other characters than letters, digits, '.', '_' and '-'", value, MaxNameBytes)
	}
}

// OneOf checks that a text is one of those allowed.
func (c *Check) OneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.Add(field, "%q is not one of: %s", value, strings.Join(allowed, ", "))
	}
}

// CheckRange checks that lowest <= value <= highest.
func CheckRange[T cmp.Ordered](c *Check, field string, value, lowest, highest T) {
	inside := value >= lowest && value <= highest
	if !inside {
		c.Add(field, "%v is not between %v and %v", value, lowest, highest)
	}
}

// Listen checks an address to listen on: ip:port, where port 0 means any.
func (c *Check) Listen(field, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.Add(field, "%q is not an address of the form ip:port", value)
	}
	return a, err == nil
}

// Dial checks an address to dial: ip:port, neither unspecified.
func (c *Check) Dial(field, value string) {
	a, ok := c.Listen(field, value)
	if ok && (a.Addr().IsUnspecified() || a.Port() == 0) {
		c.Add(field, "%q cannot be dialled: it needs a specified IP address and a port", value)
	}
}

// DialList checks a list of addresses to dial, without repetitions.
func (c *Check) DialList(field string, values []string) {
	for i, v := range values {
		c.Dial(Index(field, i), v)
		if slices.Index(values, v) < i {
			c.Add(Index(field, i), "%q is listed twice", v)
		}
	}
}

// URL checks a base address of the form http://ip:port.
func (c *Check) URL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		c.Add(field, "%q is not of the form http://ip:port", value)
		return
	}
	c.Dial(field, u.Host)
}

// Labels checks the number of labels, their keys and their values.
func (c *Check) Labels(field string, set label.Set) {
	if len(set) > label.MaxLabels {
		c.Add(field, "%d labels, the limit is %d", len(set), label.MaxLabels)
	}
	for k, v := range set {
		c.LabelKey(Member(field, k), k)
		if len(v) > label.MaxValueBytes || !label.ValidName(v) {
			c.Add(Member(field, k), "the value %q is longer than %d bytes or has invalid characters", v, label.MaxValueBytes)
		}
	}
}

// LabelKey checks the key of a label.
func (c *Check) LabelKey(field, key string) {
	if key == "" || len(key) > label.MaxKeyBytes || !label.ValidName(key) {
		c.Add(field, "the key %q is empty, longer than %d bytes or has invalid characters", key, label.MaxKeyBytes)
	}
}
