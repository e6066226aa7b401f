package ledger

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// HolderOptions configures a Holder. The zero value of a field selects its default.
type HolderOptions struct {
	KeyLifetime     time.Duration // age above which a key is refused; default 1 h
	ClockTolerance  time.Duration // largest difference between the clocks of processes; default 2 s
	MaxAnswerBytes  int           // largest stored answer; default 64 KiB
	MaxAnswersBytes int           // total of stored answers; default 32 MiB
	MaxKeys         int           // records kept; default 100,000, new keys above it are refused
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

// delegationID identifies a delegation by the stopped process that made it.
type delegationID struct {
	from      string
	startedMs int64
}

// Holder keeps the records of the keys that one process holds and decides claims of them. It starts empty and refuses
// all claims until Register. Its methods are safe for concurrent use.
type Holder struct {
	id        string
	startedMs int64
	opts      HolderOptions

	mu         sync.Mutex
	registered bool
	stopped    bool
	latestMs   int64 // latest time passed in; expiry must not go back when the clock does
	sweptMs    int64
	records    map[recordKey]*Record
	// completeFromMs holds, for each delegation, the creation time from which all granted keys are in records.
	completeFromMs map[delegationID]int64
	received       map[delegationID]int // number of records received in incomplete transfers
	answers        answerQueue
}

// NewHolder returns the holder of a process that starts now.
func NewHolder(opts HolderOptions, id string, now time.Time) *Holder {
	return &Holder{
		id: id, startedMs: now.UnixMilli(), opts: opts.withDefaults(),
		records:        make(map[recordKey]*Record),
		completeFromMs: make(map[delegationID]int64),
		received:       make(map[delegationID]int),
	}
}

// StartedMs returns the start time in Unix milliseconds, which distinguishes this process from earlier ones with its
// id.
func (h *Holder) StartedMs() int64 { return h.startedMs }

// Register allows the holder to grant keys. Before calling it, the caller must ensure that no earlier process with this
// id can still record a delegation, and that the epochs passed to Claim from now on include all delegations recorded.
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

// Claim decides a claim, with e as the newest epochs that this process has. A repeated claim by the request that was
// granted the key gets the same grant, which is safe because a request leads to at most one dispatch sequence.
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
	assigned, ok := e.Lookup(c.Workspace, key)
	if !ok || assigned.Holder != h.id {
		return refuse("the holder does not know that it holds the key", retryMs)
	}
	if key.CreatedMs < h.latestMs-h.opts.KeyLifetime.Milliseconds() {
		return refuse("the key is too old", 0)
	}
	// A key from the future that is granted now could be granted again by the next process with this id, which may start
	// before the key's creation time.
	if ahead := key.CreatedMs - nowMs; ahead > 0 {
		if ahead > h.opts.ClockTolerance.Milliseconds() {
			return refuse("the key was created in the future", 0)
		}
		return ClaimReply{WaitMs: ahead}
	}
	if r := h.records[recordKey{c.Workspace, key.ID}]; r != nil {
		return h.claimExisting(r, c.Request)
	}
	if key.CreatedMs < h.completeFrom(assigned) {
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

// completeFrom returns the creation time from which records include all granted keys of an assignment.
func (h *Holder) completeFrom(a Assignment) int64 {
	if a.From == "" {
		return h.startedMs + h.opts.ClockTolerance.Milliseconds()
	}
	id := delegationID{a.From, a.FromStartedMs}
	fromMs, ok := h.completeFromMs[id]
	if !ok {
		// The transfer went to an earlier process with this id. The delegating holder stopped before it recorded the
		// delegation, so it granted no key that is created after the present time.
		fromMs = h.latestMs + h.opts.ClockTolerance.Milliseconds()
		h.completeFromMs[id] = fromMs
	}
	return fromMs
}

// claimExisting decides a claim of a key that has a record.
func (h *Holder) claimExisting(r *Record, request string) ClaimReply {
	switch {
	case r.State == Granted && r.Request == request:
		return ClaimReply{Granted: true}
	case r.State == Granted:
		return ClaimReply{Refusal: &fighollow.Refusal{
			Code: fighollow.CodeKeyInProgress, Message: "a request with this key is still running",
			Outcome: fighollow.OutcomeUnknown, RetryAfterMs: retryMs,
		}}
	case r.State == Free && r.Request == request:
		// A claim that arrives after the settle of its request: the request has ended and must not run under this id again.
		return refuse("the request has ended", 0)
	case r.State == Free:
		r.Request, r.State = request, Granted
		return ClaimReply{Granted: true}
	case r.State == Completed && r.Answer != nil:
		return ClaimReply{Answer: r.Answer}
	case r.State == Completed:
		return ClaimReply{Refusal: &fighollow.Refusal{
			Code: fighollow.CodeKeyAlreadyRun, Message: "a request with this key has run and its answer is not kept",
			Outcome: fighollow.OutcomeUnknown,
		}}
	}
	return refuse("a request with this key may have run", 0)
}

// Settle records the outcome of a request. It returns false and changes nothing when the request does not hold a grant
// of the key here, for example after a restart or when the message is repeated.
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
	case fighollow.OutcomeCompleted:
		r.State = Completed
		h.storeAnswer(r, s.Answer)
	case fighollow.OutcomeNotRun:
		r.State = Free
	default:
		r.State = Unknown
	}
	return true
}

const retryMs = 1000

func refuse(message string, retryAfterMs int64) ClaimReply {
	return ClaimReply{Refusal: unknownKey(message, retryAfterMs)}
}

func unknownKey(message string, retryAfterMs int64) *fighollow.Refusal {
	return &fighollow.Refusal{
		Code: fighollow.CodeKeyUnknown, Message: message, Outcome: fighollow.OutcomeUnknown, RetryAfterMs: retryAfterMs,
	}
}
