package routing

const (
	// retryShare is the share of requests that may be retried, so that retries never amplify an overload.
	retryShare = 0.1
	// retryBurst is how many retries may follow each other at once.
	retryBurst = 10
	// failureReserve allows more retries after failures: an engine that crashes breaks all its requests at once. It is
	// refilled from the same share when the burst is full.
	failureReserve = 100
)

// Budget bounds retries to a share of requests. NewBudget returns a full one.
type Budget struct {
	burst, reserve float64
}

// NewBudget returns a Budget that allows retryBurst retries at once.
func NewBudget() Budget { return Budget{burst: retryBurst, reserve: failureReserve} }

// Request counts a request's first attempt.
func (b *Budget) Request() {
	b.burst += retryShare
	if over := b.burst - retryBurst; over > 0 {
		b.burst = retryBurst
		b.reserve = min(failureReserve, b.reserve+over)
	}
}

// Retry takes one retry and reports whether it is allowed. failure tells a retry after an upstream was lost or leaving from
// one after a refusal because of load.
func (b *Budget) Retry(failure bool) bool {
	switch {
	case b.burst >= 1:
		b.burst--
	case failure && b.reserve >= 1:
		b.reserve--
	default:
		return false
	}
	return true
}
