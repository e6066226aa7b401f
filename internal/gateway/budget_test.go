package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Bounds that the platform sets, as used in these tests.
const (
	testRatio  = 0.2
	testSlack  = 54
	testWindow = 10_000 // milliseconds
)

type dispatchRecord struct {
	atMs           int
	request, extra bool
}

// testEntry is an entry with its own budget in TestBudgetHoldsOverAllEntries.
type testEntry struct {
	budget    *retryBudget
	countedAt int // when it last counted the entries, in milliseconds
	counted   bool
}

// Guards against entries that together exceed the bound that they share: they do not coordinate, learn the number of entries
// late, and have no record after a restart of what they spent. The oracle counts the dispatches of all entries in sliding
// windows.
func TestBudgetHoldsOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 0
		newEntry := func() *testEntry {
			return &testEntry{budget: newRetryBudget(testRatio, testSlack, assumedEntries), countedAt: now - rapid.IntRange(0, 3000).Draw(t, "phase")}
		}
		entries := make([]*testEntry, rapid.IntRange(1, 40).Draw(t, "entries"))
		for i := range entries {
			entries[i] = newEntry()
		}
		var history []dispatchRecord
		// At most as many entries join or restart as there are entries: the bound allows for that many in a window.
		starts := 0
		mayStart := func(n int) bool {
			if starts+n > len(entries) {
				return false
			}
			starts += n
			return true
		}
		busy := rapid.IntRange(0, 20).Draw(t, "busy") // requests per step
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += rapid.IntRange(0, 200).Draw(t, "ms")
			for _, e := range entries {
				if now-e.countedAt >= 3000 {
					e.countedAt = now
					if e.counted {
						e.budget.setBounds(testRatio, testSlack, len(entries))
					} else {
						e.counted = true
						e.budget.setCountedBounds(testRatio, testSlack, len(entries))
					}
				}
			}
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"requests", "extras", "extras", "extras", "restart", "join", "leave", "restartAll"}).Draw(t, "what") {
			case "requests":
				for range busy {
					entries[i].budget.deposit()
					history = append(history, dispatchRecord{atMs: now, request: true})
				}
			case "extras":
				for _, e := range entries { // an upstream fails for all of them
					for e.budget.withdraw() {
						history = append(history, dispatchRecord{atMs: now, extra: true})
					}
				}
			case "restart":
				if mayStart(1) {
					entries[i] = newEntry()
				}
			case "restartAll":
				if mayStart(len(entries)) {
					for i := range entries {
						entries[i] = newEntry()
					}
				}
			case "join":
				if mayStart(1) {
					entries = append(entries, newEntry())
				}
			case "leave":
				if len(entries) > 1 {
					entries = append(entries[:i], entries[i+1:]...)
				}
			}
		}
		for end := range history {
			requests, extras := 0, 0
			for _, s := range history[:end+1] {
				if s.atMs <= history[end].atMs-testWindow {
					continue
				}
				if s.request {
					requests++
				}
				if s.extra {
					extras++
				}
			}
			if float64(extras) > testRatio*float64(requests)+testSlack {
				t.Fatalf("%d extra dispatches for %d requests in a window", extras, requests)
			}
		}
	})
}

func TestBudgetReturnsWhatDoesNotCount(t *testing.T) {
	b := newRetryBudget(testRatio, 10, 4)
	qt.Assert(t, b.withdraw(), qt.IsTrue)
	qt.Assert(t, b.withdraw(), qt.IsFalse)
	b.refund()
	qt.Assert(t, b.withdraw(), qt.IsTrue)
	for range 7 {
		b.deposit()
	}
	qt.Assert(t, b.withdraw(), qt.IsTrue)
}

func TestBudgetTakesNewBounds(t *testing.T) {
	b := newRetryBudget(testRatio, 50, 1)
	b.setBounds(testRatio, 0, 1)
	qt.Assert(t, b.withdraw(), qt.IsFalse)
}
