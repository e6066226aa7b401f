package answer

import "bytes"

// eventScanner finds the ends of server-sent events in a stream that arrives in parts. A line ends with LF, CR or CRLF, and
// an event with a blank line.
type eventScanner struct {
	strict     bool // anything but events and comments is malformed
	events     int  // complete events
	sinceEvent int  // bytes since the last of them
	lineBytes  int  // of the line that has not ended yet
	lineBegin  [len(byteOrderMark) + maxEventFieldBytes + len(":")]byte
	hasField   bool // a field of any name has begun since the last blank line
	hasEvent   bool // a field that makes an event has ended since the last blank line
	hasKnown   bool // a field of a name that the format defines has ended since the last blank line
	inName     bool // the bytes of the line so far are the name of a field, or of a comment
	malformed  bool // the stream has something that is neither an event nor a comment
	afterCR    bool // the last byte was a CR, which a LF can follow in the same line end
	usesCRLF   bool // some line ended with CRLF
	blankAfter bool // the last line that ended was blank
}

const (
	// byteOrderMark may precede the first line.
	byteOrderMark      = "\xef\xbb\xbf"
	maxEventFieldBytes = len("event")
)

// scan reads the next part and returns the offset in it after the last complete event, or 0 if none ends in it. It reads nothing after
// something that is neither an event nor a comment.
func (s *eventScanner) scan(p []byte) (end int) {
	for i, c := range p {
		if s.malformed {
			return end
		}
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
			s.inName = (s.inName || s.lineBytes == 0) && c != ':'
			s.malformed = s.strict && s.inName && !isNameByte(c, s.lineBytes)
			if s.lineBytes < len(s.lineBegin) {
				s.lineBegin[s.lineBytes] = c
			}
			s.lineBytes++
			continue
		}
		s.blankAfter = s.lineBytes == 0
		s.hasEvent = s.hasEvent || s.isEventField()
		s.hasKnown = s.hasKnown || s.strict && s.isKnownField()
		s.lineBytes = 0
		if s.blankAfter {
			if s.malformed = s.strict && s.hasField && !s.hasKnown; s.malformed {
				return end
			}
			end = i + 1
			if s.hasEvent {
				s.events++
				s.sinceEvent = 0
			}
			s.hasField, s.hasEvent, s.hasKnown = false, false, false
		}
	}
	return end
}

// isEventField reports whether the line that ends is a field that makes an event: data, event or id. Others, such as retry, tell the
// caller nothing of the answer.
func (s *eventScanner) isEventField() bool {
	switch string(s.fieldName()) {
	case "data", "event", "id":
		return true
	}
	return false
}

// isKnownField reports whether the line is a field that the format defines, or a comment after a byte order mark. Others may stand beside
// them in an event.
func (s *eventScanner) isKnownField() bool {
	switch string(s.fieldName()) {
	case "data", "event", "id", "retry":
		return true
	case "":
		return s.lineBytes > len(byteOrderMark)
	}
	return false
}

// fieldName returns the name of the line's field, or the beginning of a long one.
func (s *eventScanner) fieldName() []byte {
	line := bytes.TrimPrefix(s.lineBegin[:min(s.lineBytes, len(s.lineBegin))], []byte(byteOrderMark))
	name, _, _ := bytes.Cut(line, []byte(":"))
	return name
}

// isNameByte reports whether the byte at an offset of a line can belong to the name of a field. The format allows any byte and defines names in
// lower case; a status line, the header of an answer, markup or a sentence is taken for something else.
func isNameByte(c byte, at int) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		return true
	case c >= 'A' && c <= 'Z':
		return at > 0
	}
	return at < len(byteOrderMark) && c == byteOrderMark[at]
}

// mayBeEvent reports whether what follows the last blank line can be the beginning of an event: comments, or a field that the format defines.
func (s *eventScanner) mayBeEvent() bool {
	return !s.strict || !s.hasField || s.hasKnown || s.lineBytes > 0 && !s.inName && s.isKnownField()
}

// insideEvent reports whether the stream has reached a place where it cannot end: within an event or a line.
func (s *eventScanner) insideEvent() bool {
	return s.hasField || s.lineBytes > 0 || (s.afterCR && s.usesCRLF)
}
