package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name, zone string
	front      string // address for clients
	ready      string // address of the readiness check
	port       *storePort
	cmd        *exec.Cmd
	logPath    string
	settingsAt string
	repository string
}

const settingsText = `node = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "midlands"
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
hall-a = "midlands"
hall-b = "midlands"
hall-c = "midlands"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.304
cpus = 1
memoryMb = 284
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

// freePort returns a port that is free at an IP.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startGateway starts the gateway number n of a case. Each has a loopback address of its own, so that all can use the port of the metrics.
func startGateway(repository, dir string, n int, zone string, s *store) (*gateway, error) {
	port, err := s.open()
	if err != nil {
		return nil, err
	}
	ip := ""
	for i := range 50 { // an address at which the port of the metrics is free; cases that run beside this one try others
		block := 1000 + (os.Getpid()*53+i)%60000
		candidate := fmt.Sprintf("127.%d.%d.%d", block/256, block%256, n+1)
		if l, err := net.Listen("tcp", candidate+":9464"); err == nil {
			l.Close()
			ip = candidate
			break
		}
	}
	if ip == "" {
		return nil, fmt.Errorf("no loopback address with a free port 9464")
	}
	g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, port: port, repository: repository}
	if g.front, err = freePort(ip); err != nil {
		return nil, err
	}
	if g.ready, err = freePort(ip); err != nil {
		return nil, err
	}
	g.settingsAt = filepath.Join(dir, g.name+".toml")
	g.logPath = filepath.Join(dir, g.name+".log")
	text := fmt.Sprintf(settingsText, g.name, ip, zone, g.front, g.ready, port.addr)
	if err := os.WriteFile(g.settingsAt, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return g, g.start()
}

// start starts the process.
func (g *gateway) start() error {
	logFile, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()                                        // the process has its own descriptor
	g.cmd = exec.Command("target/fighollow", "gateway", "--metrics-port", "9464") // as in deploy/system.toml
	g.cmd.Dir = g.repository
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGHOLLOW_BOOT=" + g.settingsAt}
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.cmd.Start()
}

// awaitReady waits until the readiness check succeeds.
func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/api/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// kill ends the process without notice.
func (g *gateway) kill() {
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait()
	}
}
