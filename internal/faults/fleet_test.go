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
	// The upstreams are in a data centre of their own, so that entries reach them by the addresses in the list of
	// instances, which are those of the proxies.
	upstreamsDC = "hall-b"
)

type object = map[string]any

// upstream is an engine or plain service, its sidecar and the proxy through which entries reach it.
type upstream struct {
	id, addr, admin string
	standin         *process
	sidecar         *process
	proxy           *proxy
	lost            record // what a killed stand-in had recorded
}

// fleet is one object API, two engines, one plain service and two entries, with the requests that a cell sends.
type fleet struct {
	ctx       context.Context
	t         *testing.T
	dir       string
	api       string
	objects   *process
	engines   []*upstream
	service   *upstream
	entries   []*process
	toEntries []*proxy // through which the other entry asks for keys
	http      []string
	admins    []string // of the entries
	procs     []*process
	links     []string // of the sidecars
	instances []object

	mu       sync.Mutex
	requests []*request
}

func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithTimeout(context.Background(), cellLimit)
	f := &fleet{ctx: ctx, t: t, dir: t.TempDir(), api: freeAddr(t)}
	t.Cleanup(func() { f.stop(); cancel() })
	for _, id := range []string{"engine-1", "engine-2"} {
		f.engines = append(f.engines, f.newUpstream(id, "engine"))
	}
	f.service = f.newUpstream("service-1", "service")
	var links []string
	for i := range 2 {
		links = append(links, freeAddr(t))
		f.toEntries = append(f.toEntries, newProxy(t, links[i]))
		f.instance(fmt.Sprintf("entry-%d", i+1), "entry", fmt.Sprintf("hall-entry-%d", i+1), f.toEntries[i].addr(), "")
	}
	f.objects = f.start("objects", "standin", "objects", "--listen", f.api, "--load", f.file("objects.json", f.configuration()))
	until(ctx, t, "object API answers", func() bool { return get("http://"+f.api+"/counts", nil) })
	for i := range 2 {
		f.startEntry(i, links[i])
	}
	admins := append([]string(nil), f.admins...)
	for _, u := range f.upstreams() {
		u.sidecar.start(t)
		admins = append(admins, u.admin)
	}
	for _, a := range admins {
		until(ctx, t, a+" is ready", func() bool { return get("http://"+a+"/readyz", nil) })
	}
	t.Cleanup(f.watchPresets(admins))
	return f
}

func (f *fleet) upstreams() []*upstream {
	return append(append([]*upstream(nil), f.engines...), f.service)
}

func (f *fleet) process(name string, args ...string) *process {
	p := &process{name: name, args: args, log: filepath.Join(f.dir, name+".log")}
	f.procs = append(f.procs, p)
	return p
}

func (f *fleet) start(name string, args ...string) *process {
	p := f.process(name, args...)
	p.start(f.t)
	return p
}

func (f *fleet) file(name string, v any) string {
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

// newUpstream starts the stand-in and prepares its sidecar.
func (f *fleet) newUpstream(id, kind string) *upstream {
	u := &upstream{id: id, addr: freeAddr(f.t), admin: freeAddr(f.t)}
	link := freeAddr(f.t)
	u.proxy = newProxy(f.t, link)
	settings := f.settings(id, upstreamsDC, link, u.admin)
	settings["peers"] = append([]string{}, f.links...)
	f.links = append(f.links, link)
	up := object{"kind": kind, "address": u.addr}
	if kind == "service" {
		up["service"] = "s"
		u.standin = f.start(id+"-standin", "standin", "service", "--listen", u.addr)
		f.instance(id, kind, upstreamsDC, u.proxy.addr(), "s")
	} else {
		args := []string{"standin", "engine", "--listen", u.addr, "--model", model, "--model-version", "v1"}
		// The second engine takes any order at any time, so that an order that should not have been sent shows.
		if len(f.engines) == 0 {
			up["checksFence"] = true
			args = append(args, "--checks-fence")
		} else {
			args = append(args, "--interrupts-work")
		}
		u.standin = f.start(id+"-standin", args...)
		f.instance(id, kind, upstreamsDC, u.proxy.addr(), "")
	}
	settings["upstream"] = up
	u.sidecar = f.process(id, "fighollow", "sidecar", "--settings", f.file(id+".json", settings))
	return u
}

func (f *fleet) settings(id, dataCentre, link, admin string) object {
	return object{"id": id, "dataCentre": dataCentre, "region": region, "link": link, "admin": admin, "objectApi": f.api}
}

func (f *fleet) startEntry(i int, link string) {
	id := fmt.Sprintf("entry-%d", i+1)
	http, admin := freeAddr(f.t), freeAddr(f.t)
	s := f.settings(id, "hall-"+id, link, admin)
	s["http"] = http
	// Without the object API, a restarted entry takes the configuration from the upstreams' data centre.
	s["remotePeers"] = object{upstreamsDC: f.links}
	f.http, f.admins = append(f.http, http), append(f.admins, admin)
	f.entries = append(f.entries, f.start(id, "fighollow", "entry", "--settings", f.file(id+".json", s)))
}

func (f *fleet) instance(id, kind, dataCentre, link, service string) {
	f.instances = append(f.instances, object{"kind": "instance", "name": id, "value": object{
		"id": id, "kind": kind, "dataCentre": dataCentre, "region": region, "link": link, "service": service,
	}})
}

// configuration returns the objects that the platform and the operators have written before the processes start.
func (f *fleet) configuration() []object {
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

// stop ends the processes of this cell and shows their logs after a failure.
func (f *fleet) stop() {
	for _, p := range f.procs {
		if p.cmd != nil && !p.ended() {
			p.resume()
			p.kill()
		}
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.name, p.tail())
		}
	}
}

// restart starts a killed process again and waits until it answers.
func (f *fleet) restart(p *process, admin string) {
	p.start(f.t)
	until(f.ctx, f.t, p.name+" is ready again", func() bool { return get("http://"+admin, nil) })
}

// gate holds or releases a step of a stand-in.
func (u *upstream) gate(action, step string, n int) bool {
	return post("http://"+u.addr+"/control", object{"action": action, "step": step, "n": n})
}

// held reports whether something waits at a step.
func (u *upstream) held(step string) bool {
	var r record
	return get("http://"+u.addr+"/record", &r) && r.Held[step] > 0
}

// wait returns whether a channel is closed or readable before a time, which bounds waiting and reaches no step.
func wait(ch <-chan struct{}, d time.Duration) bool {
	select {
	case <-ch:
		return true
	case <-time.After(d):
		return false
	}
}
