package scale

import (
	"math"
	"testing"
	"time"
)

// Guards against a wrong slope, intercept or standard error, from which the capacity
// documentation extrapolates.
func TestFitLine(t *testing.T) {
	f := fitLine("q", []float64{1, 2, 3, 4}, []float64{3.5, 4.5, 7.5, 8.5}, 100)
	if math.Abs(f.Slope-1.8) > 1e-9 || math.Abs(f.Intercept-1.5) > 1e-9 {
		t.Errorf("slope %g, intercept %g, want 1.8 and 1.5", f.Slope, f.Intercept)
	}
	if want := math.Sqrt(0.8 / 2 / 5); math.Abs(f.Error-want) > 1e-9 {
		t.Errorf("error %g, want %g", f.Error, want)
	}
	if math.Abs(f.Target-181.5) > 1e-9 || f.Largest != 4 {
		t.Errorf("target %g, largest %g", f.Target, f.Largest)
	}
}

// Guards against values read from wrong fields when the command name contains spaces
// and parentheses.
func TestParseStat(t *testing.T) {
	u, err := parseStat("7 (a ) b) S 1 7 7 0 -1 4 1 0 0 0 250 50 0 0 20 0 9 0 5 1000000 3 18446744073709551615 1")
	if err != nil {
		t.Fatal(err)
	}
	if u.CPU != 3*time.Second || u.RSS%3 != 0 || u.RSS == 0 {
		t.Errorf("got %v", u)
	}
	if _, err := parseStat("7 (a) S 1"); err == nil {
		t.Error("a line with too few fields was accepted")
	}
}

// Guards against a document of the target size that exceeds the size limit of a
// value in the store.
func TestDocumentOfTargetSizeIsValid(t *testing.T) {
	if faults := document(TargetAgents, TargetWorkspaces, TargetServices, 0).Validate(); len(faults) > 0 {
		t.Fatal(faults)
	}
}
