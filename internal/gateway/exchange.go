package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/answer"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/heldbytes"
	"github.com/fighollow/fighollow/internal/logging"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/quarantine"
	"github.com/fighollow/fighollow/internal/workspace"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// exchange is the state of one request while it is served.
type exchange struct {
	g    *Gateway
	call *fighollow.Call
	out  fighollow.Responder
	log  zerolog.Logger

	bytes     int // size of the body
	version   uint64
	route     *fighollow.Route
	identity  fighollow.Identity // resolved when the request arrived, whatever becomes of the key
	keyReason workspace.Reason   // why its key was refused
	rank      int                // 0 is the most urgent
	service   string
	traits    fighollow.ServiceTraits
	pool      *placement.Pool
	budget    *retryBudget
	seed      uint64
	deadline  time.Time

	attemptsSent int                    // attempts that were sent, including an accepted prefill
	arrivals     arrivals               // attempts that count against the route's limit and the retry budget
	tried        []string               // ids of upstreams that failed or refused the request
	lost         []string               // those of them that could not be reached or broke off
	engineDelay  time.Duration          // until there may be a decode engine of the stream's version, for which it did not wait
	mayHaveRun   bool                   // an attempt of unknown outcome was sent
	unreachable  int                    // attempts for which no connection could be made in time
	unsent       int                    // attempts for which no connection could be made, those included
	kv           *fighollow.KVCache     // of the prompt, which a decode engine has not taken yet
	kvRefused    int                    // decode engines that refused it
	refused      int                    // attempts that upstreams refused
	overTarget   time.Duration          // by how much a request that was refused as too late would have missed its latency target
	permitWait   time.Duration          // for which a stream that broke off has waited for a permit
	shareDecided bool                   // the request was counted for its workspace's share
	share        fighollow.ShareRequest // as it was counted
	shareDelay   time.Duration          // after which a request beyond its workspace's share may be sent again
	limitedFor   time.Duration          // time until a request that upstreams' limits or pauses exclude can be placed
	subject      *quarantine.Request    // what the request is recognised by
	isProbe      bool                   // the request, or a part of its prompt, is in quarantine, and it shows whether that still crashes engines
	withheldFor  time.Duration          // time until a request like it can be tried

	retriesEnded     bool   // no further attempt is made
	headerSent       bool   // the status and header of the answer were sent
	streaming        bool   // an event was sent
	callerLeft       bool   // the caller closed the connection, or did not read
	unread           bool   // it did not read
	resumeAfter      string // id of the last event that the caller has
	insideEvent      bool   // the caller has a part of an event
	beyondLast       bool   // the caller has more than the event resumeAfter and those before it, so that the stream cannot be resumed
	software         string // version that began the stream, which only the same can go on with; empty if none did
	isRecorded       bool   // the stream is in the journal
	counted          bool   // usage has the request
	status           int
	held             *heldbytes.Holder // what the answer holds
	reading          reading
	lastEvent        time.Time     // when the last event was relayed
	firstByte, total time.Duration // from the arrival to the first byte and to the end of the answer
}

func (x *exchange) firstByteMs() int64 { return x.firstByte.Milliseconds() }

const (
	// maxUnreachable is the number of connections after which a request gives up that failed after slowDial. Each costs a dial timeout.
	maxUnreachable = 3
	slowDial       = 100 * time.Millisecond
	// maxUnsent is the same for all failed connections. An upstream that is down refuses them at once, and an entry that has many peers
	// meets many of a large fleet's upstreams for the first time since they ended.
	maxUnsent = 16
)

// mayRepeat reports whether the route allows the request to run again after an attempt of unknown outcome.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeat == fighollow.RepeatAny || x.route.Repeat == fighollow.RepeatResume
}

// attempt is one attempt that was sent to an upstream.
type attempt struct {
	x          *exchange
	placed     *placement.Attempt
	upstream   fighollow.Upstream
	phase      fighollow.RequestPhase
	charge     charge
	reply      *fighollow.Reply
	body       *answer.Reader // reads reply.Body
	streaming  bool           // the first event was relayed
	firstEvent time.Duration  // from the dispatch to the first event
	answered   bool           // see recordAnswer
	ended      bool
}

// send places an attempt and dispatches it. On success, the status and header of the reply have arrived. It returns the
// errors of fighollow.Dispatcher and placement.Pool.Place, errAttemptsExhausted and errBudgetExhausted; a refused attempt is
// reported as fighollow.ErrNotRun.
func (x *exchange) send(ctx context.Context, phase fighollow.RequestPhase, kv *fighollow.KVCache) (*attempt, error) {
	if err := ctx.Err(); err != nil {
		return nil, err // the caller has left, or the deadline has passed
	}
	now := time.Now()
	if err := x.admit(now); err != nil {
		return nil, err
	}
	c, q, err := x.place(now, phase)
	if err != nil {
		return nil, err
	}
	charged, err := x.arrivals.add(now, phase, x.route.MaxAttempts)
	if err != nil {
		x.pool.Withdraw(c.Upstream.ID)
		return nil, err
	}
	req := &fighollow.Attempt{
		Call: x.call, Upstream: c.Upstream, Phase: phase, KV: kv, FetchFrom: c.FetchFrom, ResumeAfter: x.resumeAfter,
		Urgency: q.Urgency, Deadline: x.deadline, Identity: x.identity,
	}
	line := event.AttemptPlaced.Log(&x.log).Str("upstream", c.Upstream.ID).Int64("started", c.Upstream.StartedMs).Str("software", c.Upstream.Version).
		Str("dataCentre", c.Upstream.DataCentre).
		Str("phase", string(phase)).Float64("costMs", c.CostMs).
		Int("tokens", x.call.PromptTokens).Int("cached", c.Cached).Int("fetched", c.Fetched).Float64("pendingMs", c.PendingMs).
		Int("running", c.Running).Int64("leftMs", x.deadline.Sub(now).Milliseconds())
	if c.Limited {
		line.Float64("limitShare", c.Share)
	}
	if x.resumeAfter != "" {
		line.Str("begunBy", logging.Short(x.call.BegunBy)).Str("after", logging.Short(x.resumeAfter))
	}
	if c.Trial {
		line.Bool("trial", true)
	}
	line.Send()
	a := &attempt{x: x, placed: x.pool.Begin(now, c, q), upstream: c.Upstream, phase: phase, charge: charged}
	x.attemptsSent++
	a.reply, err = x.g.dispatch.Dispatch(ctx, req)
	if err == nil {
		a.body = answer.NewReader(a.reply.Body, answer.Options{
			Framing: a.reply.Framing, Events: a.hasEvents(), Strict: x.traits.Engine != nil, // streams of several engines may be joined
		})
	}
	if a.reply != nil && !a.reply.Misdirected {
		x.g.opts.Quarantine.Replied(time.Now(), a.upstream.Incarnation())
		x.observeAnnouncement(a)
	}
	return a, x.recordReply(ctx, a, err)
}

// hasEvents reports whether the answer is a series of events.
func (a *attempt) hasEvents() bool {
	generated := a.x.traits.Engine != nil && a.reply.Status == http.StatusOK
	return a.phase != fighollow.RequestPrefill && answer.IsEventStream(a.reply.Header, generated)
}

// recordReply records the outcome of a dispatch, as far as the status of the reply or the lack of one shows it. It returns
// fighollow.ErrNotRun for a refusal, and err otherwise.
func (x *exchange) recordReply(ctx context.Context, a *attempt, err error) error {
	switch {
	case ctx.Err() != nil && err != nil:
		// The deadline passed or the caller left. Neither counts as a failure of the upstream.
		if !errors.Is(err, fighollow.ErrNotRun) && a.phase != fighollow.RequestPrefill {
			x.mayHaveRun = true
		}
		a.end(placement.Abandoned, err)
	case errors.Is(err, fighollow.ErrNotRun):
		x.arrivals.undo(a.charge)
		x.attemptsSent--
		x.unsent++
		if time.Since(a.placed.SentAt) >= slowDial {
			x.unreachable++
		}
		x.tried, x.lost = append(x.tried, a.upstream.ID), append(x.lost, a.upstream.ID)
		a.end(placement.Unreachable, err)
	case err != nil:
		if a.phase != fighollow.RequestPrefill {
			x.mayHaveRun = true
			x.recordUsage(time.Now())
		}
		x.tried, x.lost = append(x.tried, a.upstream.ID), append(x.lost, a.upstream.ID)
		x.recordBreak(a, err)
		a.end(placement.Failed, err)
	case a.reply.NotRun:
		x.refused++
		x.kvRefused++
		x.tried = append(x.tried, a.upstream.ID)
		a.reply.Body.Close()
		result := placement.Full
		if a.reply.Misdirected {
			result = placement.Misdirected
		}
		err = fighollow.ErrNotRun
		a.end(result, err)
	}
	return err
}

// unreadTime is the time after a request's deadline, or after the beginning of an answer that is later, until the connection of a caller
// that does not read is closed. The last part of an answer in time is written in it.
const unreadTime = time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// free ends what the answer holds.
func (x *exchange) free() { _ = x.held.Hold(time.Now(), 0) } // holding less is always allowed

// write writes a part of the answer to the caller, and records for how long that blocked.
func (x *exchange) write(p []byte) error {
	began := time.Now()
	x.held.BeginWrite(began)
	err := x.out.Write(p)
	x.held.EndWrite()
	x.reading.wrote(began, time.Now())
	x.unread = x.unread || errors.Is(err, os.ErrDeadlineExceeded)
	return err
}

// recordInterruption records that an answer broke off. It does not count as a failure of the upstream if ctx is done or the caller did not
// read.
func (x *exchange) recordInterruption(ctx context.Context, a *attempt, err error) error {
	x.mayHaveRun = true
	x.tried, x.lost = append(x.tried, a.upstream.ID), append(x.lost, a.upstream.ID)
	result := placement.Failed
	if ctx.Err() == nil {
		x.recordUsage(time.Now())
	}
	if ctx.Err() != nil || x.reading.isSlow(time.Now()) {
		result = placement.Abandoned
	} else {
		x.recordBreak(a, err)
	}
	a.end(result, err)
	return fmt.Errorf("%w: %w", fighollow.ErrUnknownOutcome, err)
}

// recordUsage records that an upstream began to run the request, or probably did, at a time. Only the first call counts: a request is billed
// once, whatever becomes of it.
func (x *exchange) recordUsage(at time.Time) {
	if x.counted || x.identity.Workspace == "" || x.g.opts.Usage == nil {
		return
	}
	x.counted = true
	x.g.opts.Usage.Begun(at, x.identity.Workspace)
}

// end reports the end of the attempt to the placement and logs it. Calls after the first do nothing.
func (a *attempt) end(r placement.Result, err error) {
	if a.ended {
		return
	}
	a.ended = true
	now := time.Now()
	if r == placement.Abandoned && a.answered {
		a.x.g.opts.Quarantine.Abandoned(now, a.upstream.Incarnation(), a.x.subject)
	}
	if backoff := a.x.pool.End(now, a.placed, r); backoff > 0 {
		event.UpstreamRests.Log(&a.x.log).Str("upstream", a.upstream.ID).Str("result", r.String()).Int64("restMs", backoff.Milliseconds()).Send()
	}
	line := event.AttemptEnded.Log(&a.x.log).Str("upstream", a.upstream.ID).Str("phase", string(a.phase)).Str("result", r.String()).
		Int64("tookMs", now.Sub(a.placed.SentAt).Milliseconds())
	if a.streaming {
		line.Int64("firstMs", a.firstEvent.Milliseconds())
	}
	if a.reply != nil {
		line.Int("status", a.reply.Status)
	}
	if a.reply != nil && a.reply.Limit.State != fighollow.LimitAbsent {
		line.Str("limit", a.reply.Limit.Text)
	}
	if a.body != nil && a.phase != fighollow.RequestPrefill && !a.reply.NotRun {
		a.logBody(line, err)
	}
	if err != nil {
		line.Err(err)
	}
	if r == placement.Failed {
		a.logIdentity(line.Bool("began", a.streaming))
	}
	line.Send()
}

// maxLoggedParts is the number of parts of a prompt that are logged, the last ones: few sound requests share these.
const maxLoggedParts = 32

// logIdentity adds to the line of a failed attempt what tells whether the same request, or one with the same parts, has failed before.
func (a *attempt) logIdentity(line *zerolog.Event) {
	if prompt := a.x.call.Prompt; len(prompt) > 0 {
		logged := prompt[max(0, len(prompt)-maxLoggedParts):]
		ids := make([]uint64, 0, len(logged))
		for _, p := range logged {
			ids = append(ids, p.ID)
		}
		line.Strs("parts", hexIDs(ids)).Int("partsLeftOut", len(prompt)-len(logged))
	}
	line.Strs("fingerprints", hexIDs(quarantine.Fingerprints(a.x.call)))
}

// hexIDs returns ids as callers write them.
func hexIDs(ids []uint64) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = strconv.FormatUint(id, 16)
	}
	return out
}

// logBody adds to the line how the answer's body is framed and where it ended, and counts framings and truncated bodies.
func (a *attempt) logBody(line *zerolog.Event, err error) {
	line.Str("framing", string(a.reply.Framing)).Int64("bytes", a.body.Bytes()).Bool("insideEvent", a.body.InsideEvent())
	a.x.g.metrics.count("answers." + string(a.reply.Framing))
	if a.streaming {
		line.Str("lastEvent", logging.Short(a.x.resumeAfter))
	}
	if errors.Is(err, answer.ErrTruncated) {
		a.x.g.metrics.count("answers.truncated")
	}
}

// shouldRetry reports whether to make another attempt after err, and logs the reason. After it has returned false once, it
// returns false without logging.
func (x *exchange) shouldRetry(ctx context.Context, err error) bool {
	if x.retriesEnded {
		return false
	}
	retry, reason := x.retryDecision(ctx, err)
	event.RequestRetried.Log(&x.log).Bool("again", retry).Str("reason", reason).Int("sent", x.attemptsSent).Int("counted", x.arrivals.counted).
		Bool("mayHaveRun", x.mayHaveRun).Send()
	x.retriesEnded = !retry
	return retry
}

// retryDecision returns whether to make another attempt after err, and the reason for the log.
func (x *exchange) retryDecision(ctx context.Context, err error) (retry bool, reason string) {
	switch {
	case ctx.Err() != nil:
		return false, "timeUp"
	case x.beyondLast:
		return false, "insideEvent"
	case errors.Is(err, placement.ErrNoUpstream):
		return false, "noUpstream"
	case errors.Is(err, placement.ErrLimited):
		return false, "limited"
	case errors.Is(err, placement.ErrPaused):
		return false, "paused"
	case errors.Is(err, errAttemptsExhausted):
		return false, "noAttempt"
	case errors.Is(err, errQuarantined):
		return false, "quarantined"
	case errors.Is(err, errBudgetExhausted):
		return false, "noBudget"
	case errors.Is(err, errOverShare):
		return false, "overShare"
	case errors.Is(err, placement.ErrTooLate):
		return false, "tooLate"
	case x.unreachable >= maxUnreachable, x.unsent >= maxUnsent:
		return false, "unreachable"
	case errors.Is(err, fighollow.ErrNotRun):
		return true, "notRun"
	case x.mayCrashEngines():
		return false, "quarantined"
	case !x.mayHaveRun:
		return true, "promptOnly"
	case x.mayRepeat():
		return true, "mayRepeat"
	}
	return false, "mayHaveRun"
}
