package objectapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Caller sends single requests to an object API, whatever its paths and formats. It is safe for concurrent use.
type Caller struct {
	HTTP         *http.Client
	MaxBodyBytes int64 // maximum size of a response body in bytes
}

// Reply is the outcome of one call.
type Reply struct {
	Status    int // 0 if there was no response
	Header    http.Header
	Body      []byte
	Connected bool // there was a connection, so that bytes may have been sent
}

// Call sends one request and reads the whole response. A body above MaxBodyBytes is an error. The Reply is valid also with an
// error.
func (c *Caller) Call(ctx context.Context, method, url string, header http.Header, value []byte) (Reply, error) {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(value))
	if err != nil {
		return Reply{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Reply{Connected: gotConn.Load()}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxBodyBytes+1))
	if err == nil && int64(len(body)) > c.MaxBodyBytes {
		err = fmt.Errorf("response exceeds %d bytes", c.MaxBodyBytes)
	}
	if err != nil {
		err = fmt.Errorf("after %d bytes of a body of %d: %w", len(body), resp.ContentLength, err) // -1 if the length is not known
	}
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
