package sidecar_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// story is one attempt and what its entry was told of it.
type story struct {
	call    link.Call
	told    fighollow.Outcome // "" when the entry gave up before the end
	text    string
	dropped bool // the entry cancelled or was lost
}

// play sends one attempt and does to it what r decides: nothing, a cancel, or a lost link with or without a resume.
func (f *fleet) play(r *rand.Rand, n int) story {
	st := story{call: generate(fmt.Sprintf("story %d of %d", n, r.Int()), 1+r.IntN(60))}
	st.call.Generate.Model = []string{"loom", "velvet"}[r.IntN(2)]
	st.call.Worth = float64(1 + r.IntN(3))
	stopAt := uint64(r.IntN(st.call.Generate.MaxTokens))
	fate := r.IntN(6)
	if fate < 3 {
		stopAt = 1 << 20
	}
	c := f.dial()
	defer func() { c.Close() }()
	s, err := c.Open(st.call)
	if err != nil {
		return st
	}
	got := f.receive(s, reply{}, func(r reply) bool { return r.accepted && r.units >= stopAt })
	for try := 0; got.finish == nil && got.refusal == nil; try++ {
		if got.err == nil && fate == 3 {
			s.Cancel("caller left")
			st.dropped = true
			return st
		}
		old := c
		c.Close()
		if fate == 4 || try > 3 {
			st.dropped = true
			return st
		}
		c = f.dial()
		got.err = nil
		if s, err = c.Open(resume(old, st.call.Attempt, got.units)); err != nil {
			continue
		}
		got = f.receive(s, got, func(reply) bool { return false })
	}
	st.text = got.text
	if got.refusal != nil {
		st.told = got.refusal.Outcome
	} else {
		st.told = got.finish.Outcome
	}
	return st
}

// disturb breaks the engine's answers, crashes it or changes its assignment until done.
func (f *fleet) disturb(r *rand.Rand, done <-chan struct{}) {
	models := []string{"loom", "velvet"}
	for revision := uint64(2); ; {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(100+r.IntN(200)) * time.Millisecond):
		}
		switch r.IntN(6) {
		case 0:
			f.engine.Crash()
		case 1, 2, 3:
			if err := f.engine.Control(engine.Control{Action: engine.ActionCut}); err != nil {
				f.t.Error(err)
			}
		default:
			f.plan(revision, assignment(models[revision%2], revision))
			revision++
		}
	}
}

// judge compares what an entry was told with what the engine recorded.
func (f *fleet) judge(st story, runs []engine.AttemptRecord) {
	f.t.Helper()
	what := qt.Commentf("told %q of %s, engine has %+v", st.told, st.call.Attempt, runs)
	qt.Check(f.t, len(runs) <= 1, qt.IsTrue, what)
	switch st.told {
	case fighollow.Completed:
		qt.Check(f.t, st.text, qt.Equals, engine.Text(st.call.Generate.Prompt, 0, st.call.Generate.MaxTokens), what)
		qt.Check(f.t, runs, qt.HasLen, 1, what)
	case fighollow.NotRun:
		qt.Check(f.t, len(runs) == 0 || runs[0].Outcome == engine.OutcomeNotRun, qt.IsTrue, what)
	case fighollow.Unknown:
		qt.Check(f.t, engine.Text(st.call.Generate.Prompt, 0, 60), qt.Contains, st.text, what)
	default:
		qt.Check(f.t, st.dropped, qt.IsTrue, what)
	}
}

// Guards against answers that mix, repeat or lack tokens (I4), a false "not run" (I5), a second run of an attempt (I6),
// an order that interrupts work (I2), and places that are never freed, with all of these faults at once.
func TestAttemptsUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := startEngine(t, engine.Options{Slots: 4, DecodeRate: 1500, InterruptsWork: true}, func(f *fleet) {
				f.cfg.Upstream.OrderSettleMs = 50
			})
			done := make(chan struct{})
			var disturber, entries sync.WaitGroup
			disturber.Go(func() { f.disturb(rand.New(rand.NewPCG(seed, 0)), done) })
			stories := make([][]story, 8)
			for i := range stories {
				entries.Go(func() {
					r := rand.New(rand.NewPCG(seed, uint64(i)+1))
					for accepted := 0; accepted < 25; {
						st := f.play(r, len(stories[i]))
						stories[i] = append(stories[i], st)
						if st.told != fighollow.NotRun {
							accepted++
						}
					}
				})
			}
			entries.Wait()
			close(done)
			disturber.Wait()
			f.awaitIdle()
			told := make(map[fighollow.Outcome]int)
			for _, list := range stories {
				for _, st := range list {
					told[st.told]++
					f.judge(st, f.attempts(st.call.Attempt))
				}
			}
			t.Logf("told %v", told)
			qt.Assert(t, told[fighollow.Completed] > 0, qt.IsTrue)
			for _, o := range f.engine.Record().Orders {
				qt.Check(t, o.Running, qt.Equals, 0, qt.Commentf("%+v", o))
			}
		})
	}
}

// awaitIdle waits until neither the sidecar nor the engine runs anything.
func (f *fleet) awaitIdle() {
	f.t.Helper()
	await(f.t, "idle sidecar and engine", func() bool {
		res, err := http.Get("http://" + f.cfg.Admin + "/metrics")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		data, err := io.ReadAll(res.Body)
		if err != nil {
			return false
		}
		var m map[string]struct{ Value int }
		// Histograms and counters have other fields, which are left out.
		if err := json.Unmarshal(data, &m); err != nil {
			return false
		}
		return m["slots.running"].Value == 0 && m["queue.length"].Value == 0 && f.engine.State().Running == 0
	})
}
