package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

// Options configures a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // of the faults; traffic goes on for Rules.Recovery and some seconds
	Processes int           // about so many
	Gateway   string        // path of the fighollow program
	CrashPart bool          // add the fault of a part of prompts that crashes engines
	// Workspaces adds workspaces with keys, and usage reports.
	Workspaces bool
	Self       string // path of the soak program, which also is each stand-in
	Dir        string // for records and logs
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
	reportS      = 2
	reportDueS   = 6
	revocationMs = 4000
	usageShare   = 0.05
	usageCallsPS = 50.0
	tailTime     = 4 * time.Second // of traffic after the recovery
	// keySlack is added to configMs where the oracle judges keys: several runs share the machine.
	keySlack = time.Second
	workers  = 6 // of each process of callers
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
		Workspaces: p.Workspaces, Config: configMs*time.Millisecond + keySlack, Grace: graceS * time.Second,
		Window: reportS * time.Second, UsageShare: usageShare, UsageDue: reportDueS * time.Second,
	}
}

// run is one run with its processes and links.
type run struct {
	opts      Options
	plan      Plan
	topology  Topology
	recorder  *Recorder
	store     string // address
	usage     string // address of the usage API; empty for none
	processes map[string]*process
	links     map[string]*Proxy
	readiness map[string]string
	ingress   map[string]string
	listen    map[string]string // addresses of upstreams, without the proxies in front of them

	mu      sync.Mutex
	version int // of the configuration
	more    int // routes of that version that the next one need not have
	// attempted is the newest version that was written, perhaps without an acknowledgement. Only runs with workspaces count it: their
	// versions differ in more than the routes that are added to the one before.
	attempted int
	keys      keyring // of that version
	keyDraws  *rand.Rand
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
	if opts.Workspaces {
		r.plan.AddWorkspaces(opts.Duration)
		r.keys, r.keyDraws = make(keyring), rand.New(rand.NewPCG(opts.Seed, 5))
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
	if r.plan.Workspaces {
		r.findKeys()
		sleep(ctx, reportDueS*time.Second+lossSlackMs*time.Millisecond) // until the last reports are due
		r.recorder.Add(Record{Kind: KindClosed})
	}
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
		req.Header.Set(standin.HeaderRequest, "final-"+name)
		req.Header.Set(standin.HeaderDeadline, "3000")
		sent := Record{Kind: KindSent, Request: "final-" + name, Route: routeAny}
		if r.plan.Workspaces {
			sent.Key = steadyKey(soakWorkspaces[0])
			req.Header.Set(standin.HeaderKey, sent.Key)
		}
		r.recorder.Add(sent)
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

// findKeys looks for keys in the logs of the entries.
func (r *run) findKeys() {
	for _, name := range r.topology.entries() {
		data, err := os.ReadFile(r.processes[name].log)
		if err != nil {
			r.recorder.Add(Record{Kind: KindLeak, Instance: name, Text: "the log cannot be read: " + err.Error()})
		}
		if bytes.Contains(data, []byte(keyPrefix)) {
			r.recorder.Add(Record{Kind: KindLeak, Instance: name, Text: "a key in the log"})
		}
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
