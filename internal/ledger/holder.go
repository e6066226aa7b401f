package ledger

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// HolderOptions adjust a Holder; the zero value means the defaults.
type HolderOptions struct {
	KeyLifetime     time.Duration // age from which a key is refused; default 1 h
	ClockTolerance  time.Duration // bound of the difference between clocks of processes; default 2 s
	MaxAnswerBytes  int           // largest stored answer; default 64 KiB
	MaxAnswersBytes int           // all stored answers; default 32 MiB
	MaxKeys         int           // remembered keys; default 100,000, a claim above it is refused
}

// Defaults of HolderOptions.
const (
	DefaultKeyLifetime     = time.Hour
	DefaultClockTolerance  = 2 * time.Second
	DefaultMaxAnswerBytes  = 64 << 10
	DefaultMaxAnswersBytes = 32 << 20
	DefaultMaxKeys         = 100_000
)

func (o HolderOptions) withDefaults() HolderOptions {
	if o.KeyLifetime == 0 {
		o.KeyLifetime = DefaultKeyLifetime
	}
	if o.ClockTolerance == 0 {
		o.ClockTolerance = DefaultClockTolerance
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.MaxAnswersBytes == 0 {
		o.MaxAnswersBytes = DefaultMaxAnswersBytes
	}
	if o.MaxKeys == 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	return o
}

type recordKey struct {
	workspace string
	id        uuid.UUID
}

// share names the keys that one stopped process delegated.
type share struct {
	from      string
	startedMs int64
}

// Holder is the memory of one key holder. It starts empty and vouches for nothing until Register. Its methods are safe
// for concurrent use.
type Holder struct {
	id        string
	startedMs int64
	opts      HolderOptions

	mu         sync.Mutex
	registered bool
	stopped    bool
	latestMs   int64 // latest time seen; expiry must not go back with the clock
	sweptMs    int64
	records    map[recordKey]*Record
	// vouchFrom holds, for each delegated share, the creation time from which all granted keys are in records.
	vouchFrom map[share]int64
	staged    map[share]int // records of incomplete transfers
	answers   answerQueue
}

// NewHolder returns the memory of a process that starts now.
func NewHolder(opts HolderOptions, id string, now time.Time) *Holder {
	return &Holder{
		id: id, startedMs: now.UnixMilli(), opts: opts.withDefaults(),
		records:   make(map[recordKey]*Record),
		vouchFrom: make(map[share]int64),
		staged:    make(map[share]int),
	}
}

// StartedMs returns the start time that tells this process apart from earlier ones with its id.
func (h *Holder) StartedMs() int64 { return h.startedMs }

// Register lets the holder vouch. Before it, the caller makes sure that no earlier process with this id can still record
// a delegation, and that the epochs passed to Claim from now on include all that were recorded.
func (h *Holder) Register() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registered = true
}

// Registered reports whether Register was called.
func (h *Holder) Registered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registered
}

// Claim decides on a claim, with e as the newest epochs that this process knows. A repeated claim of the request that
// holds the key gets the same grant, which is safe because a request leads to one dispatch sequence at most.
func (h *Holder) Claim(now time.Time, e Epochs, c ClaimRequest) ClaimReply {
	key, err := ParseKey(c.Key)
	if err != nil {
		return ClaimReply{Refusal: err.(*fighollow.Refusal)} //nolint:errorlint // ParseKey returns no other error
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	nowMs := now.UnixMilli()
	h.advance(nowMs)
	if h.stopped || !h.registered {
		return refuse("the holder of the key is starting or stopping", retryMs)
	}
	place, ok := e.Holder(c.Workspace, key)
	if !ok || place.Holder != h.id {
		return refuse("the holder does not know that it holds the key", retryMs)
	}
	if key.CreatedMs < h.latestMs-h.opts.KeyLifetime.Milliseconds() {
		return refuse("the key is too old", 0)
	}
	// A grant from the future could be given again by the next process with this id, whose start lies before it.
	if ahead := key.CreatedMs - nowMs; ahead > 0 {
		if ahead > h.opts.ClockTolerance.Milliseconds() {
			return refuse("the key was created in the future", 0)
		}
		return ClaimReply{WaitMs: ahead}
	}
	if r := h.records[recordKey{c.Workspace, key.ID}]; r != nil {
		return h.repeat(r, c.Request)
	}
	if key.CreatedMs < h.vouchesFrom(place) {
		return refuse("the key may have been granted before its holder started", 0)
	}
	if len(h.records) >= h.opts.MaxKeys {
		return refuse("the holder has no room for more keys", retryMs)
	}
	h.records[recordKey{c.Workspace, key.ID}] = &Record{
		Workspace: c.Workspace, ID: key.ID, CreatedMs: key.CreatedMs, Request: c.Request, State: Granted,
	}
	return ClaimReply{Granted: true}
}

// vouchesFrom returns the creation time from which all granted keys of a place are known.
func (h *Holder) vouchesFrom(p Place) int64 {
	if p.From == "" {
		return h.startedMs + h.opts.ClockTolerance.Milliseconds()
	}
	s := share{p.From, p.FromStartedMs}
	from, ok := h.vouchFrom[s]
	if !ok {
		// The transfer reached an earlier process with this id. The delegating holder had stopped before it recorded the
		// delegation, so it granted no key created after this moment.
		from = h.latestMs + h.opts.ClockTolerance.Milliseconds()
		h.vouchFrom[s] = from
	}
	return from
}

func (h *Holder) repeat(r *Record, request string) ClaimReply {
	switch {
	case r.State == Granted && r.Request == request:
		return ClaimReply{Granted: true}
	case r.State == Granted:
		return ClaimReply{Refusal: &fighollow.Refusal{
			Code: fighollow.CodeKeyInProgress, Message: "a request with this key is still running",
			Outcome: fighollow.Unknown, RetryAfterMs: retryMs,
		}}
	case r.State == Free && r.Request == request:
		// A claim that overtook nothing: its request has ended and must not run again under the same id.
		return refuse("the request has ended", 0)
	case r.State == Free:
		r.Request, r.State = request, Granted
		return ClaimReply{Granted: true}
	case r.State == Completed && r.Answer != nil:
		return ClaimReply{Answer: r.Answer}
	case r.State == Completed:
		return ClaimReply{Refusal: &fighollow.Refusal{
			Code: fighollow.CodeKeyAlreadyRun, Message: "a request with this key has run and its answer is not kept",
			Outcome: fighollow.Unknown,
		}}
	}
	return refuse("a request with this key may have run", 0)
}

// Settle takes the end of a request; false when the key is not granted to it here, as after a restart or a repeat of the
// message. Then nothing changes.
func (h *Holder) Settle(now time.Time, s SettleRequest) bool {
	key, err := ParseKey(s.Key)
	if err != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now.UnixMilli())
	r := h.records[recordKey{s.Workspace, key.ID}]
	if h.stopped || r == nil || r.Request != s.Request || r.State != Granted {
		return false
	}
	switch s.Outcome {
	case fighollow.Completed:
		r.State = Completed
		h.keepAnswer(r, s.Answer)
	case fighollow.NotRun:
		r.State = Free
	default:
		r.State = Unknown
	}
	return true
}

const retryMs = 1000

func refuse(why string, retryAfterMs int64) ClaimReply {
	return ClaimReply{Refusal: unknownKey(why, retryAfterMs)}
}

func unknownKey(why string, retryAfterMs int64) *fighollow.Refusal {
	return &fighollow.Refusal{
		Code: fighollow.CodeKeyUnknown, Message: why, Outcome: fighollow.Unknown, RetryAfterMs: retryAfterMs,
	}
}
