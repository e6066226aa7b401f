package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// request is one caller's request on its way through the attempts.
type request struct {
	caller     *caller
	kind       link.CallKind
	model      string // for CallGenerate
	service    string // for CallService
	deadline   time.Time
	key        string
	idempotent bool
	generate   fighollow.GenerateRequest
	call       fighollow.ServiceRequest

	attempts int
	offset   uint64 // tokens or bytes that the caller has
	text     []byte // generate: the output up to offset
}

// sink takes the parts of an answer in their order.
type sink interface {
	// accepted names the upstream that took the attempt.
	accepted(upstream string)
	// head takes the status of a plain service's answer.
	head(h *link.Head) error
	// chunk takes a piece of the answer; it may keep it back until flush.
	chunk(data []byte) error
	// flush is called when no more parts are waiting.
	flush() error
}

// errCallerLeft says that the caller's connection broke.
var errCallerLeft = errors.New("entry: the caller has left")

func newID() string { return rand.Text() }

// run makes attempts until one completes the request, none may follow, or the deadline passes. The refusal is nil
// when the whole answer went to out.
func (e *Entry) run(ctx context.Context, q *request, out sink) (*fighollow.GenerateResult, *fighollow.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	tried := make(map[string]bool)
	last := notRun(fighollow.CodeNoUpstream, "no upstream serves this target now")
	for q.attempts < maxAttempts {
		u, ok := e.choose(q, tried)
		if !ok {
			break
		}
		tried[u.id] = true
		q.attempts++
		a := &attempt{e: e, q: q, u: u, out: out, id: q.caller.id + "-" + strconv.Itoa(q.attempts)}
		res, refusal := a.run(ctx)
		if refusal == nil {
			return res, nil
		}
		last = refusal
		if ctx.Err() != nil || (refusal.Outcome != fighollow.NotRun && !q.idempotent) {
			break
		}
	}
	return nil, last
}

// choose picks the upstream of the next attempt.
func (e *Entry) choose(q *request, tried map[string]bool) (upstream, bool) {
	var fit []upstream
	for _, u := range q.caller.view.upstreams {
		if tried[u.id] || !q.fits(u) {
			continue
		}
		fit = append(fit, u)
	}
	if len(fit) == 0 {
		return upstream{}, false
	}
	u := fit[int(time.Now().UnixNano()/1000)%len(fit)]
	event.RouteChosen.Log(&e.log).Str("request", q.caller.id).Str("upstream", u.id).Int("attempt", q.attempts+1).Send()
	return u, true
}

func (q *request) fits(u upstream) bool {
	if q.kind == link.CallService {
		return u.kind == fighollow.UpstreamService && u.service == q.service
	}
	return u.kind == fighollow.UpstreamEngine && (u.model == q.model || u.model == "")
}
