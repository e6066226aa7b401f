package entry

import (
	"context"
	"errors"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// repeatableResume bounds how long an attempt that another engine can continue is asked for at its own upstream.
	repeatableResume = time.Second
	// resumePause and its bound grow between dials to an upstream whose link broke.
	resumePause    = 10 * time.Millisecond
	maxResumePause = 500 * time.Millisecond
)

// resolve finds out what became of an attempt whose link broke, and continues its answer where the caller has it. It
// asks until the deadline, or for a short time when the request may run elsewhere anyway.
func (a *attempt) resolve(ctx context.Context) (*fighollow.GenerateResult, *fighollow.Refusal) {
	a.e.balance.unreachable(a.u.ID)
	event.AttemptInterrupted.Log(&a.e.log).Str("request", a.q.caller.id).Str("upstream", a.u.ID).
		Bool("accepted", a.accepted).Uint64("offset", a.q.offset).Send()
	elsewhere := a.q.idempotent && !a.out.committed()
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	if elsewhere {
		limit := time.AfterFunc(repeatableResume, cancel)
		defer limit.Stop()
	}
	for pause := resumePause; ; pause = min(2*pause, maxResumePause) {
		s, err := a.ask(asking)
		if err == nil {
			var m link.Message
			if m, err = a.next(asking, s); err == nil {
				return a.resumed(ctx, s, m)
			}
			s.Cancel("given up")
		}
		if asking.Err() != nil || (elsewhere && !errors.Is(err, link.ErrClosed)) {
			break
		}
		select {
		case <-asking.Done():
		case <-time.After(pause):
		}
	}
	a.e.balance.lost(a.u.ID)
	if ctx.Err() != nil {
		return nil, a.broken(ctx, ctx.Err())
	}
	return nil, fighollow.UnknownRefusal(fighollow.CodeOutcomeUnknown, "contact with the upstream was lost")
}

// ask sends the question for the attempt over a new link.
func (a *attempt) ask(ctx context.Context) (*link.Stream, error) {
	c, err := a.e.links.get(ctx, a.u.Link)
	if err != nil {
		return nil, err
	}
	if c.Peer().ID != a.u.ID {
		return nil, errOtherPeer
	}
	return c.Open(link.Call{
		Kind: a.q.kind, Request: a.q.caller.id, Attempt: a.id, Workspace: a.q.caller.workspace.Name,
		Deadline: a.q.deadline.UnixMilli(), Idempotent: a.q.idempotent, Resume: true, Incarnation: a.incarnation,
		Offset: a.q.offset,
	})
}

var errOtherPeer = errors.New("entry: another process has the upstream's address")

// resumed takes the first message of the resumed stream and follows the rest.
func (a *attempt) resumed(ctx context.Context, s *link.Stream, first link.Message) (*fighollow.GenerateResult, *fighollow.Refusal) {
	event.AttemptResumed.Log(&a.e.log).Str("request", a.q.caller.id).Str("upstream", a.u.ID).Uint64("offset", a.q.offset).Send()
	a.pending = first
	return a.follow(ctx, s)
}
