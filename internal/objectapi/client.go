// Package objectapi is the HTTP client of the platform's object API.
package objectapi

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Defaults of Options.
const (
	DefaultTimeout   = 3 * time.Second
	DefaultWatchWait = 20 * time.Second
	maxResponseBytes = 64 << 20
	dialTimeout      = time.Second
	// minBytesPS is the average rate below which a response is given up.
	minBytesPS = 16 << 10
)

// Options configure a Client.
type Options struct {
	Address string // IP:port of the object API; required
	Writer  string // process id that the API records with writes; may be empty
	// Timeout is the longest time until a response begins, for a watch beyond WatchWait, and without a byte of it; default 3 s. A long
	// response may take longer.
	Timeout   time.Duration
	WatchWait time.Duration // how long the API holds a watch open until a write occurs; default 20 s
}

// Client is a fighollow.ObjectStore over HTTP. It is safe for concurrent use.
type Client struct {
	opts   Options
	caller Caller
}

var _ fighollow.ObjectStore = (*Client)(nil)

// New returns a Client. It connects with the first call.
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
	return &Client{opts: opts, caller: Caller{HTTP: &http.Client{Transport: t}, Pace: Pace{Silence: opts.Timeout, MinBytesPS: minBytesPS}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.caller.HTTP.CloseIdleConnections() }

// Get implements fighollow.ObjectStore.
func (c *Client) Get(ctx context.Context, kind fighollow.Kind, name string) (fighollow.Object, error) {
	var o fighollow.Object
	err := c.read(ctx, objectPath(kind, name), 0, &o)
	return o, err
}

type listResponse struct {
	Objects []fighollow.Object `json:"objects"`
	Version uint64             `json:"version"`
}

// List implements fighollow.ObjectStore.
func (c *Client) List(ctx context.Context, kind fighollow.Kind) ([]fighollow.Object, uint64, error) {
	var l listResponse
	err := c.read(ctx, "/objects?kind="+url.QueryEscape(string(kind)), 0, &l)
	return l.Objects, l.Version, err
}

// Watch implements fighollow.ObjectStore.
func (c *Client) Watch(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	var l listResponse
	path := fmt.Sprintf("/watch?kind=%s&after=%d&waitMs=%d", url.QueryEscape(string(kind)), after, c.opts.WatchWait.Milliseconds())
	if err := c.read(ctx, path, c.opts.WatchWait, &l); err != nil {
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

// read sends a request that changes nothing and that the API may hold for wait. Failures are ErrUnavailable, except for statuses that
// StatusError maps to another error.
func (c *Client) read(ctx context.Context, path string, wait time.Duration, out any) error {
	status, body, _, err := c.do(ctx, http.MethodGet, path, nil, wait)
	if err != nil {
		return fmt.Errorf("%w: objectapi: GET %s: %w", fighollow.ErrUnavailable, path, err)
	}
	if status == http.StatusOK {
		if err := Unmarshal(body, out); err != nil {
			return fmt.Errorf("%w: objectapi: response to GET %s: %w", fighollow.ErrUnavailable, path, err)
		}
		return nil
	}
	return StatusError(fighollow.ErrUnavailable, http.MethodGet, path, status, body)
}

// write sends a conditional write. A failure is ErrUnavailable only if nothing can have been sent or the API refused the
// write, and otherwise ErrUnknownOutcome, except for statuses that StatusError maps to another error.
func (c *Client) write(ctx context.Context, method string, kind fighollow.Kind, name string, expected uint64, value []byte) (uint64, error) {
	path := objectPath(kind, name) + "?expected=" + strconv.FormatUint(expected, 10)
	status, body, connected, err := c.do(ctx, method, path, value, 0)
	switch {
	case err != nil && !connected:
		return 0, fmt.Errorf("%w: objectapi: %s %s: %w", fighollow.ErrUnavailable, method, path, err)
	case err != nil:
		return 0, fmt.Errorf("%w: objectapi: %s %s: %w", fighollow.ErrUnknownOutcome, method, path, err)
	case status != http.StatusOK:
		return 0, StatusError(fighollow.ErrUnknownOutcome, method, path, status, body)
	}
	var reply struct {
		Version uint64 `json:"version"`
	}
	if err := Unmarshal(body, &reply); err != nil || reply.Version == 0 {
		return 0, fmt.Errorf("%w: objectapi: response to %s %s has no version", fighollow.ErrUnknownOutcome, method, path)
	}
	return reply.Version, nil
}

// do sends one request with the Writer's id.
func (c *Client) do(ctx context.Context, method, path string, value []byte, wait time.Duration) (status int, body []byte, connected bool, err error) {
	header := http.Header{}
	if c.opts.Writer != "" {
		header.Set("X-Writer", c.opts.Writer)
	}
	r, err := c.caller.Call(ctx, Request{
		Method: method, URL: "http://" + c.opts.Address + path, Header: header, Value: value, MaxBodyBytes: maxResponseBytes, Wait: wait,
	})
	return r.Status, r.Body, r.Connected, err
}
