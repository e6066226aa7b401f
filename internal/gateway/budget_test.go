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

// Guards against entries that exceed the shared bound together: they do not talk, and one that starts anew does not know
// what it spent. The oracle counts in sliding windows what all entries sent.
func TestBudgetHoldsOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]*budget, rapid.IntRange(1, 5).Draw(t, "entries"))
		for i := range entries {
			entries[i] = newBudget(testRatio, testSlack)
		}
		var log []spent
		now, starts := 0, len(entries)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += rapid.IntRange(0, 200).Draw(t, "ms")
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"request", "request", "extra", "extra", "extra", "restart"}).Draw(t, "what") {
			case "request":
				entries[i].add()
				log = append(log, spent{atMs: now, request: true})
			case "extra":
				if entries[i].take() {
					log = append(log, spent{atMs: now, extra: true})
				}
			case "restart":
				// A day replaces few entries in one window.
				if starts < 2*len(entries) {
					starts++
					entries[i] = newBudget(testRatio, testSlack)
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
	b := newBudget(testRatio, 10)
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
	b := newBudget(testRatio, 50)
	b.set(testRatio, 0)
	qt.Assert(t, b.take(), qt.IsFalse)
}
