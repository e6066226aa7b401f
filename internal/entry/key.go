package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxStoredBytes bounds an answer that is kept for a repeat of its key.
const maxStoredBytes = 64 << 10

// claim asks for the right to run a request with a key. It returns the stored answer of an earlier request with the same
// key, or why the request must not run. Requests without a key need no claim.
func (e *Entry) claim(ctx context.Context, q *request) (*fighollow.StoredAnswer, *fighollow.Refusal) {
	if q.key == "" {
		return nil, nil
	}
	if e.keys == nil {
		return nil, e.keyRefused(q, fighollow.UnknownRefusal(fighollow.CodeKeyUnknown, "no ledger vouches for idempotency keys here"))
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	stored, err := e.keys.Claim(ctx, time.Now(), *q.caller.workspace, q.key, q.caller.id)
	if err == nil {
		return stored, nil
	}
	var r *fighollow.Refusal
	if !errors.As(err, &r) {
		r = fighollow.UnknownRefusal(fighollow.CodeKeyUnknown, "the ledger of idempotency keys gave no answer")
	}
	if r.RetryAfterMs == 0 && canHelp(r.Code) {
		copied := *r
		copied.RetryAfterMs = defaultRetryAfterMs
		r = &copied
	}
	return nil, e.keyRefused(q, r)
}

func (e *Entry) keyRefused(q *request, r *fighollow.Refusal) *fighollow.Refusal {
	event.KeyRefused.Log(&e.log).Str("request", q.caller.id).Str("workspace", q.caller.workspace.Name).
		Str("code", string(r.Code)).Send()
	return r
}

// settle reports the end of a request that claim granted. answer may be nil and is kept when it is small enough.
func (e *Entry) settle(q *request, refusal *fighollow.Refusal, answer *fighollow.StoredAnswer) {
	if q.key == "" {
		return
	}
	outcome := fighollow.Completed
	if refusal != nil {
		outcome, answer = refusal.Outcome, nil
	}
	if answer != nil && len(answer.Body) > maxStoredBytes {
		answer = nil
	}
	e.keys.Settle(context.Background(), time.Now(), *q.caller.workspace, q.key, q.caller.id, outcome, answer)
}

func writeStored(w http.ResponseWriter, a *fighollow.StoredAnswer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
