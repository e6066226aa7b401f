package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Bounds of the platform in these tests.
const (
	testRatio  = 0.2
	testSlack  = 54
	testWindow = 10_000 // milliseconds
)

type spent struct {
	atMs           int
	request, extra bool
}

// sharer is an entry in the test below.
type sharer struct {
	budget  *budget
	looked  int // when it last counted the entries, in milliseconds
	counted bool
}

// Guards against entries that exceed the shared bound together: they do not talk, count each other late, and one that
// starts anew does not know what it spent. The oracle counts in sliding windows what all entries sent.
func TestBudgetHoldsOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 0
		fresh := func() *sharer {
			return &sharer{budget: newBudget(testRatio, testSlack, uncountedEntries), looked: now - rapid.IntRange(0, 3000).Draw(t, "phase")}
		}
		entries := make([]*sharer, rapid.IntRange(1, 40).Draw(t, "entries"))
		for i := range entries {
			entries[i] = fresh()
		}
		var log []spent
		// As many entries as there are may start anew in a window.
		starts := 0
		started := func(n int) bool {
			if starts+n > len(entries) {
				return false
			}
			starts += n
			return true
		}
		busy := rapid.IntRange(0, 20).Draw(t, "busy") // requests for each step
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += rapid.IntRange(0, 200).Draw(t, "ms")
			for _, e := range entries {
				if now-e.looked >= 3000 {
					e.looked = now
					if e.counted {
						e.budget.set(testRatio, testSlack, len(entries))
					} else {
						e.counted = true
						e.budget.count(testRatio, testSlack, len(entries))
					}
				}
			}
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"requests", "extras", "extras", "extras", "restart", "join", "leave", "restartAll"}).Draw(t, "what") {
			case "requests":
				for range busy {
					entries[i].budget.add()
					log = append(log, spent{atMs: now, request: true})
				}
			case "extras":
				for _, e := range entries { // an upstream fails for all of them
					for e.budget.take() {
						log = append(log, spent{atMs: now, extra: true})
					}
				}
			case "restart":
				if started(1) {
					entries[i] = fresh()
				}
			case "restartAll":
				if started(len(entries)) {
					for i := range entries {
						entries[i] = fresh()
					}
				}
			case "join":
				if started(1) {
					entries = append(entries, fresh())
				}
			case "leave":
				if len(entries) > 1 {
					entries = append(entries[:i], entries[i+1:]...)
				}
			}
		}
		for end := range log {
			requests, extras := 0, 0
			for _, s := range log[:end+1] {
				if s.atMs <= log[end].atMs-testWindow {
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
	b := newBudget(testRatio, 10, 4)
	qt.Assert(t, b.take(), qt.IsTrue)
	qt.Assert(t, b.take(), qt.IsFalse)
	b.giveBack()
	qt.Assert(t, b.take(), qt.IsTrue)
	for range 7 {
		b.add()
	}
	qt.Assert(t, b.take(), qt.IsTrue)
}

func TestBudgetTakesNewBounds(t *testing.T) {
	b := newBudget(testRatio, 50, 1)
	b.set(testRatio, 0, 1)
	qt.Assert(t, b.take(), qt.IsFalse)
}
