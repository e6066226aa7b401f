package gateway

import (
	"sync"
	"time"
)

const (
	// ratioShare is the fraction of the allowed ratio that is spent, so that counts at the edges of a window stay below the
	// bound.
	ratioShare = 0.75
	// slackShare is the fraction of the allowed slack that all entries together may spend at once; it is divided equally
	// among them. Half of the slack is reserved for entries that restart in the same window, as they have no record of what
	// they spent before.
	slackShare = 0.45
	// burstShare is the fraction of the allowed ratio that can be spent at once, on the requests of the last budgetSpan, by an entry that has
	// spent less. An entry of many has nearly no share of the slack, and each finds for itself that upstreams have failed. The bound
	// counts the requests of a window or of the one before it, so that this and ratioShare are within it together.
	burstShare = 0.25
	// budgetSpan is the platform's window in seconds.
	budgetSpan = 10
	// assumedEntries is the number of entries that share the slack until the entries have been counted.
	assumedEntries = 25
)

// retryBudget bounds the extra dispatches to one service, which are those beyond the first of each request. It is a token
// bucket: each request deposits ratio tokens up to limit, and each extra dispatch withdraws one. One that finds none is allowed if
// those of the last budgetSpan are few for its requests. It is safe for concurrent use.
type retryBudget struct {
	mu           sync.Mutex
	ratio, limit float64
	burst        float64 // extra dispatches allowed per request of the last budgetSpan
	tokens       float64
	seconds      [budgetSpan + 1]budgetSecond // by second modulo their number
}

// budgetSecond counts what was sent in a second.
type budgetSecond struct {
	second           int64
	requests, extras int
}

// withdrawal is what an extra dispatch took of a budget.
type withdrawal struct {
	token  bool  // a token, not a part of the burst
	second int64 // when
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
	b.ratio, b.limit, b.burst = ratioShare*ratio, slackShare*float64(slack)/float64(entries), burstShare*ratio
	b.tokens = min(b.tokens, b.limit)
}

// at returns the counts of a second, which replace those of an earlier one.
func (b *retryBudget) at(second int64) *budgetSecond {
	s := &b.seconds[second%int64(len(b.seconds))]
	if s.second != second {
		*s = budgetSecond{second: second}
	}
	return s
}

// allowsBurst reports whether an extra dispatch would be one of few for the requests of the last budgetSpan.
func (b *retryBudget) allowsBurst(second int64) bool {
	requests, extras := 0, 0
	for _, s := range b.seconds {
		if age := second - s.second; age >= 0 && age <= budgetSpan {
			extras += s.extras
			if age < budgetSpan {
				requests += s.requests
			}
		}
	}
	return float64(extras+1) <= b.burst*float64(requests)
}

// deposit adds the tokens of one request.
func (b *retryBudget) deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
	b.at(now.Unix()).requests++
}

// withdraw pays for an extra dispatch. It returns false if that is not allowed.
func (b *retryBudget) withdraw(now time.Time) (withdrawal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := withdrawal{token: b.tokens >= 1, second: now.Unix()}
	switch {
	case w.token:
		b.tokens--
	case !b.allowsBurst(w.second):
		return withdrawal{}, false
	}
	b.at(w.second).extras++
	return w, true
}

// canWithdraw reports whether an extra dispatch would be allowed now.
func (b *retryBudget) canWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1 || b.allowsBurst(now.Unix())
}

// refund returns what an extra dispatch took that turned out not to count.
func (b *retryBudget) refund(w withdrawal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.token {
		b.tokens = min(b.limit, b.tokens+1)
	}
	if s := &b.seconds[w.second%int64(len(b.seconds))]; s.second == w.second {
		s.extras--
	}
}
