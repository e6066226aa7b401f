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
	// repeatableResumeTimeout limits the time for which an attempt is resumed on its own upstream if another can continue it.
	repeatableResumeTimeout = time.Second
	// minResumeBackoff is the first pause between attempts to resume. Each further pause is twice as long, up to
	// maxResumeBackoff.
	minResumeBackoff = 10 * time.Millisecond
	maxResumeBackoff = 500 * time.Millisecond
)

// resolve determines the outcome of an attempt whose link broke, and resumes its answer at the offset that the caller has
// reached. It tries until the deadline, or for repeatableResumeTimeout if the request may be retried on another upstream.
func (a *attempt) resolve(ctx context.Context) (*fighollow.GenerateResult, *fighollow.Refusal) {
	a.e.balancer.unreachable(a.u.ID)
	event.AttemptInterrupted.Log(&a.e.log).Str("request", a.q.info.id).Str("upstream", a.u.ID).
		Bool("accepted", a.accepted).Uint64("offset", a.q.offset).Send()
	repeatable := a.q.idempotent && !a.out.committed()
	resumeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if repeatable {
		timer := time.AfterFunc(repeatableResumeTimeout, cancel)
		defer timer.Stop()
	}
	for backoff := minResumeBackoff; ; backoff = min(2*backoff, maxResumeBackoff) {
		s, err := a.openResume(resumeCtx)
		if err == nil {
			var m link.Message
			if m, err = a.next(resumeCtx, s); err == nil {
				return a.followResumed(ctx, s, m)
			}
			s.Cancel("given up")
		}
		if resumeCtx.Err() != nil || (repeatable && !errors.Is(err, link.ErrClosed)) {
			break
		}
		select {
		case <-resumeCtx.Done():
		case <-time.After(backoff):
		}
	}
	a.e.balancer.attemptLost(a.u.ID)
	if ctx.Err() != nil {
		return nil, a.abandonRefusal(ctx, ctx.Err())
	}
	return nil, fighollow.UnknownRefusal(fighollow.CodeOutcomeUnknown, "contact with the upstream was lost")
}

// openResume opens a stream on a new link that resumes the attempt at the offset that the caller has reached.
func (a *attempt) openResume(ctx context.Context) (*link.Stream, error) {
	c, err := a.e.links.get(ctx, a.u.Link)
	if err != nil {
		return nil, err
	}
	if c.Peer().ID != a.u.ID {
		return nil, errOtherPeer
	}
	return c.Open(link.Call{
		Kind: a.q.kind, Request: a.q.info.id, Attempt: a.id, Workspace: a.q.info.workspace.Name,
		Deadline: a.q.deadline.UnixMilli(), Idempotent: a.q.idempotent, Resume: true, Incarnation: a.incarnation,
		Offset: a.q.offset,
	})
}

var errOtherPeer = errors.New("entry: another process has the upstream's address")

// followResumed relays the resumed stream, of which first has already been received.
func (a *attempt) followResumed(ctx context.Context, s *link.Stream, first link.Message) (*fighollow.GenerateResult, *fighollow.Refusal) {
	event.AttemptResumed.Log(&a.e.log).Str("request", a.q.info.id).Str("upstream", a.u.ID).Uint64("offset", a.q.offset).Send()
	a.pending = first
	return a.follow(ctx, s)
}
