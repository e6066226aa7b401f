package objectapi

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Caller sends single requests to an object API, whatever its paths and formats. It is safe for concurrent use.
type Caller struct {
	HTTP *http.Client
	Pace Pace
}

// Request is one call.
type Request struct {
	Method, URL  string
	Header       http.Header
	Value        []byte
	MaxBodyBytes int64         // maximum size of the response's body in bytes
	Wait         time.Duration // for which the API may hold the call before it responds
	OnHead       func()        // called when the head of the response has arrived; may be nil
}

// Reply is the outcome of one call.
type Reply struct {
	Status    int // 0 if there was no response
	Header    http.Header
	Body      []byte
	Connected bool // there was a connection, so that bytes may have been sent
}

// Call sends one request and reads the whole response. It returns ErrTimeout for a response that does not arrive at the caller's Pace, and
// ErrTooLong for a body above MaxBodyBytes. The Reply is valid also with an error.
func (c *Caller) Call(ctx context.Context, r Request) (Reply, error) {
	var gotConn atomic.Bool
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.Pace.headTime(len(r.Value), r.Wait), func() { cancel(ErrTimeout) })
	defer timer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Value))
	if err != nil {
		return Reply{}, err
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Reply{Connected: gotConn.Load()}, causeOf(ctx, err)
	}
	defer resp.Body.Close()
	if r.OnHead != nil {
		r.OnHead()
	}
	body, err := c.Pace.readBody(ctx, resp.Body, resp.ContentLength, r.MaxBodyBytes, timer)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Connected: true}, err
}

// StatusError maps the status of a response to an error of package fighollow. Statuses that do not prove that the
// request had no effect map to ambiguous.
func StatusError(ambiguous error, method, path string, status int, body []byte) error {
	err := ambiguous
	switch status {
	case http.StatusNotFound:
		err = fighollow.ErrNotFound
	case http.StatusConflict:
		err = fighollow.ErrConflict
	case http.StatusGone:
		err = fighollow.ErrWatchExpired
	case http.StatusTooManyRequests:
		err = fighollow.ErrUnavailable
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		err = fighollow.ErrInvalid
	}
	return fmt.Errorf("%w: object API: %s %s: status %d: %.200s", err, method, path, status, bytes.TrimSpace(body))
}
