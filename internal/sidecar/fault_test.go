package sidecar_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// trial is one attempt with the result that its entry received.
type trial struct {
	call      link.Call
	reported  fighollow.Outcome // "" if the entry abandoned the attempt before its end
	text      string
	abandoned bool // the entry cancelled the attempt or did not resume it
}

// runTrial sends one attempt. Depending on r it lets it run, cancels it, or closes its link with or without a resume.
func (f *fixture) runTrial(r *rand.Rand, n int) trial {
	tr := trial{call: generateCall(fmt.Sprintf("trial %d of %d", n, r.Int()), 1+r.IntN(60))}
	tr.call.Generate.Model = []string{"loom", "velvet"}[r.IntN(2)]
	tr.call.Worth = float64(1 + r.IntN(3))
	stopAt := uint64(r.IntN(tr.call.Generate.MaxTokens))
	action := r.IntN(6)
	if action < 3 {
		stopAt = 1 << 20
	}
	c := f.dial()
	defer func() { c.Close() }()
	s, err := c.Open(tr.call)
	if err != nil {
		return tr
	}
	resp := f.receive(s, response{}, func(r response) bool { return r.accepted && r.units >= stopAt })
	for try := 0; resp.finish == nil && resp.refusal == nil; try++ {
		if resp.err == nil && action == 3 {
			s.Cancel("caller left")
			tr.abandoned = true
			return tr
		}
		sentOver := c
		c.Close()
		if action == 4 || try > 3 {
			tr.abandoned = true
			return tr
		}
		c = f.dial()
		resp.err = nil
		if s, err = c.Open(resumeCall(sentOver, tr.call.Attempt, resp.units)); err != nil {
			continue
		}
		resp = f.receive(s, resp, func(response) bool { return false })
	}
	tr.text = resp.text
	if resp.refusal != nil {
		tr.reported = resp.refusal.Outcome
	} else {
		tr.reported = resp.finish.Outcome
	}
	return tr
}

// injectFaults repeatedly cuts the engine's streams, crashes it or changes its assignment, until done is closed.
func (f *fixture) injectFaults(r *rand.Rand, done <-chan struct{}) {
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
			if err := f.engine.Control(engine.Control{Action: engine.ActionCutStreams}); err != nil {
				f.t.Error(err)
			}
		default:
			f.putPlan(revision, assignment(models[revision%2], revision))
			revision++
		}
	}
}

// checkTrial compares the result that the entry received with the engine's records.
func (f *fixture) checkTrial(tr trial, runs []engine.AttemptRecord) {
	f.t.Helper()
	comment := qt.Commentf("reported %q for %s, engine recorded %+v", tr.reported, tr.call.Attempt, runs)
	qt.Check(f.t, len(runs) <= 1, qt.IsTrue, comment)
	switch tr.reported {
	case fighollow.OutcomeCompleted:
		qt.Check(f.t, tr.text, qt.Equals, engine.Text(tr.call.Generate.Prompt, 0, tr.call.Generate.MaxTokens), comment)
		qt.Check(f.t, runs, qt.HasLen, 1, comment)
	case fighollow.OutcomeNotRun:
		qt.Check(f.t, len(runs) == 0 || runs[0].Outcome == engine.OutcomeNotRun, qt.IsTrue, comment)
	case fighollow.OutcomeUnknown:
		qt.Check(f.t, engine.Text(tr.call.Generate.Prompt, 0, 60), qt.Contains, tr.text, comment)
	default:
		qt.Check(f.t, tr.abandoned, qt.IsTrue, comment)
	}
}

// Guards against answers that mix, repeat or lack tokens (I4), a false "not run" (I5), a second run of an attempt (I6),
// an order that interrupts work (I2), and slots that are never freed, while cancels, lost links, cut engine streams,
// engine crashes and role changes happen together.
func TestAttemptsUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := startEngine(t, engine.Options{Slots: 4, DecodeRate: 1500, InterruptsWork: true}, func(f *fixture) {
				f.cfg.Upstream.OrderSettleMs = 50
			})
			done := make(chan struct{})
			var faults, entries sync.WaitGroup
			faults.Go(func() { f.injectFaults(rand.New(rand.NewPCG(seed, 0)), done) })
			trials := make([][]trial, 8)
			for i := range trials {
				entries.Go(func() {
					r := rand.New(rand.NewPCG(seed, uint64(i)+1))
					for accepted := 0; accepted < 25; {
						tr := f.runTrial(r, len(trials[i]))
						trials[i] = append(trials[i], tr)
						if tr.reported != fighollow.OutcomeNotRun {
							accepted++
						}
					}
				})
			}
			entries.Wait()
			close(done)
			faults.Wait()
			f.awaitIdle()
			reported := make(map[fighollow.Outcome]int)
			for _, list := range trials {
				for _, tr := range list {
					reported[tr.reported]++
					f.checkTrial(tr, f.engineAttempts(tr.call.Attempt))
				}
			}
			t.Logf("reported outcomes %v", reported)
			qt.Assert(t, reported[fighollow.OutcomeCompleted] > 0, qt.IsTrue)
			for _, o := range f.engine.Record().Orders {
				qt.Check(t, o.Running, qt.Equals, 0, qt.Commentf("%+v", o))
			}
		})
	}
}

// awaitIdle waits until the sidecar has no running or queued attempt and the engine runs none.
func (f *fixture) awaitIdle() {
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
		idle := strings.Contains(string(data), "fighollow_slots_running 0\n") && strings.Contains(string(data), "fighollow_queue_length 0\n")
		return idle && f.engine.State().Running == 0
	})
}
