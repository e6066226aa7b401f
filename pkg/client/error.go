package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxErrorBytes bounds what is read of a refusal's body.
const maxErrorBytes = 64 << 10

// Error is a request that did not get a whole answer. With errors.Is it is fighollow.ErrNotRun when the work did not
// happen, and fighollow.ErrUnknownOutcome when it may have.
type Error struct {
	Status     int            // HTTP status; 0 when there was no response
	Code       fighollow.Code // empty when there was no refusal to read
	Message    string
	NotRun     bool
	RetryAfter time.Duration // when asking again can help; 0 where it cannot
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status == 0 {
		return "client: " + e.Message
	}
	return fmt.Sprintf("client: status %d, %s: %s", e.Status, e.Code, e.Message)
}

// Is implements the test of errors.Is.
func (e *Error) Is(target error) bool {
	return (target == fighollow.ErrNotRun && e.NotRun) || (target == fighollow.ErrUnknownOutcome && !e.NotRun)
}

type errorBody struct {
	Error struct {
		Code    fighollow.Code `json:"code"`
		Message string         `json:"message"`
		NotRun  bool           `json:"notRun"`
	} `json:"error"`
}

// refusal reads a response that is no answer, and closes it.
func refusal(res *http.Response) error {
	defer res.Body.Close()
	e := &Error{Status: res.StatusCode, Message: http.StatusText(res.StatusCode)}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	var b errorBody
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err == nil && json.Unmarshal(data, &b) == nil && b.Error.Code != "" {
		e.Code, e.Message, e.NotRun = b.Error.Code, b.Error.Message, b.Error.NotRun
	}
	return e
}

// unreachable returns the error of a request without a response. Only a connection that could not be made shows that
// nothing ran.
func unreachable(err error) error {
	var op *net.OpError
	notRun := errors.As(err, &op) && op.Op == "dial"
	return &Error{Message: err.Error(), NotRun: notRun, RetryAfter: time.Second}
}

// retry reports whether a failed request may be sent again, and after which pause. With a key it may also when its
// outcome is unknown.
func retry(err error, keyed bool) (pause time.Duration, again bool) {
	var e *Error
	if !errors.As(err, &e) || e.RetryAfter == 0 {
		return 0, false
	}
	return e.RetryAfter, e.NotRun || keyed
}
