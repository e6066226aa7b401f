package faults_test

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runOperator runs an operator's command and reports whether it succeeded.
func (f *fleet) runOperator(args ...string) bool {
	args = append(args, "--object-api", f.apiAddr, "--by", "test")
	out, err := exec.CommandContext(f.ctx, filepath.Join(binaries, "fighollow"), args...).CombinedOutput()
	if err != nil {
		f.t.Logf("%v: %v: %s", args, err, out)
	}
	return err == nil
}

// engineState is the part of an engine's state report that the tests use.
type engineState struct {
	Phase      string `json:"phase"`
	Assignment struct {
		ModelVersion string `json:"modelVersion"`
	} `json:"assignment"`
}

// serves reports whether the engine is ready with a model version.
func (u *upstream) serves(version string) bool {
	var s engineState
	return get("http://"+u.addr+"/state", &s) && s.Phase == "ready" && s.Assignment.ModelVersion == version
}

// startTraffic sends completions through both entries until stop is called.
func (f *fleet) startTraffic() (stop func()) {
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 2 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-quit:
					return
				case <-f.ctx.Done():
					return
				default:
				}
				q := f.sendCompletion(n, "load "+string(rune('a'+n))+" "+time.Now().String())
				wait(q.done, cellLimit)
				time.Sleep(20 * time.Millisecond) // limits the number of requests in a cell
			}
		})
	}
	return sync.OnceFunc(func() { close(quit); wg.Wait() })
}

// changeSteps are the steps of a change of preset, up to the confirmation of an engine's order.
var changeSteps = []step{
	{name: "write"}, {name: "spread"}, {"send", "orderReceived", 0}, {"apply", "orderApplied", 0}, {"confirm", "orderReply", 0},
}

func (f *fleet) apiControl(c object) {
	if !post("http://"+f.apiAddr+"/control", c) {
		f.t.Error("object API did not accept the control request")
	}
}

var apiFaults = []fault{
	{
		"object API down",
		func(f *fleet, _ *upstream) { f.apiControl(object{"down": true}) },
		func(f *fleet, _ *upstream) { f.apiControl(object{}) },
	},
	{
		"object API slow",
		func(f *fleet, _ *upstream) { f.apiControl(object{"slowMs": 1500}) },
		func(f *fleet, _ *upstream) { f.apiControl(object{}) },
	},
	{
		"object API loses answers",
		func(f *fleet, _ *upstream) { f.apiControl(object{"loseWrites": 4}) },
		func(f *fleet, _ *upstream) {},
	},
}

// changeCell changes the preset under load, holds the change at a step and injects a fault. Both engines must serve the
// new version in the end.
func changeCell(s step, x fault) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		send := func(f *fleet, id string) *request { return f.sendCompletion(0, id) }
		f.awaitRecovery(t, "before", send)
		stop := f.startTraffic()
		defer stop()
		target := f.engines[0]
		used := make(chan struct{})
		use := func() {
			defer close(used)
			until(f.ctx, t, "preset p2 is used", func() bool { return f.runOperator("preset", "use", "p2") })
		}
		switch s.name {
		case "write":
			x.inject(f, target)
			go use()
		case "spread":
			go use()
			until(f.ctx, t, "the choice is stored", f.choiceStored)
			x.inject(f, target)
		default:
			for _, u := range f.engines {
				u.control("hold", s.standinStep, 0)
			}
			go use()
			until(f.ctx, t, "an order at step "+s.name, func() bool {
				for _, u := range f.engines {
					if u.held(s.standinStep) {
						target = u
						return true
					}
				}
				return false
			})
			x.inject(f, target)
		}
		// The step is released after the fault is healed, so that the order is in progress throughout the fault.
		wait(used, maxPause)
		time.Sleep(500 * time.Millisecond)
		x.heal(f, target)
		for _, u := range f.engines {
			if s.standinStep != "" {
				until(f.ctx, t, "the step is released", func() bool { return u.control("release", s.standinStep, 0) })
			}
		}
		<-used
		until(f.ctx, t, "both engines serve v2", func() bool { return f.engines[0].serves("v2") && f.engines[1].serves("v2") })
		stop()
		if x.name != "kill entry" {
			f.checkUninterrupted(t)
		}
		f.awaitRecovery(t, "after", send)
	}
}

// choiceStored reports whether the object API has stored a choice of preset other than the initial one.
func (f *fleet) choiceStored() bool {
	var chosen struct {
		Value struct {
			ChosenMs int64 `json:"chosenMs"`
		} `json:"value"`
	}
	return get("http://"+f.apiAddr+"/objects/inForce/current", &chosen) && chosen.Value.ChosenMs > 1
}

// checkUninterrupted checks that every completion whose response began with status 200 is complete.
func (f *fleet) checkUninterrupted(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.requests {
		if wait(q.done, 0) && q.status == http.StatusOK && !q.complete {
			t.Errorf("interrupted by a change of preset: %v", q)
		}
	}
}

// Guards against a change of preset that is lost, reverted or applied out of order, or that interrupts requests, when a
// process fails, stops or is unreachable at any step of the change.
func TestChange(t *testing.T) {
	var cells []cell
	quick := map[string]bool{"apply/crash engine": true, "send/kill sidecar": true, "write/object API loses answers": true}
	faults := append([]fault{crashEngine}, processFaults[:5]...)
	for _, s := range changeSteps {
		for _, x := range append(faults[:len(faults):len(faults)], apiFaults...) {
			if s.standinStep == "" && x.name == "crash engine" {
				continue // no engine is involved in the write
			}
			name := s.name + "/" + x.name
			cells = append(cells, cell{name, quick[name], changeCell(s, x)})
		}
	}
	cells = append(cells,
		cell{"operators race", true, operatorsRace},
		cell{"restart without object API", true, restartWithoutAPI},
		cell{"planned stop of sidecar", true, stopSidecar},
		cell{"planned stop of entry", true, stopEntry},
		cell{"drain of engine", false, drainEngine},
	)
	runCells(t, cells)
}

// operatorsRace has two operators replace the preset in force concurrently. Exactly one command must report success.
func operatorsRace(t *testing.T, f *fleet) {
	var status struct {
		Version uint64 `json:"version"`
	}
	if !get("http://"+f.apiAddr+"/objects/inForce/current", &status) {
		t.Fatal("no preset in force")
	}
	won := make(chan bool, 2)
	for _, name := range []string{"p2", "p3"} {
		go func() { won <- f.runOperator("preset", "use", "--expect", formatUint(status.Version), name) }()
	}
	if a, b := <-won, <-won; a == b {
		t.Errorf("success of the two commands: %v and %v, want exactly one", a, b)
	}
	var chosen struct {
		Value struct {
			Preset struct {
				Models []struct {
					ModelVersion string `json:"modelVersion"`
				} `json:"models"`
			} `json:"preset"`
		} `json:"value"`
	}
	if !get("http://"+f.apiAddr+"/objects/inForce/current", &chosen) {
		t.Fatal("no preset in force")
	}
	version := chosen.Value.Preset.Models[0].ModelVersion
	until(f.ctx, t, "both engines serve "+version, func() bool {
		return f.engines[0].serves(version) && f.engines[1].serves(version)
	})
}

// restartWithoutAPI kills and restarts an entry and a sidecar during an outage of the object API.
func restartWithoutAPI(t *testing.T, f *fleet) {
	send := func(f *fleet, id string) *request { return f.sendCompletion(0, id) }
	f.awaitRecovery(t, "before", send)
	f.apiControl(object{"down": true})
	f.engines[0].sidecar.kill()
	f.entries[0].kill()
	f.restart(f.engines[0].sidecar, f.engines[0].admin+"/readyz")
	f.restart(f.entries[0], f.adminAddrs[0]+"/readyz")
	f.awaitRecovery(t, "during", send)
	f.apiControl(object{})
	f.awaitRecovery(t, "after", send)
}

// gracefulStop holds completions mid-stream, calls stop and checks that every completion is answered completely. stop
// returns the process that it has signalled, which must not end before the completions do, or nil.
func gracefulStop(t *testing.T, f *fleet, stop func() *process) {
	send := func(f *fleet, id string) *request { return f.sendCompletion(0, id) }
	f.awaitRecovery(t, "before", send)
	s := step{"mid-stream", "token", 7}
	s.hold(f.engines)
	var sent []*request
	for _, id := range []string{"one", "two", "three", "four"} {
		sent = append(sent, send(f, id))
	}
	until(f.ctx, t, "all requests held at step mid-stream", func() bool {
		var a, b record
		return get("http://"+f.engines[0].addr+"/record", &a) && get("http://"+f.engines[1].addr+"/record", &b) &&
			a.Held[s.standinStep]+b.Held[s.standinStep] == len(sent)
	})
	p := stop()
	if p != nil && wait(p.done, time.Second) {
		t.Errorf("%s ended with open requests", p.name)
	}
	for _, u := range f.engines {
		s.release(u)
	}
	for _, q := range sent {
		until(f.ctx, t, "an answer", func() bool { return wait(q.done, 0) })
		if !q.complete {
			t.Errorf("interrupted by a planned stop: %v", q)
		}
	}
	if p != nil {
		until(f.ctx, t, p.name+" has ended", p.ended)
	}
}

func stopSidecar(t *testing.T, f *fleet) {
	gracefulStop(t, f, func() *process {
		for _, u := range f.engines {
			if u.held("token") {
				u.sidecar.signal(syscall.SIGTERM)
				return u.sidecar
			}
		}
		return nil
	})
	f.awaitRecovery(t, "after", func(f *fleet, id string) *request { return f.sendCompletion(0, id) })
}

func stopEntry(t *testing.T, f *fleet) {
	gracefulStop(t, f, func() *process {
		f.entries[0].signal(syscall.SIGTERM)
		return f.entries[0]
	})
	f.awaitRecovery(t, "after", func(f *fleet, id string) *request { return f.sendCompletion(1, id) })
}

func drainEngine(t *testing.T, f *fleet) {
	gracefulStop(t, f, func() *process {
		if !f.runOperator("engine", "drain", "engine-1") {
			t.Error("drain failed")
		}
		return nil
	})
	f.awaitRecovery(t, "after", func(f *fleet, id string) *request { return f.sendCompletion(0, id) })
}
