package fighollow

import (
	"context"
	"io"
	"time"
)

// PromptPart is a segment of a prompt that several requests can have in common. A prefix cache matches a part only
// together with all parts before it.
type PromptPart struct {
	ID     uint64 // identifies the content; given by the caller
	Tokens int    // length of the part
}

// Header holds the end-to-end header fields of a request or a response, which are forwarded unchanged. Keys have
// the canonical form of net/http.
type Header = map[string][]string

// Call is a request as received from a caller. It is read-only while it is served.
type Call struct {
	ID           string // from the caller; never empty
	Method       string // HTTP method
	Target       string // path and query, byte for byte
	Host         string
	Header       Header
	Body         []byte       // read completely
	Model        string       // empty if the caller named none
	Prompt       []PromptPart // in the order of the prompt; nil if unknown
	PromptTokens int          // length of the whole prompt; 0 if unknown
	// ResumeAfter is the id of the last event that the caller has received; empty for a stream from its start.
	ResumeAfter string
	// BegunBy is the id of the call that brought the caller the first event of the stream that it takes up; empty for a new stream.
	BegunBy string
	// Credentials are the values of the header that holds the caller's key, one for each time that it was sent. They are never logged.
	Credentials []string
	// Identity is what the key showed when the header had arrived, before the body was read; nil if no key was needed then.
	Identity *Identity
	Caller   string    // address of the caller's end of the connection
	Arrived  time.Time // when the header had been read
	Deadline time.Time // when the caller stops waiting
}

// Identity is on whose behalf an attempt is sent.
type Identity struct {
	// Checked reports that keys are required: the caller's key is not forwarded, and upstreams are told Workspace and nothing else that
	// the caller sent in its place.
	Checked   bool
	Workspace string // empty for a public route without a valid key
}

// KVCache refers to the KV cache of a prompt at the engine that computed it.
type KVCache struct {
	Address string // IP:port of the engine
	Handle  string // the engine's name for the cache
	Tokens  int    // prompt tokens that it covers
}

// Attempt is one dispatch of a call to one upstream.
type Attempt struct {
	Call     *Call
	Upstream Upstream
	Phase    RequestPhase
	// KV is the cache to import for RequestDecode; nil otherwise.
	KV *KVCache
	// FetchFrom is the address (IP:port) of an engine that has a longer prefix of the prompt in its cache, from which the
	// upstream can fetch it; empty for none.
	FetchFrom string
	// ResumeAfter overrides Call.ResumeAfter.
	ResumeAfter string
	Urgency     int       // from 0, served first, to 9; used by engines only
	Deadline    time.Time // when the sender stops waiting
	Identity    Identity
}

// Framing is how the end of a message's body is marked.
type Framing string

// Framings of HTTP/1 bodies.
const (
	FramingLength  Framing = "length"  // the header has the length
	FramingChunked Framing = "chunked" // a last chunk follows the body
	// FramingConnection means that the body ends with its connection, which also ends when the sender crashes.
	FramingConnection Framing = "connection"
)

// Reply is the start of an upstream's response: status and header, with the body still to be read. The receiver closes
// Body.
type Reply struct {
	Status int
	Header Header // without hop-by-hop fields
	// Length is the length of Body in bytes, or -1 if it is unknown: a chunked body, or one that ends with the connection.
	Length  int64
	Framing Framing
	Body    io.ReadCloser
	// NotRun reports that the upstream guarantees that it did not run the call and never will.
	NotRun bool
	// Misdirected reports that another instance answered at the address, or that the engine has another role. NotRun is
	// set as well.
	Misdirected bool
	// Announcement is not the upstream's if Misdirected is set.
	Announcement
	// KV refers to the cache that a successful RequestPrefill exported; nil otherwise. Body is consumed if it is set.
	KV *KVCache
}

// Dispatcher sends attempts to upstreams. Implementations are safe for concurrent use.
type Dispatcher interface {
	// Dispatch sends an attempt and returns once the status and header of the reply have arrived. Cancelling ctx cancels
	// the upstream's work, also after Dispatch has returned. Errors: ErrNotRun if nothing was sent, ErrUnknownOutcome if
	// the upstream may have run the attempt, ErrReplyMismatch if the reply belongs to another request.
	Dispatch(ctx context.Context, a *Attempt) (*Reply, error)
	// Release frees an exported KV cache that no engine will import. A cache that is already gone is not an error.
	Release(ctx context.Context, u Upstream, kv *KVCache) error
}

// EngineReport is the state that an engine reports. It can lag by some hundred milliseconds.
type EngineReport struct {
	Role           Role
	Changing       bool   // an order is being carried out
	AcceptedOrders uint64 // orders accepted since StartedMs
	StartedMs      int64  // start of the engine process, Unix milliseconds
	Queued         int    // requests that wait for a slot
	Running        int    // requests in the batch
	KVUsed         int    // tokens that cannot be evicted
	KVTotal        int    // capacity of the KV cache in tokens
}

// CacheChanges lists the changes of an engine's prefix cache after a position.
type CacheChanges struct {
	// Epoch identifies the run of the engine process. Positions of two epochs cannot be compared.
	Epoch string
	Next  uint64 // position after these changes, for the next call
	// Lost reports that the engine no longer has all changes between the position asked for and the first of Parts.
	Lost bool
	// Parts are in the order of the changes. Tokens is how much of the part the engine held after the change; 0 if it
	// was evicted.
	Parts []PromptPart
}

// CacheReader reads the prefix caches of engines. Changes are reported late, and some are never reported.
// Implementations are safe for concurrent use.
type CacheReader interface {
	// CacheChanges returns the changes after a position without waiting for new ones; 0 asks for all that the engine
	// still has. Any error means that nothing was read.
	CacheChanges(ctx context.Context, u Upstream, after uint64) (CacheChanges, error)
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Role           Role
	Holder         string // holder of the role lease
	Fence          uint64 // fencing token of the holder's lease
	ExpectedOrders uint64 // expected EngineReport.AcceptedOrders; the engine refuses the order if its count differs
}

// EngineControl sends orders to engines and reads their reports. Implementations are safe for concurrent use.
type EngineControl interface {
	// Report reads an engine's current report. Any error means that no report was read.
	Report(ctx context.Context, u Upstream) (EngineReport, error)
	// Order returns nil if the engine accepted the order or already has the role. Errors: ErrBusy, ErrStaleFence,
	// ErrConflict (the engine has accepted another number of orders, or another instance answered), ErrUnavailable (not
	// accepted), ErrInvalid (refused for any other reason) and ErrUnknownOutcome: the order may still be carried out
	// seconds later.
	Order(ctx context.Context, u Upstream, o RoleOrder) error
}

// Responder writes the response to one caller. It is not safe for concurrent use. An error means that the
// caller has disconnected, or has not read the response by the write deadline (os.ErrDeadlineExceeded).
type Responder interface {
	// Begin sends status and header. length is the body's length in bytes, or -1 if it is unknown.
	Begin(status int, header Header, length int64) error
	// Write sends the next part of the body. After Begin with length -1 each part is flushed at once.
	Write(p []byte) error
	// SetWriteDeadline sets the time at which writes fail.
	SetWriteDeadline(t time.Time)
	// Refuse responds with an error of the system itself. It is called instead of Begin.
	Refuse(r *Refusal)
	// Abort marks the response as incomplete: the connection is closed when the request's handler returns, so that the
	// caller cannot take a partial body for a complete one.
	Abort()
}
