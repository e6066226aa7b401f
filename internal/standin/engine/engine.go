// Package engine is a stand-in for an inference engine of the platform. It serves the protocol of internal/engine with continuous
// batching, and records the attempts and orders that it receives. A token depends only on the prompt and the index of the token,
// so that tests can check resumed and moved answers exactly.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options configure an Engine. Zero values select the defaults.
type Options struct {
	Address string // IP:port at which other engines fetch KV caches from this one
	Slots   int    // maximum batch size; default 8
	// PrefillRate is the prompt tokens per second of the whole engine; default 200,000.
	PrefillRate float64
	// DecodeRate is the output tokens per second of each slot; default 2,000.
	DecodeRate float64
	// StopAfter ends each answer at this many tokens with finish reason "stop"; 0 means that only MaxTokens ends it.
	StopAfter   int
	CacheBlocks int           // capacity of the prefix cache in blocks of BlockTokens; default 64
	ChangeTime  time.Duration // duration of a change of model or role; default 200 ms
	ChecksFence bool          // refuse orders with a fencing token below the highest seen
	// InterruptsWork accepts orders while requests are in flight, and interrupts those. By default such orders are refused.
	InterruptsWork bool
	LoadLag        time.Duration // delay of the reported load; default 0
	EventLag       time.Duration // delay before a cache event is reported; default 0
	EventGap       int           // each EventGap-th cache event is dropped; 0 drops none
	// Initial is the assignment at the start. Without a model, the engine starts empty.
	Initial fighollow.Assignment
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = 200_000
	}
	if o.DecodeRate == 0 {
		o.DecodeRate = 2000
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = 64
	}
	if o.ChangeTime == 0 {
		o.ChangeTime = 200 * time.Millisecond
	}
	return o
}

// stepInterval is the time between two steps of the batch.
const stepInterval = 2 * time.Millisecond

// Engine is a stand-in for an inference engine. It implements http.Handler and is safe for concurrent use. Close stops its
// goroutine.
type Engine struct {
	opts Options
	mux  *http.ServeMux
	wake chan struct{} // capacity 1; signals that the batch has work
	done chan struct{} // closed by Close
	once sync.Once

	mu          sync.Mutex
	incarnation *incarnation
	record      Record
	gates       map[string]*gate
	lastEvent   uint64 // sequence number of the newest cache event; kept across crashes
}

// incarnation is the state that a crash loses.
type incarnation struct {
	ctx           context.Context // cancelled by a crash
	cancel        context.CancelFunc
	streamCtx     context.Context // cancelled when the open streams are closed
	cancelStreams context.CancelFunc
	started       time.Time
	phase         fighollow.Phase
	assignment    fighollow.Assignment
	highestFence  uint64 // highest fencing token of the accepted orders
	attempts      map[string]*attempt
	active        []*attempt // awaiting KV, queued and running, in the order of arrival
	ended         []*attempt // resumable until pruned, in the order of their end
	cache         *prefixCache
	exports       map[string]export // by handle
	loadHistory   []loadSample
	lastHandle    int // number of the newest exported KV cache
	lastChange    int // number of the newest change of model or role
	changeTimer   *time.Timer
}

// New starts a stand-in. The caller must close it.
func New(opts Options) *Engine {
	e := &Engine{
		opts:  opts.withDefaults(),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		gates: make(map[string]*gate),
	}
	e.incarnation = e.newIncarnation()
	if opts.Initial.Model != "" {
		e.incarnation.phase, e.incarnation.assignment, e.incarnation.highestFence = fighollow.PhaseReady, opts.Initial, opts.Initial.Fence
	}
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("GET /state", e.serveState)
	e.mux.HandleFunc("POST /order", e.serveOrder)
	e.mux.HandleFunc("POST /generate", e.serveGenerate)
	e.mux.HandleFunc("POST /resume", e.serveResume)
	e.mux.HandleFunc("POST /cancel", e.serveCancel)
	e.mux.HandleFunc("GET /events", e.serveEvents)
	e.mux.HandleFunc("GET /kv/{handle}", e.serveExport)
	e.mux.HandleFunc("GET /record", e.serveRecord)
	e.mux.HandleFunc("POST /control", e.serveControl)
	go e.run()
	return e
}

func (e *Engine) newIncarnation() *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	streamCtx, cancelStreams := context.WithCancel(ctx)
	return &incarnation{
		ctx: ctx, cancel: cancel, streamCtx: streamCtx, cancelStreams: cancelStreams, started: time.Now(), phase: fighollow.PhaseEmpty,
		attempts: make(map[string]*attempt), exports: make(map[string]export),
		cache: newPrefixCache(e.opts.CacheBlocks),
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close stops the engine. Requests in flight fail as in a crash.
func (e *Engine) Close() {
	e.once.Do(func() {
		close(e.done)
		e.Crash()
	})
}

// Crash simulates a crash and an immediate restart: open streams break, and the engine is empty afterwards.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range append([]*attempt(nil), e.incarnation.active...) {
		e.finish(a, OutcomeInterrupted)
	}
	e.incarnation.cancel()
	if e.incarnation.changeTimer != nil {
		e.incarnation.changeTimer.Stop()
	}
	started := e.incarnation.started
	e.incarnation = e.newIncarnation()
	// Clients detect a restart by a changed StartedMs, so it must differ even within the same millisecond.
	if !e.incarnation.started.Truncate(time.Millisecond).After(started) {
		e.incarnation.started = started.Add(time.Millisecond)
	}
	e.record.Crashes++
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run advances the batch in steps while attempts are active.
func (e *Engine) run() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	last := time.Now()
	for {
		if !e.busy() {
			select {
			case <-e.wake:
				last = time.Now()
			case <-e.done:
				return
			}
		}
		select {
		case now := <-t.C:
			e.mu.Lock()
			e.step(now.Sub(last))
			e.mu.Unlock()
			last = now
		case <-e.done:
			return
		}
	}
}

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.incarnation.active) > 0
}

type loadSample struct {
	at      time.Time
	running int
}

const maxLoadSamples = 4096

// recordLoad appends the present load to the history that delayed reports read. e.mu must be held.
func (e *Engine) recordLoad() {
	inc := e.incarnation
	inc.loadHistory = append(inc.loadHistory, loadSample{at: time.Now(), running: len(inc.active)})
	if len(inc.loadHistory) > maxLoadSamples {
		inc.loadHistory = append(inc.loadHistory[:0], inc.loadHistory[maxLoadSamples/2:]...)
	}
}

// runningAt returns the number of active requests at the time lag before now. The mu of the engine must be held.
func (inc *incarnation) runningAt(now time.Time, lag time.Duration) int {
	for i := len(inc.loadHistory) - 1; i >= 0; i-- {
		if !inc.loadHistory[i].at.After(now.Add(-lag)) {
			return inc.loadHistory[i].running
		}
	}
	return 0
}

// State returns the state that the engine reports to its clients.
func (e *Engine) State() fighollow.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	s := fighollow.EngineState{
		Phase: inc.phase, Assignment: inc.assignment, Slots: e.opts.Slots,
		Running: inc.runningAt(time.Now(), e.opts.LoadLag), StartedMs: inc.started.UnixMilli(),
	}
	if e.opts.ChecksFence {
		s.HighestFence = inc.highestFence
	}
	return s
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	if e.wait(r.Context(), StepState) {
		writeJSON(w, http.StatusOK, e.State())
	}
}
