package callerconn

import (
	"strconv"
	"strings"
)

const (
	// headerSlack is how much longer than its limit a header may be before the server sees it.
	headerSlack = 4 << 10
	// Memory that a parsed header takes until its request has ended, garbage included: for each field, for each part of a list, and for
	// each byte.
	fieldBytes = 250
	partBytes  = 64
	byteBytes  = 2
)

// maxFieldBytes is how much of a header line is kept to find the length of the body.
const maxFieldBytes = 128

// header finds the blank line that ends a header which arrives in parts, and the length of the body that follows.
type header struct {
	begun     bool   // a line other than a blank one has begun; servers skip blank lines before a request
	lineBytes int    // of the line that has not ended yet, without a CR
	line      []byte // its beginning
	body      int64  // length in bytes, or unknownLength
	size      int    // bytes so far
	lines     int    // that have ended
	commas    int
}

// memory returns how many bytes the parsed header takes so far.
func (h *header) memory() int { return h.size*byteBytes + h.lines*fieldBytes + h.commas*partBytes }

const unknownLength = -1

// scan reads the next part. It returns the number of bytes that belong to the header, and whether the header ends in them.
func (h *header) scan(p []byte) (n int, ended bool) {
	for i, b := range p {
		if h.begun {
			h.size++
		}
		switch {
		case b == '\n' && h.lineBytes == 0 && h.begun:
			return i + 1, true
		case b == '\n':
			h.endLine()
		case b != '\r':
			h.begun = true
			if b == ',' {
				h.commas++
			}
			if h.lineBytes++; len(h.line) < maxFieldBytes {
				h.line = append(h.line, b)
			}
		}
	}
	return len(p), false
}

// endLine reads the line that has ended, if it is a field that tells the length of the body.
func (h *header) endLine() {
	h.lines++
	if name, value, ok := strings.Cut(string(h.line), ":"); ok && h.body != unknownLength {
		switch strings.ToLower(name) {
		case "transfer-encoding":
			h.body = unknownLength
		case "content-length":
			var err error
			if h.body, err = strconv.ParseInt(strings.TrimSpace(value), 10, 64); err != nil || h.body < 0 || h.lineBytes > maxFieldBytes {
				h.body = unknownLength
			}
		}
	}
	h.lineBytes, h.line = 0, h.line[:0]
}

// ahead follows what a caller sends after the header of the request that is being served: the rest of its body, and the next header. The
// server may read both together.
type ahead struct {
	body     int64 // bytes of the body still to come, or unknownLength: then nothing is known of what follows
	next     header
	complete bool // next has ended; nothing is known of what follows
}

func (a *ahead) scan(p []byte) {
	if a.body == unknownLength || a.complete {
		return
	}
	n := min(a.body, int64(len(p)))
	a.body -= n
	_, a.complete = a.next.scan(p[n:])
}
