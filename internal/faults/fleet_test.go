package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

const (
	model        = "m"
	workspaceKey = "key-of-w"
	region       = "r"
	// The upstreams are in a data centre of their own, so that entries connect to the addresses in the instance objects,
	// which are those of the proxies.
	upstreamsDC = "hall-b"
)

type object = map[string]any

// upstream is an engine or plain service with its sidecar and the proxy through which entries connect to the sidecar.
type upstream struct {
	id, addr, admin string
	standin         *process
	sidecar         *process
	proxy           *proxy
	lastRecord      record // of the stand-in before it was killed
}

// fleet is an object API, two engines, a plain service and two entries, and the requests that a cell has sent.
type fleet struct {
	ctx          context.Context
	t            *testing.T
	dir          string
	apiAddr      string
	objectAPI    *process
	engines      []*upstream
	service      *upstream
	entries      []*process
	entryProxies []*proxy // through which the other entry connects for idempotency keys
	httpAddrs    []string
	adminAddrs   []string // of the entries
	processes    []*process
	sidecarLinks []string // link addresses
	instances    []object

	mu       sync.Mutex
	requests []*request
}

// newFleet starts all processes and waits until they are ready.
func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithTimeout(context.Background(), cellLimit)
	f := &fleet{ctx: ctx, t: t, dir: t.TempDir(), apiAddr: freeAddr(t)}
	t.Cleanup(func() { f.stop(); cancel() })
	for _, id := range []string{"engine-1", "engine-2"} {
		f.engines = append(f.engines, f.newUpstream(id, "engine"))
	}
	f.service = f.newUpstream("service-1", "service")
	var links []string
	for i := range 2 {
		links = append(links, freeAddr(t))
		f.entryProxies = append(f.entryProxies, newProxy(t, links[i]))
		f.addInstance(fmt.Sprintf("entry-%d", i+1), "entry", fmt.Sprintf("hall-entry-%d", i+1), f.entryProxies[i].addr(), "")
	}
	f.objectAPI = f.startProcess("objects", "standin", "objects", "--listen", f.apiAddr, "--load", f.writeJSON("objects.json", f.initialObjects()))
	until(ctx, t, "object API answers", func() bool { return get("http://"+f.apiAddr+"/counts", nil) })
	for i := range 2 {
		f.startEntry(i, links[i])
	}
	admins := append([]string(nil), f.adminAddrs...)
	for _, u := range f.allUpstreams() {
		u.sidecar.start(t)
		admins = append(admins, u.admin)
	}
	for _, a := range admins {
		until(ctx, t, a+" is ready", func() bool { return get("http://"+a+"/readyz", nil) })
	}
	t.Cleanup(f.watchPresets(admins))
	return f
}

func (f *fleet) allUpstreams() []*upstream {
	return append(append([]*upstream(nil), f.engines...), f.service)
}

// newProcess adds a process to the fleet without starting it.
func (f *fleet) newProcess(name string, args ...string) *process {
	p := &process{name: name, args: args, log: filepath.Join(f.dir, name+".log")}
	f.processes = append(f.processes, p)
	return p
}

func (f *fleet) startProcess(name string, args ...string) *process {
	p := f.newProcess(name, args...)
	p.start(f.t)
	return p
}

// writeJSON encodes v to a file in the fleet's directory and returns its path.
func (f *fleet) writeJSON(name string, v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// newUpstream starts a stand-in and configures its sidecar without starting it.
func (f *fleet) newUpstream(id, kind string) *upstream {
	u := &upstream{id: id, addr: freeAddr(f.t), admin: freeAddr(f.t)}
	link := freeAddr(f.t)
	u.proxy = newProxy(f.t, link)
	settings := f.baseSettings(id, upstreamsDC, link, u.admin)
	settings["peers"] = append([]string{}, f.sidecarLinks...)
	f.sidecarLinks = append(f.sidecarLinks, link)
	up := object{"kind": kind, "address": u.addr}
	if kind == "service" {
		up["service"] = "s"
		u.standin = f.startProcess(id+"-standin", "standin", "service", "--listen", u.addr)
		f.addInstance(id, kind, upstreamsDC, u.proxy.addr(), "s")
	} else {
		args := []string{"standin", "engine", "--listen", u.addr, "--model", model, "--model-version", "v1"}
		// The second engine accepts any order at any time, so that an order that must not be sent shows in its record.
		if len(f.engines) == 0 {
			up["checksFence"] = true
			args = append(args, "--checks-fence")
		} else {
			args = append(args, "--interrupts-work")
		}
		u.standin = f.startProcess(id+"-standin", args...)
		f.addInstance(id, kind, upstreamsDC, u.proxy.addr(), "")
	}
	settings["upstream"] = up
	u.sidecar = f.newProcess(id, "fighollow", "sidecar", "--settings", f.writeJSON(id+".json", settings))
	return u
}

// baseSettings returns the settings that entries and sidecars have in common.
func (f *fleet) baseSettings(id, dataCentre, link, admin string) object {
	return object{"id": id, "dataCentre": dataCentre, "region": region, "link": link, "admin": admin, "objectApi": f.apiAddr}
}

func (f *fleet) startEntry(i int, link string) {
	id := fmt.Sprintf("entry-%d", i+1)
	http, admin := freeAddr(f.t), freeAddr(f.t)
	s := f.baseSettings(id, "hall-"+id, link, admin)
	s["http"] = http
	// Without the object API, a restarted entry reads the configuration from the upstreams' data centre.
	s["remotePeers"] = object{upstreamsDC: f.sidecarLinks}
	f.httpAddrs, f.adminAddrs = append(f.httpAddrs, http), append(f.adminAddrs, admin)
	f.entries = append(f.entries, f.startProcess(id, "fighollow", "entry", "--settings", f.writeJSON(id+".json", s)))
}

// addInstance adds an instance object to the initial objects.
func (f *fleet) addInstance(id, kind, dataCentre, link, service string) {
	f.instances = append(f.instances, object{"kind": "instance", "name": id, "value": object{
		"id": id, "kind": kind, "dataCentre": dataCentre, "region": region, "link": link, "service": service,
	}})
}

// initialObjects returns the objects that the platform and the operators have stored before the processes start.
func (f *fleet) initialObjects() []object {
	preset := func(name, version string) object {
		return object{
			"name":   name,
			"models": []object{{"model": model, "modelVersion": version, "minEngines": 1, "prefillShare": 0, "disaggregated": false}},
			"policy": object{}, "writeId": "first",
		}
	}
	inForce := preset("p", "v1")
	delete(inForce, "writeId")
	assignment := object{"role": "both", "model": model, "modelVersion": "v1", "fence": 1}
	put := func(kind, name string, value object) object {
		return object{"kind": kind, "name": name, "value": value}
	}
	return append(f.instances,
		put("workspace", "w", object{"name": "w", "key": workspaceKey}),
		put("model", model, object{
			"name": model, "bytesPerToken": 4, "prefillTokensPerSecond": 200000, "decodeTokensPerSecond": 2000, "loadMs": 200,
		}),
		put("service", "s", object{"name": "s"}),
		put("preset", "p", preset("p", "v1")),
		put("preset", "p2", preset("p2", "v2")),
		put("preset", "p3", preset("p3", "v3")),
		put("inForce", "current", object{"preset": inForce, "chosenBy": "test", "chosenMs": 1, "writeId": "first"}),
		put("plan", upstreamsDC, object{
			"revision": 1, "preset": "p", "presetVersion": 1, "writeId": "first",
			"engines": object{"engine-1": assignment, "engine-2": assignment},
		}),
	)
}

// stop kills the processes of this cell and prints their logs after a failure.
func (f *fleet) stop() {
	for _, p := range f.processes {
		if p.cmd != nil && !p.ended() {
			p.resume()
			p.kill()
		}
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.name, p.tail())
		}
	}
}

// restart starts a killed process again and waits until url, which has no scheme, answers with status 200.
func (f *fleet) restart(p *process, url string) {
	p.start(f.t)
	until(f.ctx, f.t, p.name+" is ready again", func() bool { return get("http://"+url, nil) })
}

// control sends a control action to the stand-in: hold or release of a step, or crash. It reports whether the stand-in
// accepted the action.
func (u *upstream) control(action, step string, n int) bool {
	return post("http://"+u.addr+"/control", object{"action": action, "step": step, "n": n})
}

// held reports whether a call is held at a step.
func (u *upstream) held(step string) bool {
	var r record
	return get("http://"+u.addr+"/record", &r) && r.Held[step] > 0
}

// wait reports whether a channel is closed or readable within d. d is only an upper bound: no cell relies
// on elapsed time to reach a step.
func wait(ch <-chan struct{}, d time.Duration) bool {
	select {
	case <-ch:
		return true
	case <-time.After(d):
		return false
	}
}
