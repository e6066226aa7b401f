package faults_test

import (
	"fmt"
	"testing"
	"time"
)

// maxPause is how long a fault lasts if the request is not answered earlier. It is long enough for links to break.
const maxPause = 5 * time.Second

// fault is a fault of a process or of the network. u is the upstream at which the request, order or call is held.
type fault struct {
	name   string
	inject func(f *fleet, u *upstream)
	heal   func(f *fleet, u *upstream)
}

func pauseFault(name string, processOf func(f *fleet, u *upstream) *process) fault {
	return fault{
		"pause " + name,
		func(f *fleet, u *upstream) { processOf(f, u).pause() },
		func(f *fleet, u *upstream) { processOf(f, u).resume() },
	}
}

func cutFault(name string, cutToTarget, cutFromTarget bool) fault {
	return fault{
		name,
		func(_ *fleet, u *upstream) { u.proxy.setCut(cutToTarget, cutFromTarget) },
		func(_ *fleet, u *upstream) { u.proxy.setCut(false, false) },
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
			if !u.control("crash", "", 0) {
				f.t.Errorf("%s did not crash", u.id)
			}
		},
		func(*fleet, *upstream) {},
	}
	killService = fault{
		"kill service",
		func(f *fleet, u *upstream) {
			if !get("http://"+u.addr+"/record", &u.lastRecord) {
				f.t.Errorf("no record of %s", u.id)
			}
			u.standin.kill()
		},
		func(f *fleet, u *upstream) { f.restart(u.standin, u.addr+"/record") },
	}
	processFaults = []fault{
		killSidecar, pauseFault("sidecar", sidecarOf), pauseFault("upstream", standinOf), killEntry, pauseFault("entry", entryOf),
		cutFault("cut towards upstream", true, false), cutFault("cut towards entry", false, true), cutFault("cut both ways", true, true),
	}
)

// step is a point at which a cell can hold a request.
type step struct {
	name        string
	standinStep string // step of the stand-in; if empty, the proxy holds the entry's call
	n           int    // index of the token, for the step token
}

var (
	callSteps = []step{{name: "accept"}}
	// Completions may run more than once, so that a request must survive every fault but the loss of its entry.
	completionSteps = append(callSteps, step{"dispatch", "beforeAccept", 0}, step{"first token", "firstToken", 0},
		step{"mid-stream", "token", 7}, step{"finish", "finish", 0})
	serviceSteps = append(callSteps, step{"dispatch", "received", 0}, step{"ran", "head", 0}, step{"mid-stream", "body", 0})
)

func (s step) hold(upstreams []*upstream) bool {
	ok := true
	for _, u := range upstreams {
		if s.standinStep == "" {
			u.proxy.setCut(true, false)
		} else {
			ok = u.control("hold", s.standinStep, s.n) && ok
		}
	}
	return ok
}

func (s step) reached(u *upstream) bool {
	if s.standinStep == "" {
		return u.proxy.holdsBack(toTarget)
	}
	return u.held(s.standinStep)
}

func (s step) release(u *upstream) {
	if s.standinStep == "" {
		u.proxy.setCut(false, false)
		return
	}
	u.control("release", s.standinStep, 0)
}

// requestCell holds a request at a step, injects a fault at the upstream that has it, lets everything else continue, and
// heals the fault when the request is answered or after maxPause.
func requestCell(s step, x fault, upstreamsOf func(f *fleet) []*upstream, send func(f *fleet, id string) *request) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		f.awaitRecovery(t, "before", send)
		upstreams := upstreamsOf(f)
		if !s.hold(upstreams) {
			t.Fatal("step cannot be held")
		}
		q := send(f, "the request")
		var target *upstream
		until(f.ctx, t, "request at step "+s.name, func() bool {
			for _, u := range upstreams {
				if s.reached(u) {
					target = u
					return true
				}
			}
			return false
		})
		x.inject(f, target)
		for _, u := range upstreams {
			if u != target {
				s.release(u)
			}
		}
		if s.standinStep != "" && x.name != "pause upstream" {
			s.release(target)
		}
		wait(q.done, maxPause)
		x.heal(f, target)
		s.release(target)
		until(f.ctx, t, "an answer", func() bool { return wait(q.done, 0) })
		if q.completion && !q.complete && x.name != "kill entry" {
			t.Errorf("a request that may run more than once was not completed: %v", q)
		}
		f.awaitRecovery(t, "after", send)
	}
}

// awaitRecovery sends requests until one is answered completely.
func (f *fleet) awaitRecovery(t *testing.T, when string, send func(f *fleet, id string) *request) {
	n := 0
	until(f.ctx, t, "a complete answer "+when+" the fault", func() bool {
		n++
		q := send(f, fmt.Sprintf("%s %d", when, n))
		return wait(q.done, 10*time.Second) && q.complete
	})
}

// lastUpstreamCell interrupts a request in the middle of its answer when no other engine can resume it. The refusals of
// later attempts must not hide that an earlier attempt ran.
func lastUpstreamCell(t *testing.T, f *fleet) {
	send := func(f *fleet, id string) *request { return f.sendCompletion(0, id) }
	f.awaitRecovery(t, "before", send)
	s := step{"mid-stream", "token", 7}
	s.hold(f.engines)
	q := send(f, "the request")
	target, other := f.engines[0], f.engines[1]
	until(f.ctx, t, "request at step mid-stream", func() bool {
		if other.held(s.standinStep) {
			target, other = other, target
		}
		return target.held(s.standinStep)
	})
	other.sidecar.kill()
	crashEngine.inject(f, target)
	until(f.ctx, t, "an answer", func() bool { return wait(q.done, 0) })
	s.release(target)
	s.release(other)
	killSidecar.heal(f, other)
	f.awaitRecovery(t, "after", send)
}

// Guards against a completion that is lost, cut short or altered when a process or a connection fails at any step.
func TestCompletion(t *testing.T) {
	cells := []cell{{"mid-stream/no other engine", true, lastUpstreamCell}}
	quick := map[string]bool{
		"mid-stream/crash engine": true, "mid-stream/kill sidecar": true, "mid-stream/kill entry": true,
		"dispatch/pause sidecar": true, "first token/cut both ways": true, "mid-stream/cut towards entry": true,
	}
	for _, s := range completionSteps {
		for _, x := range append(append([]fault{crashEngine}, processFaults...), apiFaults...) {
			name := s.name + "/" + x.name
			cells = append(cells, cell{name, quick[name], requestCell(s, x,
				func(f *fleet) []*upstream { return f.engines },
				func(f *fleet, id string) *request { return f.sendCompletion(0, id) },
			)})
		}
	}
	runCells(t, cells)
}

// Guards against a service call that runs twice, or is reported as not run although it ran, when a process or a connection
// fails at any step.
func TestServiceCall(t *testing.T) {
	var cells []cell
	quick := map[string]bool{
		"dispatch/kill sidecar": true, "ran/kill service": true, "ran/cut both ways": true, "accept/cut towards upstream": true,
	}
	for _, s := range serviceSteps {
		for _, x := range append([]fault{killService}, processFaults...) {
			name := s.name + "/" + x.name
			cells = append(cells, cell{name, quick[name], requestCell(s, x,
				func(f *fleet) []*upstream { return []*upstream{f.service} },
				func(f *fleet, id string) *request { return f.sendCall(0, id, "") },
			)})
		}
	}
	runCells(t, cells)
}
