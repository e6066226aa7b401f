package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// attempt is one attempt to run a request, or a phase of it, on one upstream.
type attempt struct {
	e      *Entry
	q      *request
	u      routing.Upstream
	out    answerSink
	phase  fighollow.RequestPhase
	kv     *fighollow.KVRef
	cached int

	id             string
	incarnation    int64 // of the sidecar to which the call was sent
	started        time.Time
	uncachedTokens int  // prompt tokens that the upstream has to compute
	retry          bool // an earlier call of the request had the same phase
	accepted       bool
	headSent       bool
	promptComputed bool
	gotOutput      bool // the upstream sent output
	pending        link.Message
	unflushed      bool      // out has received parts since its last flush
	lastFlush      time.Time // zero before the first flush; the time between parts is measured from it
}

// Protocol errors of an upstream. Their texts reach callers in refusals.
var (
	errOffset           = errors.New("the upstream's answer has a gap")
	errUnexpectedOutput = errors.New("the prefill engine sent output")
	errUnexpectedHead   = errors.New("the engine sent a service's status")
	// errNoReply is returned if a sidecar neither accepts nor refuses a call within replyTimeout.
	errNoReply = errors.New("the upstream did not reply in time")
)

// replyTimeout is how long a sidecar may take to accept or refuse a call before its upstream counts as unreachable and an
// idempotent request is retried on another.
const replyTimeout = time.Second

// doneCtx is a cancelled context, for a Recv that does not block.
var doneCtx = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// run sends the call to the upstream and relays its answer.
func (a *attempt) run(ctx context.Context) (*fighollow.GenerateResult, *fighollow.Refusal) {
	a.e.links.acquire(a.u.Link)
	defer a.e.links.release(a.u.Link)
	c, refusal := a.connect(ctx)
	if refusal != nil {
		a.q.failedDials++
		return nil, refusal
	}
	a.q.attempts++
	a.q.calls++
	a.retry = slices.Contains(a.q.callPhases, a.phase)
	a.q.callPhases = append(a.q.callPhases, a.phase)
	a.id = a.q.info.id + "-" + strconv.Itoa(a.q.calls)
	a.incarnation, a.started = c.Peer().Incarnation, time.Now()
	a.uncachedTokens = max(0, a.q.route.PromptTokens-a.cached)
	if a.phase == fighollow.RequestDecode {
		a.uncachedTokens = 0
	}
	a.e.balancer.attemptSent(a.u.ID, a.uncachedTokens)
	defer a.reportPromptComputed()
	s, err := c.Open(a.call())
	if errors.Is(err, link.ErrTooLarge) {
		a.e.balancer.attemptLost(a.u.ID)
		return nil, notRun(fighollow.CodeTooLarge, "the request does not fit into a frame")
	}
	if err != nil {
		return a.resolve(ctx)
	}
	return a.follow(ctx, s)
}

// connect returns a link to the upstream's sidecar, or a refusal if the call cannot be sent. After a refusal nothing has
// been sent.
func (a *attempt) connect(ctx context.Context) (*link.Conn, *fighollow.Refusal) {
	c, err := a.e.links.get(ctx, a.u.Link)
	if err != nil {
		if ctx.Err() == nil {
			a.e.balancer.unreachable(a.u.ID)
		}
		return nil, notRun(fighollow.CodeNoUpstream, "the upstream cannot be reached")
	}
	if c.Peer().ID != a.u.ID {
		a.e.balancer.unreachable(a.u.ID)
		return nil, notRun(fighollow.CodeNoUpstream, "another process has the upstream's address")
	}
	if !a.e.balancer.connected(a.u.ID, c.Peer().Incarnation) {
		return nil, notRun(fighollow.CodeDraining, "the upstream is leaving")
	}
	return c, nil
}

func (a *attempt) call() link.Call {
	q := a.q
	c := link.Call{
		Kind: q.kind, Request: q.info.id, Attempt: a.id, Workspace: q.info.workspace.Name,
		Deadline: q.deadline.UnixMilli(), Worth: q.info.workspace.Worth, Priority: q.info.workspace.Priority,
		Idempotent: q.idempotent, Offset: q.offset, Retry: a.retry,
	}
	if c.Worth == 0 {
		c.Worth = 1
	}
	if q.kind == link.CallService {
		c.Service = &q.service
		return c
	}
	g := q.generate
	g.ID, g.Phase, g.KV, g.Emitted, g.Offset = a.id, a.phase, a.kv, string(q.output), int(q.offset)
	c.Generate = &g
	return c
}

// follow relays the stream until it ends, and resolves the attempt if the link breaks.
func (a *attempt) follow(ctx context.Context, s *link.Stream) (*fighollow.GenerateResult, *fighollow.Refusal) {
	if err := a.awaitReply(ctx, s); err != nil {
		return a.abandon(ctx, s, err)
	}
	res, refusal, err := a.receive(ctx, s)
	if err == nil {
		return res, refusal
	}
	if errors.Is(err, link.ErrClosed) {
		return a.resolve(ctx)
	}
	return a.abandon(ctx, s, err)
}

// awaitReply waits for the first message. A sidecar accepts or refuses a call at once, so a missing reply means that the
// sidecar or the network is stalled. The upstream is then excluded, and an idempotent request is retried on another
// upstream, earlier than the link's pings would detect the stall.
func (a *attempt) awaitReply(ctx context.Context, s *link.Stream) error {
	if a.pending != nil {
		return nil
	}
	replyCtx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	m, err := s.Recv(replyCtx)
	switch {
	case err == nil:
		a.pending = m
		return nil
	case replyCtx.Err() == nil || ctx.Err() != nil:
		return nil // receive gets the same error
	}
	a.e.balancer.unreachable(a.u.ID)
	if a.q.idempotent {
		return errNoReply
	}
	return nil
}

// abandon cancels an attempt whose answer is no longer wanted or not usable.
func (a *attempt) abandon(ctx context.Context, s *link.Stream, err error) (*fighollow.GenerateResult, *fighollow.Refusal) {
	refusal := a.abandonRefusal(ctx, err)
	s.Cancel(refusal.Message)
	a.e.balancer.attemptLost(a.u.ID)
	return nil, refusal
}

// abandonRefusal returns the refusal for an attempt that the entry abandons because of err or the end of ctx.
func (a *attempt) abandonRefusal(ctx context.Context, err error) *fighollow.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fighollow.UnknownRefusal(fighollow.CodeDeadline, "the deadline passed before the answer was complete")
	case errors.Is(err, errCallerLeft), ctx.Err() != nil:
		return fighollow.UnknownRefusal(fighollow.CodeCancelled, "the caller has left")
	}
	return fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, err.Error())
}

// receive relays messages until the stream ends. It returns an error if the stream ended without an outcome.
func (a *attempt) receive(ctx context.Context, s *link.Stream) (*fighollow.GenerateResult, *fighollow.Refusal, error) {
	for {
		m, err := a.next(ctx, s)
		if err != nil {
			return nil, nil, err
		}
		switch m := m.(type) {
		case *link.Accept:
			a.accept(m)
		case *link.Refuse:
			a.e.balancer.attemptRefused(a.u.ID, &m.Refusal, m.Load)
			return nil, a.checkRefusal(&m.Refusal, s), nil
		case *link.Head:
			err = a.head(m)
		case *link.Chunk:
			err = a.chunk(m)
		case *link.Finish:
			return a.finish(m)
		}
		if err != nil {
			return nil, nil, err
		}
	}
}

// next returns the next message. It flushes the answer only if no message is waiting, so that tokens that arrive together
// are written to the caller together.
func (a *attempt) next(ctx context.Context, s *link.Stream) (link.Message, error) {
	if m := a.pending; m != nil {
		a.pending = nil
		return m, nil
	}
	if a.unflushed {
		m, err := s.Recv(doneCtx)
		if err == nil || errors.Is(err, link.ErrClosed) {
			return m, err
		}
		a.unflushed = false
		if err := a.out.flush(); err != nil {
			return nil, err
		}
		a.recordFlush()
	}
	return s.Recv(ctx)
}

func (a *attempt) recordFlush() {
	now := time.Now()
	if a.lastFlush.IsZero() {
		a.e.metrics.firstPart.Record(now.Sub(a.q.info.arrived))
	} else {
		a.e.metrics.betweenParts.Record(now.Sub(a.lastFlush))
	}
	a.lastFlush = now
}

func (a *attempt) accept(m *link.Accept) {
	var blocks []uint64
	if !a.accepted && a.phase != fighollow.RequestDecode {
		blocks = a.q.route.Blocks
	}
	a.accepted = true
	a.e.balancer.attemptAccepted(a.u.ID, m.Load, blocks)
	a.out.accepted(a.u.ID)
}

// checkRefusal returns the sidecar's refusal, with the outcome unknown in place of not run if the sidecar cannot know that:
// it was started after the call was sent, so it does not know what its predecessor did, or the attempt was accepted before
// and may have run.
func (a *attempt) checkRefusal(r *fighollow.Refusal, s *link.Stream) *fighollow.Refusal {
	if r.Outcome == fighollow.OutcomeNotRun && (a.accepted || s.Conn().Peer().Incarnation != a.incarnation) {
		return fighollow.UnknownRefusal(fighollow.CodeOutcomeUnknown, "the upstream no longer knows the attempt")
	}
	return r
}

// head passes on a plain service's status and headers. A resumed stream may repeat them, so only the first is passed on.
func (a *attempt) head(m *link.Head) error {
	if a.headSent {
		return nil
	}
	a.headSent = true
	a.unflushed = true
	return a.out.head(m)
}

func (a *attempt) chunk(m *link.Chunk) error {
	if m.Offset != a.q.offset {
		return fmt.Errorf("%w: offset %d where %d is next", errOffset, m.Offset, a.q.offset)
	}
	if a.phase == fighollow.RequestPrefill {
		return errUnexpectedOutput
	}
	a.gotOutput = true
	a.reportPromptComputed()
	a.q.offset += uint64(m.Units)
	if a.q.kind == link.CallGenerate {
		a.q.output = append(a.q.output, m.Data...)
		a.e.metrics.tokens.Inc(int64(m.Units))
	}
	a.unflushed = true
	return a.out.chunk(m.Data)
}

func (a *attempt) finish(m *link.Finish) (*fighollow.GenerateResult, *fighollow.Refusal, error) {
	a.e.balancer.attemptFinished(a.u.ID, time.Since(a.started), m.Load)
	if a.unflushed {
		a.recordFlush() // the remaining parts are written with the end of the answer
	}
	if m.Outcome == fighollow.OutcomeCompleted {
		if m.End > 0 && m.End != a.q.offset {
			return nil, nil, fmt.Errorf("%w: it ends at offset %d after %d", errOffset, m.End, a.q.offset)
		}
		if a.q.kind == link.CallGenerate && m.Result == nil {
			return nil, fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, "the upstream finished without a result"), nil
		}
		return m.Result, nil, nil
	}
	r := m.Refusal
	if r == nil {
		r = fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, "the upstream broke off")
	}
	copied := *r
	copied.Outcome = m.Outcome
	if a.gotOutput || a.headSent {
		copied.Outcome = fighollow.OutcomeUnknown // the attempt ran, since it sent output
	}
	return nil, &copied, nil
}

// reportPromptComputed tells the balancer once per attempt that the upstream no longer has to compute the prompt.
func (a *attempt) reportPromptComputed() {
	if !a.promptComputed {
		a.promptComputed = true
		a.e.balancer.promptComputed(a.u.ID, a.uncachedTokens)
	}
}
