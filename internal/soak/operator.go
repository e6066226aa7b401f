package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

// Texts of records of configurations.
const (
	configBegin = "begin"
	configEnd   = "acknowledged"
)

// idleTimeout is the operator's limit for connections without a request.
const idleTimeout = 1500 * time.Millisecond

// configure writes the next version of the configuration, as the platform's operator does. Each has one more route that stays, and
// more routes that the version after it need not have.
func (r *run) configure(more int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.write(max(r.version, r.attempted)+1, more, r.keys)
}

// changeKeys writes a configuration with one drawn change of the keys.
func (r *run) changeKeys() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.write(max(r.version, r.attempted)+1, r.more, r.keys.change(r.keyDraws)) // the store may be away; the keys then stay
}

// write writes a version of the configuration. r.mu must be held.
func (r *run) write(version, more int, keys keyring) error {
	var routes []map[string]any
	add := func(name, kind, service string) {
		route := map[string]any{
			"name": name, "host": soakHost, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 2500, "service": service, "maxAttempts": 2,
		}
		if service == "models" {
			route["sessionAffinity"], route["resumable"] = true, name == routeResume
		}
		routes = append(routes, route)
	}
	add(routeOnce, "non_idempotent", "plain")
	add(routeAny, "idempotent", "plain")
	add(routeStream, "streaming", "models")
	add(routeResume, "streaming", "models")
	if r.plan.Workspaces {
		add(routeOpen, "idempotent", "plain")
		add(routeOpenStream, "streaming", "models")
		for _, route := range routes[len(routes)-2:] {
			standin.SetPublic(route)
		}
	}
	for i := 1; i <= version; i++ {
		add(fmt.Sprintf("extra%d", i), "idempotent", "plain")
	}
	for i := range more {
		add(fmt.Sprintf("more%d", i), "idempotent", "plain")
	}
	spec := map[string]any{
		"version": version, "routes": routes, "services": []any{
			map[string]any{"name": "plain", "maxConnections": 200},
			map[string]any{"name": "models", "maxConnections": 200, "engine": map[string]any{
				"slots": 16, "kvCapacityTokens": 100000, "kvTokenBytes": 1000, "bandwidthMbps": 1000, "roleSwitchS": 3,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
	}
	if r.plan.Workspaces {
		standin.SetWorkspaces(spec, keys.workspaces())
		r.attempted = version
		r.recorder.Add(Record{Kind: KindConfig, Text: configBegin, Number: int64(version), Keys: keys.valid()})
	}
	object := map[string]any{"metadata": map[string]any{"name": "main"}, "spec": spec}
	status, err := r.callStore(http.MethodPut, standin.ObjectsPath+"config/main", object)
	if err == nil && status == http.StatusNotFound {
		status, err = r.callStore(http.MethodPost, standin.ObjectsPath+"config", object)
	}
	if err == nil && status >= http.StatusMultipleChoices {
		err = fmt.Errorf("soak: configuration %d: status %d", version, status)
	}
	if err == nil {
		r.version, r.more, r.keys = version, more, keys
		if r.plan.Workspaces {
			r.recorder.Add(Record{Kind: KindConfig, Text: configEnd, Number: int64(version)})
		}
	}
	return err
}

func (r *run) callStore(method, path string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.store+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

func (r *run) storeMode(mode string) {
	if _, err := r.callStore(http.MethodPost, "/mode/"+mode, nil); err != nil {
		fmt.Fprintln(os.Stderr, "soak: the store's mode:", err)
	}
}

// rewrite writes the newest configuration again, which the store may have lost.
func (r *run) rewrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.plan.Workspaces {
		_ = r.write(r.version, r.more, nil) // the operator writes again at the end
		return
	}
	// Each write of a configuration with keys has a version of its own, so that the oracle can tell which is in force.
	for range 20 {
		if r.write(max(r.version, r.attempted)+1, r.more, r.keys) == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
