package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// pauseTime is how long a paused process sleeps when no answer comes meanwhile; long enough for links to break.
const pauseTime = 5 * time.Second

// fault is what happens to the process at a step, and how it ends.
type fault struct {
	name   string
	inject func(f *fleet, u *upstream)
	heal   func(f *fleet, u *upstream)
}

func pauseOf(name string, p func(f *fleet, u *upstream) *process) fault {
	return fault{
		"pause " + name,
		func(f *fleet, u *upstream) { p(f, u).pause() },
		func(f *fleet, u *upstream) { p(f, u).resume() },
	}
}

func cut(name string, upCut, downCut bool) fault {
	return fault{
		name,
		func(_ *fleet, u *upstream) { u.proxy.set(upCut, downCut) },
		func(_ *fleet, u *upstream) { u.proxy.set(false, false) },
	}
}

func sidecarOf(_ *fleet, u *upstream) *process { return u.sidecar }
func standinOf(_ *fleet, u *upstream) *process { return u.standin }
func entryOf(f *fleet, _ *upstream) *process   { return f.entries[0] }

var (
	killSidecar = fault{
		"kill sidecar",
		func(_ *fleet, u *upstream) { u.sidecar.kill() },
		func(f *fleet, u *upstream) { f.restart(u.sidecar, u.admin+"/healthz") },
	}
	killEntry = fault{
		"kill entry",
		func(f *fleet, _ *upstream) { f.entries[0].kill() },
		func(f *fleet, _ *upstream) { f.entries[0].start(f.t) },
	}
	crashEngine = fault{
		"crash engine",
		func(f *fleet, u *upstream) {
			if !u.gate("crash", "", 0) {
				f.t.Errorf("%s did not crash", u.id)
			}
		},
		func(*fleet, *upstream) {},
	}
	killService = fault{
		"kill service",
		func(f *fleet, u *upstream) {
			if !get("http://"+u.addr+"/record", &u.lost) {
				f.t.Errorf("no record of %s", u.id)
			}
			u.standin.kill()
		},
		func(f *fleet, u *upstream) { f.restart(u.standin, u.addr+"/record") },
	}
	ofProcesses = []fault{
		killSidecar, pauseOf("sidecar", sidecarOf), pauseOf("upstream", standinOf), killEntry, pauseOf("entry", entryOf),
		cut("cut towards upstream", true, false), cut("cut towards entry", false, true), cut("cut both ways", true, true),
	}
)

// step is a point of a request that a cell can hold it at.
type step struct {
	name string
	gate string // step of the stand-in; empty: the entry's call is held in the network
	n    int
}

var (
	callSteps = []step{{name: "accept"}}
	// Completions may be repeated, so that a request survives everything but the loss of its entry.
	completionSteps = append(callSteps, step{"dispatch", "beforeAccept", 0}, step{"first token", "firstToken", 0},
		step{"mid-stream", "token", 7}, step{"finish", "finish", 0})
	serviceSteps = append(callSteps, step{"dispatch", "received", 0}, step{"ran", "head", 0}, step{"mid-stream", "body", 0})
)

func (s step) hold(us []*upstream) bool {
	ok := true
	for _, u := range us {
		if s.gate == "" {
			u.proxy.set(true, false)
		} else {
			ok = u.gate("hold", s.gate, s.n) && ok
		}
	}
	return ok
}

func (s step) reached(u *upstream) bool {
	if s.gate == "" {
		return u.proxy.holds(up)
	}
	return u.held(s.gate)
}

func (s step) release(u *upstream) {
	if s.gate == "" {
		u.proxy.set(false, false)
		return
	}
	u.gate("release", s.gate, 0)
}

// requestCell holds a request at a step, injects a fault into the upstream that has it, lets everything else go on, and
// heals the fault when the answer has come or after pauseTime.
func requestCell(s step, x fault, us func(f *fleet) []*upstream, send func(f *fleet, id string) *request) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		f.recover(t, "before", send)
		all := us(f)
		if !s.hold(all) {
			t.Fatal("step cannot be held")
		}
		q := send(f, "the request")
		var at *upstream
		until(f.ctx, t, "request at step "+s.name, func() bool {
			for _, u := range all {
				if s.reached(u) {
					at = u
					return true
				}
			}
			return false
		})
		x.inject(f, at)
		for _, u := range all {
			if u != at {
				s.release(u)
			}
		}
		if s.gate != "" && x.name != "pause upstream" {
			s.release(at)
		}
		wait(q.done, pauseTime)
		x.heal(f, at)
		s.release(at)
		until(f.ctx, t, "an answer", func() bool { return wait(q.done, 0) })
		if q.completion && !q.whole && x.name != "kill entry" {
			t.Errorf("a request that may be repeated was lost: %v", q)
		}
		f.recover(t, "after", send)
	}
}

// recover sends requests until one gets a whole answer.
func (f *fleet) recover(t *testing.T, when string, send func(f *fleet, id string) *request) {
	n := 0
	until(f.ctx, t, "a whole answer "+when+" the fault", func() bool {
		n++
		q := send(f, fmt.Sprintf("%s %d", when, n))
		return wait(q.done, 10*time.Second) && q.whole
	})
}

// lastUpstreamCell breaks a request off in the middle of its answer when no other engine can continue it. The refusals of
// later attempts must not hide that an earlier attempt ran.
func lastUpstreamCell(t *testing.T, f *fleet) {
	send := func(f *fleet, id string) *request { return f.complete(0, id) }
	f.recover(t, "before", send)
	s := step{"mid-stream", "token", 7}
	s.hold(f.engines)
	q := send(f, "the request")
	at, other := f.engines[0], f.engines[1]
	until(f.ctx, t, "request at step mid-stream", func() bool {
		if other.held(s.gate) {
			at, other = other, at
		}
		return at.held(s.gate)
	})
	other.sidecar.kill()
	crashEngine.inject(f, at)
	until(f.ctx, t, "an answer", func() bool { return wait(q.done, 0) })
	s.release(at)
	s.release(other)
	killSidecar.heal(f, other)
	f.recover(t, "after", send)
}

func TestCompletion(t *testing.T) {
	cells := []cell{{"mid-stream/no other engine", true, lastUpstreamCell}}
	quick := map[string]bool{
		"mid-stream/crash engine": true, "mid-stream/kill sidecar": true, "mid-stream/kill entry": true,
		"dispatch/pause sidecar": true, "first token/cut both ways": true, "mid-stream/cut towards entry": true,
	}
	for _, s := range completionSteps {
		for _, x := range append(append([]fault{crashEngine}, ofProcesses...), apiFaults...) {
			name := s.name + "/" + x.name
			cells = append(cells, cell{name, quick[name], requestCell(s, x,
				func(f *fleet) []*upstream { return f.engines },
				func(f *fleet, id string) *request { return f.complete(0, id) },
			)})
		}
	}
	runCells(t, cells)
}

func TestServiceCall(t *testing.T) {
	var cells []cell
	quick := map[string]bool{
		"dispatch/kill sidecar": true, "ran/kill service": true, "ran/cut both ways": true, "accept/cut towards upstream": true,
	}
	for _, s := range serviceSteps {
		for _, x := range append([]fault{killService}, ofProcesses...) {
			name := s.name + "/" + x.name
			cells = append(cells, cell{name, quick[name], requestCell(s, x,
				func(f *fleet) []*upstream { return []*upstream{f.service} },
				func(f *fleet, id string) *request { return f.call(0, id, "") },
			)})
		}
	}
	runCells(t, cells)
}
