package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// Stream is a completion that is received while it is generated. It is not safe for concurrent use.
type Stream struct {
	res          *http.Response
	sc           *bufio.Scanner
	finishReason string
	err          error // returned by Next once the stream has ended; nil before
}

// ChatStream sends r and returns the stream of the response. The caller closes the stream; closing it early cancels the
// request. Failed requests return an *Error.
func (cl *Client) ChatStream(ctx context.Context, r ChatRequest) (*Stream, error) {
	res, err := cl.chat(ctx, r, true) //nolint:bodyclose // closed by Stream.Close
	if err != nil {
		return nil, err
	}
	sc := bufio.NewScanner(res.Body)
	sc.Buffer(nil, maxEventBytes)
	return &Stream{res: res, sc: sc}, nil
}

// Upstream returns the id of the engine that generates the text.
func (s *Stream) Upstream() string { return s.res.Header.Get("X-Fighollow-Upstream") }

// FinishReason returns "stop" or "length", as Completion.FinishReason. It is valid only after Next has returned io.EOF.
func (s *Stream) FinishReason() string { return s.finishReason }

// Next returns the next chunk of text. It returns io.EOF only after the last chunk of a complete response. A response
// that was cut off ends with an *Error, and the text returned until then must not be used as a response.
func (s *Stream) Next() (string, error) {
	for s.err == nil && s.sc.Scan() {
		data, ok := bytes.CutPrefix(s.sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.err = io.EOF
			break
		}
		text, err := s.decodeEvent(data)
		if err != nil {
			s.err = err
			break
		}
		if text != "" {
			return text, nil
		}
	}
	if s.err == nil {
		s.err = s.truncated()
	}
	return "", s.err
}

func (s *Stream) decodeEvent(data []byte) (string, error) {
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
		s.finishReason = r
	}
	return b.Choices[0].Delta.Content, nil
}

func (s *Stream) truncated() error {
	e := &Error{Status: s.res.StatusCode, Message: "the stream ended before [DONE]"}
	if err := s.sc.Err(); err != nil {
		e.Message += ": " + err.Error()
	}
	return e
}

// Close releases the stream's connection.
func (s *Stream) Close() error { return s.res.Body.Close() }
