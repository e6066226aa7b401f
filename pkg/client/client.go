package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Defaults of Options.
const (
	DefaultMaxAttempts = 3
	maxRetryDelay      = 30 * time.Second
)

// Options configure a Client. URL and Key are required.
type Options struct {
	// URL is the base URL of an entry or of the load balancer in front of the entries, such as http://10.0.0.1:8080.
	URL string
	// Key is the workspace's key, sent as bearer token.
	Key string
	// HTTP sends the requests; default http.DefaultClient. Its Timeout should be 0, since it would cut off long streams.
	HTTP *http.Client
	// Deadline is the time that the entry has for a request, in whole milliseconds. The entry refuses a request at once if
	// it would miss the deadline. 0 means the workspace's default.
	Deadline time.Duration
	// MaxAttempts is the maximum number of times that one request is sent; default 3. 1 disables retries.
	MaxAttempts int
}

// Client calls one entry, or several behind a load balancer. It is safe for concurrent use.
type Client struct {
	opts Options
}

// New returns a Client. It connects with the first request.
func New(opts Options) *Client {
	opts.URL = strings.TrimSuffix(opts.URL, "/")
	if opts.HTTP == nil {
		opts.HTTP = http.DefaultClient
	}
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = DefaultMaxAttempts
	}
	return &Client{opts: opts}
}

// NewKey returns a new idempotency key, a UUID of version 7. Create one for each request that must not run twice, and
// reuse it only to send the same request again.
func NewKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("client: new key: %w", err)
	}
	return id.String(), nil
}

// call is one request that can be sent several times.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	key    string // idempotency key; empty for none
}

// send sends c until accept returns true for a response. It retries as often as the outcome and Options allow, with
// delays of at most maxRetryDelay. The caller closes the response's body.
func (cl *Client) send(ctx context.Context, c call, accept func(*http.Response) bool) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		res, err := cl.sendOnce(ctx, c)
		if err == nil && accept(res) {
			return res, nil
		}
		if err == nil {
			err = readError(res)
		}
		delay, retryable := retryDelay(err, c.key != "")
		if !retryable || attempt >= cl.opts.MaxAttempts || !sleep(ctx, min(delay, maxRetryDelay)) {
			return nil, err
		}
	}
}

// sleep waits for the delay and reports whether it passed before ctx ended.
func sleep(ctx context.Context, delay time.Duration) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func isOK(res *http.Response) bool { return res.StatusCode == http.StatusOK }

func (cl *Client) sendOnce(ctx context.Context, c call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, cl.opts.URL+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+cl.opts.Key)
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	if ms := cl.opts.Deadline.Milliseconds(); ms > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(ms, 10))
	}
	res, err := cl.opts.HTTP.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	return res, nil
}

// Models returns the names of the models that the fleet serves. Failed requests return an *Error.
func (cl *Client) Models(ctx context.Context) ([]string, error) {
	res, err := cl.send(ctx, call{method: http.MethodGet, path: "/v1/models"}, isOK)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.NewDecoder(res.Body).Decode(&list); err != nil {
		return nil, fmt.Errorf("client: decode models: %w", err)
	}
	names := make([]string, 0, len(list.Data))
	for _, m := range list.Data {
		names = append(names, m.ID)
	}
	return names, nil
}
