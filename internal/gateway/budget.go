package gateway

import "sync"

const (
	// budgetShare is the part of the allowed ratio that is spent, so that counts at the edges of a window stay below it.
	budgetShare = 0.75
	// budgetEntries is over how many starts of entries the slack is divided. All entries share it without talking, and
	// one that starts anew does not know what it spent before.
	budgetEntries = 10
)

// budget bounds the extra dispatches to one service: those beyond the first of each request. Requests add to it up to a
// limit that is also its initial value. It is safe for concurrent use.
type budget struct {
	ratio, limit float64

	mu   sync.Mutex
	left float64
}

// newBudget returns the budget for one service. ratio is the extra dispatches allowed for each request; slack is how many
// are allowed beyond that in a window, over all entries.
func newBudget(ratio float64, slack int) *budget {
	b := &budget{}
	b.set(ratio, slack)
	b.left = b.limit
	return b
}

// set changes the bounds. What was spent stays spent.
func (b *budget) set(ratio float64, slack int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.limit = budgetShare*ratio, float64(slack)/budgetEntries
	b.left = min(b.left, b.limit)
}

// add counts a request.
func (b *budget) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.limit, b.left+b.ratio)
}

// take reports whether an extra dispatch is allowed, and takes it from the budget.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// allows reports whether an extra dispatch would be allowed now.
func (b *budget) allows() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left >= 1
}

// giveBack returns an extra dispatch that turned out not to count.
func (b *budget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.limit, b.left+1)
}
