package gateway

import (
	"testing"
	"time"

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
					entries[i].budget.deposit(time.UnixMilli(int64(now)))
					history = append(history, dispatchRecord{atMs: now, request: true})
				}
			case "extras":
				for _, e := range entries { // an upstream fails for all of them
					for e.withdraw(now) {
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
		count := func(from, to int) (requests, extras int) {
			for _, s := range history {
				if s.atMs <= from || s.atMs > to {
					continue
				}
				if s.request {
					requests++
				}
				if s.extra {
					extras++
				}
			}
			return requests, extras
		}
		for _, last := range history {
			end := last.atMs
			requests, extras := count(end-testWindow, end)
			// The platform counts the requests of the window, of the one before it or of the one half a window before it.
			for _, shift := range []int{testWindow / 2, testWindow} {
				earlier, _ := count(end-testWindow-shift, end-shift)
				requests = max(requests, earlier)
			}
			if float64(extras) > testRatio*float64(requests)+testSlack {
				t.Fatalf("%d extra dispatches for %d requests in a window", extras, requests)
			}
		}
	})
}

// withdraw reports whether the entry's budget allows an extra dispatch at a time in milliseconds.
func (e *testEntry) withdraw(now int) bool {
	_, ok := e.budget.withdraw(time.UnixMilli(int64(now)))
	return ok
}

// Guards against entries of a large fleet that refuse their callers when upstreams fail, although all together have hardly repeated
// anything: the share of each in the slack is about one repeat.
func TestBudgetOfManyEntriesAllowsABurst(t *testing.T) {
	for _, c := range []struct{ entries, perSecond int }{{103, 7}, {25, 10}, {350, 6}} {
		want := int(burstShare * testRatio * float64((budgetSpan-1)*c.perSecond))
		b := newRetryBudget(testRatio, 2*c.entries+40, c.entries)
		now := time.Unix(1000, 0)
		for range 20 * c.perSecond {
			b.deposit(now)
			now = now.Add(time.Second / time.Duration(c.perSecond))
		}
		granted := 0
		for ; granted < 100; granted++ {
			if _, ok := b.withdraw(now); !ok {
				break
			}
		}
		qt.Check(t, granted >= want, qt.IsTrue, qt.Commentf("%d of %d entries", granted, c.entries))
		now = now.Add(time.Minute)
		b.tokens = 0
		qt.Check(t, b.canWithdraw(now), qt.IsFalse, qt.Commentf("without requests"))
	}
}

func TestBudgetReturnsWhatDoesNotCount(t *testing.T) {
	b, now := newRetryBudget(testRatio, 10, 4), time.Unix(1000, 0)
	w, ok := b.withdraw(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, b.canWithdraw(now), qt.IsFalse)
	b.refund(w)
	_, ok = b.withdraw(now)
	qt.Assert(t, ok, qt.IsTrue)
	for range 7 {
		b.deposit(now)
	}
	_, ok = b.withdraw(now)
	qt.Assert(t, ok, qt.IsTrue)
	for range 20 {
		b.deposit(now)
	}
	b.tokens = 0
	_, ok = b.withdraw(now)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("2 of 27 requests"))
	for range 33 {
		b.deposit(now)
	}
	b.tokens = 0
	w, ok = b.withdraw(now)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("3 of 60 requests"))
	qt.Assert(t, b.canWithdraw(now), qt.IsFalse)
	b.refund(w)
	qt.Assert(t, b.canWithdraw(now) && b.tokens == 0, qt.IsTrue)
}

func TestBudgetTakesNewBounds(t *testing.T) {
	b := newRetryBudget(testRatio, 50, 1)
	b.setBounds(testRatio, 0, 1)
	qt.Assert(t, b.canWithdraw(time.Unix(1000, 0)), qt.IsFalse)
}
