// Command standin plays a case of the review: it hosts stand-ins of the platform's store, engines and clients, starts the project's
// gateways as processes of their own, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Results of a case, which are the exit statuses of its script.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// world is what a case plays with.
type world struct {
	repository string
	dir        string // temporary
	trouble    string // "0": no disruption
	rec        *recorder
	store      *store
	gateways   []*gateway
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

var cases = map[string]func(*world) (int, error){"order": playOrder, "refused": playRefused, "foreign": playForeign, "lost": playLost}

func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	folder, err := filepath.Abs(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // it is a temporary one
	} else {
		fmt.Println("logs are in", dir)
	}
	w := &world{repository: filepath.Dir(filepath.Dir(folder)), dir: dir, trouble: os.Getenv("TROUBLE"), rec: rec, store: newStore()}
	defer func() {
		for _, g := range w.gateways {
			g.kill()
		}
	}()
	result, err := play(w)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return failed
	}
	rec.say("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[result])
	return result
}

// startGateways starts a gateway in each of the zones and waits until all are ready.
func (w *world) startGateways(zones ...string) error {
	for i, zone := range zones {
		g, err := startGateway(w.repository, w.dir, i, zone, w.store)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
		w.rec.add("gateway %s serves at %s", g.name, g.front)
	}
	return nil
}

// startEngine starts an engine that others can fetch from.
func (w *world) startEngine(c engineConfig) (*engine, error) {
	e, err := startEngine(c, w.store, w.rec)
	if err == nil {
		fleet.Store(e.addr, e)
	}
	return e, err
}

// configure writes the operator's configuration.
func (w *world) configure() {
	route := func(name, prefix, kind string, timeout, target, attempts int, service string, model, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": 1,
			"service": service, "maxAttempts": attempts, "sessionAffinity": model, "resumable": resumable, "gapTargetMs": 300,
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("memo", "/memo/", "streaming", 8000, 800, 2, "uw-models", true, true),
			route("check", "/check/", "streaming", 5000, 1200, 1, "uw-models", true, false),
			route("status", "/status/", "non_idempotent", 800, 150, 1, "broker-api", false, false),
		},
		"services": []any{
			map[string]any{
				"name": "uw-models", "healthCheck": "/healthz", "maxConnections": 620, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvCapacityTokens": 400000, "kvTokenBytes": 35136, "bandwidthMbps": 390000.0, "handleTtlS": 5.0, "roleSwitchS": 0.5,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "broker-api", "healthCheck": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	})
}
