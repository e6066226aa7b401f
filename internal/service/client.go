// Package service implements fighollow.ServiceClient, the HTTP client of a plain service.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/answer"
	"github.com/fighollow/fighollow/internal/httpheader"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	dialTimeout = time.Second
	// maxHeadBytes bounds the head of a response. A service may echo the fields of its request, and adds a few of its own. The
	// default of net/http is 10 MB.
	maxHeadBytes = 128 << 10
)

// Client calls one upstream of a plain service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	onLimit fighollow.LimitObserver
}

// New returns a client of the upstream at addr (IP:port). onLimit is told of the limits in responses; it may be nil.
func New(addr string, onLimit fighollow.LimitObserver) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		baseURL: "http://" + addr,
		onLimit: onLimit,
		http: &http.Client{
			// Each request gets a new connection: when a kept-alive connection breaks, net/http retries a request with an
			// Idempotency-Key header, but such a request must run at most once.
			Transport: &http.Transport{
				DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Do implements fighollow.ServiceClient. Cancelling ctx also ends the response's body. Hop-by-hop header fields are
// dropped in both directions, and redirects are returned instead of followed.
func (c *Client) Do(ctx context.Context, req fighollow.ServiceRequest) (*fighollow.ServiceResponse, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, c.baseURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, fmt.Errorf("service: %w: %w", fighollow.ErrNotRun, err)
	}
	for k, v := range req.Header {
		r.Header[http.CanonicalHeaderKey(k)] = v
	}
	r.Header = httpheader.EndToEnd(r.Header)
	sent := time.Now()
	res, err := c.http.Do(r) //nolint:bodyclose // the receiver of the response closes it
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, fmt.Errorf("service: %w: %w", fighollow.ErrNotRun, err)
		}
		return nil, fmt.Errorf("service: %w: %w", fighollow.ErrUnknownOutcome, err)
	}
	if c.onLimit != nil {
		c.onLimit(sent, fighollow.ParseRequestLimit(res.Header[fighollow.HeaderRequestLimit]))
	}
	body := answer.NewReader(res.Body, answer.Options{Framing: answer.FramingOf(res), Events: answer.IsEventStream(res.Header, false)})
	return &fighollow.ServiceResponse{
		Status: res.StatusCode, Header: httpheader.EndToEnd(res.Header), Body: checkedBody{body, res.Body},
	}, nil
}

// checkedBody is a body that is read through an answer.Reader.
type checkedBody struct {
	io.Reader
	io.Closer
}
