// Command harness runs the cases of an independent review against the project's own programs. Each case starts the gateway as a separate
// process, with stand-ins of the platform's store, of engines and of clients in this process.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var cases = map[string]func(*run) bool{}

// run is one run of a case.
type run struct {
	trouble bool
	started time.Time
	dir     string // temporary

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
}

var current *run

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitUnable)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	current = &run{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), dir: dir, record: f}
	time.AfterFunc(115*time.Second, func() { unable("the case took too long") })
	current.log("trouble=%t", current.trouble)
	broken := cases[os.Args[1]](current)
	current.log("broken=%t", broken)
	code := exitHeld
	if broken {
		code = exitBroken
	}
	current.end(code)
}

// end ends all processes that the run started and exits.
func (r *run) end(code int) {
	r.mu.Lock()
	gateways := r.gateways
	r.mu.Unlock()
	for _, g := range gateways {
		g.kill()
	}
	_ = os.RemoveAll(r.dir)
	fmt.Println(map[int]string{exitHeld: "held", exitBroken: "broken", exitUnable: "could not run"}[code])
	os.Exit(code)
}

// unable ends a run that cannot show anything.
func unable(format string, args ...any) {
	current.log("unable: "+format, args...)
	current.end(exitUnable)
}

// log writes a line to the record.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// gateway is a process of the system on a machine of its own, which has a loopback address.
type gateway struct {
	r            *run
	name         string
	front, ready string
	settings     string
	memoryMB     int
	mu           sync.Mutex
	cmd          *exec.Cmd // nil before the first start
	exited       chan struct{}
}

const settings = `node = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "r"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
failureCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
%s = "r"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.304
cpus = 1
memoryMb = %d
fileDescriptors = 4100
bandwidthMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
recoveryS = 12
transitMs = 120
reuseWindowS = 9.2
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
ttlMinMs = 1000
`

// zone is the zone of all machines and engines, and host that of all routes.
const (
	zone = "z"
	host = "a.example"
)

// startGateway starts a gateway at a loopback address of its own.
func (r *run) startGateway(name, ip, storeAddress string) *gateway {
	g := &gateway{r: r, name: name, memoryMB: 284, front: freePort(ip), ready: freePort(ip)}
	_, port, _ := net.SplitHostPort(freePort(ip))
	first, _ := strconv.Atoi(port)
	g.settings = filepath.Join(r.dir, name+".toml")
	text := fmt.Sprintf(settings, name, ip, zone, first, min(first+15, 65535), zone, g.front, g.ready, g.memoryMB, storeAddress)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		unable("settings: %v", err)
	}
	r.mu.Lock()
	r.gateways = append(r.gateways, g)
	r.mu.Unlock()
	g.start()
	return g
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// root is the root of the repository; the harness is built into target/.
func root() string {
	exe, err := os.Executable()
	if err != nil {
		unable("%v", err)
	}
	return filepath.Dir(filepath.Dir(exe))
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	cmd := exec.Command("target/fighollow", "gateway", "--metrics-port", "9464")
	cmd.Dir = root()
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGHOLLOW_BOOT=" + g.settings}
	out, err := os.OpenFile(filepath.Join(g.r.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("%v", err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		unable("start: %v", err)
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close() // of the log
		g.r.log("%s: process %d has ended: %v", g.name, cmd.Process.Pid, err)
		close(exited)
	}()
	g.r.log("%s: process %d started at %s", g.name, cmd.Process.Pid, g.front)
}

// kill ends the process at once.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return // it could not be started
	}
	_ = cmd.Process.Kill()
	<-exited
}

// residentMB returns the resident memory of the process.
func (g *gateway) residentMB() float64 {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks as the platform does.
func (g *gateway) isReady() bool {
	resp, err := probeClient.Get("http://" + g.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the process says that it is ready.
func (g *gateway) awaitReady() bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

var requests = struct {
	sync.Mutex
	n int
}{}

// newID returns the id of a client attempt.
func newID() string {
	requests.Lock()
	defer requests.Unlock()
	requests.n++
	return fmt.Sprintf("%08x%08x", os.Getpid(), requests.n)
}

// answer is what a client got.
type answer struct {
	id     string
	status int // 0 without an answer
	header http.Header
	body   string
	whole  bool
	err    error
}

// newClient returns a client whose connections are not shared with other clients.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
}

// ask sends a POST request and reads its answer.
func ask(c *http.Client, address, path string, header map[string]string, body string, deadline time.Duration) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, in)
	if err != nil {
		unable("%v", err)
	}
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	a.body, a.err, a.whole = string(data), err, err == nil
	if errors.Is(err, context.DeadlineExceeded) {
		a.log("deadline")
	}
	return a
}

func (a *answer) log(what string) {
	current.log("request %s: %s: status %d, %d bytes, whole %t, error %v", a.id, what, a.status, len(a.body), a.whole, a.err)
}
