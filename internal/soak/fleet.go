package soak

import (
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

	"github.com/fighollow/fighollow/platform"
	"github.com/fighollow/fighollow/platform/standin"
)

// start starts everything and waits until all entries are ready.
func (r *run) start() error {
	if err := r.startStore(); err != nil {
		return err
	}
	if r.plan.Workspaces {
		r.usage = freeAddress()
		if err := r.standin(usageName, "usage", "--listen", r.usage); err != nil {
			return err
		}
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
		if r.configure(0) == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("soak: the store does not answer; see %s", r.opts.Dir)
		}
	}
}

func (r *run) startUpstream(name string) error {
	listen := freeAddress()
	r.listen[name] = listen
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

// soakDataCentre is where all entries and upstreams are.
const soakDataCentre = "a"

// usageName is the name of the usage API's process.
const usageName = "usage"

func (r *run) startEntry(name string) error {
	ingress, ready := freeAddress(), freeAddress()
	store, err := r.link("store-"+name, r.store)
	if err != nil {
		return err
	}
	if r.ingress[name], err = r.link(name, ingress); err != nil {
		return err
	}
	r.readiness[name] = ready
	settings := standin.EntrySettings{
		Name: name, IP: "127.0.0.1", DataCentre: soakDataCentre, Ingress: ingress, Readiness: ready, Store: store, MemoryMB: memoryMB,
		Drain: drainMs * time.Millisecond, Grace: graceS * time.Second, Config: configMs * time.Millisecond, Stable: stableMs * time.Millisecond,
		Lease: leaseMs * time.Millisecond, RetryRatio: retryRatio, RetrySlack: retrySlack,
	}
	if r.plan.Workspaces {
		settings.Revocation = &standin.RevocationSettings{Within: revocationMs * time.Millisecond}
		settings.Usage = &standin.UsageSettings{
			API: r.usage, CallsPerSec: usageCallsPS, Window: reportS * time.Second, Share: usageShare, Due: reportDueS * time.Second,
		}
	}
	file := filepath.Join(r.opts.Dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings.File()), 0o644); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return r.spawn(name, r.opts.Gateway, "gateway", "--settings", file)
}

func (r *run) startCallers(name string) error {
	args := []string{"callers", "--name", name, "--seed", fmt.Sprint(r.opts.Seed), "--workers", strconv.Itoa(workers), "--resting", strconv.Itoa(restingWorkers)}
	if !r.plan.Planned {
		args = append(args, "--rude")
	}
	if r.plan.CrashPart {
		args = append(args, "--crash-part")
	}
	if r.plan.Workspaces {
		args = append(args, "--workspaces")
	}
	for _, e := range r.topology.entries() {
		args = append(args, "--entry", e+"="+r.ingress[e]+"="+r.readiness[e])
	}
	return r.standin(name, args...)
}

// awaitReady waits until an entry reports itself ready.
func (r *run) awaitReady(name string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + r.readiness[name] + platform.ReadinessPath)
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

func (r *run) stopCallers() {
	var wg sync.WaitGroup
	for _, name := range names("callers", r.topology.Callers) {
		wg.Go(func() { r.processes[name].stop(syscall.SIGTERM, 10*time.Second) })
	}
	wg.Wait()
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
