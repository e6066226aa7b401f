package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case, from the start of traffic.
const (
	lostCut     = 3 * time.Second         // when a machine is cut off from the store
	lostRelease = 500 * time.Millisecond  // after it, when an engine of a new version starts
	lostKill    = 4500 * time.Millisecond // after that, when the machine's process is killed
	lostRest    = 8 * time.Second         // from then to the end
	lostDrained = 2500 * time.Millisecond // TROUBLE=roles: from the last draining to the crash
)

// lostStreams counts the streams of the case.
type lostStreams struct {
	mu          sync.Mutex
	sent, begun int // new streams at machines in touch, and those that began
	taken, went int // streams that clients took up again, and those that went on
}

// playLost has a release bring engines of a second software version while one machine is cut off from the store; then the process of that
// machine is killed, and clients take its streams up again at the others.
func playLost(w *world) (int, error) {
	w.configure()
	engines := map[string]*engine{}
	start := func(id, zone, version, stage string) error {
		e, err := w.startEngine(engineConfig{
			id: id, service: "uw-models", zone: zone, version: version, stage: stage, events: 20, gap: 250 * time.Millisecond,
			first: 100 * time.Millisecond, prompt: 100 * time.Millisecond, roleSwitch: 500 * time.Millisecond,
		})
		engines[id] = e
		return err
	}
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		for k, stage := range []string{"prefill", "prefill", "decode"} {
			if err := start(fmt.Sprintf("i-%d%d", i, k), zone, "v1", stage); err != nil {
				return failed, err
			}
		}
	}
	if err := w.startGateways("hall-a", "hall-b", "hall-c"); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var s lostStreams
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i := range w.gateways {
		wait.Go(func() { w.every(150*time.Millisecond, stop, func() { w.followLost(i, &s) }) })
	}
	time.Sleep(lostCut)
	disturb := func() error { return w.cutAndKill(start) }
	if w.trouble == "roles" {
		disturb = func() error { return w.crashLastDecoder(engines, start) }
	}
	if err := disturb(); err != nil {
		return failed, err
	}
	time.Sleep(lostRest)
	close(stop)
	wait.Wait()
	w.rec.say("%d of %d new streams at the other machines began; clients took %d streams up again, and %d went on", s.begun, s.sent, s.taken, s.went)
	if s.taken >= 12 && float64(s.went)/float64(s.taken) < float64(s.begun)/float64(s.sent)/2 {
		return broken, nil
	}
	return held, nil
}

// cutAndKill cuts the first machine off from the store, begins a release, and kills the machine's process.
func (w *world) cutAndKill(start func(id, zone, version, stage string) error) error {
	cut := w.gateways[0]
	if w.trouble != "0" && w.trouble != "kill" {
		cut.port.turnAway(true)
		w.rec.say("%s is cut off from the store", cut.name)
	}
	time.Sleep(lostRelease)
	w.rec.say("a release begins: an engine of version v2 starts")
	if err := start("i-new", "hall-b", "v2", "decode"); err != nil {
		return err
	}
	time.Sleep(lostKill)
	if w.trouble != "0" {
		cut.kill()
		w.rec.say("the process of %s is killed", cut.name)
		cut.port.turnAway(false)
		time.Sleep(time.Second)
		if err := cut.start(); err != nil {
			return err
		}
	}
	return nil
}

// crashLastDecoder replaces two of the three decode engines by engines of a new version, and crashes the third.
func (w *world) crashLastDecoder(engines map[string]*engine, start func(id, zone, version, stage string) error) error {
	for id, zone := range map[string]string{"i-02": "hall-a", "i-12": "hall-b"} {
		w.rec.say("a release replaces %s: an engine of version v2 starts", id)
		if err := start(id+"-new", zone, "v2", "decode"); err != nil {
			return err
		}
		time.Sleep(time.Second)
		engines[id].drain()
	}
	time.Sleep(lostDrained)
	engines["i-22"].crash()
	return nil
}

// followLost sends a stream, and takes it up again once at another machine if it breaks off.
func (w *world) followLost(machine int, s *lostStreams) {
	id, start := newID(), time.Now()
	q := request{
		id: id, path: "/memo/" + id, method: "POST", body: make([]byte, 2000), deadline: 8 * time.Second,
		prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", rand.Uint32()),
	}
	first := do(w.gateways[machine], q, w.rec)
	var second outcome
	again := !first.complete && len(first.events) > 0
	if again {
		q.id, q.resumes, q.last, q.deadline = newID(), id, first.events[len(first.events)-1].id, 8*time.Second-time.Since(start)
		second = do(w.gateways[(machine+1+rand.IntN(len(w.gateways)-1))%len(w.gateways)], q, w.rec)
		if second.status == 503 && second.retryAfter > 0 && second.retryAfter < (8*time.Second-time.Since(start))/3 {
			time.Sleep(second.retryAfter)
			q.id, q.deadline = newID(), 8*time.Second-time.Since(start)
			second = do(w.gateways[1+rand.IntN(len(w.gateways)-1)], q, w.rec)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if machine != 0 { // the first one is disturbed
		s.sent++
		if len(first.events) > 0 {
			s.begun++
		}
	}
	if again {
		s.taken++
		if len(second.events) > 0 {
			s.went++
		}
	}
}
