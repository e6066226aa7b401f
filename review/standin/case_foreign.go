package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case, from the start of traffic.
const (
	foreignWritten = 5 * time.Second // when another writer writes its entry
	foreignRest    = 6 * time.Second // after it, to the end; the entry lapses meanwhile
)

// The rule: more than 5 + one in 500 of all requests are ended with a 4xx that is no server's.
const (
	deniedExtra = 5
	deniedOneIn = 500
)

// playForeign has another writer write one entry of a server, with fields missing. The program at its address is no server of the
// service: it answers 404 to what it does not know, as most HTTP programs do.
func playForeign(w *world) (int, error) {
	w.configure()
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		_, err := w.startEngine(engineConfig{id: fmt.Sprintf("b-%d", i), service: "broker-api", zone: zone, version: "v1", first: 30 * time.Millisecond})
		if err != nil {
			return failed, err
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return failed, err
	}
	var strayed atomic.Int64
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			strayed.Add(1)
			w.rec.add("the other program gets %s %s, id %s, and answers 404", r.Method, r.URL.Path, r.Header.Get("Request-Id"))
			http.NotFound(rw, r)
		}))
	}()
	if err := w.startGateways("hall-a", "hall-b", "hall-c"); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sent, denied := 0, 0
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i := range w.gateways {
		wait.Go(func() {
			w.every(100*time.Millisecond, stop, func() {
				id := newID()
				o := do(w.gateways[i], request{id: id, path: "/status/" + id, method: "POST", body: make([]byte, 600), deadline: 1500 * time.Millisecond}, w.rec)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if o.status >= 300 && o.status < 500 && o.status != 408 && o.status != 421 && o.status != 429 && o.signature == "" {
					denied++
				}
			})
		})
	}
	time.Sleep(foreignWritten)
	if w.trouble != "0" {
		entry := map[string]any{"service": "broker-api", "address": l.Addr().String(), "zone": "hall-a", "state": "ready"}
		w.store.beat("agent-7", entry)
		w.rec.say("another writer writes the entry agent-7, without version, slots, coldRemainingMs and sequence: %v", entry)
	}
	time.Sleep(foreignRest)
	close(stop)
	wait.Wait()
	most := deniedExtra + sent/deniedOneIn
	w.rec.say("%d requests, %d of them ended with a 4xx without a signature, %d are allowed; the other program got %d requests of clients",
		sent, denied, most, strayed.Load())
	if denied > most {
		return broken, nil
	}
	return held, nil
}
