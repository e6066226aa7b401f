package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// CrashOutcome is how an attempt ended at an engine, as its entry sees it.
type CrashOutcome string

// Outcomes of attempts.
const (
	AttemptCompleted CrashOutcome = "completed"
	AttemptCrashed   CrashOutcome = "crashed" // the connection broke while the engine ran the attempt
	AttemptFailed    CrashOutcome = "failed"  // refused, or abandoned by the entry
)

// CrashDecider decides, at one entry, which requests are withheld from engines because they, or a part of their prompt, crash them.
type CrashDecider interface {
	// Allow reports whether a request may be sent to an engine now. It is called for each attempt.
	Allow(now time.Time, call *fighollow.Call) bool
	// Sent tells that an attempt is sent, Began that its answer has begun, and Ended how it ended. The id of an engine is new after each of
	// its starts. A request is at one engine at a time. The attempts of one that crashes end one after the other.
	Sent(now time.Time, engine string, call *fighollow.Call)
	Began(now time.Time, engine string, call *fighollow.Call)
	Ended(now time.Time, engine string, call *fighollow.Call, outcome CrashOutcome)
	// Publish returns what the entry writes to the store. A change is written at once, and any value again with each renewal.
	Publish(now time.Time) []byte
	// Observe tells what the other entries have published, by entry.
	Observe(now time.Time, published map[string][]byte)
}

// RepeatDecider is a CrashDecider that also decides which attempts that crashed are repeated.
type RepeatDecider interface {
	CrashDecider
	// MayRepeat reports whether a request whose attempt crashed may be sent to another engine.
	MayRepeat(now time.Time, call *fighollow.Call) bool
}

// allowAll is a CrashDecider that withholds nothing.
type allowAll struct{}

// AllowAll returns a CrashDecider that withholds nothing.
func AllowAll(string) CrashDecider { return allowAll{} }

func (allowAll) Allow(time.Time, *fighollow.Call) bool                  { return true }
func (allowAll) Sent(time.Time, string, *fighollow.Call)                {}
func (allowAll) Began(time.Time, string, *fighollow.Call)               {}
func (allowAll) Ended(time.Time, string, *fighollow.Call, CrashOutcome) {}
func (allowAll) Publish(time.Time) []byte                               { return nil }
func (allowAll) Observe(_ time.Time, _ map[string][]byte)               {}

// Span is a time from its Start to its End, from the start of a run.
type Span struct{ Start, End time.Duration }

func (s Span) contains(d time.Duration) bool { return d >= s.Start && d < s.End }

// CrashPart is a part of prompts, or a request, that crashes engines for a time. Requests with it come all the while, and go on to come
// when it is sound again.
type CrashPart struct {
	Crashing  Span
	Place     int     // index in the prompts
	PerSecond float64 // requests with it
	Request   bool    // the same request comes each time, whose parts are all sound
	Copies    int     // of a request that come at once; 0 for one
	Callers   int     // addresses from which a request comes; 0 for one
	// OneAtFirst has a request come from the first address alone until its counted crash.
	OneAtFirst bool
	// SoundPerSecond is the rate of the same request from another address, where it is sound.
	SoundPerSecond float64
}

// counted returns the number of the crash from which on the rules hold.
func (p *CrashPart) counted() int {
	if p.Request {
		return countedRequestCrash
	}
	return countedCrash
}

// EntryDisruption is a restart of an entry, or its loss of the store.
type EntryDisruption struct {
	Span
	Entry   int // -1 for a loss of the store by all
	Restart bool
}

// EngineEnd is a time at which an engine crashes for another reason than a prompt, or leaves in a planned way.
type EngineEnd struct {
	At     time.Duration
	Engine int
	Leaves bool
	Away   time.Duration
}

// CrashConfig configures a CrashRun.
type CrashConfig struct {
	Seed             uint64
	Duration         time.Duration
	Entries, Engines int
	Slots            int     // requests that an engine runs at once
	PerSecond        float64 // requests without a crashing part, of all entries
	Skew             float64 // share of all requests that comes at the first entry, above its equal share
	FirstParts       int     // numbers of different parts in the prompts, by place
	MiddleParts      int
	SubjectParts     int
	DownTime         time.Duration // of an engine that crashed
	FirstTime        time.Duration // mean time until an answer begins; 0 for crashFirstTime
	AnswerTime       time.Duration // mean time of the rest of an answer; 0 for crashAnswerTime
	MaxAttempts      int           // of a request; 0 for maxCrashAttempts
	CallerRepeats    int           // times that a caller sends a request again whose answer broke off, each within callerPause
	CrashDelay       time.Duration // longest time from the beginning of an answer until an engine crashes under it; 0 if none begins
	Parts            []CrashPart
	Entry            []EntryDisruption
	Engine           []EngineEnd
}

// DrawCrashConfig draws a run with 1 to 40 entries.
func DrawCrashConfig(seed uint64) CrashConfig {
	rnd := rand.New(rand.NewPCG(seed, 11))
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + rnd.Float64()*(to-from)) * float64(time.Second))
	}
	cfg := CrashConfig{
		Seed: seed, Duration: seconds(70, 110), Entries: []int{1, 2, 3, 4, 5, 8, 13, 22, 40}[rnd.IntN(9)], Engines: 4 + rnd.IntN(40), Slots: 16 << rnd.IntN(4),
		Skew: []float64{0, 0, 0.3, 0.7}[rnd.IntN(4)], FirstParts: 1 + rnd.IntN(4), MiddleParts: 1 + rnd.IntN(20), SubjectParts: 5 + rnd.IntN(200),
		DownTime: seconds(1.5, 7),
	}
	cfg.PerSecond = float64(cfg.Engines) * (1 + 6*rnd.Float64())
	start := seconds(8, 15)
	for range []int{1, 1, 1, 2, 3}[rnd.IntN(5)] {
		p := CrashPart{Crashing: Span{start, start + seconds(25, 40)}, Place: rnd.IntN(4), PerSecond: 0.5 + 8*rnd.Float64()*rnd.Float64()}
		cfg.Parts = append(cfg.Parts, p)
		if rnd.IntN(2) == 0 {
			start += seconds(0, 12)
		}
	}
	at := func() time.Duration { return seconds(0, cfg.Duration.Seconds()) }
	for range rnd.IntN(4) {
		cfg.Engine = append(cfg.Engine, EngineEnd{At: at(), Engine: rnd.IntN(cfg.Engines), Leaves: rnd.IntN(2) == 0, Away: seconds(1, 10)})
	}
	for range rnd.IntN(4) {
		d := EntryDisruption{Entry: rnd.IntN(cfg.Entries+1) - 1, Span: Span{Start: at()}}
		d.Restart = d.Entry >= 0 && rnd.IntN(2) == 0
		d.End = d.Start + seconds(0.3, 8)
		cfg.Entry = append(cfg.Entry, d)
	}
	return cfg
}

// DrawCrashRequests draws a run with few engines in which requests that come again crash them, beside parts of prompts in some.
func DrawCrashRequests(seed uint64) CrashConfig {
	cfg := DrawCrashConfig(seed)
	rnd := rand.New(rand.NewPCG(seed, 17))
	cfg.PerSecond /= float64(cfg.Engines)
	cfg.Engines = 2 + rnd.IntN(10)
	cfg.PerSecond *= float64(cfg.Engines)
	for i := range cfg.Engine {
		cfg.Engine[i].Engine %= cfg.Engines
	}
	for i := range cfg.Parts {
		cfg.Parts[i].Request = i == 0 || rnd.IntN(3) > 0
		cfg.Parts[i].Copies = 1 + rnd.IntN(3)
	}
	return cfg
}

// DrawCrashCallers draws a run with 1 to 8 entries in which two or three requests crash engines at once, each from one or several addresses. From
// another address, some of those of one address are sound.
func DrawCrashCallers(seed uint64) CrashConfig {
	cfg := DrawCrashRequests(seed)
	rnd := rand.New(rand.NewPCG(seed, 19))
	cfg.Entries = 1 + rnd.IntN(8)
	for i := range cfg.Entry {
		cfg.Entry[i].Entry = min(cfg.Entry[i].Entry, cfg.Entries-1)
	}
	perEngine := cfg.PerSecond / float64(cfg.Engines)
	cfg.Engines = 6 + rnd.IntN(16) // so that the first crashes of three requests leave some
	cfg.PerSecond = perEngine * float64(cfg.Engines)
	for i := range cfg.Engine {
		cfg.Engine[i].Engine %= cfg.Engines
	}
	start := cfg.Parts[0].Crashing.Start
	cfg.Parts = nil
	for range 2 + rnd.IntN(2) {
		from := start + time.Duration(rnd.Int64N(int64(2*time.Second)))
		p := CrashPart{
			Crashing: Span{from, from + 25*time.Second + time.Duration(rnd.Int64N(int64(15*time.Second)))}, Request: true,
			PerSecond: 0.5 + 4*rnd.Float64()*rnd.Float64(), Copies: 1 + rnd.IntN(2), Callers: 1 + rnd.IntN(4), OneAtFirst: rnd.IntN(3) > 0,
		}
		if p.Callers == 1 && rnd.IntN(2) == 0 {
			p.SoundPerSecond = rnd.Float64() * rnd.Float64()
		}
		cfg.Parts = append(cfg.Parts, p)
	}
	return cfg
}

// DrawCrashStreams draws a run with many long answers on each engine when a part crashes it. Those that break off go on at other engines, and
// callers send again what was not answered.
func DrawCrashStreams(seed uint64) CrashConfig {
	cfg := DrawCrashConfig(seed)
	rnd := rand.New(rand.NewPCG(seed, 23))
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + rnd.Float64()*(to-from)) * float64(time.Second))
	}
	perEngine := 10 + 50*rnd.Float64()
	cfg.Slots = 256
	cfg.FirstTime, cfg.AnswerTime = seconds(0.02, 0.2), seconds(1, 6)
	cfg.PerSecond = min(float64(cfg.Engines)*perEngine/cfg.AnswerTime.Seconds(), maxStreamsPerSecond)
	cfg.MaxAttempts, cfg.CallerRepeats = 2+rnd.IntN(3), 1+rnd.IntN(2)
	cfg.SubjectParts = 50 + rnd.IntN(1000)
	if rnd.IntN(4) == 0 {
		cfg.CrashDelay = seconds(0.02, 0.2)
	}
	return cfg
}

// Times of a CrashRun.
const (
	crashStable         = 3 * time.Second // after a disruption, and after a part's fifth crash, until the rules hold
	crashSendTime       = time.Millisecond
	crashFirstTime      = 250 * time.Millisecond // mean time until an answer begins
	crashAnswerTime     = 700 * time.Millisecond // mean time of the rest of an answer
	crashLapseTime      = 3600 * time.Millisecond
	crashDiscovery      = 300 * time.Millisecond // from a registration until the entries know of it
	crashRest           = time.Second            // of an engine at an entry whose request failed there
	publishCheckTime    = 250 * time.Millisecond
	publishPause        = 500 * time.Millisecond // least time between two writes of an entry
	watchDelay          = 100 * time.Millisecond // longest time from a write until the others know of it, if they have not just read another
	watchPause          = 375 * time.Millisecond // least time between two changes that an entry reads
	publishRenewal      = 10 * time.Second
	publishLapse        = 40 * time.Second
	maxCrashAttempts    = 2
	maxCrashDials       = 3
	repeatRatio         = 0.2
	repeatSlack         = 56
	repeatWindow        = 10 * time.Second
	repeatRatioShare    = 0.75 // of the ratio and of the slack that entries spend, as the gateway's budget does
	repeatSlackShare    = 0.45
	lateRequests        = 3 // with a crashing part that may reach engines in all, from crashStable after the fifth crash on
	countedCrash        = 5
	countedRequestCrash = 3
	wrongBlameRefused   = 2 // refused requests of an entry within wrongBlameSlot that show a wrongly blamed part
	wrongBlameSlot      = 2 * time.Second
	minSoundRequests    = 30 // of which a share is judged
	maxStreamsPerSecond = 120
	callerPause         = time.Second // longest time until a caller sends a request again
)

// CrashRun simulates entries that send requests to engines, some of which crash them. The entries decide by a CrashDecider each;
// the choice of an engine is simplified: the one with the fewest of the entry's own requests.
type CrashRun struct {
	Clock
	cfg     CrashConfig
	rnd     *rand.Rand
	start   time.Time
	decider func(entry string) CrashDecider
	entries []*crashEntry
	engines []*crashEngine
	written map[string]publication
	lists   []publicationList       // of publications after each write, oldest first
	calls   map[int]*fighollow.Call // that crash engines, by the index of their CrashPart
	seq     int
	oracle  crashOracle
}

type publication struct {
	at    time.Time
	value []byte
}

type publicationList struct {
	at     time.Time
	values map[string]publication
}

type crashEntry struct {
	index   int
	name    string
	decider CrashDecider // nil while it does not run
	rest    []time.Time  // by engine, until when it gets no request
	running []int        // by engine
	tokens  float64
	wrote   publication
	seen    time.Time // the newest publication that it knows of
	readAt  time.Time // when it last read one
	life    int       // of its process
}

type crashEngine struct {
	name         string
	incarnation  int
	up, draining bool
	listed       bool // the entries know of it
	running      map[*crashAttempt]bool
}

func (e *crashEngine) id() string { return fmt.Sprintf("%s-%d", e.name, e.incarnation) }

// crashRequest is a caller's request.
type crashRequest struct {
	call      *fighollow.Call
	at        time.Time
	part      int // index of its crashing part in the configuration, or -1
	mayRepeat bool
	repeats   int // times that its caller will send it again
	attempts  int
	arrived   bool
	began     bool
}

type crashAttempt struct {
	entry  *crashEntry
	life   int
	engine int
	id     string // of the engine's incarnation
	req    *crashRequest
	done   bool
}

// NewCrashRun returns a run whose entries each decide by what decider returns for their name, again after each restart.
func NewCrashRun(cfg CrashConfig, decider func(entry string) CrashDecider) *CrashRun {
	r := &CrashRun{
		Clock: Clock{Now: LimitRunStart}, cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 13)), start: LimitRunStart, decider: decider,
		written: make(map[string]publication), calls: make(map[int]*fighollow.Call), oracle: crashOracle{cfg: cfg, parts: make([]crashPartFacts, len(cfg.Parts))},
	}
	for i := range cfg.Engines {
		r.engines = append(r.engines, &crashEngine{name: fmt.Sprintf("engine%d", i), up: true, listed: true, running: make(map[*crashAttempt]bool)})
	}
	for i := range cfg.Entries {
		e := &crashEntry{index: i, name: fmt.Sprintf("entry%d", i), rest: make([]time.Time, cfg.Engines), running: make([]int, cfg.Engines)}
		r.entries = append(r.entries, e)
		r.startEntry(e)
	}
	r.schedule()
	return r
}

// schedule schedules the arrivals of requests and the disruptions.
func (r *CrashRun) schedule() {
	r.arrive(r.cfg.PerSecond, 0, func() { r.requests(-1) })
	for i, p := range r.cfg.Parts {
		r.arrive(p.PerSecond, p.Crashing.Start, func() { r.requests(i) })
		if p.SoundPerSecond > 0 {
			r.arrive(p.SoundPerSecond, 0, func() { r.request(i, p.Callers, true) })
		}
	}
	for _, d := range r.cfg.Entry {
		if !d.Restart {
			continue // looked up in the configuration
		}
		e := r.entries[d.Entry]
		r.After(d.Start, func() { r.stopEntry(e) })
		r.After(d.End, func() {
			if e.decider == nil {
				r.startEntry(e)
			}
		})
	}
	for _, end := range r.cfg.Engine {
		r.After(end.At, func() {
			if end.Leaves {
				r.drain(end.Engine, end.Away)
			} else {
				r.crash(end.Engine, end.Away)
			}
		})
	}
}

// arrive schedules arrivals of requests.
func (r *CrashRun) arrive(perSecond float64, from time.Duration, do func()) {
	gap := func() time.Duration { return time.Duration(r.rnd.ExpFloat64() / perSecond * float64(time.Second)) }
	var next func()
	next = func() {
		if r.Now.Sub(r.start) >= r.cfg.Duration {
			return
		}
		r.After(gap(), next)
		do()
	}
	r.After(from+gap(), next)
}

// requests has the requests with a part served that come at once, or one without a crashing part if it is -1.
func (r *CrashRun) requests(part int) {
	copies := 1
	if part >= 0 && r.cfg.Parts[part].Request {
		copies = max(1, r.cfg.Parts[part].Copies)
	}
	caller := r.caller(part)
	for range copies {
		r.request(part, caller, part < 0)
	}
}

// caller returns the index of the address from which a request with a part comes.
func (r *CrashRun) caller(part int) int {
	if part < 0 || r.cfg.Parts[part].Callers <= 1 {
		return 0
	}
	p := &r.cfg.Parts[part]
	if p.OneAtFirst && len(r.oracle.parts[part].crashes) < p.counted() {
		return 0
	}
	return r.rnd.IntN(p.Callers)
}

// Ids of parts: their place and number, which is the index in the configuration for crashing ones.
const (
	placeOfCrash   = 9
	placeOfRequest = 8
)

// CrashPartID returns the id of the part with this index in a configuration.
func CrashPartID(part int) uint64 { return partID(placeOfCrash, part) }

func partID(place, number int) uint64 { return uint64(place)<<32 | uint64(number) }

// prompt draws a prompt. The crashing part comes beside the parts that other requests have.
func (r *CrashRun) prompt(part int) []fighollow.PromptPart {
	tokens := []int{800, 400, 200}
	var out []fighollow.PromptPart
	for place, n := range []int{r.cfg.FirstParts, r.cfg.MiddleParts, r.cfg.SubjectParts} {
		number := min(r.rnd.IntN(n), r.rnd.IntN(n)) // some are more frequent
		out = append(out, fighollow.PromptPart{ID: partID(place, number), Tokens: tokens[place]})
	}
	if r.rnd.IntN(4) == 0 {
		out = out[:2]
	}
	if part >= 0 && !r.cfg.Parts[part].Request {
		place := min(r.cfg.Parts[part].Place, len(out))
		out = slices.Insert(out, place, fighollow.PromptPart{ID: CrashPartID(part), Tokens: 300})
	}
	return append(out, fighollow.PromptPart{ID: partID(placeOfRequest, r.seq), Tokens: 250})
}

// call returns the next request with a part from an address, or the same again if it is a request that crashes engines.
func (r *CrashRun) call(part, caller int) *fighollow.Call {
	c := &fighollow.Call{ID: fmt.Sprintf("r%d", r.seq), Target: fmt.Sprintf("/%d", r.seq), Caller: fmt.Sprintf("10.0.%d.1:80", caller)}
	if part >= 0 && r.cfg.Parts[part].Request {
		if r.calls[part] == nil {
			c.Prompt = r.prompt(part)
			r.calls[part] = c
		}
		again := *r.calls[part]
		again.ID, again.Caller = c.ID, c.Caller
		return &again
	}
	c.Prompt = r.prompt(part)
	return c
}

// request has a caller's request served. One with a part may be sound.
func (r *CrashRun) request(part, caller int, isSound bool) {
	r.seq++
	e := r.entries[r.rnd.IntN(len(r.entries))]
	if r.rnd.Float64() < r.cfg.Skew {
		e = r.entries[0]
	}
	req := &crashRequest{call: r.call(part, caller), at: r.Now, part: part, mayRepeat: r.rnd.IntN(2) == 0, repeats: r.cfg.CallerRepeats}
	if isSound {
		req.part = -1
	}
	r.serve(e, req)
}

// serve has a request served by an entry, or by another one if its process does not run.
func (r *CrashRun) serve(e *crashEntry, req *crashRequest) {
	r.oracle.requests = append(r.oracle.requests, req)
	if e.decider == nil {
		for _, other := range r.entries { // the load balancer passes it on
			if other.decider != nil {
				e = other
			}
		}
		if e.decider == nil {
			return
		}
	}
	e.tokens = min(e.tokens+repeatRatioShare*repeatRatio, r.maxTokens())
	r.attempt(e, req)
}

// repeat has a caller send a request again whose answer broke off.
func (r *CrashRun) repeat(req *crashRequest) {
	if req.repeats == 0 {
		return
	}
	r.After(time.Duration(r.rnd.Int64N(int64(callerPause))), func() {
		r.seq++
		call := *req.call
		call.ID = fmt.Sprintf("r%d", r.seq)
		again := &crashRequest{call: &call, at: r.Now, part: req.part, mayRepeat: req.mayRepeat, repeats: req.repeats - 1}
		r.serve(r.entries[r.rnd.IntN(len(r.entries))], again)
	})
}

func (r *CrashRun) maxTokens() float64 {
	return repeatSlackShare * repeatSlack / float64(r.cfg.Entries)
}

// attempt sends a request to an engine, if the entry's decider allows it.
func (r *CrashRun) attempt(e *crashEntry, req *crashRequest) {
	allowed := e.decider.Allow(r.Now, req.call)
	r.oracle.decided(r.Now.Sub(r.start), e.index, req, allowed)
	if !allowed {
		return
	}
	for range maxCrashDials {
		i := r.choose(e)
		if i < 0 {
			return
		}
		if req.arrived {
			if e.tokens < 1 {
				return
			}
			e.tokens--
		}
		a := &crashAttempt{entry: e, life: e.life, engine: i, id: r.engines[i].id(), req: req}
		if !r.engines[i].up {
			e.rest[i] = r.Now.Add(crashRest)
			continue
		}
		e.running[i]++
		e.decider.Sent(r.Now, a.id, req.call)
		sent := r.Now
		r.After(crashSendTime, func() { r.reach(a, sent) })
		return
	}
}

// choose returns the engine with the fewest of the entry's requests, or -1 if there is none.
func (r *CrashRun) choose(e *crashEntry) int {
	best, offset := -1, r.rnd.IntN(len(r.engines))
	for k := range r.engines {
		i := (k + offset) % len(r.engines)
		x := r.engines[i]
		if x.listed && !x.draining && !r.Now.Before(e.rest[i]) && (best < 0 || e.running[i] < e.running[best]) {
			best = i
		}
	}
	return best
}

// reach has an attempt reach its engine.
func (r *CrashRun) reach(a *crashAttempt, sent time.Time) {
	x, req := r.engines[a.engine], a.req
	if !x.up {
		r.end(a, AttemptCrashed) // a reset, after which the request may have run
		return
	}
	r.oracle.reached(sent.Sub(r.start), a.entry.index, req)
	req.attempts++
	if len(x.running) >= r.cfg.Slots {
		r.end(a, AttemptFailed)
		return
	}
	x.running[a] = true
	r.After(r.exp(cmp.Or(r.cfg.FirstTime, crashFirstTime)), func() {
		if a.done {
			return
		}
		if now := r.Now.Sub(r.start); req.part >= 0 && r.cfg.Parts[req.part].Crashing.contains(now) {
			r.crashUnder(a)
			return
		}
		req.began = true
		if a.entry.life == a.life {
			a.entry.decider.Began(r.Now, a.id, req.call)
		}
		r.After(r.exp(cmp.Or(r.cfg.AnswerTime, crashAnswerTime)), func() {
			if !a.done {
				delete(x.running, a)
				r.end(a, AttemptCompleted)
			}
		})
	})
}

// crashUnder has an attempt crash its engine, which may begin to answer before.
func (r *CrashRun) crashUnder(a *crashAttempt) {
	crash := func() {
		if a.done {
			return
		}
		r.oracle.crashed(r.Now.Sub(r.start), a.req.part)
		r.crash(a.engine, r.cfg.DownTime)
	}
	if r.cfg.CrashDelay == 0 {
		crash()
		return
	}
	if a.entry.life == a.life {
		a.entry.decider.Began(r.Now, a.id, a.req.call)
	}
	r.After(time.Duration(r.rnd.Int64N(int64(r.cfg.CrashDelay))), crash)
}

func (r *CrashRun) exp(mean time.Duration) time.Duration {
	return time.Duration(r.rnd.ExpFloat64() * float64(mean))
}

// end ends an attempt. A request may be sent again after a refusal, and after a crash if it may run twice.
func (r *CrashRun) end(a *crashAttempt, outcome CrashOutcome) {
	a.done = true
	e := a.entry
	if e.life != a.life {
		return // its process is gone
	}
	e.running[a.engine]--
	e.decider.Ended(r.Now, a.id, a.req.call, outcome)
	if outcome == AttemptCompleted {
		return
	}
	e.rest[a.engine] = r.Now.Add(crashRest)
	if a.req.attempts < cmp.Or(r.cfg.MaxAttempts, maxCrashAttempts) && (outcome == AttemptFailed || a.req.mayRepeat && e.mayRepeat(r.Now, a.req)) {
		r.attempt(e, a.req)
		return
	}
	if outcome == AttemptCrashed {
		r.repeat(a.req)
	}
}

// mayRepeat reports whether the entry's decider lets a request be repeated whose attempt crashed.
func (e *crashEntry) mayRepeat(now time.Time, req *crashRequest) bool {
	d, ok := e.decider.(RepeatDecider)
	return !ok || d.MayRepeat(now, req.call)
}

// crash ends an engine and all that it runs. It is back after some time.
func (r *CrashRun) crash(engine int, away time.Duration) {
	x := r.engines[engine]
	if !x.up {
		return
	}
	x.up = false
	incarnation := x.incarnation
	broken := make([]*crashAttempt, 0, len(x.running))
	for a := range x.running {
		a.done = true
		broken = append(broken, a)
	}
	clear(x.running)
	slices.SortFunc(broken, func(a, b *crashAttempt) int { return a.req.at.Compare(b.req.at) }) // for equal runs
	for _, a := range broken {
		r.After(crashSendTime, func() { r.end(a, AttemptCrashed) })
	}
	r.After(crashLapseTime, func() {
		if x.incarnation == incarnation {
			x.listed = false
		}
	})
	r.comeBack(x, away)
}

// drain has an engine leave in a planned way: it gets no request and ends what it runs.
func (r *CrashRun) drain(engine int, away time.Duration) {
	x := r.engines[engine]
	if !x.up {
		return
	}
	x.draining = true
	incarnation := x.incarnation
	r.After(5*time.Second, func() {
		if x.up && x.incarnation == incarnation {
			x.listed = false
			r.crash(engine, away)
		}
	})
}

func (r *CrashRun) comeBack(x *crashEngine, away time.Duration) {
	r.After(away, func() {
		x.incarnation++
		x.up, x.draining, x.listed = true, false, false
		r.After(crashDiscovery, func() { x.listed = true })
	})
}

// startEntry starts an entry's process, which knows nothing.
func (r *CrashRun) startEntry(e *crashEntry) {
	e.life++
	e.decider, e.tokens, e.wrote, e.seen = r.decider(e.name), r.maxTokens(), publication{}, time.Time{}
	clear(e.rest)
	clear(e.running)
	life := e.life
	every := func(pause time.Duration, do func()) {
		var next func()
		next = func() {
			if e.life == life && r.Now.Sub(r.start) < r.cfg.Duration {
				do()
				r.After(pause, next)
			}
		}
		r.After(time.Duration(r.rnd.Int64N(int64(pause))), next)
	}
	every(publishCheckTime, func() { r.publish(e) })
	every(watchDelay/2, func() { r.watch(e) })
}

func (r *CrashRun) stopEntry(e *crashEntry) {
	e.life++
	e.decider = nil
}

// IsCut reports whether an entry cannot reach the store at a time.
func (c *CrashConfig) IsCut(entry int, at time.Duration) bool {
	return slices.ContainsFunc(c.Entry, func(d EntryDisruption) bool {
		return !d.Restart && (d.Entry < 0 || d.Entry == entry) && d.contains(at)
	})
}

func (r *CrashRun) cut(e *crashEntry) bool { return r.cfg.IsCut(e.index, r.Now.Sub(r.start)) }

// publish writes what an entry publishes, if it has changed or is due again.
func (r *CrashRun) publish(e *crashEntry) {
	value := slices.Clone(e.decider.Publish(r.Now))
	r.oracle.publishedBytes = max(r.oracle.publishedBytes, len(value))
	age := r.Now.Sub(e.wrote.at)
	if r.cut(e) || age < publishPause || age < publishRenewal && slices.Equal(value, e.wrote.value) {
		return
	}
	e.wrote = publication{r.Now, value}
	r.After(5*time.Millisecond, func() {
		r.written[e.name] = e.wrote
		r.lists = append(r.lists, publicationList{r.Now, maps.Clone(r.written)})
		if len(r.lists) > 64*r.cfg.Entries {
			r.lists = slices.Delete(r.lists, 0, len(r.lists)/2)
		}
	})
}

// watch reads what the other entries have published, if that has changed.
func (r *CrashRun) watch(e *crashEntry) {
	if r.cut(e) || r.Now.Sub(e.readAt) < watchPause {
		return
	}
	seen := r.Now.Add(-watchDelay / 2)
	for _, l := range slices.Backward(r.lists) {
		if l.at.After(seen) {
			continue
		}
		if !l.at.After(e.seen) {
			return
		}
		e.seen, e.readAt = l.at, r.Now
		published := make(map[string][]byte)
		for name, p := range l.values {
			if name != e.name && r.Now.Sub(p.at) < publishLapse {
				published[name] = p.value
			}
		}
		e.decider.Observe(r.Now, published)
		return
	}
}

// Run plays the run and returns its figures.
func (r *CrashRun) Run() CrashResult {
	r.RunUntil(r.start.Add(r.cfg.Duration + 5*time.Second))
	return r.oracle.result(r.start)
}
