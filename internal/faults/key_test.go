package faults_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func sendKeyedCall(f *fleet, id string) *request { return f.sendCall(0, id, newKey()) }

// keyFaults are the faults of a service call and those of the other entry, which holds half of the idempotency keys.
var keyFaults = append([]fault{
	killService,
	{
		"kill other entry",
		func(f *fleet, _ *upstream) { f.entries[1].kill() },
		func(f *fleet, _ *upstream) { f.restart(f.entries[1], f.adminAddrs[1]+"/readyz") },
	},
	pauseFault("other entry", func(f *fleet, _ *upstream) *process { return f.entries[1] }),
	{
		"cut between entries",
		func(f *fleet, _ *upstream) { f.cutEntries(true) },
		func(f *fleet, _ *upstream) { f.cutEntries(false) },
	},
}, processFaults...)

func (f *fleet) cutEntries(on bool) {
	for _, p := range f.entryProxies {
		p.setCut(on, on)
	}
}

// waitForHolders waits until eight keys in a row are granted. Each key has one of the two entries as its holder, so that
// an entry that cannot grant keys yet goes unnoticed with a probability of 1 in 128.
func (f *fleet) waitForHolders(t *testing.T) {
	granted := 0
	until(f.ctx, t, "both entries grant keys", func() bool {
		q := sendKeyedCall(f, "ready "+newKey())
		if wait(q.done, 10*time.Second) && q.complete {
			granted++
		} else {
			granted = 0
		}
		return granted == 8
	})
}

// keyCell holds calls with keys of both holders at a step, injects a fault, and repeats the calls with the same keys
// through both entries during and after the fault.
func keyCell(s step, x fault) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		f.waitForHolders(t)
		const calls = 4
		target := f.service
		if !s.hold([]*upstream{target}) {
			t.Fatal("step cannot be held")
		}
		keys := make([]string, calls)
		var first []*request
		for i := range keys {
			keys[i] = newKey()
			first = append(first, f.sendCall(0, fmt.Sprint("call ", i), keys[i]))
		}
		until(f.ctx, t, "a call at step "+s.name, func() bool { return s.reached(target) })
		x.inject(f, target)
		repeat := func() {
			var sent []*request
			for i, key := range keys {
				sent = append(sent, f.sendCall(i%2, fmt.Sprint("call ", i), key), f.sendCall(1-i%2, fmt.Sprint("call ", i), key))
			}
			for _, q := range sent {
				wait(q.done, maxPause/4)
			}
		}
		if s.standinStep != "" && x.name != "pause upstream" {
			s.release(target)
		}
		repeat()
		wait(first[0].done, maxPause)
		x.heal(f, target)
		s.release(target)
		repeat()
		for _, q := range first {
			until(f.ctx, t, "an answer", func() bool { return wait(q.done, 0) })
		}
		repeat()
		f.awaitRecovery(t, "after", sendKeyedCall)
	}
}

// plannedStopCell stops an entry that holds keys. The entry that takes over the keys must return the stored answers.
func plannedStopCell(t *testing.T, f *fleet) {
	f.waitForHolders(t)
	var keys []string
	for i := range 8 {
		key := newKey()
		until(f.ctx, t, "a complete answer", func() bool {
			q := f.sendCall(0, fmt.Sprint("keyed ", i), key)
			return wait(q.done, 10*time.Second) && q.complete
		})
		keys = append(keys, key)
	}
	f.entries[1].signal(syscall.SIGTERM)
	until(f.ctx, t, "entry-2 has ended", f.entries[1].ended)
	for i, key := range keys {
		until(f.ctx, t, "the stored answer", func() bool {
			q := f.sendCall(0, fmt.Sprint("keyed ", i), key)
			return wait(q.done, 10*time.Second) && q.complete
		})
	}
	f.awaitRecovery(t, "after", sendKeyedCall)
}

// Guards against a call that runs twice, or gets different answers, when it is repeated with its idempotency key after a
// fault at any step.
func TestKey(t *testing.T) {
	cells := []cell{{"planned stop of holder", true, plannedStopCell}}
	quick := map[string]bool{"ran/kill other entry": true, "ran/kill entry": true, "ran/cut between entries": true}
	for _, s := range serviceSteps {
		for _, x := range append(apiFaults, keyFaults...) {
			name := s.name + "/" + x.name
			cells = append(cells, cell{name, quick[name], keyCell(s, x)})
		}
	}
	runCells(t, cells)
}
