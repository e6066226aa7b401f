package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// drawPool returns the fleet of a service with engines in drawn states.
func drawPool(r *rand.Rand, now time.Time) *Fleet {
	f := New(Options{DataCentre: "a", DrainTime: time.Second, AdmitVersions: r.IntN(3) == 0, ShareWork: r.IntN(2) == 0})
	traits := fighollow.ServiceTraits{Name: "m", MaxConnections: r.IntN(3) * 20}
	if r.IntN(5) > 0 {
		traits.Engine = &fighollow.EngineTraits{Slots: 8, KVCapacityTokens: 500_000, KVBytesPerToken: 35_000, TransferMbps: 390_000}
	}
	f.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{"m": traits}})
	f.SetEntries(1 + r.IntN(20))
	bad := r.IntN(4) // how many in four engines have a reason not to be used
	p := f.Pool("m")
	p.Admit([]string{"1"})
	for i := range 1 + r.IntN(12) {
		u := fighollow.Upstream{
			ID: fmt.Sprint("u", i), Service: "m", Address: fmt.Sprint(i), DataCentre: string('a' + rune(r.IntN(2))), Slots: 8, StartedMs: 1, Version: fmt.Sprint(r.IntN(2)),
		}
		if traits.Engine != nil {
			u.Role = []fighollow.Role{fighollow.RolePrefill, fighollow.RoleDecode}[r.IntN(2)]
		}
		f.Put(now.Add(-time.Minute), u, uint64(i+1))
		inst := p.instances[u.ID]
		for range r.IntN(4) {
			q := Query{Phase: fighollow.RequestWhole, PromptTokens: 5000, Prompt: drawPrompt(r), Urgency: r.IntN(10)}
			a := p.Begin(now.Add(-time.Second), Choice{Upstream: u}, q)
			if r.IntN(2) == 0 {
				p.Started(now.Add(-time.Millisecond*time.Duration(r.IntN(900))), a)
			}
		}
		if r.IntN(4) >= bad {
			continue
		}
		switch r.IntN(8) {
		case 0:
			inst.ejectedUntil = now.Add(time.Second)
		case 1:
			inst.fullUntil, inst.fullBackoff = now.Add(time.Second), time.Second
		case 2:
			inst.announced = announced{pausedUntil: now.Add(time.Second)}
		case 3:
			inst.announced = announced{leaving: true}
		case 4, 5:
			inst.named = quota.Named{InForce: true, PerSecond: r.Float64(), NamedAt: now, AnsweredAt: now}
			p.updateLimits(now)
			for range r.IntN(10) {
				inst.permits.Take()
			}
		case 6:
			inst.removedAt = now.Add(-time.Duration(r.IntN(1000)) * time.Millisecond)
		case 7:
			inst.misdirectedUntil = now.Add(time.Second)
		}
	}
	return f
}

func drawPrompt(r *rand.Rand) []fighollow.PromptPart {
	return []fighollow.PromptPart{{ID: 1 + r.Uint64N(3), Tokens: 3000}, {ID: 10 + r.Uint64N(20), Tokens: 2000}}
}

// placed is the result of Place.
type placed struct {
	choice  Choice
	delay   time.Duration
	err     error
	urgency int
}

func place(p *Pool, now time.Time, q Query, slo SLO) placed {
	c, delay, err := p.Place(now, &q, slo)
	c.passed = nil
	return placed{c, delay, err, q.Urgency}
}

// Guards against an explanation that differs from the decision, whose terms do not add up, which lacks an upstream, or which changes what
// is known, takes a permit or counts demand.
func TestSnapshotDecidesAsThePool(t *testing.T) {
	now := time.Unix(1000, 0)
	outcomes := make(map[string]int)
	for seed := range uint64(600) {
		r := rand.New(rand.NewPCG(seed, 0))
		f := drawPool(r, now)
		p := f.Pool("m")
		q := Query{PromptTokens: 5000, Prompt: drawPrompt(r), Bytes: 5000, Seed: r.Uint64(), NoRetry: r.IntN(4) == 0}
		if r.IntN(4) == 0 {
			q.Version = "1"
		}
		slo := SLO{Arrived: now, Target: 300 * time.Millisecond, Deadline: now.Add(time.Duration(50+r.IntN(4000)) * time.Millisecond), Priority: r.IntN(5)}
		for _, phase := range []fighollow.RequestPhase{fighollow.RequestPrefill, fighollow.RequestDecode, fighollow.RequestWhole} {
			comment := qt.Commentf("seed %d, %s", seed, phase)
			q.Phase = phase
			before := p.snapshot(now, q.Prompt)
			s := f.Snapshot(now, "m", q.Prompt)
			path := s.Path(now, q, slo)
			explained := place(s, now, q, slo)
			w, ok := s.Weighing(now, phase)
			qt.Assert(t, reflect.DeepEqual(p.snapshot(now, q.Prompt), before), qt.IsTrue, comment)
			qt.Assert(t, path, qt.Equals, p.Path(now, q, slo), comment)
			decided := place(p, now, q, slo)
			qt.Assert(t, reflect.DeepEqual(explained, decided), qt.IsTrue, qt.Commentf("%v: %+v and %+v", comment, explained, decided))
			qt.Assert(t, ok, qt.IsTrue, comment)
			qt.Assert(t, len(w.Candidates)+len(w.Excluded), qt.Equals, len(p.instances), comment)
			if decided.err == nil {
				qt.Assert(t, w.Candidates[0].Upstream.ID, qt.Equals, decided.choice.Upstream.ID, comment)
			}
			for i := range w.Candidates {
				c := &w.Candidates[i]
				sum := c.Terms.Slowness*(c.PendingMs+c.Terms.PromptMs) + c.Terms.TransferMs + c.Terms.InterruptionMs + c.Terms.RunningMs +
					c.Terms.LatencyMs + c.Terms.CrossMs + c.Terms.JitterMs
				qt.Assert(t, math.Abs(sum-c.CostMs) < 1e-6, qt.IsTrue, qt.Commentf("%v: %v and %v", comment, sum, c.CostMs))
			}
			for _, e := range w.Excluded {
				qt.Assert(t, e.Reason, qt.Not(qt.Equals), Exclusion(""), qt.Commentf("%v: %+v", comment, e))
				outcomes[string(e.Reason)]++
			}
			outcomes[fmt.Sprintf("%s: %v", phase, decided.err)]++
		}
	}
	// All reasons must have been drawn, apart from a repeated attempt, which only the gateway makes.
	for _, reason := range []Exclusion{
		ExcludedRole, ExcludedVersion, ExcludedNotAdmitted, ExcludedLeaving, ExcludedMisdirected, ExcludedEjected, ExcludedFull, ExcludedUnlisted,
		ExcludedPaused, ExcludedConnections, ExcludedRequestLimit,
	} {
		qt.Check(t, outcomes[string(reason)] > 0, qt.IsTrue, qt.Commentf("%s: %v", reason, outcomes))
	}
	t.Log(outcomes)
}

// sharedReferences returns the fields of two values of one type that refer to the same memory.
func sharedReferences(path string, a, b reflect.Value) (out []string) {
	if a.Type() == reflect.TypeFor[time.Time]() {
		return nil // its location is immutable
	}
	switch a.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Func, reflect.Chan:
		if !a.IsNil() && a.Pointer() == b.Pointer() {
			out = append(out, path)
		}
	case reflect.Interface:
		if !a.IsNil() {
			out = append(out, path)
		}
	case reflect.Struct:
		for i := range a.NumField() {
			out = append(out, sharedReferences(path+"."+a.Type().Field(i).Name, a.Field(i), b.Field(i))...)
		}
	case reflect.Array:
		for i := range a.Len() {
			out = append(out, sharedReferences(path+"[]", a.Index(i), b.Index(i))...)
		}
	}
	return out
}

// Guards against state that is added to a Pool or an instance and which Snapshot shares with it, and against a Snapshot that is taken while
// requests are placed.
func TestSnapshotSharesNothingThatChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	f := drawPool(rand.New(rand.NewPCG(3, 0)), now)
	p := f.Pool("m")
	p.Admit([]string{"0"})
	prompt := drawPrompt(rand.New(rand.NewPCG(1, 0)))
	s := f.Snapshot(now, "m", prompt)
	shared := sharedReferences("", reflect.ValueOf(p).Elem(), reflect.ValueOf(s).Elem())
	for id, inst := range p.instances {
		shared = append(shared, sharedReferences("instance", reflect.ValueOf(inst).Elem(), reflect.ValueOf(s.instances[id]).Elem())...)
		shared = append(shared, sharedReferences("cache", reflect.ValueOf(inst.cache).Elem(), reflect.ValueOf(s.instances[id].cache).Elem())...)
	}
	// Admit replaces what was admitted, and the traits of engines are immutable.
	qt.Assert(t, shared, qt.DeepEquals, []string{".poolState.traits.Engine", ".poolState.admitted"})
	slo := SLO{Arrived: now, Target: time.Second, Deadline: now.Add(time.Minute)}
	var placing sync.WaitGroup
	placing.Go(func() {
		for range 200 {
			q := Query{Phase: fighollow.RequestPrefill, Prompt: prompt, PromptTokens: 5000}
			if c, _, err := p.Place(now, &q, slo); err == nil {
				p.End(now, p.Begin(now, c, q), Answered)
			}
		}
	})
	for range 50 {
		s := f.Snapshot(now, "m", prompt)
		place(s, now, Query{Phase: fighollow.RequestPrefill, Prompt: prompt, PromptTokens: 5000}, slo)
		s.Weighing(now, fighollow.RequestPrefill)
	}
	placing.Wait()
}
