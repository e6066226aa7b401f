package answer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/answer"
	"github.com/fighollow/fighollow/internal/standin/answers"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// receive sends the answer over a connection, cut after some bytes, and reads it as a relay does.
func receive(t *testing.T, a answers.Answer, cut int, reset bool) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if c, err := l.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1)) // a reset before the dial has returned would make it fail
			_ = a.Send(c, cut, reset)      // the reader has the error
			c.Close()
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = c.Write([]byte("?"))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	<-sent
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	r := answer.NewReader(resp.Body, answer.Options{Framing: answer.FramingOf(resp), Events: answer.IsEventStream(resp.Header, false)})
	body, err := io.ReadAll(r)
	return string(body), err
}

// Guards against a truncated stream that is taken for a complete one, wherever it was cut and however it was framed.
func TestEveryCutOfAStreamIsSeen(t *testing.T) {
	for _, newline := range []string{"\n", "\r\n"} {
		body := strings.ReplaceAll("id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\ndata: d\n\n", "\n", newline)
		for _, framing := range []fighollow.Framing{fighollow.FramingLength, fighollow.FramingChunked, fighollow.FramingConnection} {
			a := answers.Answer{Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body, Framing: framing, ChunkBytes: 7}
			for cut := range len(a.Encoded()) {
				for _, reset := range []bool{false, true} {
					got, err := receive(t, a, cut, reset)
					ambiguous := framing == fighollow.FramingConnection && !reset && strings.HasSuffix(body[:min(cut, len(body))], newline+newline)
					qt.Assert(t, err == nil, qt.Equals, ambiguous, qt.Commentf("%s %q cut at %d, reset %t: got %q, %v", framing, newline, cut, reset, got, err))
				}
			}
			got, err := receive(t, a, answers.Whole, false)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s %q", framing, newline))
			qt.Assert(t, got, qt.Equals, body)
		}
	}
}

// Guards against a body without events that is refused, or a reset that is taken for its end.
func TestBodyWithoutEventsEndsWithItsConnection(t *testing.T) {
	a := answers.Answer{Header: http.Header{"Content-Type": {"application/octet-stream"}}, Body: "a\n\nb", Framing: fighollow.FramingConnection}
	got, err := receive(t, a, answers.Whole, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "a\n\nb")
	_, err = receive(t, a, answers.Whole, true)
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against ends of events that are missed, or found too early, depending on how the stream is divided into reads.
func TestEndsOfEvents(t *testing.T) {
	for _, c := range []struct {
		stream    string
		whole     int // length of the complete events
		truncated bool
	}{
		{"data: a\n\n", 9, false},
		{"data: a\n", 0, true},
		{"data: a\n\n: comment\n", 9, false},
		{"data: a\n\n: comm", 9, true},
		{"data: a\r\rdata: b\r\r", 18, false},
		{"data: a\r\n\r\ndata: b\r\n\r", 21, true},
		{"data: a\r\n\r\ndata: b\r\n", 11, true},
		{"\n\ndata: a\n\n\n", 12, false},
		{"data: a\n\n\xef\xbb", 9, true},
	} {
		for name, divide := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader} {
			r := answer.NewReader(divide(strings.NewReader(c.stream)), answer.Options{Framing: fighollow.FramingConnection, Events: true})
			whole, read := 0, 0
			buf := make([]byte, 64)
			var err error
			for err == nil {
				var n int
				n, err = r.Read(buf)
				if end := r.EventEnd(); end > 0 {
					whole = read + end
				}
				read += n
			}
			comment := qt.Commentf("%q in %s", c.stream, name)
			qt.Assert(t, whole, qt.Equals, c.whole, comment)
			qt.Assert(t, errors.Is(err, answer.ErrTruncated), qt.Equals, c.truncated, comment)
			qt.Assert(t, errors.Is(err, io.EOF), qt.Equals, !c.truncated, comment)
		}
	}
}

// Guards against comments, blank lines and fields such as retry that count as events, so that a stream of them alone goes on without a bound.
func TestBytesSinceTheLastEvent(t *testing.T) {
	for stream, want := range map[string]int{
		"": 0, "data: a\n\n": 0, "data: a\r\n\r\n": 1, "data: a\n\n: b\n\n": 5, "data: a\n\n\n\n": 2, ": b\n\n: b\n\n": 10, "data: a\n\ndata: b\n": 8,
		": b\n\ndata: a\n\n": 0, "retry: 5\n\n": 10, "events: a\n\n": 11, "id\n\n": 0, "event:a\r\r": 0, "\xef\xbb\xbfdata: a\n\n": 0,
	} {
		for name, divide := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader} {
			r := answer.NewReader(divide(strings.NewReader(stream)), answer.Options{Events: true})
			_, _ = io.ReadAll(r) // some of the streams end within an event
			qt.Assert(t, r.SinceEvent(), qt.Equals, want, qt.Commentf("%q in %s", stream, name))
		}
	}
}

// Guards against bytes that are no events and reach the caller between events, however the stream is divided into reads, and against events
// that are refused because of lines that the format allows.
func TestStrictStreamHoldsEventsAndCommentsOnly(t *testing.T) {
	for stream, whole := range map[string]int{ // -1: all of it is well-formed
		"data: a\n\n": -1, "data: a\r\n\r\n": -1, "data:a\r\rid\r\r": -1, ": a b\n\ndata\n\n": -1, "retry: 5\n\n": -1, "\n\n": -1,
		"weight-versions: 2\nid: 1\ndata: {a b}\n\n": -1, "data: a\nx.y_zA: 1\n\n": -1, "\xef\xbb\xbfdata: a\n\n": -1, "\xef\xbb\xbf: a\n\n": -1,
		"data: a\n\nerror: b\n\n": 9, "data: a\n\nno model\n": 9, "data: a\n\nHTTP/1.1 500 x\r\nA: b\r\n\r\nid: 2\n\n": 9, "data: a\nHTTP/1.1 500 x\n\n": 0,
		"data: a\n\n{\"error\": 1}\n\n": 9, "data: a\n\n<p>\n": 9, "A: b\n\ndata: a\n\n": 0, "datas: a\n\n": 0, "id: 1\n\ndata: aHTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n": 7, "data: a\n\n\xef\xbb\xbe\n": 9,
	} {
		for name, divide := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader} {
			r := answer.NewReader(divide(strings.NewReader(stream)), answer.Options{Events: true, Strict: true})
			got, read := 0, 0
			var err error
			for buf := make([]byte, 64); err == nil; {
				var n int
				n, err = r.Read(buf)
				if end := r.EventEnd(); end > 0 {
					got = read + end
				}
				read += n
			}
			comment := qt.Commentf("%q in %s", stream, name)
			if whole < 0 {
				qt.Check(t, err, qt.ErrorIs, io.EOF, comment)
				continue
			}
			qt.Check(t, err, qt.ErrorIs, answer.ErrMalformed, comment)
			qt.Check(t, got, qt.Equals, whole, comment)
		}
	}
}

// Guards against an empty stream that is taken for a complete answer, or for the rest of one that is resumed.
func TestStreamWithoutEvents(t *testing.T) {
	for _, c := range []struct {
		opts      answer.Options
		truncated bool
	}{
		{answer.Options{Framing: fighollow.FramingConnection, Events: true}, true},
		{answer.Options{Framing: fighollow.FramingChunked, Events: true}, false},
		{answer.Options{Framing: fighollow.FramingConnection}, false},
	} {
		_, err := io.ReadAll(answer.NewReader(strings.NewReader(""), c.opts))
		qt.Assert(t, errors.Is(err, answer.ErrTruncated), qt.Equals, c.truncated, qt.Commentf(fmt.Sprintf("%+v", c.opts)))
	}
}

// Guards against content types that are compared letter by letter.
func TestContentTypeOfEventStreams(t *testing.T) {
	for value, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "application/json": false, "text/event-stream-x": false, ";": false,
	} {
		qt.Assert(t, answer.IsEventStream(fighollow.Header{"Content-Type": {value}}, true), qt.Equals, want, qt.Commentf(value))
	}
	qt.Assert(t, answer.IsEventStream(nil, true), qt.IsTrue)
	qt.Assert(t, answer.IsEventStream(nil, false), qt.IsFalse)
}
