package httpserve

import "bytes"

// headEnd finds the end of heads in the bytes of a connection: a line feed, and after it an empty line,
// which ends with a line feed and may have a carriage return. It sees all bytes of the connection in their order,
// also those of bodies, so that it misses no end that lies across two reads. It may find one too early, where a
// body ends like a line.
type headEnd struct {
	afterLine   bool // the last byte was a line feed
	afterReturn bool // the last two bytes were a line feed and a carriage return
	atEmptyLine bool // the last bytes were an empty line
}

// find returns the number of bytes up to the end of a head, or -1 if it does not end in p. The state after
// it is that at the end of p.
func (h *headEnd) find(p []byte) int {
	end := h.acrossReads(p)
	for at := 0; end < 0; {
		i := bytes.IndexByte(p[at:], '\n')
		if i < 0 {
			break
		}
		at += i + 1
		switch {
		case at < len(p) && p[at] == '\n':
			end = at + 1
		case at+1 < len(p) && p[at] == '\r' && p[at+1] == '\n':
			end = at + 2
		}
	}
	h.note(p)
	return end
}

// acrossReads returns the end of a head that began to end in earlier bytes, or -1.
func (h *headEnd) acrossReads(p []byte) int {
	switch {
	case len(p) > 0 && p[0] == '\n' && (h.afterLine || h.afterReturn):
		return 1
	case len(p) > 1 && h.afterLine && p[0] == '\r' && p[1] == '\n':
		return 2
	}
	return -1
}

// note records the last bytes of p without a search.
func (h *headEnd) note(p []byte) {
	switch n := len(p); {
	case n == 0:
	case n == 1:
		h.atEmptyLine = p[0] == '\n' && (h.afterLine || h.afterReturn)
		h.afterReturn = h.afterLine && p[0] == '\r'
		h.afterLine = p[0] == '\n'
	default:
		afterLine := h.afterLine
		if n > 2 {
			afterLine = p[n-3] == '\n'
		}
		h.atEmptyLine = p[n-1] == '\n' && (p[n-2] == '\n' || p[n-2] == '\r' && afterLine)
		h.afterReturn = p[n-2] == '\n' && p[n-1] == '\r'
		h.afterLine = p[n-1] == '\n'
	}
}
