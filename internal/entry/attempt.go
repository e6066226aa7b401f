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

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	e      *Entry
	q      *request
	u      routing.Upstream
	out    sink
	phase  fighollow.RequestPhase
	kv     *fighollow.KVRef
	cached int

	id          string
	incarnation int64 // of the sidecar that got the call
	began       time.Time
	tokens      int  // prompt tokens to compute
	again       bool // an earlier attempt asked for the same phase
	accepted    bool
	headed      bool
	computed    bool
	got         bool // output was received
	pending     link.Message
	dirty       bool      // out holds parts that were not flushed
	last        time.Time // of the previous flush, for the time between tokens
}

// Faults of an upstream's answer.
var (
	errOffset = errors.New("the upstream's answer has a gap")
	errOutput = errors.New("the prefill engine sent output")
	errHead   = errors.New("the engine sent a service's status")
	// errNoReply says that a sidecar neither accepted nor refused.
	errNoReply = errors.New("the upstream did not reply in time")
)

// replyTimeout is how long a sidecar may take to accept or refuse a call that may be repeated elsewhere.
const replyTimeout = time.Second

// ended is a context that is done, to ask a stream for a message without waiting.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// run sends the call and relays its answer.
func (a *attempt) run(ctx context.Context) (*fighollow.GenerateResult, *fighollow.Refusal) {
	a.e.links.hold(a.u.Link)
	defer a.e.links.release(a.u.Link)
	c, refusal := a.connect(ctx)
	if refusal != nil {
		a.q.dials++
		return nil, refusal
	}
	a.q.attempts++
	a.q.sent++
	a.again = slices.Contains(a.q.phases, a.phase)
	a.q.phases = append(a.q.phases, a.phase)
	a.id = a.q.caller.id + "-" + strconv.Itoa(a.q.sent)
	a.incarnation, a.began = c.Peer().Incarnation, time.Now()
	a.tokens = max(0, a.q.route.PromptTokens-a.cached)
	if a.phase == fighollow.RequestDecode {
		a.tokens = 0
	}
	a.e.balance.sent(a.u.ID, a.tokens)
	defer a.promptDone()
	s, err := c.Open(a.call())
	if errors.Is(err, link.ErrTooLarge) {
		a.e.balance.lost(a.u.ID)
		return nil, notRun(fighollow.CodeTooLarge, "the request does not fit into a frame")
	}
	if err != nil {
		return a.resolve(ctx)
	}
	return a.follow(ctx, s)
}

// connect returns a link to the upstream's sidecar, or why it may not get the call. Nothing was sent then.
func (a *attempt) connect(ctx context.Context) (*link.Conn, *fighollow.Refusal) {
	c, err := a.e.links.get(ctx, a.u.Link)
	if err != nil {
		if ctx.Err() == nil {
			a.e.balance.unreachable(a.u.ID)
		}
		return nil, notRun(fighollow.CodeNoUpstream, "the upstream cannot be reached")
	}
	if c.Peer().ID != a.u.ID {
		a.e.balance.unreachable(a.u.ID)
		return nil, notRun(fighollow.CodeNoUpstream, "another process has the upstream's address")
	}
	if !a.e.balance.reached(a.u.ID, c.Peer().Incarnation) {
		return nil, notRun(fighollow.CodeDraining, "the upstream is leaving")
	}
	return c, nil
}

func (a *attempt) call() link.Call {
	q := a.q
	c := link.Call{
		Kind: q.kind, Request: q.caller.id, Attempt: a.id, Workspace: q.caller.workspace.Name,
		Deadline: q.deadline.UnixMilli(), Worth: q.caller.workspace.Worth, Priority: q.caller.workspace.Priority,
		Idempotent: q.idempotent, Offset: q.offset, Retry: a.again,
	}
	if c.Worth == 0 {
		c.Worth = 1
	}
	if q.kind == link.CallService {
		c.Service = &q.call
		return c
	}
	g := q.generate
	g.ID, g.Phase, g.KV, g.Emitted, g.Offset = a.id, a.phase, a.kv, string(q.text), int(q.offset)
	c.Generate = &g
	return c
}

// follow relays the stream until its end, and asks for the attempt again when the link broke.
func (a *attempt) follow(ctx context.Context, s *link.Stream) (*fighollow.GenerateResult, *fighollow.Refusal) {
	if err := a.awaitReply(ctx, s); err != nil {
		return a.giveUp(ctx, s, err)
	}
	res, refusal, err := a.receive(ctx, s)
	if err == nil {
		return res, refusal
	}
	if errors.Is(err, link.ErrClosed) {
		return a.resolve(ctx)
	}
	return a.giveUp(ctx, s, err)
}

// awaitReply waits for the first message. A sidecar admits or refuses at once, so that silence means that it or the
// network is held up: a request that may run twice then goes elsewhere, before the link's pings notice.
func (a *attempt) awaitReply(ctx context.Context, s *link.Stream) error {
	if a.pending != nil {
		return nil
	}
	first, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	m, err := s.Recv(first)
	switch {
	case err == nil:
		a.pending = m
		return nil
	case first.Err() == nil || ctx.Err() != nil:
		return nil // receive meets the same error
	}
	a.e.balance.unreachable(a.u.ID)
	if a.q.idempotent {
		return errNoReply
	}
	return nil
}

// giveUp ends an attempt whose answer is not wanted or not usable.
func (a *attempt) giveUp(ctx context.Context, s *link.Stream, err error) (*fighollow.GenerateResult, *fighollow.Refusal) {
	refusal := a.broken(ctx, err)
	s.Cancel(refusal.Message)
	a.e.balance.lost(a.u.ID)
	return nil, refusal
}

// broken returns the refusal for an attempt that the entry gives up.
func (a *attempt) broken(ctx context.Context, err error) *fighollow.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fighollow.UnknownRefusal(fighollow.CodeDeadline, "the deadline passed before the answer was complete")
	case errors.Is(err, errCallerLeft), ctx.Err() != nil:
		return fighollow.UnknownRefusal(fighollow.CodeCancelled, "the caller has left")
	}
	return fighollow.UnknownRefusal(fighollow.CodeUpstreamFailed, err.Error())
}

// receive relays messages until the stream ends. An error says that the stream gave no outcome.
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
			a.e.balance.refused(a.u.ID, &m.Refusal, m.Load)
			return nil, a.refusal(&m.Refusal, s), nil
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

// next returns the next message. It flushes the answer only when no message is waiting, so that tokens that arrive
// together leave in one write.
func (a *attempt) next(ctx context.Context, s *link.Stream) (link.Message, error) {
	if m := a.pending; m != nil {
		a.pending = nil
		return m, nil
	}
	if a.dirty {
		m, err := s.Recv(ended)
		if err == nil || errors.Is(err, link.ErrClosed) {
			return m, err
		}
		a.dirty = false
		if err := a.out.flush(); err != nil {
			return nil, err
		}
		a.timeFlush()
	}
	return s.Recv(ctx)
}

func (a *attempt) timeFlush() {
	now := time.Now()
	if a.last.IsZero() {
		a.e.metrics.firstPart.Record(now.Sub(a.q.caller.arrived))
	} else {
		a.e.metrics.betweenParts.Record(now.Sub(a.last))
	}
	a.last = now
}

func (a *attempt) accept(m *link.Accept) {
	var blocks []uint64
	if !a.accepted && a.phase != fighollow.RequestDecode {
		blocks = a.q.route.Blocks
	}
	a.accepted = true
	a.e.balance.accepted(a.u.ID, m.Load, blocks)
	a.out.accepted(a.u.ID)
}

// refusal returns what a Refuse says, as far as it can be true. A sidecar that started after the call was sent cannot
// know what its predecessor did, and an attempt that was accepted may have run.
func (a *attempt) refusal(r *fighollow.Refusal, s *link.Stream) *fighollow.Refusal {
	if r.Outcome == fighollow.NotRun && (a.accepted || s.Conn().Peer().Incarnation != a.incarnation) {
		return fighollow.UnknownRefusal(fighollow.CodeOutcomeUnknown, "the upstream no longer knows the attempt")
	}
	return r
}

// head passes a plain service's status on; a resumed stream may repeat it.
func (a *attempt) head(m *link.Head) error {
	if a.headed {
		return nil
	}
	a.headed = true
	a.dirty = true
	return a.out.head(m)
}

func (a *attempt) chunk(m *link.Chunk) error {
	if m.Offset != a.q.offset {
		return fmt.Errorf("%w: offset %d where %d is next", errOffset, m.Offset, a.q.offset)
	}
	if a.phase == fighollow.RequestPrefill {
		return errOutput
	}
	a.got = true
	a.promptDone()
	a.q.offset += uint64(m.Units)
	if a.q.kind == link.CallGenerate {
		a.q.text = append(a.q.text, m.Data...)
		a.e.metrics.tokens.Inc(int64(m.Units))
	}
	a.dirty = true
	return a.out.chunk(m.Data)
}

func (a *attempt) finish(m *link.Finish) (*fighollow.GenerateResult, *fighollow.Refusal, error) {
	a.e.balance.finished(a.u.ID, time.Since(a.began), m.Load)
	if a.dirty {
		a.timeFlush() // the rest leaves with the end of the answer
	}
	if m.Outcome == fighollow.Completed {
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
	if a.got || a.headed {
		copied.Outcome = fighollow.Unknown // output that was received shows that it ran
	}
	return nil, &copied, nil
}

// promptDone notes once that the upstream need no longer compute the prompt.
func (a *attempt) promptDone() {
	if !a.computed {
		a.computed = true
		a.e.balance.computed(a.u.ID, a.tokens)
	}
}
