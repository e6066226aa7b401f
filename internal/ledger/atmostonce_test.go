package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/ledger"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// TestMain fixes the seed and the number of checks and steps, so that CI runs the same cases each time. Flags given on
// the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{
		"rapid.seed": "20261203", "rapid.steps": "300", "rapid.checks": "3000", "rapid.nofailfile": "true",
	}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// Guards against a key whose work runs twice because of a restart that loses all records, a clock skew within the
// tolerance, a stale copy of the ledger object, a late write of a delegation, or a lost, late or repeated message.
func TestKeyIsDispatchedAtMostOnce(t *testing.T) {
	granted, repeats := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 4).Draw(t, "processes"))
		for _, p := range w.procs {
			w.register(p, false)
		}
		w.nowMs += 3000
		w.converge(t)
		t.Repeat(w.actions())
		granted += w.granted
		repeats += w.requests - w.granted
	})
	t.Logf("%d requests ran, %d did not", granted, repeats)
	// If the simulation granted nothing, it would pass without checking anything.
	qt.Assert(t, granted > 1000, qt.IsTrue)
	qt.Assert(t, repeats > 1000, qt.IsTrue)
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time":       w.advanceClock,
		"time again": w.advanceClock,
		"key": func(t *rapid.T) {
			w.newKey(rapid.SampledFrom([]int64{-3000, -500, 0, 0, 0, 800, 1900, 3000}).Draw(t, "offset"))
		},
		"key again":       func(*rapid.T) { w.newKey(0) },
		"ask":             w.sendClaim,
		"ask and receive": w.claimNow,
		"ask again":       w.claimNow,
		"ask repeatedly":  w.claimNow,
		"deliver":         w.deliverOne,
		"receive":         w.receiveOne,
		"give up":         w.abandonClaim,
		"end":             w.endOne,
		"see":             w.refreshView,
		"keep up":         w.converge,
		"keep up again":   w.converge,
		"maintain":        w.maintain,
		"maintain again":  w.maintain,
		"write":           w.applyWrite,
		"pause":           func(t *rapid.T) { w.anyProcess(t).paused = true },
		"wake":            w.wake,
		"wake again":      w.wake,
		"restart":         w.restart,
		"register":        func(t *rapid.T) { w.register(w.anyProcess(t), rapid.Bool().Draw(t, "answer lost")) },
		"register again":  func(t *rapid.T) { w.register(w.anyProcess(t), false) },
		"stop":            w.stop,
		"delegate":        w.delegate,
	}
}

func (w *world) advanceClock(t *rapid.T) {
	w.nowMs += rapid.SampledFrom([]int64{1, 50, 500, 1500, 4000}).Draw(t, "ms")
}

func (w *world) anyProcess(t *rapid.T) *process {
	return w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "process")]
}

// anyKey draws one of the four newest keys: claims of old ones are refused and check nothing.
func (w *world) anyKey(t *rapid.T) string {
	if len(w.keys) == 0 {
		t.Skip("no key")
	}
	back := rapid.IntRange(0, min(3, len(w.keys)-1)).Draw(t, "key")
	return w.keys[len(w.keys)-1-back]
}

func (w *world) sendClaim(t *rapid.T) {
	if m := w.newClaim(w.anyProcess(t), w.anyKey(t)); m != nil {
		w.messages = append(w.messages, *m)
	}
}

func (w *world) claimNow(t *rapid.T) {
	m := w.newClaim(w.anyProcess(t), w.anyKey(t))
	if m == nil {
		return
	}
	if r, ok := w.deliver(*m); ok {
		w.receive(t, r)
	}
}

// deliverOne delivers any message in flight. The message may be lost, or stay in flight for another delivery.
func (w *world) deliverOne(t *rapid.T) {
	if len(w.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	m := w.messages[i]
	if !rapid.Bool().Draw(t, "again") {
		w.messages = append(w.messages[:i], w.messages[i+1:]...)
	}
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	if r, ok := w.deliver(m); ok && m.settle == nil {
		w.replies = append(w.replies, r)
	}
}

func (w *world) receiveOne(t *rapid.T) {
	if len(w.replies) == 0 {
		t.Skip("no reply")
	}
	i := rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply")
	r := w.replies[i]
	w.replies = append(w.replies[:i], w.replies[i+1:]...)
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		w.receive(t, r)
	}
}

// abandonClaim lets an entry stop waiting for a reply: it answers unknown and releases a possible grant.
func (w *world) abandonClaim(t *rapid.T) {
	c := w.anyCall(t, func(c *call) bool { return c.waiting })
	c.waiting = false
	notRun := fighollow.OutcomeNotRun
	w.messages = append(w.messages, message{to: w.anyProcess(t).id, call: c, settle: &notRun})
}

func (w *world) endOne(t *rapid.T) {
	c := w.anyCall(t, func(c *call) bool { return c.running })
	outcome := rapid.SampledFrom([]fighollow.Outcome{
		fighollow.OutcomeNotRun, fighollow.OutcomeCompleted, fighollow.OutcomeUnknown, fighollow.OutcomeNotRun,
	}).Draw(t, "outcome")
	m := w.end(c, outcome, w.anyProcess(t).id)
	if rapid.Bool().Draw(t, "at once") {
		w.deliver(m)
		return
	}
	w.messages = append(w.messages, m)
}

func (w *world) anyCall(t *rapid.T, match func(*call) bool) *call {
	var matching []*call
	for _, c := range w.calls {
		if match(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		t.Skip("no such call")
	}
	return matching[rapid.IntRange(0, len(matching)-1).Draw(t, "call")]
}

// refreshView lets a process receive its current or any newer version of the ledger object.
func (w *world) refreshView(t *rapid.T) {
	p := w.anyProcess(t)
	p.view = rapid.IntRange(p.view, len(w.history)-1).Draw(t, "version")
}

// maintain computes a write from the current object with any process's clock. The write arrives now or later.
func (w *world) maintain(t *rapid.T) {
	var entries []string
	for _, p := range w.procs {
		if rapid.IntRange(0, 3).Draw(t, "alive") > 0 {
			entries = append(entries, p.id)
		}
	}
	now := w.clock(w.anyProcess(t)).UnixMilli()
	next, changed := w.latest().Maintain(region, entries, now, horizonMs, lifetime.Milliseconds())
	if !changed {
		return
	}
	update := write{len(w.history) - 1, next}
	if rapid.Bool().Draw(t, "late") {
		w.writes = append(w.writes, update)
		return
	}
	w.commit(update)
}

// converge simulates fault-free operation: the processes that are neither paused nor stopping register, the object is
// maintained, and all processes that are not paused receive its newest version.
func (w *world) converge(*rapid.T) {
	var entries []string
	for _, p := range w.procs {
		if p.paused || p.export != nil {
			continue
		}
		w.register(p, false)
		entries = append(entries, p.id)
	}
	next, changed := w.latest().Maintain(region, entries, w.nowMs, horizonMs, lifetime.Milliseconds())
	if changed {
		w.commit(write{len(w.history) - 1, next})
	}
	for _, p := range w.procs {
		if !p.paused {
			p.view = len(w.history) - 1
		}
	}
}

func (w *world) applyWrite(t *rapid.T) {
	if len(w.writes) == 0 {
		t.Skip("no write")
	}
	i := rapid.IntRange(0, len(w.writes)-1).Draw(t, "write")
	w.commit(w.writes[i])
	w.writes = append(w.writes[:i], w.writes[i+1:]...)
}

func (w *world) wake(t *rapid.T) { w.anyProcess(t).paused = false }

func (w *world) restart(t *rapid.T) {
	p := w.anyProcess(t)
	if p.export == nil && rapid.IntRange(0, 2).Draw(t, "rarely") > 0 {
		t.Skip("restarts are rarer than requests")
	}
	w.start(p, rapid.IntRange(0, len(w.history)-1).Draw(t, "version"), rapid.Int64Range(-maxSkewMs, maxSkewMs).Draw(t, "skew"))
	if rapid.Bool().Draw(t, "register") {
		w.register(p, false)
	}
}

// stop ends a holder and transfers its state to a successor. When a reply of the successor is lost, nothing is
// delegated to it.
func (w *world) stop(t *rapid.T) {
	p, to := w.anyProcess(t), w.anyProcess(t)
	if rapid.IntRange(0, 2).Draw(t, "rarely") > 0 || p == to || p.paused || to.paused || p.export != nil {
		t.Skip("no successor")
	}
	export, ok := p.holder.Stop()
	if !ok {
		t.Skip("holds nothing")
	}
	p.export = &export
	half := len(export.Records) / 2
	parts := [][]ledger.Record{export.Records[:half], export.Records[half:]}
	for i, records := range parts {
		accepted := to.holder.Import(ledger.TransferRequest{
			Region: region, From: export.From, StartedMs: export.StartedMs, CompleteFromMs: export.CompleteFromMs,
			Part: i, Total: len(export.Records), Last: i == len(parts)-1, Records: records,
		})
		if !accepted || rapid.IntRange(0, 7).Draw(t, "answer lost") == 0 {
			return
		}
	}
	p.successor = to.id
	if rapid.Bool().Draw(t, "record") {
		w.delegate(t)
	}
}

// delegate lets each stopping process compute the write of its delegation. The write arrives now or later, even after
// the process has ended.
func (w *world) delegate(t *rapid.T) {
	for _, p := range w.procs {
		if p.export == nil || p.successor == "" {
			continue
		}
		next, changed := w.latest().Delegate(p.export.From, p.export.StartedMs, p.successor)
		if !changed {
			continue
		}
		update := write{len(w.history) - 1, next}
		if rapid.Bool().Draw(t, "late") {
			w.writes = append(w.writes, update)
		} else {
			w.commit(update)
		}
	}
}
