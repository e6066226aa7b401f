package ledger_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/ledger"
)

const minuteMs = 60_000

// Guards against an update of the epochs that assigns an existing key to another holder: in every later version, the
// epoch of a key must keep its holders.
func TestMaintainNeverReassignsAKey(t *testing.T) {
	const horizon, lifetimeMs = 15 * minuteMs, 60 * minuteMs
	nowMs := int64(1_700_000_000_000)
	w := newWorld(1)
	var e ledger.Epochs
	holders := make(map[string]string)
	writes := 0
	for step := range 600 {
		nowMs += minuteMs / 4
		var entries []string
		for i := range 3 + step/100 {
			entries = append(entries, fmt.Sprint("entry-", i))
		}
		next, changed := e.Maintain("north", entries, nowMs, horizon, lifetimeMs)
		if changed {
			writes++
		}
		e = next
		qt.Assert(t, e.UntilMs() > nowMs, qt.IsTrue)
		for i, ep := range e.Epochs {
			qt.Assert(t, ep.FromMs < ep.UntilMs, qt.IsTrue)
			qt.Assert(t, i == 0 || e.Epochs[i-1].UntilMs == ep.FromMs, qt.IsTrue)
		}
		w.nowMs = nowMs
		holders[w.newKey(0)] = ""
		for text, previous := range holders {
			key, _ := ledger.ParseKey(text)
			a, ok := e.Lookup(workspace, key)
			if !ok {
				qt.Assert(t, nowMs-key.CreatedMs > lifetimeMs, qt.IsTrue)
				delete(holders, text)
				continue
			}
			qt.Assert(t, previous == "" || previous == a.Holder, qt.IsTrue)
			holders[text] = a.Holder
		}
	}
	// One write per fifth of the horizon (3 min) in 150 minutes, and a few for the short first epoch.
	qt.Assert(t, writes <= 150/3+5, qt.IsTrue, qt.Commentf("%d writes", writes))
	qt.Assert(t, len(e.Epochs) <= 4, qt.IsTrue, qt.Commentf("%d epochs kept", len(e.Epochs)))
}

// Guards against a ledger object above the object API's limit of 1 MB, with 350 entries of which some change at each
// write.
func TestEpochsStaySmall(t *testing.T) {
	nowMs := int64(1_700_000_000_000)
	var e ledger.Epochs
	for step := range 500 {
		nowMs += minuteMs
		var entries []string
		for i := range 350 {
			entries = append(entries, fmt.Sprintf("entry-%d", (i+step)%500))
		}
		e, _ = e.Maintain("north", entries, nowMs, 15*minuteMs, 60*minuteMs)
		e, _ = e.Delegate(entries[0], nowMs, entries[1])
	}
	qt.Assert(t, len(e.Epochs) < 40, qt.IsTrue, qt.Commentf("%d epochs", len(e.Epochs)))
	qt.Assert(t, len(e.Delegations) < 100, qt.IsTrue, qt.Commentf("%d delegations", len(e.Delegations)))
	qt.Assert(t, len(e.Epochs[len(e.Epochs)-1].Holders), qt.Equals, ledger.MaxHolders)
}
