package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// exchange is one request while it is served.
type exchange struct {
	g    *Gateway
	call *fighollow.Call
	out  fighollow.Responder
	log  zerolog.Logger

	version  uint64
	route    *fighollow.Route
	service  string
	traits   fighollow.ServiceTraits
	pool     *placement.Pool
	budget   *budget
	seed     uint64
	deadline time.Time

	sent     int           // attempts sent, a first accepted prefill included
	counted  int           // attempts that count against the route's limit and the budget
	freed    bool          // a prefill was accepted and is not counted
	tried    []string      // upstreams that failed the request
	mayRun   bool          // an attempt of unknown outcome was sent
	notSent  int           // attempts for which no connection could be made
	rejected int           // attempts that upstreams refused
	excess   time.Duration // by how much a refused request would have missed its latency target

	over        bool   // no further attempt is made
	begun       bool   // the answer's status was sent
	streaming   bool   // an event was sent
	left        bool   // the caller has left
	resumeAfter string // id of the last event that the caller has
	status      int
	first, last time.Duration // from the arrival to the first byte and to the end of the answer
}

func (x *exchange) firstMs() int64 { return x.first.Milliseconds() }

// maxUnreachable is how many upstreams without a connection a request tries; each costs a dial's time.
const maxUnreachable = 3

// mayRepeat reports whether the request may run again although an earlier attempt may have run.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeat == fighollow.RepeatAny || x.route.Repeat == fighollow.RepeatResume
}

// leg is an attempt that was sent to an upstream.
type leg struct {
	x       *exchange
	work    *placement.Attempt
	up      fighollow.Upstream
	phase   fighollow.RequestPhase
	reply   *fighollow.Reply
	started bool          // its first event was passed on
	first   time.Duration // until then
	ended   bool
}

// claim reports whether another attempt may be sent, and counts it.
func (x *exchange) claim() error {
	if x.counted > 0 {
		if x.counted >= x.route.MaxAttempts {
			return errNoAttempt
		}
		if !x.budget.take() {
			return errNoBudget
		}
	}
	x.counted++
	return nil
}

// unclaim takes back an attempt that did not reach its upstream or does not count.
func (x *exchange) unclaim() {
	x.counted--
	if x.counted > 0 {
		x.budget.giveBack()
	}
}

// send places an attempt and sends it. The reply of the leg that it returns has begun. The errors are those of
// fighollow.Dispatcher, placement.ErrNoUpstream, placement.ErrTooLate, errNoAttempt and errNoBudget; a refused attempt is
// fighollow.ErrNotRun.
func (x *exchange) send(ctx context.Context, phase fighollow.RequestPhase, kv *fighollow.KVCache) (*leg, error) {
	now := time.Now()
	c, q, err := x.place(now, phase)
	if err != nil {
		return nil, err
	}
	if err := x.claim(); err != nil {
		return nil, err
	}
	a := &fighollow.Attempt{
		Call: x.call, Upstream: c.Upstream, Phase: phase, KV: kv, FetchFrom: c.FetchFrom, ResumeAfter: x.resumeAfter,
		Urgency: q.Urgency, Deadline: x.deadline,
	}
	event.AttemptPlaced.Log(&x.log).Str("upstream", c.Upstream.ID).Str("dataCentre", c.Upstream.DataCentre).
		Str("phase", string(phase)).Float64("costMs", c.CostMs).
		Int("tokens", x.call.PromptTokens).Int("cached", c.Cached).Int("fetched", c.Fetched).Int("pending", c.Pending).
		Int("running", c.Running).Int64("leftMs", x.deadline.Sub(now).Milliseconds()).Send()
	l := &leg{x: x, work: x.pool.Begin(now, c, q), up: c.Upstream, phase: phase}
	x.sent++
	l.reply, err = x.g.dispatch.Dispatch(ctx, a)
	return l, x.judge(ctx, l, err)
}

// judge notes what the beginning of a reply, or its lack, says about the upstream.
func (x *exchange) judge(ctx context.Context, l *leg, err error) error {
	switch {
	case ctx.Err() != nil && err != nil:
		// The deadline passed or the caller left; the upstream is not to blame for the latter.
		if !errors.Is(err, fighollow.ErrNotRun) && l.phase != fighollow.RequestPrefill {
			x.mayRun = true
		}
		l.end(placement.Abandoned, err)
	case errors.Is(err, fighollow.ErrNotRun):
		x.unclaim()
		x.sent--
		x.notSent++
		x.tried = append(x.tried, l.up.ID)
		l.end(placement.Unreachable, err)
	case err != nil:
		if l.phase != fighollow.RequestPrefill {
			x.mayRun = true
		}
		x.tried = append(x.tried, l.up.ID)
		l.end(placement.Failed, err)
	case l.reply.NotRun:
		x.rejected++
		x.tried = append(x.tried, l.up.ID)
		l.reply.Body.Close()
		result := placement.Full
		if l.reply.Misdirected {
			result = placement.Misdirected
		}
		err = fighollow.ErrNotRun
		l.end(result, err)
	}
	return err
}

// brokeOff notes that an answer ended before its end. The upstream is not to blame when the time was up.
func (x *exchange) brokeOff(ctx context.Context, l *leg, err error) error {
	x.mayRun = true
	x.tried = append(x.tried, l.up.ID)
	result := placement.Failed
	if ctx.Err() != nil {
		result = placement.Abandoned
	}
	l.end(result, err)
	return fmt.Errorf("%w: %w", fighollow.ErrUnknownOutcome, err)
}

// end reports the attempt's end once.
func (l *leg) end(r placement.Result, err error) {
	if l.ended {
		return
	}
	l.ended = true
	now := time.Now()
	if rest := l.x.pool.End(now, l.work, r); rest > 0 {
		event.UpstreamRests.Log(&l.x.log).Str("upstream", l.up.ID).Str("result", r.String()).Int64("restMs", rest.Milliseconds()).Send()
	}
	line := event.AttemptEnded.Log(&l.x.log).Str("upstream", l.up.ID).Str("phase", string(l.phase)).Str("result", r.String()).
		Int64("tookMs", now.Sub(l.work.SentAt).Milliseconds())
	if l.started {
		line.Int64("firstMs", l.first.Milliseconds())
	}
	if l.reply != nil {
		line.Int("status", l.reply.Status)
	}
	if err != nil {
		line.Err(err)
	}
	line.Send()
}

// again reports whether another attempt is worth making after err, and logs why once.
func (x *exchange) again(ctx context.Context, err error) bool {
	if x.over {
		return false
	}
	again, reason := x.mayTryAgain(ctx, err)
	event.RequestRetried.Log(&x.log).Bool("again", again).Str("reason", reason).Int("sent", x.sent).Int("counted", x.counted).
		Bool("mayHaveRun", x.mayRun).Send()
	x.over = !again
	return again
}

func (x *exchange) mayTryAgain(ctx context.Context, err error) (again bool, reason string) {
	switch {
	case ctx.Err() != nil:
		return false, "timeUp"
	case errors.Is(err, placement.ErrNoUpstream):
		return false, "noUpstream"
	case errors.Is(err, errNoAttempt):
		return false, "noAttempt"
	case errors.Is(err, errNoBudget):
		return false, "noBudget"
	case errors.Is(err, placement.ErrTooLate):
		return false, "tooLate"
	case x.notSent >= maxUnreachable:
		return false, "unreachable"
	case errors.Is(err, fighollow.ErrNotRun):
		return true, "notRun"
	case !x.mayRun:
		return true, "promptOnly"
	case x.mayRepeat():
		return true, "mayRepeat"
	}
	return false, "mayHaveRun"
}
