package gateway

import "sync"

const (
	// budgetShare is the part of the allowed ratio that is spent, so that counts at the edges of a window stay below it.
	budgetShare = 0.75
	// budgetSlackShare is the part of the allowed slack that an entry of one may spend at once. Half of the slack is for
	// entries that start anew in the same window: they do not know what was spent before.
	budgetSlackShare = 0.45
	// uncountedEntries is how many entries are taken to share the slack until they were counted.
	uncountedEntries = 25
)

// budget bounds the extra dispatches to one service: those beyond the first of each request. Requests add to it up to a
// limit. It is safe for concurrent use.
type budget struct {
	ratio, limit float64

	mu   sync.Mutex
	left float64
}

// newBudget returns the budget for one service. ratio is the extra dispatches allowed for each request; slack is how many
// are allowed beyond that in a window, over so many entries.
func newBudget(ratio float64, slack, entries int) *budget {
	b := &budget{}
	b.set(ratio, slack, entries)
	b.left = b.limit
	return b
}

// set changes the bounds. What was spent stays spent.
func (b *budget) set(ratio float64, slack, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound(ratio, slack, entries)
}

// count takes the first count of entries; until then the slack was divided over more of them.
func (b *budget) count(ratio float64, slack, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.limit
	b.bound(ratio, slack, entries)
	b.left += max(0, b.limit-before)
}

// bound sets the bounds; the lock is held.
func (b *budget) bound(ratio float64, slack, entries int) {
	b.ratio, b.limit = budgetShare*ratio, budgetSlackShare*float64(slack)/float64(entries)
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
