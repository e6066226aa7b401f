package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case.
const (
	refusedWarmUp  = 5 * time.Second
	refusedRepeats = 5 * time.Second         // for which the engine sends some answers twice
	refusedCrash   = 2000 * time.Millisecond // after the start of that, when the engine crashes
	refusedDown    = 800 * time.Millisecond
	refusedRest    = 7 * time.Second // from the return to the end
)

// playRefused has an engine crash and come back at its address under a new id, while it sends a few answers twice, the copy late.
func playRefused(w *world) (int, error) {
	w.configure()
	var engines []*engine
	var faulty *engine
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		for k, stage := range []string{"prefill", "prefill", "decode"} {
			e, err := w.startEngine(engineConfig{
				id: fmt.Sprintf("i-%d%d", i, k), service: "uw-models", zone: zone, version: "v1", stage: stage, events: 8, gap: 50 * time.Millisecond,
				first: 100 * time.Millisecond, prompt: 100 * time.Millisecond, roleSwitch: 500 * time.Millisecond,
			})
			if err != nil {
				return failed, err
			}
			engines = append(engines, e)
			if i == 0 && stage == "decode" {
				faulty = e
			}
		}
	}
	if err := w.startGateways("hall-a", "hall-b", "hall-c"); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sent, refused := 0, map[string]int{} // statuses of requests that promise that they have not run
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i := range w.gateways {
		wait.Go(func() {
			w.every(33*time.Millisecond, stop, func() {
				id := newID()
				o := do(w.gateways[i], request{
					id: id, path: "/check/" + id, method: "POST", body: make([]byte, 2000), deadline: 5 * time.Second,
					prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", rand.Uint32()),
				}, w.rec)
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch o.status {
				case 408, 421, 429, 503:
					refused[id] = o.status
				}
			})
		})
	}
	time.Sleep(refusedWarmUp)
	if w.trouble != "0" {
		if w.trouble != "crash" {
			faulty.setRepeats(true)
			time.AfterFunc(refusedRepeats, func() { faulty.setRepeats(false) })
		}
		time.Sleep(refusedCrash)
		faulty.beat()
		faulty.crash()
		time.Sleep(refusedDown)
		if err := faulty.restart("i-new"); err != nil {
			return failed, err
		}
	}
	time.Sleep(refusedRest)
	close(stop)
	wait.Wait()
	lies := 0
	for id, status := range refused {
		for _, e := range engines {
			if e.hasRun(id) {
				lies++
				w.rec.say("request %s, which must not run twice, was answered %d and has run", id, status)
			}
		}
	}
	w.rec.say("%d requests, %d refused, %d of these have run", sent, len(refused), lies)
	if lies > 0 {
		return broken, nil
	}
	return held, nil
}

// every calls f in a goroutine of its own at each interval until stop is closed, and waits for all calls.
func (w *world) every(interval time.Duration, stop chan struct{}, f func()) {
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wait.Go(f)
	}
}
