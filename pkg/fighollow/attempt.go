package fighollow

import (
	"context"
	"io"
	"time"
)

// PromptPart is a piece of a prompt that requests may share. A part is found in a prefix cache only together with all
// parts before it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallHeader holds the header fields of a request or an answer that pass through unchanged.
type CallHeader = map[string][]string

// Call is a request as it arrived. It is not changed while it is served.
type Call struct {
	ID           string
	Method       string
	Target       string // path and query, byte for byte
	Host         string
	Header       CallHeader
	Body         []byte
	Model        string
	Prompt       []PromptPart
	PromptTokens int
	// ResumeAfter is the id of the last event that the caller has; empty at the start of a stream.
	ResumeAfter string
	Arrived     time.Time
	Deadline    time.Time // when the caller stops waiting
}

// KVCache names the KV cache of a prompt at the engine that computed it.
type KVCache struct {
	Address string
	Handle  string
	Tokens  int
}

// Attempt is one dispatch of a call to one upstream.
type Attempt struct {
	Call     *Call
	Upstream Upstream
	Phase    RequestPhase
	// KV is the cache to import for RequestDecode.
	KV *KVCache
	// FetchFrom is the address of an engine that holds a longer prefix of the prompt in its cache; empty for none.
	FetchFrom string
	// ResumeAfter replaces the call's own.
	ResumeAfter string
	Urgency     int // from 0, which goes first, to 9
	Deadline    time.Time
}

// Reply is the beginning of an upstream's answer. The receiver closes Body.
type Reply struct {
	Status int
	Header CallHeader // without fields that concern one connection
	// Length of Body, or -1 when it ends with the connection or in chunks.
	Length int64
	Body   io.ReadCloser
	// NotRun says that the upstream states that it did not run the call and never will.
	NotRun bool
	// Misdirected says that another instance answered, or that the engine has another role. NotRun is set as well.
	Misdirected bool
	// KV is the result of RequestPrefill.
	KV *KVCache
}

// Dispatcher sends attempts to upstreams. Implementations are safe for concurrent use.
type Dispatcher interface {
	// Dispatch sends an attempt and returns when the reply begins. The context's end cancels the upstream's work, also
	// after Dispatch has returned. Errors: ErrNotRun when nothing was sent, ErrUnknownOutcome when the upstream may
	// have run the attempt, ErrCrossed when the reply belongs to another request.
	Dispatch(ctx context.Context, a *Attempt) (*Reply, error)
	// Release frees the KV cache of a prompt that no engine will import.
	Release(ctx context.Context, u Upstream, kv *KVCache) error
}

// EngineReport is an engine's word about itself. It can lag by some hundred milliseconds.
type EngineReport struct {
	Role     Role
	Changing bool // an order is being carried out
	Orders   uint64
	Started  int64
	Queued   int
	Running  int
	KVUsed   int // tokens that cannot be evicted
	KVTotal  int
}

// CacheChanges is what changed in an engine's prefix cache after a position.
type CacheChanges struct {
	// Epoch names the run of the engine that counts positions.
	Epoch string
	Next  uint64 // position after these changes
	// Lost says that earlier changes are missing.
	Lost bool
	// Parts are in the order of their changes; Tokens is what the engine then held of a part, 0 for nothing.
	Parts []PromptPart
}

// CacheReader reads the prefix caches of engines. Changes arrive late, and some never do. Implementations are safe for
// concurrent use.
type CacheReader interface {
	// CacheChanges returns at once with the changes after a position, 0 for all that the engine remembers.
	CacheChanges(ctx context.Context, u Upstream, after uint64) (CacheChanges, error)
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Role   Role
	Holder string
	Fence  uint64 // fencing token of the holder's lease
	Orders uint64 // the order is refused when the engine has accepted another number of orders
}

// EngineControl sends orders to engines and reads their reports. Implementations are safe for concurrent use.
type EngineControl interface {
	Report(ctx context.Context, u Upstream) (EngineReport, error)
	// Order returns nil when the order was accepted or already holds. Errors: ErrBusy, ErrStaleFence, ErrConflict (the
	// engine has accepted another number of orders or is another instance), ErrUnavailable (not taken) and
	// ErrUnknownOutcome: it may still be carried out seconds later.
	Order(ctx context.Context, u Upstream, o RoleOrder) error
}

// Responder writes the answer to one caller. It is not safe for concurrent use. Errors say that the caller has left.
type Responder interface {
	// Begin sends status and header. A length of -1 is for bodies of unknown length.
	Begin(status int, header CallHeader, length int64) error
	// Write sends a part of the body at once.
	Write(p []byte) error
	// Refuse answers with a failure of the system's own. Nothing else was sent before.
	Refuse(r *Refusal)
	// Abort breaks the connection, so that the answer cannot be taken for a whole one. The connection ends when the
	// request's handler returns.
	Abort()
}
