package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one program that the soak starts, signals and starts again.
type process struct {
	name string
	args []string
	log  string

	restart sync.Mutex // held while the process is stopped and started again

	mu     sync.Mutex
	cmd    *exec.Cmd
	began  time.Time     // start of cmd
	exited chan struct{} // closed when cmd has ended
}

func newProcess(dir, name string, args ...string) *process {
	return &process{name: name, args: args, log: filepath.Join(dir, name+".log")}
}

// start starts the program. Its output is appended to its log.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status of a killed process says nothing
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.began, p.exited = cmd, time.Now(), exited
	return nil
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// age returns the time since the process was started.
func (p *process) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.began)
}

// stop sends a signal, waits until the process has ended, at most for grace, and then kills it.
func (p *process) stop(s syscall.Signal, grace time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-exited:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// usage returns the resident memory in KiB and the number of open files.
func (p *process) usage() (residentKiB int64, files int) {
	p.mu.Lock()
	proc := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	p.mu.Unlock()
	status, err := os.ReadFile(proc + "/status")
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			residentKiB, _ = strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		}
	}
	open, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return residentKiB, 0
	}
	return residentKiB, len(open)
}
