package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

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
	r.recorder.Add(Record{Kind: KindFault, Instance: f.Target, Fault: f.Kind, Text: what + " " + string(f.Kind) + " " + f.Mode})
}

func (r *run) inject(ctx context.Context, f Fault) {
	p := r.processes[f.Target]
	switch f.Kind {
	case FaultConfig:
		_ = r.configure(0) // the store may be away; the operator writes again at the end
	case FaultGrow:
		r.grow(ctx, f.For)
	case FaultHangup:
		for end := time.Now().Add(f.For); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, hangupInterval) {
			if p.age() > handlerTime {
				p.signal(syscall.SIGHUP)
			}
		}
	case FaultLimit:
		r.limit(f.Target, f.Limit)
		sleep(ctx, f.For)
		r.limit(f.Target, 0)
	case FaultCrash:
		for end := time.Now().Add(f.For); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, crashTellTime) {
			r.tellCrashPart(f.Target)
		}
		r.tellCrashPart("")
	case FaultKeys:
		interval := slowKeyInterval
		if f.Mode == keysQuick {
			interval = quickKeyInterval
		}
		for end := time.Now().Add(f.For); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, interval) {
			r.changeKeys()
		}
	case FaultUsage:
		r.usageMode(f.Mode)
		sleep(ctx, f.For)
		r.usageMode(usageUp)
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

const (
	hangupInterval = 40 * time.Millisecond
	// handlerTime is the time that a process has to install its signal handlers; SIGHUP ends it before that.
	handlerTime  = 250 * time.Millisecond
	growInterval = 150 * time.Millisecond
	grownRoutes  = 1400
	// Pauses between two changes of the keys.
	quickKeyInterval = 60 * time.Millisecond
	slowKeyInterval  = 700 * time.Millisecond
)

// grow writes configurations with many routes more and without them in turn.
func (r *run) grow(ctx context.Context, d time.Duration) {
	more := grownRoutes
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, growInterval) {
		if r.configure(more) == nil { // the store may be away
			more = grownRoutes - more
		}
	}
	_ = r.configure(0)
}

// usageMode sets the mode of the usage API.
func (r *run) usageMode(mode string) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+r.usage+"/mode/"+mode, "", http.NoBody)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: the usage API's mode:", err)
		return
	}
	resp.Body.Close()
}

// limit has an upstream name a request limit, or none if it is 0. It has no effect on one that does not run.
func (r *run) limit(upstream string, perSecond float64) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post(fmt.Sprintf("http://%s%s?perSecond=%g", r.listen[upstream], limitPath, perSecond), "", http.NoBody)
	if err == nil {
		resp.Body.Close()
	}
}

// crashTellTime is the pause between two calls that tell engines the part on which to crash: one that starts knows none.
const crashTellTime = 300 * time.Millisecond

// tellCrashPart tells all engines the part on which they crash, empty for none. It has no effect on those that do not run.
func (r *run) tellCrashPart(part string) {
	client := &http.Client{Timeout: 100 * time.Millisecond}
	for _, name := range names("engine", r.topology.Engines) {
		resp, err := client.Post(fmt.Sprintf("http://%s%s?part=%s", r.listen[name], crashPath, part), "", http.NoBody)
		if err == nil {
			resp.Body.Close()
		}
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
	if r.usage != "" {
		r.usageMode(usageUp)
	}
	for range 20 {
		if r.configure(0) == nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.recorder.Add(Record{Kind: KindFault, Text: "healed"})
}
