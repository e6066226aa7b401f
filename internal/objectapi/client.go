// Package objectapi is the HTTP client of the platform's object API.
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Defaults of Options.
const (
	DefaultTimeout   = 3 * time.Second
	DefaultWatchWait = 20 * time.Second
	maxAnswerBytes   = 64 << 20
	dialTimeout      = time.Second
)

// Options adjust a Client.
type Options struct {
	Address   string        // IP:port of the object API; required
	Writer    string        // process id that the API records with writes; may be empty
	Timeout   time.Duration // of each call; default 3 s
	WatchWait time.Duration // that a watch asks the API to wait for a write; default 20 s
}

// Client is a fighollow.ObjectStore over HTTP. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

var _ fighollow.ObjectStore = (*Client)(nil)

// New returns a Client. It connects at the first call.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.WatchWait <= 0 {
		opts.WatchWait = DefaultWatchWait
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{opts: opts, http: &http.Client{Transport: t}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements fighollow.ObjectStore.
func (c *Client) Get(ctx context.Context, kind fighollow.Kind, name string) (fighollow.Object, error) {
	var o fighollow.Object
	err := c.read(ctx, objectPath(kind, name), c.opts.Timeout, &o)
	return o, err
}

type listing struct {
	Objects []fighollow.Object `json:"objects"`
	Version uint64             `json:"version"`
}

// List implements fighollow.ObjectStore.
func (c *Client) List(ctx context.Context, kind fighollow.Kind) ([]fighollow.Object, uint64, error) {
	var l listing
	err := c.read(ctx, "/objects?kind="+url.QueryEscape(string(kind)), c.opts.Timeout, &l)
	return l.Objects, l.Version, err
}

// Watch implements fighollow.ObjectStore.
func (c *Client) Watch(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	var l listing
	path := fmt.Sprintf("/watch?kind=%s&after=%d&waitMs=%d", url.QueryEscape(string(kind)), after, c.opts.WatchWait.Milliseconds())
	if err := c.read(ctx, path, c.opts.WatchWait+c.opts.Timeout, &l); err != nil {
		return nil, after, err
	}
	return l.Objects, l.Version, nil
}

// Put implements fighollow.ObjectStore.
func (c *Client) Put(ctx context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	if len(o.Value) > fighollow.MaxValueBytes {
		return 0, fmt.Errorf("%w: objectapi: value of %s/%s has %d bytes", fighollow.ErrInvalid, o.Kind, o.Name, len(o.Value))
	}
	return c.write(ctx, http.MethodPut, o.Kind, o.Name, expected, o.Value)
}

// Delete implements fighollow.ObjectStore.
func (c *Client) Delete(ctx context.Context, kind fighollow.Kind, name string, expected uint64) (uint64, error) {
	return c.write(ctx, http.MethodDelete, kind, name, expected, nil)
}

func objectPath(kind fighollow.Kind, name string) string {
	return "/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// read performs a call without effect; any failure but a definite answer is ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, _, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("%w: objectapi: GET %s: %w", fighollow.ErrUnavailable, path, err)
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(body, out); err != nil {
			return fmt.Errorf("%w: objectapi: answer to GET %s: %w", fighollow.ErrUnavailable, path, err)
		}
		return nil
	}
	return answerError(fighollow.ErrUnavailable, http.MethodGet, path, status, body)
}

// write performs a conditional write. A failure is ErrUnavailable only while nothing can have been sent.
func (c *Client) write(ctx context.Context, method string, kind fighollow.Kind, name string, expected uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	path := objectPath(kind, name) + "?expected=" + strconv.FormatUint(expected, 10)
	status, body, connected, err := c.do(ctx, method, path, value)
	switch {
	case err != nil && !connected:
		return 0, fmt.Errorf("%w: objectapi: %s %s: %w", fighollow.ErrUnavailable, method, path, err)
	case err != nil:
		return 0, fmt.Errorf("%w: objectapi: %s %s: %w", fighollow.ErrUnknownOutcome, method, path, err)
	case status != http.StatusOK:
		return 0, answerError(fighollow.ErrUnknownOutcome, method, path, status, body)
	}
	var answer struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Version == 0 {
		return 0, fmt.Errorf("%w: objectapi: answer to %s %s has no version", fighollow.ErrUnknownOutcome, method, path)
	}
	return answer.Version, nil
}

// answerError maps a status to an error. Statuses that do not prove that nothing happened give ambiguous.
func answerError(ambiguous error, method, path string, status int, body []byte) error {
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
	return fmt.Errorf("%w: objectapi: %s %s: status %d: %.200s", err, method, path, status, bytes.TrimSpace(body))
}

// do sends one request. connected reports whether a connection was there, so that bytes may have been sent.
func (c *Client) do(ctx context.Context, method, path string, value []byte) (status int, body []byte, connected bool, err error) {
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.opts.Address+path, bytes.NewReader(value))
	if err != nil {
		return 0, nil, false, err
	}
	if c.opts.Writer != "" {
		req.Header.Set("X-Writer", c.opts.Writer)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, got.Load(), err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("answer above %d bytes", maxAnswerBytes)
	}
	return resp.StatusCode, body, true, err
}
