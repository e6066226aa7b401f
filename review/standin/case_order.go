package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case, from the start of traffic.
const (
	orderYoung   = 63 * time.Second        // until the machines have been up for more than a minute
	orderRelease = time.Second             // after it, from when a machine is turned away until the engine of the new version starts
	orderCrash   = 4500 * time.Millisecond // after it, until the engine of the new version crashes
	orderAway    = 9 * time.Second         // for which the store turns one machine away
	orderRest    = 13 * time.Second        // from the crash to the end
)

// orderStreams is what clients got of their streams.
type orderStreams struct {
	mu      sync.Mutex
	total   int
	resumed int
	mixed   []string
}

// playOrder has a release bring engines of a second software version while the store turns one machine away. The first engine of the
// new version crashes, and clients take their streams up again at other machines.
func playOrder(w *world) (int, error) {
	w.configure()
	engine := func(id, zone, version, stage string) (*engine, error) {
		return w.startEngine(engineConfig{
			id: id, service: "uw-models", zone: zone, version: version, stage: stage, events: 20, gap: 250 * time.Millisecond,
			first: 100 * time.Millisecond, prompt: 100 * time.Millisecond, roleSwitch: 500 * time.Millisecond,
		})
	}
	old := map[string]*engineRef{}
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		for k, stage := range []string{"prefill", "prefill", "decode"} {
			id := fmt.Sprintf("i-%d%d", i, k)
			e, err := engine(id, zone, "v1", stage)
			if err != nil {
				return failed, err
			}
			old[id] = &engineRef{e}
		}
	}
	if err := w.startGateways("hall-a", "hall-b", "hall-c"); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var streams orderStreams
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i := range w.gateways {
		wait.Go(func() { w.sendStreams(i, &streams, stop) })
	}
	time.Sleep(orderYoung)
	away := w.gateways[2]
	disrupted := w.trouble != "0"
	if disrupted && w.trouble != "crash" {
		away.port.turnAway(true)
		w.rec.say("the store turns %s away, without an answer, for %v", away.name, orderAway)
		time.AfterFunc(orderAway, func() {
			away.port.turnAway(false)
			w.rec.say("the store serves %s again", away.name)
		})
	}
	time.Sleep(orderRelease)
	w.rec.say("a release begins: an engine of version v2 starts")
	fresh, err := engine("i-new", "hall-a", "v2", "decode")
	if err != nil {
		return failed, err
	}
	time.AfterFunc(time.Second, func() { old["i-02"].drain() })
	time.Sleep(orderCrash)
	if disrupted {
		fresh.crash()
	}
	time.Sleep(orderRest)
	close(stop)
	wait.Wait()
	w.rec.say("%d streams, %d taken up again by their clients, %d with events of two software versions: %v",
		streams.total, streams.resumed, len(streams.mixed), streams.mixed)
	if len(streams.mixed) > 2 {
		return broken, nil
	}
	return held, nil
}

type engineRef struct{ *engine }

// sendStreams sends streams to one machine until stop is closed.
func (w *world) sendStreams(machine int, streams *orderStreams, stop chan struct{}) {
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(150 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wait.Go(func() { w.follow(machine, streams) })
	}
}

// follow sends a stream, and takes it up again once at another machine if it breaks off.
func (w *world) follow(machine int, streams *orderStreams) {
	id, start := newID(), time.Now()
	q := request{
		id: id, path: "/memo/" + id, method: "POST", body: make([]byte, 2000), deadline: 8 * time.Second,
		prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", rand.Uint32()),
	}
	first := do(w.gateways[machine], q, w.rec)
	events := first.events
	resumed := false
	if !first.complete && len(events) > 0 {
		resumed = true
		other := (machine + 1 + rand.IntN(len(w.gateways)-1)) % len(w.gateways)
		q.id, q.resumes, q.last, q.deadline = newID(), id, events[len(events)-1].id, 8*time.Second-time.Since(start)
		events = append(events, do(w.gateways[other], q, w.rec).events...)
	}
	versions := map[string]bool{}
	for _, e := range events {
		versions[e.version] = true
	}
	streams.mu.Lock()
	defer streams.mu.Unlock()
	streams.total++
	if resumed {
		streams.resumed++
	}
	if len(versions) > 1 {
		streams.mixed = append(streams.mixed, id)
		w.rec.add("the stream %s holds events of two software versions", id)
	}
}
