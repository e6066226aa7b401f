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
	maxPause           = 30 * time.Second
)

// Options describe an entry and how to call it. URL and Key are required.
type Options struct {
	// URL is the address of an entry or of the balancer before the entries, as http://10.0.0.1:8080.
	URL string
	// Key is the workspace's key.
	Key string
	// HTTP sends the requests; default http.DefaultClient. A Timeout in it would cut long streams.
	HTTP *http.Client
	// Deadline is told to the entry, which refuses at once what it could only answer later. 0 leaves it to the workspace.
	Deadline time.Duration
	// MaxAttempts bounds how often one request is sent; default 3. 1 means that nothing is sent again.
	MaxAttempts int
}

// Client calls one entry. It is safe for concurrent use.
type Client struct {
	opts Options
}

// New returns a client.
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

// NewKey returns an idempotency key. Make one for each request that must not run twice, and use it again only to repeat
// that request.
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

// send sends c until it is answered with a status that accepts takes, as often as its outcome and Options allow. The
// caller closes the response's body.
func (cl *Client) send(ctx context.Context, c call, accepts func(*http.Response) bool) (*http.Response, error) {
	for n := 1; ; n++ {
		res, err := cl.once(ctx, c)
		if err == nil && accepts(res) {
			return res, nil
		}
		if err == nil {
			err = refusal(res)
		}
		pause, again := retry(err, c.key != "")
		if !again || n >= cl.opts.MaxAttempts || !wait(ctx, min(pause, maxPause)) {
			return nil, err
		}
	}
}

// wait reports whether the pause passed before ctx ended.
func wait(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func isOK(res *http.Response) bool { return res.StatusCode == http.StatusOK }

func (cl *Client) once(ctx context.Context, c call) (*http.Response, error) {
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
		return nil, unreachable(err)
	}
	return res, nil
}

// Models returns the names of the models that the fleet serves.
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
