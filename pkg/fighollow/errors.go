package fighollow

import "errors"

// Errors of the interfaces in this package. Implementations wrap them; test for them with errors.Is.
var (
	// ErrNotFound means that the object, request or stream does not exist.
	ErrNotFound = errors.New("fighollow: not found")
	// ErrConflict means that a conditional update expected a version other than the current one; nothing changed.
	ErrConflict = errors.New("fighollow: version conflict")
	// ErrUnknownOutcome means that a call may or may not have taken effect.
	ErrUnknownOutcome = errors.New("fighollow: outcome unknown")
	// ErrUnavailable means that a call was not accepted and had no effect.
	ErrUnavailable = errors.New("fighollow: unavailable")
	// ErrWatchExpired means that a watch asked for history that the object API no longer keeps.
	ErrWatchExpired = errors.New("fighollow: watch history expired")
	// ErrStaleFence means that an engine refused an order because it has seen a higher fencing token.
	ErrStaleFence = errors.New("fighollow: stale fencing token")
	// ErrBusy means that an engine refused an order because it has requests in flight or another order in progress.
	ErrBusy = errors.New("fighollow: engine busy")
	// ErrNotRun means that an upstream did not start the work and will not start it, so that it may be sent to another.
	ErrNotRun = errors.New("fighollow: not run")
	// ErrReplyMismatch means that an upstream's reply belongs to another request. The outcome of the request is unknown.
	ErrReplyMismatch = errors.New("fighollow: reply belongs to another request")
	// ErrInvalid means that a value violates the rules of its type.
	ErrInvalid = errors.New("fighollow: invalid value")
)
