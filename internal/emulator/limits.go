package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/internal/roster"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// LimitRun simulates entries that send requests to the upstreams of one service, some of which name request limits. The entries
// share the limits by the production code.
type LimitRun struct {
	Clock
	Rand      *rand.Rand
	Entries   []*LimitEntry
	Upstreams []fighollow.Upstream
	Limits    map[string]fighollow.RequestLimit // in the answers of upstreams
	Arrived   map[string][]Arrival              // requests that reached upstreams
	Served    []time.Time
	Wasted    []time.Time // when prompts were found to have been computed in vain

	phase fighollow.RequestPhase // of all requests; empty for a prefill and a decode, as the pool chooses
	end   time.Time
	store registrations
	seq   uint64
}

// Arrival is a request that reached an upstream.
type Arrival struct {
	At   time.Time
	From *LimitEntry
}

// LimitEntry is one entry of a LimitRun.
type LimitEntry struct {
	Name string
	Rate float64 // requests a second that callers send
	Dead bool    // sends nothing any more
	// Cut reports that it is cut off from the store, and Lag how old the lists are that it reads.
	Cut bool
	Lag time.Duration
	// Told is when it first had an answer of an upstream that names a limit, by upstream.
	Told map[string]time.Time

	fleet  *placement.Fleet
	roster *roster.Roster
}

// LimitRunStart is the virtual time at which a LimitRun starts.
var LimitRunStart = time.Unix(1000, 0)

// NewLimitRun returns a run without entries. Requests arrive until its end. Upstreams are named as ROLE-CENTRE-NUMBER; the roles
// are p (prefill), d (decode) and s (plain). All requests have one phase, or a prefill and a decode if it is empty.
func NewLimitRun(seed uint64, phase fighollow.RequestPhase, duration time.Duration, upstreams ...string) *LimitRun {
	r := &LimitRun{
		Clock: Clock{Now: LimitRunStart}, Rand: rand.New(rand.NewPCG(seed, 7)), phase: phase,
		store: registrations{objects: make(map[string]fighollow.Object)}, end: LimitRunStart.Add(duration),
		Limits: make(map[string]fighollow.RequestLimit), Arrived: make(map[string][]Arrival),
	}
	roles := map[byte]fighollow.Role{'p': fighollow.RolePrefill, 'd': fighollow.RoleDecode}
	for _, id := range upstreams {
		r.Upstreams = append(r.Upstreams, fighollow.Upstream{
			ID: id, Service: limitService, Address: id + ":1", DataCentre: id[2:3], Slots: 64, StartedMs: 1, Role: roles[id[0]],
		})
	}
	return r
}

// Times of a LimitRun.
const (
	limitService  = "s"
	stepPause     = 250 * time.Millisecond // between two checks of a roster
	transferTime  = time.Millisecond       // of a request to its upstream
	answerTime    = 30 * time.Millisecond  // until an answer begins
	prefillTime   = 200 * time.Millisecond // of a prompt
	limitTarget   = time.Second
	limitDeadline = 5 * time.Second
)

// AddEntry starts an entry in a data centre whose callers send rate requests a second.
func (r *LimitRun) AddEntry(dataCentre string, rate float64) *LimitEntry {
	e := &LimitEntry{Name: fmt.Sprintf("entry-%02d", len(r.Entries)), Rate: rate, Told: make(map[string]time.Time)}
	divider := quota.New(e.Name)
	e.fleet = placement.New(placement.Options{DataCentre: dataCentre, DrainTime: 2 * time.Second, Shares: divider})
	traits := fighollow.ServiceTraits{Name: limitService}
	if r.phase != fighollow.RequestWhole {
		traits.Engine = &fighollow.EngineTraits{Slots: 64, KVCapacityTokens: 500_000}
	}
	e.fleet.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{limitService: traits}})
	for i, u := range r.Upstreams {
		e.fleet.Put(r.Now, u, uint64(i+1))
	}
	e.roster = roster.New(roster.Options{Self: e.Name, Claims: e.fleet.LimitClaims, Divider: divider}, &storeClient{registrations: &r.store, clock: &r.Clock, entry: e}, e.fleet.SetEntries, zerolog.Nop())
	r.Entries = append(r.Entries, e)
	r.After(time.Duration(r.Rand.Int64N(int64(time.Second))), func() { r.step(e) })
	r.After(r.gap(e), func() { r.request(e) })
	return e
}

func (r *LimitRun) step(e *LimitEntry) {
	if !e.Dead && r.Now.Before(r.end) {
		e.roster.Step(context.Background(), r.Now)
		r.After(stepPause, func() { r.step(e) })
	}
}

func (r *LimitRun) gap(e *LimitEntry) time.Duration {
	return time.Duration(r.Rand.ExpFloat64() / e.Rate * float64(time.Second))
}

// request has a caller's request served.
func (r *LimitRun) request(e *LimitEntry) {
	if e.Dead || r.Now.After(r.end) {
		return
	}
	r.After(r.gap(e), func() { r.request(e) })
	r.seq++
	q := placement.Query{
		Phase: r.phase, PromptTokens: 1000, Target: limitTarget, Seed: r.seq, Prompt: []fighollow.PromptPart{{ID: r.seq, Tokens: 1000}},
	}
	slo := placement.SLO{Arrived: r.Now, Target: q.Target, Deadline: r.Now.Add(limitDeadline)}
	serve := func() { r.Served = append(r.Served, r.Now) }
	if r.phase != "" {
		r.attempt(e, q, slo, serve)
		return
	}
	if q.Phase = e.fleet.Pool(limitService).Path(r.Now, q, slo); q.Phase == fighollow.RequestPrefill {
		placed := r.attempt(e, q, slo, func() {
			q.Phase = fighollow.RequestDecode
			if !r.attempt(e, q, slo, serve) {
				r.Wasted = append(r.Wasted, r.Now)
			}
		})
		if placed {
			return
		}
		q.Phase = fighollow.RequestWhole
	}
	r.attempt(e, q, slo, serve)
}

// attempt places and sends an attempt; then is called with its answer. It returns false if the attempt is not placed.
func (r *LimitRun) attempt(e *LimitEntry, q placement.Query, slo placement.SLO, then func()) bool {
	pool := e.fleet.Pool(limitService)
	c, _, err := pool.Place(r.Now, &q, slo)
	if err != nil {
		return false
	}
	a, id := pool.Begin(r.Now, c, q), c.Upstream.ID
	r.After(transferTime, func() { r.Arrived[id] = append(r.Arrived[id], Arrival{r.Now, e}) })
	took := answerTime
	if q.Phase != fighollow.RequestDecode && r.phase == "" {
		took = prefillTime
	}
	r.After(took, func() {
		said := r.Limits[id]
		if _, told := e.Told[id]; !told && said.State == fighollow.LimitNamed {
			e.Told[id] = r.Now
		}
		pool.ObserveLimit(r.Now, a, said)
		pool.End(r.Now, a, placement.Answered)
		then()
	})
	return true
}

// Count returns how many requests reached an upstream from a to b after the start.
func (r *LimitRun) Count(id string, a, b time.Duration) int {
	n := 0
	for _, x := range r.Arrived[id] {
		if d := x.At.Sub(LimitRunStart); d >= a && d < b {
			n++
		}
	}
	return n
}

// CountTimes returns how many times are from a to b after the start.
func CountTimes(times []time.Time, a, b time.Duration) int {
	n := 0
	for _, t := range times {
		if d := t.Sub(LimitRunStart); d >= a && d < b {
			n++
		}
	}
	return n
}

// windowStep is the distance between the windows that Most examines.
const windowStep = 50 * time.Millisecond

// Most returns the largest number of requests that reached an upstream in a window that ends from a to b after the start, and that
// end. Only requests count for which counts returns true.
func (r *LimitRun) Most(id string, a, b, window time.Duration, counts func(x Arrival, end time.Time) bool) (most int, at time.Duration) {
	for d := a; d <= b; d += windowStep {
		end := LimitRunStart.Add(d)
		n := 0
		for _, x := range r.Arrived[id] {
			if x.At.After(end.Add(-window)) && !x.At.After(end) && counts(x, end) {
				n++
			}
		}
		if n > most {
			most, at = n, d
		}
	}
	return most, at
}
