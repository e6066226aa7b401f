package fighollow

import "errors"

// Errors of the platform's interfaces, to be tested with errors.Is.
var (
	// ErrNotFound says that the object, request or stream does not exist.
	ErrNotFound = errors.New("fighollow: not found")
	// ErrConflict says that a conditional update named a version that is not the present one; nothing changed.
	ErrConflict = errors.New("fighollow: version conflict")
	// ErrUnknownOutcome says that a call may or may not have taken effect.
	ErrUnknownOutcome = errors.New("fighollow: outcome unknown")
	// ErrUnavailable says that a call was not taken, and so had no effect.
	ErrUnavailable = errors.New("fighollow: unavailable")
	// ErrWatchExpired says that a watch asked for history that is no longer kept.
	ErrWatchExpired = errors.New("fighollow: watch history expired")
	// ErrStaleFence says that an engine refused an order because it has seen a higher fencing number.
	ErrStaleFence = errors.New("fighollow: stale fencing number")
	// ErrBusy says that an engine refused an order because it has work in flight or another order in progress.
	ErrBusy = errors.New("fighollow: engine busy")
	// ErrNotRun says that an upstream did not start the work; it may be sent elsewhere.
	ErrNotRun = errors.New("fighollow: not run")
	// ErrCrossed says that an upstream's reply belongs to another request. The outcome of the request is unknown.
	ErrCrossed = errors.New("fighollow: reply belongs to another request")
	// ErrInvalid says that a value does not satisfy the rules of its type.
	ErrInvalid = errors.New("fighollow: invalid value")
)
