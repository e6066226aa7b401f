// Package engine is the HTTP client of a platform engine. It implements fighollow.Engine.
//
// Requests and replies are JSON. An answer is a stream of server-sent events: token events, followed by a result
// event if the answer is complete, or by an error event. A reply with a status other than 2xx carries a Fault.
package engine

import (
	"context"
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

// Codes of a Fault.
const (
	FaultNotRun     = "notRun"     // the engine did not start the attempt
	FaultStaleFence = "staleFence" // the order has a lower fencing token than an earlier order
	FaultBusy       = "busy"       // the engine has requests in flight or another order in progress
	FaultNotFound   = "notFound"   // no such attempt
	FaultRepeated   = "repeated"   // the attempt id was already used
	FaultInternal   = "internal"   // the attempt failed on the engine
)

// Fault is the body of an error reply and the data of an error event.
type Fault struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// AttemptPosition is the body of a resume or cancel request. Offset counts tokens.
type AttemptPosition struct {
	ID     string `json:"id"`
	Offset int    `json:"offset"`
}

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	baseURL  string
	pooled   *http.Client // safe requests (GET), over persistent connections
	unpooled *http.Client // requests with side effects, each over a new connection
	onLimit  fighollow.LimitObserver
}

const (
	dialTimeout   = time.Second
	readTimeout   = 2 * time.Second
	orderTimeout  = 5 * time.Second
	maxReplyBytes = 1 << 20
	// maxHeadBytes bounds the head of a reply, which has a few short fields. The default of net/http is 10 MB.
	maxHeadBytes = 64 << 10
)

// New returns a client for the engine at addr (IP:port). onLimit is told of the limits in replies to attempts; it may be nil.
func New(addr string, onLimit fighollow.LimitObserver) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		baseURL: "http://" + addr,
		onLimit: onLimit,
		pooled: &http.Client{
			Transport:     &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes},
			Timeout:       readTimeout,
			CheckRedirect: noRedirect,
		},
		// A persistent connection that the engine closes just when a request is sent would leave the outcome unknown.
		unpooled: &http.Client{
			Transport:     &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes},
			CheckRedirect: noRedirect,
		},
	}
}

// State implements fighollow.Engine.
func (c *Client) State(ctx context.Context) (fighollow.EngineState, error) {
	var s fighollow.EngineState
	return s, c.get(ctx, "/state", &s)
}

// CacheEvents implements fighollow.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]fighollow.CacheEvent, error) {
	var events []fighollow.CacheEvent
	return events, c.get(ctx, "/events?after="+strconv.FormatUint(after, 10), &events)
}

// Order implements fighollow.Engine. It waits up to 5 s for the reply.
func (c *Client) Order(ctx context.Context, a fighollow.Assignment) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := c.post(ctx, "/order", a)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusAccepted {
		return nil
	}
	f := readFault(res)
	switch f.Code {
	case FaultStaleFence:
		return fmt.Errorf("engine: order: %s: %w", f.Message, fighollow.ErrStaleFence)
	case FaultBusy:
		return fmt.Errorf("engine: order: %s: %w", f.Message, fighollow.ErrBusy)
	}
	return fmt.Errorf("engine: order: status %d: %s: %w", res.StatusCode, f.Message, fighollow.ErrUnknownOutcome)
}

// Generate implements fighollow.Engine. The stream ends when ctx ends.
func (c *Client) Generate(ctx context.Context, req fighollow.GenerateRequest) (fighollow.TokenStream, error) {
	sent := time.Now()
	res, err := c.post(ctx, "/generate", req)
	if err == nil && c.onLimit != nil {
		c.onLimit(sent, fighollow.ParseRequestLimit(res.Header[fighollow.HeaderRequestLimit]))
	}
	if errors.Is(err, fighollow.ErrUnavailable) {
		return nil, fmt.Errorf("%w: %w", fighollow.ErrNotRun, err)
	}
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return newStream(res.Body), nil
	}
	defer res.Body.Close()
	f := readFault(res)
	if f.Code == FaultNotRun {
		return nil, fmt.Errorf("engine: generate: %s: %w", f.Message, fighollow.ErrNotRun)
	}
	return nil, fmt.Errorf("engine: generate: status %d: %s: %w", res.StatusCode, f.Message, fighollow.ErrUnknownOutcome)
}

// Resume implements fighollow.Engine.
func (c *Client) Resume(ctx context.Context, id string, offset int) (fighollow.TokenStream, error) {
	res, err := c.post(ctx, "/resume", AttemptPosition{ID: id, Offset: offset})
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return newStream(res.Body), nil
	}
	defer res.Body.Close()
	f := readFault(res)
	if f.Code == FaultNotFound {
		return nil, fmt.Errorf("engine: resume %s: %w", id, fighollow.ErrNotFound)
	}
	return nil, fmt.Errorf("engine: resume: status %d: %s", res.StatusCode, f.Message)
}

// Cancel implements fighollow.Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	res, err := c.post(ctx, "/cancel", AttemptPosition{ID: id})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("engine: cancel: status %d: %s", res.StatusCode, readFault(res).Message)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	res, err := c.pooled.Do(req)
	if err != nil {
		return fmt.Errorf("engine: %w: %w", fighollow.ErrUnavailable, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("engine: %s: status %d: %w", path, res.StatusCode, fighollow.ErrUnavailable)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(v); err != nil {
		return fmt.Errorf("engine: decode %s: %w", path, err)
	}
	return nil
}

// post returns ErrUnavailable if the dial failed, and ErrUnknownOutcome if the request may have reached the engine.
func (c *Client) post(ctx context.Context, path string, v any) (*http.Response, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("engine: encode %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, &body{data: data})
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	res, err := c.unpooled.Do(req)
	if err == nil {
		return res, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, fmt.Errorf("engine: %w: %w", fighollow.ErrUnavailable, err)
	}
	return nil, fmt.Errorf("engine: %w: %w", fighollow.ErrUnknownOutcome, err)
}

// body is a request body that drops its data when it has been read. net/http keeps a reference to the request body
// for as long as the response is in use.
type body struct{ data []byte }

func (b *body) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		b.data = nil
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func readFault(res *http.Response) Fault {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&f); err != nil {
		f.Message = "unreadable error reply"
	}
	return f
}
