package entry

import (
	"context"
	"errors"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	e   *Entry
	q   *request
	u   upstream
	out sink
	id  string

	accepted bool
	dirty    bool // out holds parts that were not flushed
}

// ended is a context that is done, to ask a stream for a message without waiting.
var ended = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// run sends the call and relays its answer.
func (a *attempt) run(ctx context.Context) (*fighollow.GenerateResult, *fighollow.Refusal) {
	c, err := a.e.links.get(ctx, a.u.link)
	if err != nil {
		return nil, notRun(fighollow.CodeNoUpstream, "the upstream cannot be reached")
	}
	s, err := c.Open(a.call())
	if errors.Is(err, link.ErrTooLarge) {
		return nil, notRun(fighollow.CodeTooLarge, "the request does not fit into a frame")
	}
	if err != nil {
		return nil, unknown(fighollow.CodeOutcomeUnknown, "contact with the upstream was lost")
	}
	res, refusal, err := a.receive(ctx, s)
	switch {
	case err == nil:
		return res, refusal
	case errors.Is(err, context.DeadlineExceeded):
		s.Cancel("deadline")
		return nil, unknown(fighollow.CodeDeadline, "the deadline passed before the answer was complete")
	case errors.Is(err, link.ErrClosed):
		return nil, unknown(fighollow.CodeOutcomeUnknown, "contact with the upstream was lost")
	case errors.Is(err, errCallerLeft), errors.Is(err, context.Canceled):
		s.Cancel("caller left")
		return nil, unknown(fighollow.CodeCancelled, "the caller has left")
	}
	s.Cancel("answer not usable")
	return nil, unknown(fighollow.CodeUpstreamFailed, err.Error())
}

func (a *attempt) call() link.Call {
	q := a.q
	c := link.Call{
		Kind: q.kind, Request: q.caller.id, Attempt: a.id, Workspace: q.caller.workspace.Name,
		Deadline: q.deadline.UnixMilli(), Worth: q.caller.workspace.Worth, Priority: q.caller.workspace.Priority,
		Idempotent: q.idempotent, Offset: q.offset,
	}
	if c.Worth == 0 {
		c.Worth = 1
	}
	if q.kind == link.CallService {
		c.Service = &q.call
		return c
	}
	g := q.generate
	g.ID, g.Emitted, g.Offset = a.id, string(q.text), int(q.offset)
	c.Generate = &g
	return c
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
			a.accepted = true
			a.out.accepted(a.u.id)
		case *link.Refuse:
			return nil, &m.Refusal, nil
		case *link.Head:
			if err := a.out.head(m); err != nil {
				return nil, nil, err
			}
		case *link.Chunk:
			if err := a.chunk(m); err != nil {
				return nil, nil, err
			}
		case *link.Finish:
			if m.Outcome == fighollow.Completed {
				return m.Result, nil, nil
			}
			if m.Refusal == nil {
				return nil, unknown(fighollow.CodeUpstreamFailed, "the upstream broke off"), nil
			}
			return nil, m.Refusal, nil
		}
	}
}

// next returns the next message. It flushes the answer only when no message is waiting, so that tokens that arrive
// together leave in one write.
func (a *attempt) next(ctx context.Context, s *link.Stream) (link.Message, error) {
	if a.dirty {
		m, err := s.Recv(ended)
		if err == nil || errors.Is(err, link.ErrClosed) {
			return m, err
		}
		a.dirty = false
		if err := a.out.flush(); err != nil {
			return nil, err
		}
	}
	return s.Recv(ctx)
}

var errOffset = errors.New("the upstream's answer has a gap")

func (a *attempt) chunk(m *link.Chunk) error {
	if m.Offset != a.q.offset {
		return errOffset
	}
	a.q.offset += uint64(m.Units)
	if a.q.kind == link.CallGenerate {
		a.q.text = append(a.q.text, m.Data...)
	}
	a.dirty = true
	return a.out.chunk(m.Data)
}
