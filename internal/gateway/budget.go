package gateway

import "sync"

const (
	// ratioShare is the fraction of the allowed ratio that is spent, so that counts at the edges of a window stay below the
	// bound.
	ratioShare = 0.75
	// slackShare is the fraction of the allowed slack that all entries together may spend at once; it is divided equally
	// among them. Half of the slack is reserved for entries that restart in the same window, as they have no record of what
	// they spent before.
	slackShare = 0.45
	// assumedEntries is the number of entries that share the slack until the entries have been counted.
	assumedEntries = 25
)

// retryBudget bounds the extra dispatches to one service, which are those beyond the first of each request. It is a token
// bucket: each request deposits ratio tokens up to limit, and each extra dispatch withdraws one. It is safe for concurrent
// use.
type retryBudget struct {
	ratio, limit float64

	mu     sync.Mutex
	tokens float64
}

// newRetryBudget returns a full budget for one service. ratio is the number of extra dispatches allowed per request; slack
// is the number allowed beyond that in a window by all entries together.
func newRetryBudget(ratio float64, slack, entries int) *retryBudget {
	b := &retryBudget{}
	b.setBounds(ratio, slack, entries)
	b.tokens = b.limit
	return b
}

// setBounds changes the bounds. It returns no spent tokens.
func (b *retryBudget) setBounds(ratio float64, slack, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setBoundsLocked(ratio, slack, entries)
}

// setCountedBounds sets the bounds after the first count of the entries and adds the tokens by which the limit grows: until
// then the slack was divided by assumedEntries.
func (b *retryBudget) setCountedBounds(ratio float64, slack, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.limit
	b.setBoundsLocked(ratio, slack, entries)
	b.tokens += max(0, b.limit-before)
}

// setBoundsLocked sets the bounds. The caller holds b.mu.
func (b *retryBudget) setBoundsLocked(ratio float64, slack, entries int) {
	b.ratio, b.limit = ratioShare*ratio, slackShare*float64(slack)/float64(entries)
	b.tokens = min(b.tokens, b.limit)
}

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// withdraw takes a token for an extra dispatch. It returns false if there is none.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// canWithdraw reports whether an extra dispatch would be allowed now.
func (b *retryBudget) canWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// refund returns the token of an extra dispatch that turned out not to count.
func (b *retryBudget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+1)
}
