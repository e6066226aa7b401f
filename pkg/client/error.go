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

// maxErrorBytes is the maximum number of bytes that are read of an error response.
const maxErrorBytes = 64 << 10

// Error describes a request that got no complete response. errors.Is reports it as fighollow.ErrNotRun if the work did
// not run, and as fighollow.ErrUnknownOutcome if it may have run.
type Error struct {
	Status     int            // HTTP status; 0 if there was no response
	Code       fighollow.Code // from the entry's refusal; empty if there was none
	Message    string
	NotRun     bool          // the work did not run and never will
	RetryAfter time.Duration // delay after which a retry can succeed; 0 if a retry cannot help
}

// Error implements error.
func (e *Error) Error() string {
	if e.Status == 0 {
		return "client: " + e.Message
	}
	return fmt.Sprintf("client: status %d, %s: %s", e.Status, e.Code, e.Message)
}

// Is implements the interface that errors.Is uses.
func (e *Error) Is(target error) bool {
	return (target == fighollow.ErrNotRun && e.NotRun) || (target == fighollow.ErrUnknownOutcome && !e.NotRun)
}

// errorBody is the body of a refusal, and the data of an error event of a stream.
type errorBody struct {
	Error struct {
		Code    fighollow.Code `json:"code"`
		Message string         `json:"message"`
		NotRun  bool           `json:"notRun"`
	} `json:"error"`
}

// readError returns the *Error of an error response and closes its body.
func readError(res *http.Response) error {
	defer res.Body.Close()
	e := &Error{Status: res.StatusCode, Message: http.StatusText(res.StatusCode)}
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	var b errorBody
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err == nil && json.Unmarshal(data, &b) == nil && b.Error.Code != "" {
		e.Code, e.Message, e.NotRun = b.Error.Code, b.Error.Message, b.Error.NotRun
	}
	return e
}

// transportError returns the *Error of a request that got no response. The request is known not to have run only if no
// connection could be made.
func transportError(err error) error {
	var op *net.OpError
	notRun := errors.As(err, &op) && op.Op == "dial"
	return &Error{Message: err.Error(), NotRun: notRun, RetryAfter: time.Second}
}

// retryDelay reports whether a failed request may be sent again, and after which delay. A request with an idempotency
// key may be sent again even if its outcome is unknown.
func retryDelay(err error, hasKey bool) (delay time.Duration, retryable bool) {
	var e *Error
	if !errors.As(err, &e) || e.RetryAfter == 0 {
		return 0, false
	}
	return e.RetryAfter, e.NotRun || hasKey
}
