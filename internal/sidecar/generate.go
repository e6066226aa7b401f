package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// resumeTries bounds how often a broken stream of the engine is resumed without a new token.
	resumeTries = 3
	resumePause = 100 * time.Millisecond
	// upstreamFailedRetryMs is when an upstream that failed may serve again.
	upstreamFailedRetryMs = 1000
)

var (
	errGivenUp = errors.New("sidecar: attempt given up before it ran")
	errOrder   = errors.New("sidecar: engine's tokens are not contiguous")
)

// generate runs an attempt at the engine and keeps its tokens.
func (s *Sidecar) generate(a *attempt) {
	began := time.Now()
	stream, err := s.engine.Generate(a.ctx, *a.call.Generate)
	a.call.Generate.Prompt, a.call.Generate.Emitted = "", "" // large, and not needed again
	for try := 0; ; try++ {
		if err == nil {
			before := a.next()
			var result fighollow.GenerateResult
			result, err = s.readTokens(a, stream, began)
			if err == nil {
				a.end(link.Finish{Outcome: fighollow.Completed, Result: &result})
				s.noteResult(a, result, began)
				return
			}
			if a.next() > before {
				try = 0
			}
		}
		if a.ctx.Err() != nil || errors.Is(err, fighollow.ErrNotRun) || errors.Is(err, fighollow.ErrNotFound) || try >= resumeTries {
			s.generateFailed(a, err)
			return
		}
		event.StreamBroken.Log(&s.log).Str("attempt", a.call.Attempt).Int("offset", a.next()).Err(err).Send()
		s.wakeOrders()
		pause(a.ctx, time.Duration(try)*resumePause)
		stream, err = s.engine.Resume(a.ctx, a.call.Generate.ID, a.next())
	}
}

// readTokens keeps the tokens of one stream until its end.
func (s *Sidecar) readTokens(a *attempt, stream fighollow.TokenStream, began time.Time) (fighollow.GenerateResult, error) {
	defer func() { _ = stream.Close() }() // a failed close leaves nothing to do
	for {
		t, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Result(), nil
		}
		if err != nil {
			return fighollow.GenerateResult{}, err
		}
		if t.Index != a.next() {
			return fighollow.GenerateResult{}, fmt.Errorf("%w: index %d where %d is next", errOrder, t.Index, a.next())
		}
		if t.Index == a.firstOffset() {
			s.metrics.firstToken.Record(time.Since(began))
			a.setFirst(time.Now())
		}
		a.addToken(t.Text)
	}
}

// generateFailed ends an attempt that has no whole answer and frees its place at the engine.
func (s *Sidecar) generateFailed(a *attempt, err error) {
	s.wakeOrders()
	if errors.Is(err, fighollow.ErrNotRun) && a.next() == a.firstOffset() {
		a.end(link.Finish{Outcome: fighollow.NotRun, Refusal: &fighollow.Refusal{
			Code: fighollow.CodeNotReady, Message: err.Error(), Outcome: fighollow.NotRun, RetryAfterMs: upstreamFailedRetryMs,
		}})
		return
	}
	s.cancelAtEngine(a)
	code := fighollow.CodeUpstreamFailed
	if a.ctx.Err() != nil {
		code, err = fighollow.CodeCancelled, context.Cause(a.ctx)
	}
	event.AttemptFailed.Log(&s.log).Str("attempt", a.call.Attempt).Str("code", string(code)).Int("offset", a.next()).Err(err).Send()
	a.end(link.Finish{Outcome: fighollow.Unknown, Refusal: &fighollow.Refusal{
		Code: code, Message: err.Error(), Outcome: fighollow.Unknown, RetryAfterMs: upstreamFailedRetryMs,
	}})
}

const cancelTries = 3

// cancelAtEngine stops the engine's work. An order waits for the engine's own report when that is not certain.
func (s *Sidecar) cancelAtEngine(a *attempt) {
	var err error
	for try := range cancelTries {
		pause(context.Background(), time.Duration(try)*resumePause)
		if err = s.engine.Cancel(context.Background(), a.call.Generate.ID); err == nil {
			return
		}
	}
	event.CancelFailed.Log(&s.log).Str("attempt", a.call.Attempt).Err(err).Send()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Doubt()
}

func (s *Sidecar) noteResult(a *attempt, r fighollow.GenerateResult, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.completed(&a.call, r, a.next()-a.firstOffset())
	s.pace.add(a, r, began, time.Now())
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
