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

// HTTP headers of the callers' API.
const (
	headerUpstream       = "X-Fighollow-Upstream"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerWorkspaceKey   = "X-Workspace-Key"
)

// Default and maximum request deadlines, in milliseconds after the arrival of the request.
const (
	defaultDeadlineMs        = 60_000
	defaultServiceDeadlineMs = 30_000
	maxDeadlineMs            = 24 * 60 * 60 * 1000
)

func (e *Entry) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.withAdmission(e.serveChat))
	r.Post("/v1/completions", e.withAdmission(e.serveCompletion))
	r.Get("/v1/models", e.withAdmission(e.serveModels))
	r.HandleFunc("/services/{name}", e.withAdmission(e.serveService))
	r.HandleFunc("/services/{name}/*", e.withAdmission(e.serveService))
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

// requestInfo holds the properties that requests of all kinds share.
type requestInfo struct {
	id        string
	arrived   time.Time
	workspace *fighollow.Workspace
	view      *view
}

type handlerFunc func(w http.ResponseWriter, r *http.Request, info *requestInfo) *fighollow.Refusal

// withAdmission wraps h. It refuses requests while the entry is stopping, identifies the workspace, applies its limits and
// writes the refusal that h returns. h returns nil if it has written an answer.
func (e *Entry) withAdmission(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		info := &requestInfo{id: newID(), arrived: time.Now(), view: e.view.Load()}
		// A connection that is reused still has the write deadline of its previous request.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		w.Header().Set(headerRequestID, info.id)
		if !e.beginRequest() {
			writeRefusal(w, notRun(fighollow.CodeStopping, "the entry is stopping"))
			return
		}
		defer e.endRequest()
		e.metrics.requests.Inc(1)
		if refusal := e.serveAdmitted(w, r, info, h); refusal != nil {
			e.metrics.countRefusal(refusal)
			writeRefusal(w, refusal)
		}
		e.metrics.duration.Record(time.Since(info.arrived))
	}
}

func (e *Entry) serveAdmitted(w http.ResponseWriter, r *http.Request, info *requestInfo, h handlerFunc) *fighollow.Refusal {
	if refusal := e.authenticate(info, r); refusal != nil {
		return refusal
	}
	if refusal := e.balancer.admit(info.workspace); refusal != nil {
		return refusal
	}
	defer e.balancer.release(info.workspace.Name)
	return h(w, r, info)
}

func (e *Entry) authenticate(info *requestInfo, r *http.Request) *fighollow.Refusal {
	if !e.isReady() {
		return notRun(fighollow.CodeNotReady, "the entry has no configuration yet")
	}
	key := r.Header.Get(headerWorkspaceKey)
	if key == "" {
		key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	}
	info.workspace = info.view.workspaces[key]
	if info.workspace == nil {
		return notRun(fighollow.CodeUnauthorised, "no workspace has this key")
	}
	return nil
}

// readBody reads the whole body, up to MaxBodyBytes and for at most bodyTimeout.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fighollow.Refusal) {
	limit := int64(e.cfg.MaxBodyBytes)
	if r.ContentLength > limit {
		return nil, notRun(fighollow.CodeTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	rc := http.NewResponseController(w)
	// Without a deadline, a caller that never completes its body would block the graceful stop.
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
	_ = rc.SetReadDeadline(time.Time{}) // the first call succeeded, so the connection supports deadlines
	return body, nil
}

// requestDeadline returns the deadline from the caller's header, or else from workspaceMs if it is positive, or else from
// defaultMs. All are counted in milliseconds from the arrival of the request, up to maxDeadlineMs.
func requestDeadline(r *http.Request, arrived time.Time, workspaceMs, defaultMs int64) (time.Time, *fighollow.Refusal) {
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
