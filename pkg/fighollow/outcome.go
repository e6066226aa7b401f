package fighollow

// Outcome is how an attempt or a request ended.
type Outcome string

// Outcomes. Only NotRun may be tried again for a request that is not idempotent.
const (
	Completed Outcome = "completed" // the whole answer was produced
	NotRun    Outcome = "notRun"    // the work did not happen and never will for this attempt
	Unknown   Outcome = "unknown"   // the work may have happened
)

// Code is the stable name of a reason for a refusal, part of the public API.
type Code string

// Codes of refusals and failures.
const (
	CodeBadRequest      Code = "badRequest"      // 400; malformed body, header or parameter
	CodeKeyNotUUIDv7    Code = "keyNotUUIDv7"    // 400; the idempotency key carries no creation time
	CodeBodyTimeout     Code = "bodyTimeout"     // 408; the body did not arrive in time
	CodeUnauthorised    Code = "unauthorised"    // 401; no workspace has this key
	CodeModelNotFound   Code = "modelNotFound"   // 404
	CodeServiceNotFound Code = "serviceNotFound" // 404
	CodeRouteNotFound   Code = "routeNotFound"   // 404; no route has this host and path
	CodeKeyInProgress   Code = "keyInProgress"   // 409; the first request with this key still runs
	CodeKeyAlreadyRun   Code = "keyAlreadyRun"   // 409; it ended and its answer is not kept
	CodeTooLarge        Code = "tooLarge"        // 413; body over the limit
	CodeHeaderTooLarge  Code = "headerTooLarge"  // 431
	CodeWorkspaceLimit  Code = "workspaceLimit"  // 429; the workspace is over its own limit
	CodeOverloaded      Code = "overloaded"      // 503; no upstream admits it now
	CodeTooLate         Code = "tooLate"         // 503; it would miss its deadline
	CodeDraining        Code = "draining"        // 503; the upstream takes no new work
	CodeStopping        Code = "stopping"        // 503; the process is stopping
	CodeNotReady        Code = "notReady"        // 503; the process or engine is not ready
	CodeNoUpstream      Code = "noUpstream"      // 503; no upstream serves this target
	CodeCancelled       Code = "cancelled"       // the caller left
	CodeUpstreamFailed  Code = "upstreamFailed"  // 504; the upstream broke off after it may have started
	CodeDeadline        Code = "deadline"        // 504; the deadline passed after the work may have started
	CodeKeyUnknown      Code = "keyUnknown"      // 504; nobody can vouch for this key
	CodeOutcomeUnknown  Code = "outcomeUnknown"  // 504; contact was lost after the work may have started
)

// Refusal is a request or attempt that ended without a whole answer.
type Refusal struct {
	Code    Code   `json:"code" msgpack:"code"`
	Message string `json:"message" msgpack:"message"`
	// Outcome is NotRun or Unknown.
	Outcome Outcome `json:"outcome" msgpack:"outcome"`
	// RetryAfterMs is when asking again can help; 0 where it cannot.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty" msgpack:"retryAfterMs,omitempty"`
}

// NotRunRefusal returns a refusal of work that did not happen and never will.
func NotRunRefusal(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: NotRun}
}

// UnknownRefusal returns a refusal of work that may have happened.
func UnknownRefusal(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Outcome: Unknown}
}

// Error implements error.
func (r *Refusal) Error() string {
	return "fighollow: " + string(r.Code) + ": " + r.Message
}

// Is reports a Refusal with outcome NotRun as ErrNotRun and one with outcome Unknown as ErrUnknownOutcome.
func (r *Refusal) Is(target error) bool {
	return (target == ErrNotRun && r.Outcome == NotRun) || (target == ErrUnknownOutcome && r.Outcome == Unknown)
}

// Load is what an upstream's sidecar tells with each reply about its load at that moment.
type Load struct {
	Slots   int `json:"slots" msgpack:"slots"`     // requests that can run at once
	Running int `json:"running" msgpack:"running"` // requests that run
	Queued  int `json:"queued" msgpack:"queued"`   // requests that wait for a slot
	// QueuedTokens is the prompt tokens still to be computed by waiting and running requests.
	QueuedTokens int `json:"queuedTokens" msgpack:"queuedTokens"`
	// WaitMs is the expected wait of a new request for a slot, in milliseconds.
	WaitMs int64 `json:"waitMs" msgpack:"waitMs"`
	// CacheAgeMs is how long the engine lately kept a piece of a prompt in its prefix cache, in milliseconds; 0: unknown.
	CacheAgeMs int64 `json:"cacheAgeMs,omitempty" msgpack:"cacheAgeMs,omitempty"`
}
