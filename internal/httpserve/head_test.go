package httpserve

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Guards against a head that is held back although it is whole: its end is found wherever reads divide it.
func TestHeadEndIsFoundAcrossReads(t *testing.T) {
	for _, c := range []struct {
		text string
		end  int
	}{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27},
		{"GET / HTTP/1.1\nHost: a\n\nbody", 24},
		{"GET / HTTP/1.1\nHost: a\n\r\nbody", 25},
		{"GET / HTTP/1.1\r\nHost: a\r\n\nbody", 26},
		{"\r\n\r\n", 4},
		{"a\r\r\n\n", 5},
		{"a\n\r", -1},
		{"a\n\rb\n", -1},
		{"a:b\r\nc:d\r\n", -1},
	} {
		for first := 0; first <= len(c.text); first++ {
			for second := first; second <= len(c.text); second++ {
				if got := endOf(c.text, first, second); got != c.end {
					t.Errorf("%q divided at %d and %d: the head ends at %d, want %d", c.text, first, second, got, c.end)
				}
			}
		}
	}
}

// endOf finds the end of a head that arrives in three reads.
func endOf(text string, cuts ...int) int {
	var h headEnd
	at := 0
	for _, cut := range append(cuts, len(text)) {
		if end := h.find([]byte(text[at:cut])); end >= 0 {
			return at + end
		}
		at = cut
	}
	return -1
}

// Guards against a wrong idea of whether a chunked body was followed by something.
func TestEmptyLineAtTheEndIsNoticedAcrossReads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		text string
		want bool
	}{{"0\r\n\r\n", true}, {"0\n\n", true}, {"0\r\n\r\nG", false}, {"0\r\n", false}, {"0\r\n\r", false}, {"a\rb\n", false}} {
		for range 100 {
			var h headEnd
			var reads []string
			for rest := c.text; rest != ""; {
				n := 1 + random.IntN(len(rest))
				h.note([]byte(rest[:n]))
				reads, rest = append(reads, rest[:n]), rest[n:]
			}
			if h.atEmptyLine != c.want {
				t.Errorf("%s: at an empty line: %t", fmt.Sprintf("%q", reads), h.atEmptyLine)
			}
		}
	}
}
