package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options configures a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // of the faults; traffic goes on for Rules.Recovery and some seconds
	Processes int           // about so many
	Gateway   string        // path of the fighollow program
	CrashPart bool          // add the fault of a part of prompts that crashes engines
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
	drainMs      = 1000
	graceS       = 4
	stableMs     = 3000
	leaseMs      = 3000
	thawMs       = 300
	configMs     = 2000
	recoveryS    = 12
	lossSlackMs  = 200
	memoryMB     = 284
	maxFiles     = 1000
	retryRatio   = 0.02
	retrySlack   = 6
	budgetS      = 10
	limitWindowS = 4
	limitFactor  = 1.5
	limitSlack   = 5
	countedCrash = 5
	lateRequests = 3
	tailTime     = 4 * time.Second // of traffic after the recovery
	workers      = 6               // of each process of callers
	// restingWorkers is the number of workers of each process of callers that rest long between two requests.
	restingWorkers = 24
	faultyShare    = 0.05 // of the answers
)

func rules(p Plan) Rules {
	return Rules{
		Lease: leaseMs * time.Millisecond, Thaw: thawMs * time.Millisecond, BudgetWindow: budgetS * time.Second, BudgetRatio: retryRatio,
		BudgetSlack: retrySlack, Recovery: recoveryS * time.Second, LossSlack: lossSlackMs * time.Millisecond, MemoryKiB: memoryMB << 10,
		Files: maxFiles, PlannedOnly: p.Planned && !p.CrashPart, LimitWindow: limitWindowS * time.Second, LimitFactor: limitFactor, LimitSlack: limitSlack,
		Stable: stableMs * time.Millisecond, CountedCrash: countedCrash, LateRequests: lateRequests,
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
	listen    map[string]string // addresses of upstreams, without the proxies in front of them

	mu      sync.Mutex
	version int // of the configuration
	more    int // routes of that version that the next one need not have
}

// Run plays the plan of a seed and judges what was seen.
func Run(ctx context.Context, opts Options) (*Report, error) {
	t := TopologyOf(opts.Processes)
	r := &run{
		opts: opts, topology: t, plan: DrawPlan(opts.Seed, t, opts.Duration), processes: make(map[string]*process),
		links: make(map[string]*Proxy), readiness: make(map[string]string), ingress: make(map[string]string), listen: make(map[string]string),
	}
	if opts.CrashPart {
		r.plan.AddCrashPart()
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
