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

// apiHeaders are the headers of the callers' API that are not forwarded in either direction.
var apiHeaders = []string{"Host", headerWorkspaceKey, headerUpstream, headerRequestID}

func forwardedHeader(h http.Header) http.Header {
	out := httpheader.EndToEnd(h)
	for _, k := range apiHeaders {
		out.Del(k)
	}
	return out
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, info *requestInfo) *fighollow.Refusal {
	s := info.view.services[chi.URLParam(r, "name")]
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
	deadline, refusal := requestDeadline(r, info.arrived, 0, ms)
	if refusal != nil {
		return refusal
	}
	header := forwardedHeader(r.Header)
	// Without the header of the workspace's key, the bearer token is that key and must not reach the service.
	if r.Header.Get(headerWorkspaceKey) == "" {
		delete(header, "Authorization")
	}
	q := &request{
		info: info, kind: link.CallService, deadline: deadline, key: r.Header.Get(headerIdempotencyKey),
		idempotent: r.Header.Get(headerIdempotencyKey) == "" && !nonIdempotent(s, r.Method),
		service:    fighollow.ServiceRequest{Method: r.Method, Path: servicePath(r), Header: header, Body: body},
	}
	q.route = routing.Request{Target: routing.Target{Kind: fighollow.InstanceService, Name: s.Name}, NoSplit: true}
	return e.relayService(r.Context(), w, q)
}

// nonIdempotent reports whether a call of the service with this method must not be repeated. By default these are POST and
// PATCH.
func nonIdempotent(s *fighollow.Service, method string) bool {
	if len(s.NonIdempotentMethods) == 0 {
		return method == http.MethodPost || method == http.MethodPatch
	}
	return slices.Contains(s.NonIdempotentMethods, method)
}

// servicePath returns the escaped path and the query, relative to the service's root.
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
