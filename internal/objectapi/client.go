// Package objectapi is the HTTP client of the platform's object API.
package objectapi

import (
	"context"
	"encoding/json"
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
	opts   Options
	caller Caller
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
	return &Client{opts: opts, caller: Caller{HTTP: &http.Client{Transport: t}, MaxAnswer: maxAnswerBytes}}
}

// Close drops idle connections.
func (c *Client) Close() { c.caller.HTTP.CloseIdleConnections() }

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
	return StatusError(fighollow.ErrUnavailable, http.MethodGet, path, status, body)
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
		return 0, StatusError(fighollow.ErrUnknownOutcome, method, path, status, body)
	}
	var answer struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Version == 0 {
		return 0, fmt.Errorf("%w: objectapi: answer to %s %s has no version", fighollow.ErrUnknownOutcome, method, path)
	}
	return answer.Version, nil
}

// do sends one call.
func (c *Client) do(ctx context.Context, method, path string, value []byte) (status int, body []byte, connected bool, err error) {
	header := http.Header{}
	if c.opts.Writer != "" {
		header.Set("X-Writer", c.opts.Writer)
	}
	return c.caller.Call(ctx, method, "http://"+c.opts.Address+path, header, value)
}
