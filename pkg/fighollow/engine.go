package fighollow

import "context"

// Role is the phase of requests that an engine serves.
type Role string

// Roles of an engine. An engine of any role can run whole requests as overflow; the role decides which requests it is
// preferred for.
const (
	RolePrefill Role = "prefill" // computes prompts and exports their KV cache
	RoleDecode  Role = "decode"  // imports KV cache and generates tokens
	RoleBoth    Role = "both"    // runs whole requests
	RoleNone    Role = ""        // an engine with no model loaded
)

// Assignment is the complete desired state of one engine. It is always sent as a whole, never as a partial change.
type Assignment struct {
	Role         Role     `json:"role" msgpack:"role"`
	Model        string   `json:"model" msgpack:"model"`
	ModelVersion string   `json:"modelVersion" msgpack:"modelVersion"`
	Adapters     []string `json:"adapters,omitempty" msgpack:"adapters,omitempty"`
	// Fence is the fencing token: the plan revision that last changed this assignment. It grows with every change.
	Fence uint64 `json:"fence" msgpack:"fence"`
}

// EqualIgnoringFence reports whether both assignments have the same role, model, version and adapters (in the same
// order). It ignores the fencing tokens.
func (a Assignment) EqualIgnoringFence(b Assignment) bool {
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

// Phase is the lifecycle phase of an engine.
type Phase string

// Phases of an engine.
const (
	PhaseReady    Phase = "ready"    // serves its assignment
	PhaseChanging Phase = "changing" // loads a model or changes its role; accepts no requests
	PhaseEmpty    Phase = "empty"    // has no assignment, as after a crash
)

// EngineState is the state that an engine reports.
type EngineState struct {
	Phase      Phase      `json:"phase" msgpack:"phase"`
	Assignment Assignment `json:"assignment" msgpack:"assignment"`
	// HighestFence is the highest fencing token that the engine has received; 0 from an engine that ignores fencing
	// tokens.
	HighestFence uint64 `json:"highestFence" msgpack:"highestFence"`
	// Slots is the maximum number of requests in the engine's batch.
	Slots int `json:"slots" msgpack:"slots"`
	// Running is the number of requests in the batch. Like all load figures it can lag.
	Running int `json:"running" msgpack:"running"`
	// StartedMs is when the engine process started, in Unix milliseconds; it changes with a restart.
	StartedMs int64 `json:"startedMs" msgpack:"startedMs"`
}

// RequestPhase is the part of a request that one engine is asked to run.
type RequestPhase string

// Phases of a request.
const (
	RequestWhole   RequestPhase = "whole"   // prompt and output
	RequestPrefill RequestPhase = "prefill" // prompt only; the result refers to the exported KV cache
	RequestDecode  RequestPhase = "decode"  // output only, from an imported KV cache
)

// KVRef refers to an exported KV cache. The engine that imports it fetches it directly from the exporting engine.
type KVRef struct {
	Address string `json:"address" msgpack:"address"` // IP:port of the exporting engine
	Handle  string `json:"handle" msgpack:"handle"`   // the exporter's name for the cache
	Tokens  int    `json:"tokens" msgpack:"tokens"`   // prompt tokens that it covers
}

// GenerateRequest asks an engine to run one attempt of a request.
type GenerateRequest struct {
	// ID is the attempt id. Resume and Cancel refer to it, and the engine never runs one id twice.
	ID           string       `json:"id" msgpack:"id"`
	Model        string       `json:"model" msgpack:"model"`
	Adapter      string       `json:"adapter,omitempty" msgpack:"adapter,omitempty"` // empty for none
	Phase        RequestPhase `json:"phase" msgpack:"phase"`
	Prompt       string       `json:"prompt" msgpack:"prompt"`
	PromptTokens int          `json:"promptTokens" msgpack:"promptTokens"`
	MaxTokens    int          `json:"maxTokens" msgpack:"maxTokens"` // bound of the whole output
	// Priority orders requests within the engine; a higher value is served first.
	Priority int `json:"priority" msgpack:"priority"`
	// Emitted is the output that earlier attempts have delivered, and Offset its length in tokens. The engine continues
	// with the token at index Offset.
	Emitted string `json:"emitted,omitempty" msgpack:"emitted,omitempty"`
	Offset  int    `json:"offset,omitempty" msgpack:"offset,omitempty"`
	// KV is the cache to import for RequestDecode; nil otherwise.
	KV *KVRef `json:"kv,omitempty" msgpack:"kv,omitempty"`
}

// Token is one output token of an engine.
type Token struct {
	Index int    `json:"index" msgpack:"index"` // position in the whole output, from 0
	Text  string `json:"text" msgpack:"text"`
}

// GenerateResult is the last element of an engine's output stream.
type GenerateResult struct {
	FinishReason string `json:"finishReason" msgpack:"finishReason"` // "stop" or "length"; "prefill" for RequestPrefill
	PromptTokens int    `json:"promptTokens" msgpack:"promptTokens"`
	CachedTokens int    `json:"cachedTokens" msgpack:"cachedTokens"` // prompt tokens found in the prefix cache
	OutputTokens int    `json:"outputTokens" msgpack:"outputTokens"`
	KV           *KVRef `json:"kv,omitempty" msgpack:"kv,omitempty"` // set for RequestPrefill
}

// TokenStream is the output of a running attempt. It is not safe for concurrent use.
type TokenStream interface {
	// Next returns the next token, io.EOF after the last token of a complete output, or another error if the stream
	// ended before that.
	Next() (Token, error)
	// Result returns the result of the attempt; it is valid only after Next has returned io.EOF.
	Result() GenerateResult
	// Close releases the stream. It does not cancel the engine's work.
	Close() error
}

// CacheEvent reports that an engine cached or evicted a block of a prompt. Events are late and can be missing.
type CacheEvent struct {
	Seq       uint64 `json:"seq" msgpack:"seq"`     // sequence number
	BlockHash uint64 `json:"piece" msgpack:"piece"` // chained hash of the prompt up to the end of the block
	Evicted   bool   `json:"evicted,omitempty" msgpack:"evicted,omitempty"`
}

// Engine is an inference engine of the platform. Implementations are safe for concurrent use.
type Engine interface {
	// State returns the state that the engine reports, or ErrUnavailable if the engine did not answer.
	State(ctx context.Context) (EngineState, error)
	// Order asks the engine to adopt an assignment. It returns once the engine has begun the change, not when it has
	// finished. Errors: ErrStaleFence, ErrBusy, ErrUnavailable (not accepted), ErrUnknownOutcome.
	Order(ctx context.Context, a Assignment) error
	// Generate starts an attempt. ErrNotRun means that the engine did not start it; ErrUnknownOutcome that it may have.
	// The stream ends with an error when ctx ends.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Resume streams the output of an attempt from the token at index offset; ErrNotFound if the engine does not have the
	// attempt.
	Resume(ctx context.Context, id string, offset int) (TokenStream, error)
	// Cancel stops an attempt and frees its slot. Cancelling an unknown id is not an error.
	Cancel(ctx context.Context, id string) error
	// CacheEvents returns the events with a sequence number above after, oldest first.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}
