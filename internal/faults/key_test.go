package faults_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func keyed(f *fleet, id string) *request { return f.call(0, id, newKey()) }

// keyFaults are the faults of a service call, and those of the other entry, which holds half of the keys.
var keyFaults = append([]fault{
	killService,
	{
		"kill other entry",
		func(f *fleet, _ *upstream) { f.entries[1].kill() },
		func(f *fleet, _ *upstream) { f.restart(f.entries[1], f.admins[1]+"/readyz") },
	},
	pauseOf("other entry", func(f *fleet, _ *upstream) *process { return f.entries[1] }),
	{
		"cut between entries",
		func(f *fleet, _ *upstream) { f.cutEntries(true) },
		func(f *fleet, _ *upstream) { f.cutEntries(false) },
	},
}, ofProcesses...)

func (f *fleet) cutEntries(on bool) {
	for _, p := range f.toEntries {
		p.set(on, on)
	}
}

// holdersReady waits until eight keys in a row are granted, so that with a chance of 1 in 128 only one entry of the two
// is not yet sure of its keys.
func (f *fleet) holdersReady(t *testing.T) {
	granted := 0
	until(f.ctx, t, "both entries grant keys", func() bool {
		q := keyed(f, "ready "+newKey())
		if wait(q.done, 10*time.Second) && q.whole {
			granted++
		} else {
			granted = 0
		}
		return granted == 8
	})
}

// keyCell holds calls with keys of both holders at a step, injects a fault, and repeats the keys through both entries
// during and after it.
func keyCell(s step, x fault) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		f.holdersReady(t)
		const calls = 4
		at := f.service
		if !s.hold([]*upstream{at}) {
			t.Fatal("step cannot be held")
		}
		keys := make([]string, calls)
		var first []*request
		for i := range keys {
			keys[i] = newKey()
			first = append(first, f.call(0, fmt.Sprint("call ", i), keys[i]))
		}
		until(f.ctx, t, "a call at step "+s.name, func() bool { return s.reached(at) })
		x.inject(f, at)
		again := func() {
			var sent []*request
			for i, key := range keys {
				sent = append(sent, f.call(i%2, fmt.Sprint("call ", i), key), f.call(1-i%2, fmt.Sprint("call ", i), key))
			}
			for _, q := range sent {
				wait(q.done, pauseTime/4)
			}
		}
		if s.gate != "" && x.name != "pause upstream" {
			s.release(at)
		}
		again()
		wait(first[0].done, pauseTime)
		x.heal(f, at)
		s.release(at)
		again()
		for _, q := range first {
			until(f.ctx, t, "an answer", func() bool { return wait(q.done, 0) })
		}
		again()
		f.recover(t, "after", keyed)
	}
}

// plannedStopCell stops an entry that holds keys. Its successor must give the stored answers.
func plannedStopCell(t *testing.T, f *fleet) {
	f.holdersReady(t)
	var keys []string
	for i := range 8 {
		key := newKey()
		until(f.ctx, t, "a whole answer", func() bool {
			q := f.call(0, fmt.Sprint("keyed ", i), key)
			return wait(q.done, 10*time.Second) && q.whole
		})
		keys = append(keys, key)
	}
	f.entries[1].signal(syscall.SIGTERM)
	until(f.ctx, t, "entry-2 has ended", f.entries[1].ended)
	for i, key := range keys {
		until(f.ctx, t, "the stored answer", func() bool {
			q := f.call(0, fmt.Sprint("keyed ", i), key)
			return wait(q.done, 10*time.Second) && q.whole
		})
	}
	f.recover(t, "after", keyed)
}

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
