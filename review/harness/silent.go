package main

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

func init() { cases["silent"] = silentWatch }

const (
	configBound  = 2 * time.Second // configMs
	stableWindow = 3 * time.Second // stableWindowMs
	// boundMargin is added to the bounds, for the clocks of this program.
	boundMargin = 250 * time.Millisecond
)

// silentWatch silences one open connection from a gateway to the store, on which the gateway waits for changes of the configuration. Longer
// than the stable window later, the operator moves a route to another service: of all answers of the store, the one with this change is lost.
// A request counts that is sent later than configMs after the acknowledgement, and later than the stable window after the lost answer.
func silentWatch(r *run) bool {
	st := newStore()
	storeAddress := serve("127.0.26.1", st)
	p, address := newProxy("127.0.26.1", storeAddress)
	st.put("config", "main", movedConfig(1, "portal"))
	engines := map[string]*engine{}
	for _, service := range []string{"portal", "portal-b"} {
		for i := range 2 {
			id := fmt.Sprintf("i-%s-%d", service, i)
			engines[id] = startEngine(st, id, service, "", "127.0.26.2", 6)
		}
	}
	startEngine(st, "i-dec", "models", "decode", "127.0.26.2", 128)
	g := r.startGateway("front-z-0", "127.0.26.10", address)
	if !g.awaitReady() {
		unable("not ready")
	}
	time.Sleep(2 * time.Second)
	st.put("config", "main", movedConfig(2, "portal"))
	r.log("the store has acknowledged version 2, which changes a timeout")
	time.Sleep(2 * time.Second)
	if r.trouble {
		silenced := p.silence(func(line string) bool { return strings.HasPrefix(line, "GET /api/objects/config?watch=") })
		r.log("silenced: %q", silenced)
		if len(silenced) != 1 {
			unable("%d connections were silenced", len(silenced))
		}
	}
	time.Sleep(stableWindow + time.Second)
	st.put("config", "main", movedConfig(3, "portal-b"))
	acknowledged := time.Now()
	r.log("the store has acknowledged version 3, which moves the route to portal-b")

	sent := make(map[string]time.Time)
	var mu sync.Mutex
	c := newClient()
	for time.Since(acknowledged) < 25*time.Second {
		at := time.Now()
		a := ask(c, g.front, "/status/x", nil, "booking", 1500*time.Millisecond)
		mu.Lock()
		sent[a.id] = at
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	stale, latest := 0, time.Duration(0)
	for id, e := range maps.All(engines) {
		for _, run := range e.began() {
			at := sent[run.id].Sub(acknowledged)
			late := e.service == "portal" && at > max(configBound, stableWindow)+boundMargin
			if late {
				stale, latest = stale+1, max(latest, at)
			}
			r.log("request %s, sent %.2f s after the acknowledgement, ran at %s: stale %t", run.id, at.Seconds(), id, late)
		}
	}
	r.log("%d requests ran at the former service; the last was sent %.1f s after the acknowledgement of the move", stale, latest.Seconds())
	return stale > 0
}

// movedConfig returns a configuration whose route for status requests leads to a service.
func movedConfig(version int, service string) map[string]any {
	c := newConfig(version)
	routes := c["routes"].([]any)
	routes[1].(map[string]any)["service"] = service
	routes[2].(map[string]any)["timeoutMs"] = 1500 + version
	c["services"] = append(c["services"].([]any), map[string]any{"name": "portal-b", "healthCheck": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false})
	return c
}
