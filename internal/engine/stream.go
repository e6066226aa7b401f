package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Names of server-sent events.
const (
	EventToken  = "token"
	EventResult = "result"
	EventError  = "error"
)

const (
	maxLineBytes = 1 << 20
	// maxEventBytes bounds an event of several lines, with the comments and blank lines before it.
	maxEventBytes = 2 << 20
)

var errEventTooLong = errors.New("engine: event too long")

// stream decodes the server-sent events of one answer.
type stream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	result fighollow.GenerateResult
	err    error // final error, returned by every later call of Next
}

func newStream(body io.ReadCloser) *stream {
	s := &stream{body: body, lines: bufio.NewScanner(body)}
	s.lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	s.lines.Split(splitLines)
	return s
}

// splitLines is a bufio.SplitFunc. It returns lines without their ends, as bufio.ScanLines does, but consecutive blank lines and comments
// together and with their ends, so that a megabyte of them does not take a million calls.
func splitLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if n := skippable(data); n > 0 {
		return n, data[:n], nil
	}
	return bufio.ScanLines(data, atEOF)
}

// skippable returns the length of the blank lines and whole comments at the beginning of data.
func skippable(data []byte) int {
	n := 0
	for n < len(data) {
		switch data[n] {
		case '\n', '\r':
			n++
		case ':':
			end := bytes.IndexByte(data[n:], '\n')
			if end < 0 {
				return n
			}
			n += end + 1
		default:
			return n
		}
	}
	return n
}

// endsEvent reports whether a token of splitLines has a blank line.
func endsEvent(token []byte) bool {
	if bytes.HasPrefix(token, []byte(":")) {
		return bytes.Contains(token, []byte("\n\n")) || bytes.Contains(token, []byte("\n\r"))
	}
	return bytes.HasPrefix(token, []byte("\n")) || bytes.HasPrefix(token, []byte("\r"))
}

// Next implements fighollow.TokenStream.
func (s *stream) Next() (fighollow.Token, error) {
	if s.err != nil {
		return fighollow.Token{}, s.err
	}
	t, err := s.next()
	s.err = err
	return t, err
}

func (s *stream) next() (fighollow.Token, error) {
	var t fighollow.Token
	name, data, err := s.event()
	if err != nil {
		return t, err
	}
	switch name {
	case EventToken:
		if err := json.Unmarshal(data, &t); err != nil {
			return t, fmt.Errorf("engine: token event: %w", err)
		}
		return t, nil
	case EventResult:
		if err := json.Unmarshal(data, &s.result); err != nil {
			return t, fmt.Errorf("engine: result event: %w", err)
		}
		return t, io.EOF
	case EventError:
		return t, faultError(data)
	}
	return t, fmt.Errorf("engine: unexpected event %q: %w", name, fighollow.ErrUnknownOutcome)
}

func faultError(data []byte) error {
	var f Fault
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("engine: error event: %w", err)
	}
	if f.Code == FaultNotRun {
		return fmt.Errorf("engine: %s: %w", f.Message, fighollow.ErrNotRun)
	}
	return fmt.Errorf("engine: %s: %w", f.Message, fighollow.ErrUnknownOutcome)
}

// event returns the next event. It never returns io.EOF: an answer that ends without a result event is incomplete.
func (s *stream) event() (name string, data []byte, err error) {
	size := 0
	for s.lines.Scan() {
		line := s.lines.Bytes()
		size += len(line) + len("\n")
		switch {
		case size > maxEventBytes:
			return "", nil, fmt.Errorf("%w: %w", fighollow.ErrUnknownOutcome, errEventTooLong)
		case name != "" && endsEvent(line):
			return name, data, nil
		case bytes.HasPrefix(line, []byte("event: ")):
			name = string(line[len("event: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			data = append(data, line[len("data: "):]...)
		}
	}
	err = s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return "", nil, fmt.Errorf("engine: answer broke off: %w: %w", fighollow.ErrUnknownOutcome, err)
}

// Result implements fighollow.TokenStream.
func (s *stream) Result() fighollow.GenerateResult { return s.result }

// Close implements fighollow.TokenStream.
func (s *stream) Close() error { return s.body.Close() }
