package fighollow

// Outcome is how an attempt or a request ended.
type Outcome string

// Outcomes. A request that is not idempotent may be retried only after OutcomeNotRun.
const (
	OutcomeCompleted Outcome = "completed" // the complete response was produced
	OutcomeNotRun    Outcome = "notRun"    // the work did not run and never will for this attempt
	OutcomeUnknown   Outcome = "unknown"   // the work may have run
)

// Code is the stable, machine-readable reason of a refusal. Codes are part of the public API.
type Code string

// Codes of refusals and failures, each with its HTTP status in the entry's API.
const (
	CodeBadRequest      Code = "badRequest"      // 400; malformed body, header or parameter
	CodeKeyNotUUIDv7    Code = "keyNotUUIDv7"    // 400; the idempotency key carries no creation time
	CodeBodyTimeout     Code = "bodyTimeout"     // 408; the body did not arrive before the deadline
	CodeUnauthorised    Code = "unauthorised"    // 401; no workspace has this key
	CodeModelNotFound   Code = "modelNotFound"   // 404
	CodeServiceNotFound Code = "serviceNotFound" // 404
	CodeRouteNotFound   Code = "routeNotFound"   // 404; no route matches this host and path
	CodeKeyInProgress   Code = "keyInProgress"   // 409; the first request with this idempotency key is still running
	CodeKeyAlreadyRun   Code = "keyAlreadyRun"   // 409; a request with this key has ended and its response is not stored
	CodeTooLarge        Code = "tooLarge"        // 413; the body exceeds the limit
	CodeHeaderTooLarge  Code = "headerTooLarge"  // 431; the header exceeds the limit
	CodeWorkspaceLimit  Code = "workspaceLimit"  // 429; the workspace exceeds its own limit
	CodeOverloaded      Code = "overloaded"      // 503; no upstream admits the request now
	CodeTooLate         Code = "tooLate"         // 503; the request would miss its deadline
	CodeDraining        Code = "draining"        // 503; the upstream accepts no new work
	CodeStopping        Code = "stopping"        // 503; the process is stopping
	CodeNotReady        Code = "notReady"        // 503; the process or engine is not ready
	CodeNoUpstream      Code = "noUpstream"      // 503; no upstream serves this target
	CodeQuarantined     Code = "quarantined"     // 503; the request or a part of its prompt crashes engines
	CodeCancelled       Code = "cancelled"       // the caller has disconnected
	CodeUpstreamFailed  Code = "upstreamFailed"  // 504; the upstream failed after the work may have started
	CodeDeadline        Code = "deadline"        // 504; the deadline passed after the work may have started
	CodeKeyUnknown      Code = "keyUnknown"      // 504; no ledger can tell whether a request with this key has run
	CodeOutcomeUnknown  Code = "outcomeUnknown"  // 504; the upstream became unreachable after the work may have started
)

// Refusal describes a request or attempt that ended without a complete response. It implements error.
type Refusal struct {
	Code    Code   `json:"code" msgpack:"code"`
	Message string `json:"message" msgpack:"message"` // for people; not part of the API
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome Outcome `json:"outcome" msgpack:"outcome"`
	// RetryAfterMs is the delay in milliseconds after which a retry can succeed; 0 if a retry cannot help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty" msgpack:"retryAfterMs,omitempty"`
}

// NotRunRefusal returns a refusal of work that did not run and never will.
func NotRunRefusal(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: OutcomeNotRun}
}

// UnknownRefusal returns a refusal of work that may have run.
func UnknownRefusal(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: OutcomeUnknown}
}

// Error implements error.
func (r *Refusal) Error() string {
	return "fighollow: " + string(r.Code) + ": " + r.Message
}

// Is reports a Refusal with OutcomeNotRun as ErrNotRun and one with OutcomeUnknown as ErrUnknownOutcome.
func (r *Refusal) Is(target error) bool {
	return (target == ErrNotRun && r.Outcome == OutcomeNotRun) || (target == ErrUnknownOutcome && r.Outcome == OutcomeUnknown)
}

// Load is the load of an upstream, which its sidecar attaches to each reply.
type Load struct {
	Slots   int `json:"slots" msgpack:"slots"`     // requests that can run at once
	Running int `json:"running" msgpack:"running"` // requests that are running
	Queued  int `json:"queued" msgpack:"queued"`   // requests that wait for a slot
	// QueuedTokens is the number of prompt tokens of waiting and running requests that are not computed yet.
	QueuedTokens int `json:"queuedTokens" msgpack:"queuedTokens"`
	// WaitMs is the expected time until a new request gets a slot, in milliseconds.
	WaitMs int64 `json:"waitMs" msgpack:"waitMs"`
	// CacheAgeMs is the recent average time from caching a block of a prompt to its eviction from the engine's prefix
	// cache, in milliseconds; 0 if unknown.
	CacheAgeMs int64 `json:"cacheAgeMs,omitempty" msgpack:"cacheAgeMs,omitempty"`
}
