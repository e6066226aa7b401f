package fighollow

import "context"

// Role is the part of a request that an engine serves.
type Role string

// Roles of an engine. Any role can run whole requests as overflow; the role says what it is sent first.
const (
	RolePrefill Role = "prefill" // computes prompts and exports their KV cache
	RoleDecode  Role = "decode"  // imports KV cache and generates tokens
	RoleBoth    Role = "both"    // runs whole requests
	RoleNone    Role = ""        // an engine with no model loaded
)

// Assignment is a full order for one engine. It is always sent whole, never as a partial change.
type Assignment struct {
	Role         Role     `json:"role" msgpack:"role"`
	Model        string   `json:"model" msgpack:"model"`
	ModelVersion string   `json:"modelVersion" msgpack:"modelVersion"`
	Adapters     []string `json:"adapters,omitempty" msgpack:"adapters,omitempty"`
	// Fence is the plan revision that last changed this assignment; it grows with every change.
	Fence uint64 `json:"fence" msgpack:"fence"`
}

// SameWork reports whether both assignments ask for the same role, model, version and adapters, whatever their fences.
func (a Assignment) SameWork(b Assignment) bool {
	if a.Role != b.Role || a.Model != b.Model || a.ModelVersion != b.ModelVersion || len(a.Adapters) != len(b.Adapters) {
		return false
	}
	for i := range a.Adapters {
		if a.Adapters[i] != b.Adapters[i] {
			return false
		}
	}
	return true
}

// Phase is the condition of an engine.
type Phase string

// Phases of an engine.
const (
	PhaseReady    Phase = "ready"    // serves its assignment
	PhaseChanging Phase = "changing" // loads or changes role; takes no work
	PhaseEmpty    Phase = "empty"    // has no assignment, as after a crash
)

// EngineState is what an engine reports about itself.
type EngineState struct {
	Phase      Phase      `json:"phase" msgpack:"phase"`
	Assignment Assignment `json:"assignment" msgpack:"assignment"`
	// HighestFence is the highest fencing number seen; 0 from an engine that ignores fencing numbers.
	HighestFence uint64 `json:"highestFence" msgpack:"highestFence"`
	// Slots is how many requests the engine batches at once.
	Slots int `json:"slots" msgpack:"slots"`
	// Running is how many requests it runs now. Like all of a load report it can lag.
	Running int `json:"running" msgpack:"running"`
	// StartedMs is when the engine process started, Unix milliseconds; a change of it shows a restart.
	StartedMs int64 `json:"startedMs" msgpack:"startedMs"`
}

// RequestPhase is the part of a request that one engine is asked to do.
type RequestPhase string

// Parts of a request.
const (
	RequestWhole   RequestPhase = "whole"   // prompt and output
	RequestPrefill RequestPhase = "prefill" // prompt only; the result is a KVRef
	RequestDecode  RequestPhase = "decode"  // output only, from an imported KV cache
)

// KVRef names an exported KV cache. The engine that imports it fetches it from the exporting engine directly.
type KVRef struct {
	Address string `json:"address" msgpack:"address"` // IP:port of the exporting engine
	Handle  string `json:"handle" msgpack:"handle"`   // the exporter's name for the cache
	Tokens  int    `json:"tokens" msgpack:"tokens"`   // prompt tokens that it covers
}

// GenerateRequest asks an engine to run one attempt of a request.
type GenerateRequest struct {
	// ID is the attempt id; the engine resumes and cancels by it and never runs one id twice.
	ID           string       `json:"id" msgpack:"id"`
	Model        string       `json:"model" msgpack:"model"`
	Adapter      string       `json:"adapter,omitempty" msgpack:"adapter,omitempty"`
	Phase        RequestPhase `json:"phase" msgpack:"phase"`
	Prompt       string       `json:"prompt" msgpack:"prompt"`
	PromptTokens int          `json:"promptTokens" msgpack:"promptTokens"`
	MaxTokens    int          `json:"maxTokens" msgpack:"maxTokens"`
	// Priority orders requests within the engine; higher goes first.
	Priority int `json:"priority" msgpack:"priority"`
	// Emitted is output that an earlier attempt has already delivered, and Offset its length in tokens. The engine
	// continues with the token at index Offset.
	Emitted string `json:"emitted,omitempty" msgpack:"emitted,omitempty"`
	Offset  int    `json:"offset,omitempty" msgpack:"offset,omitempty"`
	// KV is the cache to import for RequestDecode; nil otherwise.
	KV *KVRef `json:"kv,omitempty" msgpack:"kv,omitempty"`
}

// Token is one element of an engine's answer.
type Token struct {
	Index int    `json:"index" msgpack:"index"` // position in the whole output, from 0
	Text  string `json:"text" msgpack:"text"`
}

// GenerateResult closes an engine's answer.
type GenerateResult struct {
	FinishReason string `json:"finishReason" msgpack:"finishReason"` // "stop" or "length"; "prefill" for RequestPrefill
	PromptTokens int    `json:"promptTokens" msgpack:"promptTokens"`
	CachedTokens int    `json:"cachedTokens" msgpack:"cachedTokens"` // prompt tokens found in the prefix cache
	OutputTokens int    `json:"outputTokens" msgpack:"outputTokens"`
	KV           *KVRef `json:"kv,omitempty" msgpack:"kv,omitempty"` // set for RequestPrefill
}

// TokenStream is an answer in progress. It is not safe for concurrent use.
type TokenStream interface {
	// Next returns the next token, io.EOF after the last token of a whole answer, or another error when the answer
	// broke off.
	Next() (Token, error)
	// Result returns the closing part of the answer; it is valid only after Next returned io.EOF.
	Result() GenerateResult
	// Close releases the stream. It does not cancel the engine's work.
	Close() error
}

// CacheEvent tells that an engine added or evicted a cached piece of a prompt. Events come late and with gaps.
type CacheEvent struct {
	Seq     uint64 `json:"seq" msgpack:"seq"`
	Piece   uint64 `json:"piece" msgpack:"piece"` // chained hash of the prompt up to the end of the piece
	Evicted bool   `json:"evicted,omitempty" msgpack:"evicted,omitempty"`
}

// Engine is a platform model engine. Implementations are safe for concurrent use.
type Engine interface {
	// State returns the engine's report of itself.
	State(ctx context.Context) (EngineState, error)
	// Order asks the engine to take an assignment and returns when the engine has begun the change, not when it has
	// finished. Errors: ErrStaleFence, ErrBusy, ErrUnavailable (not taken), ErrUnknownOutcome.
	Order(ctx context.Context, a Assignment) error
	// Generate starts an attempt. ErrNotRun means that the engine did not start it; ErrUnknownOutcome that it may have.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Resume continues the answer of a running attempt from a token index; ErrNotFound if the engine has no such attempt.
	Resume(ctx context.Context, id string, offset int) (TokenStream, error)
	// Cancel stops an attempt and frees its slot. Cancelling an unknown id is no error.
	Cancel(ctx context.Context, id string) error
	// CacheEvents returns events with a number above after, oldest first.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}
