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
	// maxStreamResumes bounds the consecutive resumes of a broken engine stream that yield no new token.
	maxStreamResumes = 3
	retryBackoff     = 100 * time.Millisecond // times the number of failed tries
	// upstreamFailedRetryMs is the time, in milliseconds, after which an upstream that failed may serve again. Refusals
	// carry it as their retry-after time.
	upstreamFailedRetryMs = 1000
)

var (
	errDropped       = errors.New("sidecar: attempt given up before it ran")
	errNotContiguous = errors.New("sidecar: engine's tokens are not contiguous")
)

// generate runs an attempt at the engine and buffers its tokens. It resumes a broken stream at the next token.
func (s *Sidecar) generate(a *attempt) {
	started := time.Now()
	stream, err := s.engine.Generate(a.ctx, *a.call.Generate)
	a.call.Generate.Prompt, a.call.Generate.Emitted = "", "" // release large strings that are not used again
	for try := 0; ; try++ {
		if err == nil {
			offset := a.nextToken()
			var result fighollow.GenerateResult
			result, err = s.readTokens(a, stream, started)
			if err == nil {
				a.end(link.Finish{Outcome: fighollow.OutcomeCompleted, Result: &result})
				s.recordResult(a, result, started)
				return
			}
			if a.nextToken() > offset {
				try = 0
			}
		}
		if a.ctx.Err() != nil || errors.Is(err, fighollow.ErrNotRun) || errors.Is(err, fighollow.ErrNotFound) || try >= maxStreamResumes {
			s.endFailedGenerate(a, err)
			return
		}
		event.StreamBroken.Log(&s.log).Str("attempt", a.call.Attempt).Int("offset", a.nextToken()).Err(err).Send()
		s.wakeReconcile()
		sleep(a.ctx, time.Duration(try)*retryBackoff)
		stream, err = s.engine.Resume(a.ctx, a.call.Generate.ID, a.nextToken())
	}
}

// readTokens buffers the tokens of one stream and returns its result. It fails with errNotContiguous if the engine
// skips or repeats a token.
func (s *Sidecar) readTokens(a *attempt, stream fighollow.TokenStream, started time.Time) (fighollow.GenerateResult, error) {
	defer func() { _ = stream.Close() }() // an error has no effect: the stream is not used again
	for {
		t, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Result(), nil
		}
		if err != nil {
			return fighollow.GenerateResult{}, err
		}
		if t.Index != a.nextToken() {
			return fighollow.GenerateResult{}, fmt.Errorf("%w: index %d where %d is next", errNotContiguous, t.Index, a.nextToken())
		}
		if t.Index == a.startOffset() {
			s.metrics.firstToken.Record(time.Since(started))
			a.setFirstToken(time.Now())
		}
		a.appendToken(t.Text)
	}
}

// endFailedGenerate ends an attempt whose answer is incomplete. The outcome is OutcomeNotRun if the engine reports that
// and has sent no token. Otherwise it is OutcomeUnknown, and the request is cancelled at the engine to free its slot there.
func (s *Sidecar) endFailedGenerate(a *attempt, err error) {
	s.wakeReconcile()
	if errors.Is(err, fighollow.ErrNotRun) && a.nextToken() == a.startOffset() {
		a.end(link.Finish{Outcome: fighollow.OutcomeNotRun, Refusal: &fighollow.Refusal{
			Code: fighollow.CodeNotReady, Message: err.Error(), Outcome: fighollow.OutcomeNotRun, RetryAfterMs: upstreamFailedRetryMs,
		}})
		return
	}
	s.cancelAtEngine(a)
	code := fighollow.CodeUpstreamFailed
	if a.ctx.Err() != nil {
		code, err = fighollow.CodeCancelled, context.Cause(a.ctx)
	}
	event.AttemptFailed.Log(&s.log).Str("attempt", a.call.Attempt).Str("code", string(code)).Int("offset", a.nextToken()).Err(err).Send()
	a.end(link.Finish{Outcome: fighollow.OutcomeUnknown, Refusal: &fighollow.Refusal{
		Code: code, Message: err.Error(), Outcome: fighollow.OutcomeUnknown, RetryAfterMs: upstreamFailedRetryMs,
	}})
}

const maxCancelTries = 3

// cancelAtEngine cancels the request at the engine. If all tries fail, the engine may still run it, so that no order is
// sent before the engine itself reports no running requests.
func (s *Sidecar) cancelAtEngine(a *attempt) {
	var err error
	for try := range maxCancelTries {
		sleep(context.Background(), time.Duration(try)*retryBackoff)
		if err = s.engine.Cancel(context.Background(), a.call.Generate.ID); err == nil {
			return
		}
	}
	event.CancelFailed.Log(&s.log).Str("attempt", a.call.Attempt).Err(err).Send()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.AssumeOrphans()
}

func (s *Sidecar) recordResult(a *attempt, r fighollow.GenerateResult, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.addCompleted(&a.call, r, a.nextToken()-a.startOffset())
	s.costs.observe(a, r, started, time.Now())
}

func sleep(ctx context.Context, d time.Duration) {
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
