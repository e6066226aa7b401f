package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Stream is an answer that arrives in pieces. It is not safe for concurrent use.
type Stream struct {
	res      *http.Response
	sc       *bufio.Scanner
	reason   string
	finished error // what Next returns from now on; nil while the answer goes on
}

// ChatStream starts an answer to r. The caller closes the stream; closing it early cancels the request.
func (cl *Client) ChatStream(ctx context.Context, r ChatRequest) (*Stream, error) {
	res, err := cl.chat(ctx, r, true) //nolint:bodyclose // closed by Stream.Close
	if err != nil {
		return nil, err
	}
	sc := bufio.NewScanner(res.Body)
	sc.Buffer(nil, maxEventBytes)
	return &Stream{res: res, sc: sc}, nil
}

// Upstream returns the engine that answers.
func (s *Stream) Upstream() string { return s.res.Header.Get("X-Fighollow-Upstream") }

// FinishReason returns stop or length once Next has returned io.EOF.
func (s *Stream) FinishReason() string { return s.reason }

// Next returns the next piece of text. It returns io.EOF only after the last piece of a whole answer; an answer that
// stopped half-way ends with an *Error, and the text delivered so far is then no answer.
func (s *Stream) Next() (string, error) {
	for s.finished == nil && s.sc.Scan() {
		data, ok := bytes.CutPrefix(s.sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.finished = io.EOF
			break
		}
		text, err := s.event(data)
		if err != nil {
			s.finished = err
			break
		}
		if text != "" {
			return text, nil
		}
	}
	if s.finished == nil {
		s.finished = s.brokenOff()
	}
	return "", s.finished
}

func (s *Stream) event(data []byte) (string, error) {
	var failed errorBody
	if json.Unmarshal(data, &failed) == nil && failed.Error.Code != "" {
		e := failed.Error
		return "", &Error{Status: s.res.StatusCode, Code: e.Code, Message: e.Message, NotRun: e.NotRun}
	}
	var b completionBody
	if err := json.Unmarshal(data, &b); err != nil {
		return "", &Error{Status: s.res.StatusCode, Message: "malformed event: " + err.Error()}
	}
	if len(b.Choices) == 0 {
		return "", nil
	}
	if r := b.Choices[0].FinishReason; r != "" {
		s.reason = r
	}
	return b.Choices[0].Delta.Content, nil
}

func (s *Stream) brokenOff() error {
	e := &Error{Status: s.res.StatusCode, Message: "the answer broke off"}
	if err := s.sc.Err(); err != nil {
		e.Message += ": " + err.Error()
	}
	return e
}

// Close ends the stream.
func (s *Stream) Close() error { return s.res.Body.Close() }
