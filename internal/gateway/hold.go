package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/shortage"
)

// maxHoldStep is the longest pause after which a stream that waits for a decode engine asks again what is known of it.
const maxHoldStep = 300 * time.Millisecond

// awaitDecode waits for a decode engine of the software version at which the stream must go on, if none is left after an attempt that ended
// with err. It returns false if there is another reason, or if the engine comes too late for the caller.
func (x *exchange) awaitDecode(ctx context.Context, err error) bool {
	now := time.Now()
	return x.lacksDecode(now, err) && x.hold(ctx, now, x.lost)
}

// lacksDecode reports whether no decode engine is left that could go on with the stream, and one that changes its role could.
func (x *exchange) lacksDecode(now time.Time, err error) bool {
	return x.g.opts.Shortages != nil && x.software != "" && errors.Is(err, placement.ErrNoUpstream) && !x.retriesEnded && !x.beyondLast &&
		(!x.mayHaveRun || x.mayRepeat() && !x.mayCrashEngines()) && !x.arrivals.isExhausted(now, x.route.MaxAttempts) &&
		x.pool.CanServe(x.software) && !x.hasOtherDecode(now, x.lost)
}

// hasOtherDecode reports whether there is a decode engine of the stream's software version that is not among these.
func (x *exchange) hasOtherDecode(now time.Time, ids []string) bool {
	return slices.ContainsFunc(x.pool.DecodeEngines(now, x.software), func(id string) bool { return !slices.Contains(ids, id) })
}

// awaitAnnounced waits for an engine that the holder of the role lease has announced, before the first attempt at a stream that must go on at
// its software version: the decode engines that this entry knows don't answer, and attempts at engines that change their roles would use up
// those that the route allows. It returns false if the engine comes too late for the caller.
func (x *exchange) awaitAnnounced(ctx context.Context) bool {
	if x.g.opts.Shortages == nil || x.software == "" {
		return true
	}
	now := time.Now()
	if _, ok := x.g.opts.Shortages.Announced(now, x.shortageKey()); !ok {
		return true
	}
	return x.hold(ctx, now, x.pool.DecodeEngines(now, x.software))
}

func (x *exchange) shortageKey() shortage.Key {
	return shortage.Key{Service: x.service, Version: x.software}
}

// hold holds the stream until there is a decode engine that is not among those which don't answer. It returns false if that is too late.
func (x *exchange) hold(ctx context.Context, began time.Time, silent []string) bool {
	x.g.holding.begin()
	defer x.g.holding.end()
	ready := x.awaitEngine(ctx, silent)
	now := time.Now()
	event.StreamHeld.Log(&x.log).Str("software", x.software).Bool("goesOn", ready).Bool("begun", x.headerSent).
		Int64("heldMs", now.Sub(began).Milliseconds()).Int64("leftMs", x.deadline.Sub(now).Milliseconds()).Send()
	if ready {
		x.g.metrics.count("streams.held")
		x.tried = slices.Clone(x.lost) // the others can have changed their roles
	}
	return ready
}

// awaitEngine returns true when there is a decode engine that is not among silent, and false if the stream is not to be held any longer.
func (x *exchange) awaitEngine(ctx context.Context, silent []string) bool {
	for ctx.Err() == nil {
		registered, answered := x.pool.Changed(), x.g.opts.Shortages.Changed()
		now := time.Now()
		if x.hasOtherDecode(now, silent) {
			return true
		}
		d := shortage.Decide(now, x.g.opts.Shortages.Report(now, x.shortageKey()), x.engineWait())
		if !d.Hold {
			x.engineDelay = d.RetryAfter
			return false
		}
		timer := time.NewTimer(min(maxHoldStep, d.Until.Sub(now)))
		select {
		case <-ctx.Done():
		case <-registered:
		case <-answered:
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// engineWait describes the stream to shortage.Decide.
func (x *exchange) engineWait() shortage.Wait {
	patience := x.route.Patience
	if patience == 0 {
		patience = x.deadline.Sub(x.call.Arrived)
	}
	return shortage.Wait{
		Deadline: x.deadline, GivesUp: later(x.call.Arrived, x.lastEvent).Add(patience), Patience: patience, Begun: x.headerSent,
		RoleChange: x.traits.Engine.RoleSwitch,
	}
}

// holding counts the streams that wait for a decode engine. The zero value has none. It is safe for concurrent use.
type holding struct {
	mu    sync.Mutex
	held  int
	began chan struct{} // closed when a stream begins to wait; nil if nobody waits for that
}

func (h *holding) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held++
	if h.began != nil {
		close(h.began)
		h.began = nil
	}
}

func (h *holding) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held--
}

// await returns when a stream waits, or when ctx is done.
func (h *holding) await(ctx context.Context) {
	h.mu.Lock()
	if h.held > 0 {
		h.mu.Unlock()
		return
	}
	if h.began == nil {
		h.began = make(chan struct{})
	}
	began := h.began
	h.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-began:
	}
}
