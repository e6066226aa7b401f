package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxStoredResponseBytes is the largest response that is stored for repeats of its idempotency key.
const maxStoredResponseBytes = 64 << 10

// claim claims the idempotency key of a request in the ledger. It returns the stored answer of an earlier request with the
// same key, or a refusal if the request must not run. Both are nil if the request may run, as one without a key always may.
func (e *Entry) claim(ctx context.Context, q *request) (*fighollow.StoredResponse, *fighollow.Refusal) {
	if q.key == "" {
		return nil, nil
	}
	if e.keys == nil {
		return nil, e.logKeyRefused(q, fighollow.UnknownRefusal(fighollow.CodeKeyUnknown, "no ledger vouches for idempotency keys here"))
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	stored, err := e.keys.Claim(ctx, time.Now(), *q.info.workspace, q.key, q.info.id)
	if err == nil {
		return stored, nil
	}
	var r *fighollow.Refusal
	if !errors.As(err, &r) {
		r = fighollow.UnknownRefusal(fighollow.CodeKeyUnknown, "the ledger of idempotency keys gave no answer")
	}
	if r.RetryAfterMs == 0 && retryable(r.Code) {
		copied := *r
		copied.RetryAfterMs = defaultRetryAfterMs
		r = &copied
	}
	return nil, e.logKeyRefused(q, r)
}

func (e *Entry) logKeyRefused(q *request, r *fighollow.Refusal) *fighollow.Refusal {
	event.KeyRefused.Log(&e.log).Str("request", q.info.id).Str("workspace", q.info.workspace.Name).
		Str("code", string(r.Code)).Send()
	return r
}

// settle reports the outcome of a request to the ledger after a successful claim. answer may be nil; it is stored if it has
// at most maxStoredResponseBytes.
func (e *Entry) settle(q *request, refusal *fighollow.Refusal, answer *fighollow.StoredResponse) {
	if q.key == "" {
		return
	}
	outcome := fighollow.OutcomeCompleted
	if refusal != nil {
		outcome, answer = refusal.Outcome, nil
	}
	if answer != nil && len(answer.Body) > maxStoredResponseBytes {
		answer = nil
	}
	e.keys.Settle(context.Background(), time.Now(), *q.info.workspace, q.key, q.info.id, outcome, answer)
}

func writeStored(w http.ResponseWriter, a *fighollow.StoredResponse) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
