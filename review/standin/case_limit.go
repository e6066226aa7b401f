package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case, from the start of traffic.
const (
	limitNamed = 5 * time.Second // when the engine first names its limit
	limitCut   = 9 * time.Second // after it, when the engine is cut off from the store
	limitFor   = 5 * time.Second // how long
	limitRest  = 6 * time.Second // from the end of the cut to the end
)

// The rule: in some 4 s more than one and a half times what the limit allows, and 5 requests, from the stable window on.
const (
	limitPerSecond = 0.5
	limitText      = "0.5"
	limitSpan      = 4 * time.Second
	limitStable    = 3 * time.Second
)

// playLimit has an engine in need name a limit, which one machine passes on, and cuts the engine off from the store, not from the
// machines, for as long as its entry takes to lapse.
func playLimit(w *world) (int, error) {
	w.configure()
	var needy *engine
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		for k, stage := range []string{"prefill", "prefill", "decode"} {
			e, err := w.startEngine(engineConfig{
				id: fmt.Sprintf("i-%d%d", i, k), service: "uw-models", zone: zone, version: "v1", stage: stage, events: 10, gap: 50 * time.Millisecond,
				first: 400 * time.Millisecond, prompt: 100 * time.Millisecond, roleSwitch: 500 * time.Millisecond,
			})
			if err != nil {
				return failed, err
			}
			if i == 0 && stage == "decode" {
				needy = e
			}
		}
	}
	if err := w.startGateways("hall-a", "hall-b", "hall-c"); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var wait sync.WaitGroup
	stop := make(chan struct{})
	wait.Go(func() { w.sendPrompts(stop) })
	time.Sleep(limitNamed)
	named := time.Now()
	needy.setLimit(limitText)
	time.Sleep(limitCut)
	if w.trouble != "0" {
		needy.setCut(true)
	}
	time.Sleep(limitFor)
	if w.trouble != "0" {
		needy.setCut(false)
	}
	time.Sleep(limitRest)
	close(stop)
	wait.Wait()
	return w.judgeLimit(needy.arrivals(), named), nil
}

// sendPrompts sends streams to the first machine until stop is closed.
func (w *world) sendPrompts(stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(33 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wait.Go(func() {
			id := newID()
			do(w.gateways[0], request{
				id: id, path: "/memo/" + id, method: "POST", body: make([]byte, 2000), deadline: 8 * time.Second,
				prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", rand.Uint32()),
			}, w.rec)
		})
	}
}

// judgeLimit counts the requests that the engine got in each span.
func (w *world) judgeLimit(arrivals []time.Time, named time.Time) int {
	most := 1.5*limitPerSecond*limitSpan.Seconds() + 5
	worst := 0
	var worstAt time.Time
	for i, from := range arrivals {
		if from.Before(named.Add(limitStable)) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < limitSpan {
				n++
			}
		}
		if n > worst {
			worst, worstAt = n, from
		}
	}
	w.rec.say("the engine got at most %d requests in %v (from %.3f on), %.1f are allowed", worst, limitSpan, worstAt.Sub(w.rec.start).Seconds(), most)
	if float64(worst) > most {
		return broken
	}
	return held
}
