package answer

import "bytes"

// eventScanner finds the ends of server-sent events in a stream that arrives in parts. A line ends with LF, CR or CRLF, and
// an event with a blank line.
type eventScanner struct {
	events     int // complete events
	sinceEvent int // bytes since the last of them
	lineBytes  int // of the line that has not ended yet
	lineBegin  [len(byteOrderMark) + maxEventFieldBytes + len(":")]byte
	hasField   bool // a field of any name has begun since the last blank line
	hasEvent   bool // a field that makes an event has ended since the last blank line
	afterCR    bool // the last byte was a CR, which a LF can follow in the same line end
	usesCRLF   bool // some line ended with CRLF
	blankAfter bool // the last line that ended was blank
}

const (
	// byteOrderMark may precede the first line.
	byteOrderMark      = "\xef\xbb\xbf"
	maxEventFieldBytes = len("event")
)

// scan reads the next part and returns the offset in it after the last complete event, or 0 if none ends in it.
func (s *eventScanner) scan(p []byte) (end int) {
	for i, c := range p {
		s.sinceEvent++
		if c == '\n' && s.afterCR {
			s.afterCR, s.usesCRLF = false, true
			if s.blankAfter {
				end = i + 1
			}
			continue
		}
		s.afterCR = c == '\r'
		if c != '\n' && c != '\r' {
			// A line that begins with a colon is a comment, which belongs to no event.
			s.hasField = s.hasField || (s.lineBytes == 0 && c != ':')
			if s.lineBytes < len(s.lineBegin) {
				s.lineBegin[s.lineBytes] = c
			}
			s.lineBytes++
			continue
		}
		s.blankAfter = s.lineBytes == 0
		s.hasEvent = s.hasEvent || s.isEventField()
		s.lineBytes = 0
		if s.blankAfter {
			end = i + 1
			if s.hasEvent {
				s.events++
				s.sinceEvent = 0
			}
			s.hasField, s.hasEvent = false, false
		}
	}
	return end
}

// isEventField reports whether the line that ends is a field that makes an event: data, event or id. Others, such as retry, tell the
// caller nothing of the answer.
func (s *eventScanner) isEventField() bool {
	line := bytes.TrimPrefix(s.lineBegin[:min(s.lineBytes, len(s.lineBegin))], []byte(byteOrderMark))
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data", "event", "id":
		return true
	}
	return false
}

// insideEvent reports whether the stream has reached a place where it cannot end: within an event or a line.
func (s *eventScanner) insideEvent() bool {
	return s.hasField || s.lineBytes > 0 || (s.afterCR && s.usesCRLF)
}
