package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/fighollow/fighollow/internal/httpheader"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ownHeaders belong to this API and are not passed on in either direction.
var ownHeaders = []string{"Host", headerWorkspace, headerUpstream, headerRequestID}

func passOn(h http.Header) http.Header {
	out := httpheader.EndToEnd(h)
	for _, k := range ownHeaders {
		out.Del(k)
	}
	return out
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, c *caller) *fighollow.Refusal {
	s := c.view.services[chi.URLParam(r, "name")]
	if s == nil {
		return notRun(fighollow.CodeServiceNotFound, "no such service")
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return refusal
	}
	ms := int64(defaultServiceDeadlineMs)
	if s.DeadlineMs > 0 {
		ms = s.DeadlineMs
	}
	until, refusal := deadline(r, c.arrived, 0, ms)
	if refusal != nil {
		return refusal
	}
	header := passOn(r.Header)
	// The bearer token is the workspace's key unless the key came in its own header.
	if r.Header.Get(headerWorkspace) == "" {
		delete(header, "Authorization")
	}
	q := &request{
		caller: c, kind: link.CallService, deadline: until, key: r.Header.Get(headerKey),
		idempotent: r.Header.Get(headerKey) == "" && !repeatsHarm(s, r.Method),
		call:       fighollow.ServiceRequest{Method: r.Method, Path: servicePath(r), Header: header, Body: body},
	}
	q.route = routing.Request{Target: routing.Target{Kind: fighollow.UpstreamService, Name: s.Name}, NoSplit: true}
	return e.relay(r.Context(), w, q)
}

// repeatsHarm reports whether a call with this method must not be repeated.
func repeatsHarm(s *fighollow.Service, method string) bool {
	if len(s.NonIdempotentMethods) == 0 {
		return method == http.MethodPost || method == http.MethodPatch
	}
	return slices.Contains(s.NonIdempotentMethods, method)
}

// servicePath returns the escaped path and query below the service's root.
func servicePath(r *http.Request) string {
	path := r.URL.EscapedPath()
	if rest, ok := strings.CutPrefix(path, "/services/"); ok {
		_, rest, _ = strings.Cut(rest, "/")
		path = "/" + rest
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
