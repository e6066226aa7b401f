// Package engine is a stand-in of a platform engine: it speaks the protocol of internal/engine, batches continuously and
// keeps a record of what it ran. Its tokens depend on the prompt and the token's index only, so that a resumed or moved
// answer can be checked exactly.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options adjust an Engine; the zero value means the defaults.
type Options struct {
	Address string // IP:port under which other engines fetch KV caches from this one
	Slots   int    // requests batched at once; default 8
	// PrefillRate is prompt tokens per second of the whole engine; default 200,000.
	PrefillRate float64
	// DecodeRate is output tokens per second of each slot; default 2,000.
	DecodeRate float64
	// StopAfter ends every answer with reason "stop" at this many tokens; 0 means that only MaxTokens ends one.
	StopAfter   int
	CacheBlocks int           // blocks of BlockTokens in the prefix cache; default 64
	Change      time.Duration // time that a change of model or role takes; default 200 ms
	ChecksFence bool          // refuse orders with a fencing number below the highest seen
	// InterruptsWork takes orders while requests run, and breaks those off. By default such an order is refused.
	InterruptsWork bool
	LoadLag        time.Duration // age of the reported load; default 0
	EventLag       time.Duration // age of the newest cache event reported; default 0
	EventGap       int           // each EventGap-th cache event is lost; 0 means none
	// Initial is an assignment held from the start; the zero value means an empty engine.
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
	if o.Change == 0 {
		o.Change = 200 * time.Millisecond
	}
	return o
}

// stepTime is the time between two steps of the batch.
const stepTime = 2 * time.Millisecond

// Engine is the stand-in. It is an http.Handler, safe for concurrent use. Close ends its goroutine.
type Engine struct {
	opts Options
	mux  *http.ServeMux
	wake chan struct{} // capacity 1; signals work for the batch
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	life    *life
	record  Record
	gates   map[string]*gate
	eventNo uint64
}

// life is the state that a crash loses.
type life struct {
	ctx       context.Context // ends with the crash
	end       context.CancelFunc
	streams   context.Context // ends when open answers are cut
	cut       context.CancelFunc
	started   time.Time
	phase     fighollow.Phase
	now       fighollow.Assignment
	fence     uint64
	attempts  map[string]*attempt
	active    []*attempt // waiting and running, in the order of arrival
	ended     []*attempt // that can still be resumed, in the order of their end
	cache     *prefixCache
	exports   map[string]export
	loads     []loadSample
	handleNo  int
	changeNo  int
	changeEnd *time.Timer
}

// New returns a running stand-in.
func New(opts Options) *Engine {
	e := &Engine{
		opts:  opts.withDefaults(),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		gates: make(map[string]*gate),
	}
	e.life = e.newLife()
	if opts.Initial.Model != "" {
		e.life.phase, e.life.now, e.life.fence = fighollow.PhaseReady, opts.Initial, opts.Initial.Fence
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

func (e *Engine) newLife() *life {
	ctx, cancel := context.WithCancel(context.Background())
	streams, cut := context.WithCancel(ctx)
	return &life{
		ctx: ctx, end: cancel, streams: streams, cut: cut, started: time.Now(), phase: fighollow.PhaseEmpty,
		attempts: make(map[string]*attempt), exports: make(map[string]export),
		cache: newPrefixCache(e.opts.CacheBlocks),
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close ends the engine as a crash would, without a restart.
func (e *Engine) Close() {
	e.once.Do(func() {
		close(e.done)
		e.Crash()
	})
}

// Crash loses the engine's state as a restart would: open answers break off and the engine is empty.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range append([]*attempt(nil), e.life.active...) {
		e.finish(a, OutcomeInterrupted)
	}
	e.life.end()
	if e.life.changeEnd != nil {
		e.life.changeEnd.Stop()
	}
	started := e.life.started
	e.life = e.newLife()
	// A restart within the same millisecond must still be seen as one.
	if !e.life.started.Truncate(time.Millisecond).After(started) {
		e.life.started = started.Add(time.Millisecond)
	}
	e.record.Crashes++
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run advances the batch in steps while there is work.
func (e *Engine) run() {
	t := time.NewTicker(stepTime)
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
	return len(e.life.active) > 0
}

type loadSample struct {
	at      time.Time
	running int
}

const maxLoadSamples = 4096

// noteLoad keeps the load for lagging reports. e.mu is held.
func (e *Engine) noteLoad() {
	l := e.life
	l.loads = append(l.loads, loadSample{at: time.Now(), running: len(l.active)})
	if len(l.loads) > maxLoadSamples {
		l.loads = append(l.loads[:0], l.loads[maxLoadSamples/2:]...)
	}
}

// reported returns the running requests as of LoadLag ago. e.mu is held.
func (l *life) reported(now time.Time, lag time.Duration) int {
	for i := len(l.loads) - 1; i >= 0; i-- {
		if !l.loads[i].at.After(now.Add(-lag)) {
			return l.loads[i].running
		}
	}
	return 0
}

// State returns what the engine reports about itself.
func (e *Engine) State() fighollow.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	s := fighollow.EngineState{
		Phase: l.phase, Assignment: l.now, Slots: e.opts.Slots,
		Running: l.reported(time.Now(), e.opts.LoadLag), StartedMs: l.started.UnixMilli(),
	}
	if e.opts.ChecksFence {
		s.HighestFence = l.fence
	}
	return s
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	if e.wait(r.Context(), StepState) {
		writeJSON(w, http.StatusOK, e.State())
	}
}
