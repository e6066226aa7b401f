package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Headers of the API towards callers.
const (
	headerUpstream  = "X-Fighollow-Upstream"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerDeadline  = "X-Deadline-Ms"
	headerWorkspace = "X-Workspace-Key"
)

// Bounds of deadlines in milliseconds.
const (
	defaultDeadlineMs        = 60_000
	defaultServiceDeadlineMs = 30_000
	maxDeadlineMs            = 24 * 60 * 60 * 1000
)

func (e *Entry) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.counted(e.serveChat))
	r.Post("/v1/completions", e.counted(e.serveCompletion))
	r.Get("/v1/models", e.counted(e.serveModels))
	r.HandleFunc("/services/{name}", e.counted(e.serveService))
	r.HandleFunc("/services/{name}/*", e.counted(e.serveService))
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		w.Write(encodeRefusal(notRun(fighollow.CodeBadRequest, "no such path")))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusMethodNotAllowed)
		w.Write(encodeRefusal(notRun(fighollow.CodeBadRequest, "method not allowed on this path")))
	})
	return r
}

// caller is what every request has in common.
type caller struct {
	id        string
	arrived   time.Time
	workspace *fighollow.Workspace
	view      *view
}

type handler func(w http.ResponseWriter, r *http.Request, c *caller) *fighollow.Refusal

// counted admits a request while the entry is not stopping, identifies its workspace and writes the refusal that h
// returns; h returns nil when it has answered itself.
func (e *Entry) counted(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &caller{id: newID(), arrived: time.Now(), view: e.view.Load()}
		// The connection may carry the deadline of the request before.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		w.Header().Set(headerRequestID, c.id)
		if !e.begin() {
			writeRefusal(w, notRun(fighollow.CodeStopping, "the entry is stopping"))
			return
		}
		defer e.finish()
		e.metrics.requests.Inc(1)
		if refusal := e.admitted(w, r, c, h); refusal != nil {
			e.metrics.refusal(refusal)
			writeRefusal(w, refusal)
		}
		e.metrics.whole.Record(time.Since(c.arrived))
	}
}

func (e *Entry) admitted(w http.ResponseWriter, r *http.Request, c *caller, h handler) *fighollow.Refusal {
	if refusal := e.identify(c, r); refusal != nil {
		return refusal
	}
	if refusal := e.balance.admit(c.workspace); refusal != nil {
		return refusal
	}
	defer e.balance.release(c.workspace.Name)
	return h(w, r, c)
}

func (e *Entry) identify(c *caller, r *http.Request) *fighollow.Refusal {
	if !e.isReady() {
		return notRun(fighollow.CodeNotReady, "the entry has no configuration yet")
	}
	key := r.Header.Get(headerWorkspace)
	if key == "" {
		key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	}
	c.workspace = c.view.workspaces[key]
	if c.workspace == nil {
		return notRun(fighollow.CodeUnauthorised, "no workspace has this key")
	}
	return nil
}

// readBody reads the whole body within the size limit.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fighollow.Refusal) {
	limit := int64(e.cfg.MaxBodyBytes)
	if r.ContentLength > limit {
		return nil, notRun(fighollow.CodeTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	rc := http.NewResponseController(w)
	// Without a deadline a caller that never ends its body would hold up the graceful stop.
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, notRun(fighollow.CodeBadRequest, "cannot read the body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(fighollow.CodeTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if err != nil {
		return nil, notRun(fighollow.CodeBadRequest, "the body was not received completely")
	}
	_ = rc.SetReadDeadline(time.Time{}) // the first call shows that the connection supports it
	return body, nil
}

// deadline returns the caller's deadline, or the default counted from the request's arrival.
func deadline(r *http.Request, arrived time.Time, workspaceMs, defaultMs int64) (time.Time, *fighollow.Refusal) {
	ms := defaultMs
	if workspaceMs > 0 {
		ms = workspaceMs
	}
	if v := r.Header.Get(headerDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return time.Time{}, notRun(fighollow.CodeBadRequest, headerDeadline+" is not a positive integer")
		}
		ms = n
	}
	return arrived.Add(time.Duration(min(ms, maxDeadlineMs)) * time.Millisecond), nil
}
