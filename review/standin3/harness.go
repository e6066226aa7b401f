//go:build review

// Command standin3 plays the scripted cases of the third review: it starts the gateway as the deploy file does, with stand-ins for the
// platform's store, the engines and the callers on loopback addresses, and checks what these see.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fighollow/fighollow/platform/standin"
)

type object = map[string]any

const callerHost = "callers.example"

// record writes the record of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, func(), error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	r := &record{w: bufio.NewWriter(f), start: time.Now()}
	return r, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.w.Flush()
		f.Close()
	}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
	r.w.Flush()
}

// machine is a front machine with the bounds of its deployment, as a sheet gives them.
type machine struct {
	memoryMB, descriptors                                        int
	cpuShare                                                     float64
	stableMs, ackMs, drainMs, configMs, skewMs, slack, recoveryS int
}

var (
	// alfaiate is a machine of the site alfaiate-comum.
	alfaiate = machine{284, 4100, 0.304, 3000, 4000, 2000, 2000, 5000, 56, 12}
	// nawafidh is the smallest machine of the site nawafidh-ops-grown.
	nawafidh = machine{144, 3075, 0.109, 4000, 6000, 3000, 3000, 6000, 82, 15}
)

// bench holds the parts of a case.
type bench struct {
	rec     *record
	dir     string // temporary
	trouble bool
	store   *standin.Store
	address string // of the store
	closers []func()
	version int
	routes  []object
	engine  object // traits of the service models; nil for standin.EngineTraits
}

func newBench(rec *record, trouble bool) (*bench, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	b := &bench{rec: rec, dir: dir, trouble: trouble, store: standin.NewStore(), routes: defaultRoutes()}
	b.store.SetPageSize(500)
	b.closers = append(b.closers, func() { os.RemoveAll(dir) })
	b.address, err = b.serve("127.0.0.1", b.store)
	return b, err
}

// serve serves h at a free port and returns its address.
func (b *bench) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h} //nolint:gosec // a stand-in
	go s.Serve(l)                 //nolint:errcheck // ends with Close
	b.closers = append(b.closers, func() { s.Close() })
	return l.Addr().String(), nil
}

// close ends everything that the bench has started.
func (b *bench) close() {
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
}

func defaultRoutes() []object {
	return []object{
		{"name": "once", "host": callerHost, "pathPrefix": "/once/", "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "service": "plain", "maxAttempts": 1},
		{"name": "any", "host": callerHost, "pathPrefix": "/any/", "kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "service": "plain", "maxAttempts": 2},
		{"name": "stream", "host": callerHost, "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 800, "priority": 0, "service": "models", "maxAttempts": 1, "sessionAffinity": true, "resumable": false, "gapTargetMs": 300},
		{"name": "resume", "host": callerHost, "pathPrefix": "/resume/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 1500, "priority": 1, "service": "models", "maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gapTargetMs": 300},
	}
}

// configure writes the configuration as the operator does.
func (b *bench) configure() {
	b.version += 3
	if b.engine == nil {
		b.engine = standin.EngineTraits(64, 460_939)
	}
	b.store.Put("config", "main", object{
		"version": b.version, "routes": b.routes, "services": []object{
			{"name": "plain", "healthCheck": "/healthz", "maxConnections": 110},
			{"name": "models", "healthCheck": "/healthz", "maxConnections": 370, "engine": b.engine},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addEngine serves an engine and registers it; role is prefill, decode, or empty for a plain service.
func (b *bench) addEngine(id, role string, wrap func(http.Handler) http.Handler) (*standin.Engine, string, error) {
	e := standin.NewEngine(id, role)
	var h http.Handler = e
	if wrap != nil {
		h = wrap(e)
	}
	address, err := b.serve("127.0.0.1", h)
	if err != nil {
		return nil, "", err
	}
	b.store.Put("servers", id, e.Spec(service(role), address, "zone-a"))
	return e, address, nil
}

func service(role string) string {
	if role == "" {
		return "plain"
	}
	return "models"
}

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	cmd       *exec.Cmd
	ip        string
	front     string // address for callers
	ready     string // address for readiness checks
	done      chan struct{}
	err       error // of the process, once done is closed
	memoryMB  int
	peakKB    int64 // largest resident memory seen
	killedFor bool  // the stand-in of the platform has killed it for its memory
}

// startGateway starts a gateway on an address of its own, with the settings of a small deployment, and waits until it is ready.
func (b *bench) startGateway(n int, m machine) (*gatewayProcess, error) {
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{ip: ip, done: make(chan struct{}), memoryMB: m.memoryMB}
	ports, err := freePorts(g.ip, 2)
	if err != nil {
		return nil, err
	}
	g.front, g.ready = net.JoinHostPort(g.ip, ports[0]), net.JoinHostPort(g.ip, ports[1])
	settings := fmt.Sprintf(`node = "front-zone-a-%d"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = "zone-a"
region = "region-a"
internalPorts = [17380,17395]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[listen]
front = %q
ready = %q
[limits]
cpuShare = %g
cpus = 1
memoryMb = %d
fileDescriptors = %d
bandwidthMbps = 1000.0
[bounds]
stableWindowMs = %d
ackMs = %d
drainMs = %d
graceS = 8
lossSlackMs = 200
configMs = %d
downgradeSlackMs = 250
maxSkewMs = %d
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = %d
recoveryS = %d
requireFencing = false
leaseMs = 3000
thawMs = 300
[provider]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`, n, g.ip, g.front, g.ready, m.cpuShare, m.memoryMB, m.descriptors, m.stableMs, m.ackMs, m.drainMs, m.configMs, m.skewMs, m.slack, m.recoveryS, b.address)
	file := filepath.Join(b.dir, fmt.Sprintf("settings-%d.toml", n))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	logs, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer out.Close()
	go collect(logs, filepath.Join(b.dir, fmt.Sprintf("gateway-%d.log", n)))
	g.cmd = exec.Command("target/fighollow", "gateway", "--metrics-port", "9464")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGHOLLOW_BOOT=" + file}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := startOnOneCore(g.cmd); err != nil {
		return nil, err
	}
	go func() {
		g.err = g.cmd.Wait()
		close(g.done)
	}()
	b.closers = append(b.closers, func() { g.end() })
	if err := g.awaitReady(); err != nil {
		logged, _ := os.ReadFile(filepath.Join(b.dir, fmt.Sprintf("gateway-%d.log", n))) // empty if there is none
		b.rec.logf("entry %d at %s: %v; ended %t, %v; its log ends with %q", n, g.ip, err, g.hasEnded(), g.err, logged[max(0, len(logged)-600):])
		return nil, err
	}
	return g, nil
}

// freeAddress returns a loopback address at which nothing uses the metrics port of the deploy file, so that entries of several plays can run
// side by side.
func freeAddress() (ip string, err error) {
	for range 20 {
		ip = fmt.Sprintf("127.%d.%d.%d", 64+rand.N(64), rand.N(256), 1+rand.N(254))
		var l net.Listener
		if l, err = net.Listen("tcp", net.JoinHostPort(ip, "9464")); err == nil {
			l.Close()
			return ip, nil
		}
	}
	return "", err
}

// keptLog is how much of a gateway's log is written to a file.
const keptLog = 8 << 20

// collect reads a gateway's log without a pause, as a log collector does, and keeps the beginning.
func collect(logs *os.File, path string) {
	defer logs.Close()
	f, err := os.Create(path)
	if err == nil {
		defer f.Close()
		_, _ = io.CopyN(f, logs, keptLog) // ends early with the process
	}
	_, _ = io.Copy(io.Discard, logs)
}

// startOnOneCore starts a process that sees and uses one core, as on the machines of the deployment ("the processor list report the machine's
// memory and one core").
func startOnOneCore(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	skip := os.Getpid() % all.Count()
	for i := range len(all) * 64 {
		if all.IsSet(i) {
			if skip--; skip < 0 {
				one.Set(i)
				break
			}
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	return errors.Join(cmd.Start(), unix.SchedSetaffinity(0, &all))
}

// end kills the process, unless it has ended, and waits for its end.
func (g *gatewayProcess) end() {
	_ = g.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-g.done
}

func (g *gatewayProcess) hasEnded() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

var errNotReady = errors.New("the gateway does not become ready")

func (g *gatewayProcess) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/api/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gatewayProcess) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && !g.hasEnded(); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		ok := g.isReady(ctx)
		cancel()
		if ok {
			return nil
		}
	}
	return errNotReady
}

// residentKB returns the memory that a process has resident, without the pages of its executable file, in KB.
func residentKB(pid int) (anonymous, all int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, _ := strconv.ParseInt(fields[1], 10, 64) // 0 if it is no number
		switch fields[0] {
		case "RssAnon:":
			anonymous = n
		case "VmRSS:":
			all = n
		}
	}
	return anonymous, all
}

// watchMemory acts as the platform does: it kills the process when its memory exceeds that of its machine.
func (g *gatewayProcess) watchMemory(rec *record) {
	go func() {
		for tick := time.Now(); !g.hasEnded(); time.Sleep(5 * time.Millisecond) {
			anonymous, all := residentKB(g.cmd.Process.Pid)
			g.peakKB = max(g.peakKB, anonymous)
			if time.Since(tick) > time.Second {
				tick = time.Now()
				rec.logf("memory of the gateway: %d MB anonymous, %d MB resident, of %d MB", anonymous>>10, all>>10, g.memoryMB)
			}
			if anonymous > int64(g.memoryMB)<<10 {
				rec.logf("memory of the gateway: %d MB anonymous, %d MB resident, of %d MB: the platform kills it", anonymous>>10, all>>10, g.memoryMB)
				g.killedFor = true
				_ = g.cmd.Process.Kill()
				return
			}
		}
	}()
}

// num returns a number of the environment, with which a case can be varied, or n.
func num(name string, n int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return n
}

// freePorts returns ports that nothing uses on an address.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*bench) (bool, error){
	"deeppart": playDeepPart, "longids": playLongIDs, "latecrash": playLateCrash, "commonpart": playCommonPart, "versions": playVersions,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func run(name, path string) int {
	rec, closeRecord, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer closeRecord()
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	b, err := newBench(rec, os.Getenv("TROUBLE") != "0")
	if err == nil {
		defer b.close()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-stop
			b.close()
			os.Exit(2)
		}()
		rec.logf("case %s, disruption %t", name, b.trouble)
		var broken bool
		if broken, err = play(b); err == nil {
			rec.logf("rule broken: %t", broken)
			if broken {
				return 1
			}
			return 0
		}
	}
	rec.logf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}
