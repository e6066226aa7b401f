package faults_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// process is one program under test.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has exited
}

func (p *process) start(t *testing.T) {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	p.done = done
	go func() {
		_ = p.cmd.Wait() // a killed process has no useful exit status
		_ = out.Close()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	const size = 2500
	b, _ := os.ReadFile(p.log)
	return string(b[max(0, len(b)-size):])
}

// Ports below the ephemeral range cannot be taken by an outgoing connection before the process binds them.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freeAddr returns a loopback address that nothing listens on. It returns each address once.
func freeAddr(t *testing.T) string {
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

var controlClient = &http.Client{Timeout: 3 * time.Second}

// get sends a GET request and decodes the JSON response into v unless v is nil. It reports whether the response had
// status 200 and could be decoded.
func get(url string, v any) bool {
	res, err := controlClient.Get(url)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK && (v == nil || json.NewDecoder(res.Body).Decode(v) == nil)
}

// post sends v as JSON and reports whether the response had status 200.
func post(url string, v any) bool {
	b, _ := json.Marshal(v)
	res, err := controlClient.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// until polls a condition until it holds. It fails the test when ctx ends first.
func until(ctx context.Context, t *testing.T, what string, cond func() bool) {
	t.Helper()
	for !cond() {
		select {
		case <-ctx.Done():
			t.Fatalf("time limit reached while waiting for: %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }
