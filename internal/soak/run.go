package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Options configures a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // of the faults; traffic goes on for Rules.Recovery and some seconds
	Processes int           // about so many
	Gateway   string        // path of the fighollow program
	Self      string        // path of the soak program, which also is each stand-in
	Dir       string        // for records and logs
}

// Report is the result of a run.
type Report struct {
	Seed      uint64
	Plan      Plan
	Processes int
	Requests  int
	Answered  int // with 200 and a whole body
	Findings  []Finding
	Dir       string
}

// Limits of the entries, as their settings say.
const (
	drainMs     = 1000
	graceS      = 4
	stableMs    = 3000
	leaseMs     = 3000
	thawMs      = 300
	configMs    = 2000
	recoveryS   = 12
	lossSlackMs = 200
	memoryMB    = 284
	maxFiles    = 1000
	retryRatio  = 0.02
	retrySlack  = 6
	budgetS     = 10
	tailTime    = 4 * time.Second // of traffic after the recovery
	workers     = 6               // of each process of callers
	faultyShare = 0.05            // of the answers
)

func rules(p Plan) Rules {
	return Rules{
		Lease: leaseMs * time.Millisecond, Thaw: thawMs * time.Millisecond, BudgetWindow: budgetS * time.Second, BudgetRatio: retryRatio,
		BudgetSlack: retrySlack, Recovery: recoveryS * time.Second, LossSlack: lossSlackMs * time.Millisecond, MemoryKiB: memoryMB << 10,
		Files: maxFiles, PlannedOnly: p.Planned,
	}
}

// run is one run with its processes and links.
type run struct {
	opts      Options
	plan      Plan
	topology  Topology
	recorder  *Recorder
	store     string // address
	processes map[string]*process
	links     map[string]*Proxy
	readiness map[string]string
	ingress   map[string]string

	mu      sync.Mutex
	version int // of the configuration
}

// Run plays the plan of a seed and judges what was seen.
func Run(ctx context.Context, opts Options) (*Report, error) {
	t := TopologyOf(opts.Processes)
	r := &run{
		opts: opts, topology: t, plan: DrawPlan(opts.Seed, t, opts.Duration), processes: make(map[string]*process),
		links: make(map[string]*Proxy), readiness: make(map[string]string), ingress: make(map[string]string),
	}
	if err := os.MkdirAll(filepath.Dir(opts.Dir), 0o755); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	// The records of an earlier run in the same directory would be judged with those of this one.
	if err := os.Mkdir(opts.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	var err error
	if r.recorder, err = NewRecorder(filepath.Join(opts.Dir, "soak.records")); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.play(ctx)
	r.heal()
	sleep(ctx, recoveryS*time.Second+tailTime)
	r.stopCallers()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("soak: %w", ctx.Err())
	}
	r.inspect()
	return r.report()
}

// start starts everything and waits until all entries are ready.
func (r *run) start() error {
	if err := r.startStore(); err != nil {
		return err
	}
	for _, name := range r.topology.upstreams() {
		if err := r.startUpstream(name); err != nil {
			return err
		}
	}
	for _, name := range r.topology.entries() {
		if err := r.startEntry(name); err != nil {
			return err
		}
	}
	for _, name := range r.topology.entries() {
		if !r.awaitReady(name, 10*time.Second) {
			return fmt.Errorf("soak: %s is not ready after 10 s; see %s", name, r.opts.Dir)
		}
	}
	for _, name := range names("callers", r.topology.Callers) {
		if err := r.startCallers(name); err != nil {
			return err
		}
	}
	return nil
}

// spawn starts a process under a name; what it records goes to NAME.records.
func (r *run) spawn(name string, args ...string) error {
	p := newProcess(r.opts.Dir, name, args...)
	if err := p.start(); err != nil {
		return err
	}
	r.processes[name] = p
	return nil
}

func (r *run) standin(name string, args ...string) error {
	return r.spawn(name, append([]string{r.opts.Self}, append(args, "--records", filepath.Join(r.opts.Dir, name+".records"))...)...)
}

// link puts a proxy in front of an address.
func (r *run) link(name, target string) (string, error) {
	p, err := NewProxy(target)
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	r.links[name] = p
	return p.Address(), nil
}

func (r *run) startStore() error {
	r.store = freeAddress()
	if err := r.standin("store", "store", "--listen", r.store); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if r.configure() == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("soak: the store does not answer; see %s", r.opts.Dir)
		}
	}
}

func (r *run) startUpstream(name string) error {
	listen := freeAddress()
	address, err := r.link(name, listen)
	if err != nil {
		return err
	}
	service, role := "plain", ""
	if number, ok := strings.CutPrefix(name, "engine"); ok {
		service, role = "models", "decode"
		if n, err := strconv.Atoi(number); err == nil && n <= r.plan.Prefill {
			role = "prefill"
		}
	}
	faulty := faultyShare
	if r.plan.Planned {
		faulty = 0
	}
	return r.standin(name, "upstream", "--id", name, "--service", service, "--role", role, "--listen", listen, "--address", address,
		"--store", r.store, "--seed", fmt.Sprint(r.opts.Seed), "--faulty", fmt.Sprint(faulty))
}

// entrySettings is the platform's settings file of an entry.
const entrySettings = `node = %q
ip = "127.0.0.1"
zone = "a"
[listen]
front = %q
ready = %q
[limits]
memoryMb = %d
[bounds]
drainMs = %d
graceS = %d
stableWindowMs = %d
leaseMs = %d
retryBudgetRatio = %g
budgetSlack = %d
[provider]
address = %q
`

func (r *run) startEntry(name string) error {
	front, ready := freeAddress(), freeAddress()
	store, err := r.link("store-"+name, r.store)
	if err != nil {
		return err
	}
	if r.ingress[name], err = r.link(name, front); err != nil {
		return err
	}
	r.readiness[name] = ready
	settings := fmt.Sprintf(entrySettings, name, front, ready, memoryMB, drainMs, graceS, stableMs, leaseMs, retryRatio, retrySlack, store)
	file := filepath.Join(r.opts.Dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return r.spawn(name, r.opts.Gateway, "gateway", "--settings", file)
}

func (r *run) startCallers(name string) error {
	args := []string{"callers", "--name", name, "--seed", fmt.Sprint(r.opts.Seed), "--workers", strconv.Itoa(workers)}
	if !r.plan.Planned {
		args = append(args, "--rude")
	}
	for _, e := range r.topology.entries() {
		args = append(args, "--entry", r.ingress[e]+"="+r.readiness[e])
	}
	return r.standin(name, args...)
}

// awaitReady waits until an entry reports itself ready.
func (r *run) awaitReady(name string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + r.readiness[name] + "/api/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// configure writes the next version of the configuration, as the platform's operator does. Each has one more route.
func (r *run) configure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.version + 1
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
	for i := 1; i <= version; i++ {
		add(fmt.Sprintf("extra%d", i), "idempotent", "plain")
	}
	object := map[string]any{"metadata": map[string]any{"name": "main"}, "spec": map[string]any{
		"version": version, "routes": routes, "services": []any{
			map[string]any{"name": "plain", "maxConnections": 200},
			map[string]any{"name": "models", "maxConnections": 200, "engine": map[string]any{
				"slots": 16, "kvCapacityTokens": 100000, "kvTokenBytes": 1000, "bandwidthMbps": 1000, "roleSwitchS": 3,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}}
	status, err := r.callStore(http.MethodPut, "/api/objects/config/main", object)
	if err == nil && status == http.StatusNotFound {
		status, err = r.callStore(http.MethodPost, "/api/objects/config", object)
	}
	if err == nil && status >= http.StatusMultipleChoices {
		err = fmt.Errorf("soak: configuration %d: status %d", version, status)
	}
	if err == nil {
		r.version = version
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

// play injects the faults at their times. Faults of one process or link can overlap.
func (r *run) play(ctx context.Context) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range r.plan.Faults {
		sleep(ctx, time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		r.note(f, "begin")
		wg.Go(func() {
			r.inject(ctx, f)
			r.note(f, "end")
		})
	}
	wg.Wait()
	sleep(ctx, time.Until(start.Add(r.opts.Duration)))
}

func (r *run) note(f Fault, what string) {
	r.recorder.Add(Record{Kind: KindFault, Instance: f.Target, Text: what + " " + string(f.Kind) + " " + f.Mode})
}

func (r *run) inject(ctx context.Context, f Fault) {
	p := r.processes[f.Target]
	switch f.Kind {
	case FaultConfig:
		_ = r.configure() // the store may be away; the operator writes again at the end
	case FaultStore:
		r.storeMode(f.Mode)
		sleep(ctx, min(f.For, 2*time.Second))
		r.storeMode(storeUp)
		r.rewrite()
	case FaultStop, FaultKill:
		p.restart.Lock()
		defer p.restart.Unlock()
		if f.Kind == FaultStop {
			p.stop(syscall.SIGTERM, graceS*time.Second)
		} else {
			p.stop(syscall.SIGKILL, time.Second)
			sleep(ctx, f.For)
		}
		if err := p.start(); err != nil {
			r.recorder.Add(Record{Kind: KindFinal, Instance: f.Target, Text: err.Error()})
		}
	case FaultPause:
		p.signal(syscall.SIGSTOP)
		sleep(ctx, f.For)
		r.recorder.Add(Record{Kind: KindFault, Instance: f.Target + "@127.0.0.1", Text: "resume"})
		p.signal(syscall.SIGCONT)
	default:
		for _, name := range []string{f.Target, "store-" + f.Target} {
			if l := r.links[name]; l != nil {
				l.Inject(f)
				defer l.Inject(Fault{})
			}
		}
		if f.Target == "store" {
			for name, l := range r.links {
				if strings.HasPrefix(name, "store-") {
					l.Inject(f)
					defer l.Inject(Fault{})
				}
			}
		}
		sleep(ctx, f.For)
	}
}

func (r *run) storeMode(mode string) {
	if _, err := r.callStore(http.MethodPost, "/mode/"+mode, nil); err != nil {
		fmt.Fprintln(os.Stderr, "soak: the store's mode:", err)
	}
}

// rewrite writes the newest configuration again, which the store may have lost.
func (r *run) rewrite() {
	r.mu.Lock()
	r.version--
	r.mu.Unlock()
	if r.configure() != nil {
		r.mu.Lock()
		r.version++
		r.mu.Unlock()
	}
}

// heal ends what is left of the faults and lets the operator write the newest configuration.
func (r *run) heal() {
	for _, l := range r.links {
		l.Inject(Fault{})
	}
	for _, p := range r.processes {
		p.signal(syscall.SIGCONT)
	}
	r.storeMode(storeUp)
	for range 20 {
		if r.configure() == nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.recorder.Add(Record{Kind: KindFault, Text: "healed"})
}

func (r *run) stopCallers() {
	var wg sync.WaitGroup
	for _, name := range names("callers", r.topology.Callers) {
		wg.Go(func() { r.processes[name].stop(syscall.SIGTERM, 10*time.Second) })
	}
	wg.Wait()
}

// inspect asks each entry for the newest route, and notes its memory and open files.
func (r *run) inspect() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, name := range r.topology.entries() {
		final := Record{Kind: KindFinal, Instance: name}
		target := fmt.Sprintf("/extra%d/x", r.version)
		req, err := http.NewRequest(http.MethodPost, "http://"+r.ingress[name]+target, http.NoBody)
		if err != nil {
			panic(err)
		}
		req.Host = soakHost
		req.Header.Set("Request-Id", "final-"+name)
		req.Header.Set("Request-Deadline-Ms", "3000")
		r.recorder.Add(Record{Kind: KindSent, Request: "final-" + name, Route: routeAny})
		resp, err := client.Do(req)
		switch {
		case err != nil:
			final.Text = "the newest route: " + err.Error()
		case resp.StatusCode == http.StatusNotFound:
			final.Text = fmt.Sprintf("the newest route is not known: status %d", resp.StatusCode)
		}
		if err == nil {
			resp.Body.Close()
		}
		final.Number, final.Files = r.processes[name].usage()
		r.recorder.Add(final)
	}
}

// close kills what still runs, by its process ids.
func (r *run) close() {
	for _, p := range r.processes {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL, time.Second)
	}
	for _, l := range r.links {
		l.Close()
	}
}

func (r *run) report() (*Report, error) {
	rep := &Report{Seed: r.opts.Seed, Plan: r.plan, Processes: len(r.processes), Dir: r.opts.Dir}
	files, err := filepath.Glob(filepath.Join(r.opts.Dir, "*.records"))
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	var all []Record
	for _, file := range files {
		records, err := readRecords(file)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	for _, rec := range all {
		switch {
		case rec.Kind == KindSent:
			rep.Requests++
		case rec.Kind == KindGot && rec.Status == http.StatusOK && rec.Complete && rec.Whole:
			rep.Answered++
		}
	}
	rep.Findings = Check(rules(r.plan), all)
	return rep, nil
}

var nextPort atomic.Int64

// freeAddress returns a loopback address whose port is free now. The port is below the ephemeral range: an outgoing connection
// could otherwise be given it while its process is stopped.
func freeAddress() string {
	const first, ports = 11_000, 20_000
	for {
		address := fmt.Sprintf("127.0.0.1:%d", first+(int64(os.Getpid())*97+nextPort.Add(1))%ports)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
