package routing

const (
	// retryShare limits retries to this share of the requests, so that they do not amplify an overload.
	retryShare = 0.1
	// retryBurst is the maximum number of retries in a burst.
	retryBurst = 10
	// failureReserve is the number of additional retries after failures, because an engine that crashes fails all its
	// requests at once. The reserve is refilled from the same share of requests while the burst is full.
	failureReserve = 100
)

// Budget limits retries to a share of the requests, as a token bucket. It is not safe for concurrent use.
type Budget struct {
	burst, reserve float64
}

// NewBudget returns a full Budget, which allows a burst of retryBurst retries and failureReserve more after failures.
func NewBudget() Budget { return Budget{burst: retryBurst, reserve: failureReserve} }

// CountRequest adds a request to the budget. It is called once per request, not for its retries.
func (b *Budget) CountRequest() {
	b.burst += retryShare
	if excess := b.burst - retryBurst; excess > 0 {
		b.burst = retryBurst
		b.reserve = min(failureReserve, b.reserve+excess)
	}
}

// TakeRetry reports whether a retry is allowed and, if so, takes it from the budget. failure is true for a retry after
// an upstream was lost or is leaving, and false after a refusal because of load.
func (b *Budget) TakeRetry(failure bool) bool {
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
