package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	models = "models"
	plain  = "plain"
	drain  = 2 * time.Second
)

var start = time.Unix(1000, 0)

// newFleet returns the fleet of an entry in data centre a. Engines and plain upstreams are named ROLE-CENTRE-NUMBER; the
// roles are p (prefill), d (decode) and s (plain service).
func newFleet(engines ...string) *placement.Fleet {
	return newFleetWith(placement.Options{DataCentre: "a", DrainTime: drain}, engines...)
}

func newFleetWith(opts placement.Options, engines ...string) *placement.Fleet {
	f := placement.New(opts)
	f.Configure(playRouting())
	for i, id := range engines {
		f.Put(start, engine(id), uint64(i+1))
	}
	return f
}

// playRouting returns the configuration of the plays' services.
func playRouting() *fighollow.Routing {
	return &fighollow.Routing{Services: map[string]fighollow.ServiceTraits{
		models: {Name: models, Engine: &fighollow.EngineTraits{Slots: 64, KVCapacityTokens: 500_000, KVBytesPerToken: 35_000, TransferMbps: 390_000}},
		plain:  {Name: plain},
	}}
}

func engine(id string) fighollow.Upstream {
	var role, centre string
	var n int
	if _, err := fmt.Sscanf(id, "%1s-%1s-%d", &role, &centre, &n); err != nil {
		panic(err)
	}
	u := fighollow.Upstream{
		ID: id, Service: models, Address: id + ":1", DataCentre: centre, Slots: 64, StartedMs: 1,
		Role: map[string]fighollow.Role{"p": fighollow.RolePrefill, "d": fighollow.RoleDecode}[role],
	}
	if role == "s" {
		u.Service = plain
	}
	return u
}

// prompt returns the query of a prefill: a part of 10,000 tokens that prompts share, and one of 4,000 tokens of its own.
func prompt(shared, own uint64) placement.Query {
	return placement.Query{
		Phase: fighollow.RequestPrefill, PromptTokens: 14_000, Bytes: 17_000, Target: 800 * time.Millisecond, Seed: own,
		Prompt: []fighollow.PromptPart{{ID: shared, Tokens: 10_000}, {ID: own, Tokens: 4000}},
	}
}

// runPrefill places a prefill that takes d and ends it.
func runPrefill(f *placement.Fleet, now time.Time, q placement.Query, d time.Duration) placement.Choice {
	p := f.Pool(models)
	c, ok := p.Choose(now, q)
	if !ok {
		return placement.Choice{}
	}
	p.End(now.Add(d), p.Begin(now, c, q), placement.Answered)
	return c
}

func TestSharedPrefixStaysAtOneEngine(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2", "p-a-3", "d-a-1")
	first := runPrefill(f, start, prompt(7, 100), 200*time.Millisecond).Upstream.ID
	for i := range uint64(20) {
		now := start.Add(time.Duration(i+1) * time.Second)
		c := runPrefill(f, now, prompt(7, 101+i), 100*time.Millisecond)
		qt.Assert(t, c.Upstream.ID, qt.Equals, first)
		qt.Assert(t, c.Cached >= 10_000, qt.IsTrue)
	}
}

// Guards against each entry computing a shared prefix again: all entries choose the same engine for it without coordination.
func TestEntriesAgreeOnPreferredEngine(t *testing.T) {
	for shared := range uint64(50) {
		a := newFleet("p-a-1", "p-a-2", "p-a-3")
		b := newFleet("p-a-3", "p-a-1", "p-a-2")
		qt.Assert(t, runPrefill(a, start, prompt(shared, 100), time.Second).Upstream.ID, qt.Equals,
			runPrefill(b, start, prompt(shared, 200), time.Second).Upstream.ID)
	}
}

// Guards against a few engines being preferred for most prefixes, whatever their ids are.
func TestPreferredEnginesAreSpread(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2", "p-a-3", "p-a-4")
	got := make(map[string]int)
	for shared := range uint64(400) {
		c, ok := f.Pool(models).Choose(start, prompt(shared, 1000+shared))
		qt.Assert(t, ok, qt.IsTrue)
		got[c.Upstream.ID]++
	}
	for id, n := range got {
		qt.Assert(t, n > 60 && n < 140, qt.IsTrue, qt.Commentf("%s is preferred for %d prefixes", id, n))
	}
	qt.Assert(t, got, qt.HasLen, 4)
}

// Guards against each data centre computing a shared prefix again. In a load test, 3.5 of 17.5 million tokens were shared
// parts computed again, once per data centre.
func TestDataCentresFetchFromEachOther(t *testing.T) {
	for shared := range uint64(30) {
		engines := []string{"p-a-1", "p-a-2", "p-b-1", "p-b-2"}
		a, b := newFleet(engines...), placement.New(placement.Options{DataCentre: "b", DrainTime: drain})
		b.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{models: {
			Name: models, Engine: &fighollow.EngineTraits{Slots: 64, KVCapacityTokens: 500_000, KVBytesPerToken: 35_000, TransferMbps: 390_000},
		}}})
		for i, id := range engines {
			b.Put(start, engine(id), uint64(i+1))
		}
		first := runPrefill(a, start, prompt(shared, 100), 300*time.Millisecond)
		same := runPrefill(b, start.Add(time.Second), prompt(shared, 200), 300*time.Millisecond)
		qt.Assert(t, same.Upstream.ID, qt.Equals, first.Upstream.ID)
		for f, centre := range map[*placement.Fleet]string{a: "a", b: "b"} {
			next := runPrefill(f, start.Add(2*time.Second), prompt(shared, 300), 100*time.Millisecond)
			qt.Assert(t, next.Upstream.DataCentre, qt.Equals, centre)
			qt.Assert(t, next.Cached+next.Fetched >= 10_000, qt.IsTrue)
		}
	}
}

// Guards against prompts that queue at a busy preferred engine, or that compute the shared part again at another one: they
// overflow to an engine that fetches it.
func TestBusyPreferredEngineOverflowsWithAFetch(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2", "p-a-3")
	preferred := runPrefill(f, start, prompt(7, 100), 200*time.Millisecond).Upstream
	p := f.Pool(models)
	now := start.Add(time.Second)
	for i := range uint64(20) {
		q := prompt(7, 200+i)
		c, ok := p.Choose(now, q)
		qt.Assert(t, ok, qt.IsTrue)
		p.Begin(now, c, q)
		if c.Upstream.ID != preferred.ID {
			qt.Assert(t, c.FetchFrom, qt.Equals, preferred.Address)
			return
		}
	}
	t.Fatal("twenty prompts are queued at one engine")
}

// Guards against a fetch from an engine that has not computed the part yet.
func TestUncomputedPartIsNotFetched(t *testing.T) {
	f := newFleet("p-a-1", "p-b-1")
	p := f.Pool(models)
	q := prompt(7, 100)
	c, _ := p.Choose(start, q)
	attempt := p.Begin(start, c, q)
	other := placement.Query{Phase: q.Phase, Prompt: prompt(7, 101).Prompt, PromptTokens: 14_000, Tried: []string{c.Upstream.ID}}
	got, ok := p.Choose(start, other)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got.Fetched < 10_000, qt.IsTrue)
	p.End(start.Add(time.Second), attempt, placement.Answered)
	got, _ = p.Choose(start.Add(time.Second), other)
	qt.Assert(t, got.FetchFrom, qt.Equals, c.Upstream.Address)
	qt.Assert(t, got.Fetched, qt.Equals, 10_000)
}

// Guards against relying on an engine's cache after it restarted under the same id.
func TestRestartUnderTheSameID(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2")
	id := runPrefill(f, start, prompt(7, 100), 200*time.Millisecond).Upstream.ID
	restarted := engine(id)
	restarted.StartedMs = 2
	f.Put(start.Add(time.Second), restarted, 10)
	now := start.Add(2 * time.Second)
	other := prompt(7, 101)
	other.Tried = []string{id}
	c, _ := f.Pool(models).Choose(now, other)
	qt.Assert(t, c.Fetched < 10_000, qt.IsTrue, qt.Commentf("%+v", c))
}

func TestOwnDataCentreComesFirst(t *testing.T) {
	f := newFleet("s-a-1", "s-b-1", "s-c-1")
	for i := range uint64(30) {
		c, _ := f.Pool(plain).Choose(start, placement.Query{Phase: fighollow.RequestWhole, Seed: i, Bytes: 600})
		qt.Assert(t, c.Upstream.ID, qt.Equals, "s-a-1")
	}
}

func TestLeavingUpstreams(t *testing.T) {
	f := newFleet("s-a-1", "s-a-2")
	p := f.Pool(plain)
	choose := func(now time.Time) string {
		c, ok := p.Choose(now, placement.Query{Phase: fighollow.RequestWhole})
		if !ok {
			return ""
		}
		return c.Upstream.ID
	}
	leaving := engine("s-a-1")
	leaving.Draining = true
	f.Put(start, leaving, 10)
	qt.Assert(t, choose(start), qt.Equals, "s-a-2")
	// An upstream that was removed from the store is a last resort for a while, as objects lapse during an outage of the
	// store and come back.
	f.Remove(start, "s-a-2", 11)
	qt.Assert(t, choose(start.Add(time.Second)), qt.Equals, "s-a-2")
	qt.Assert(t, choose(start.Add(drain)), qt.Equals, "")
	f.Put(start.Add(drain), engine("s-a-2"), 12)
	qt.Assert(t, choose(start.Add(drain)), qt.Equals, "s-a-2")
}

// Guards against an older version of an upstream's object overwriting a newer one.
func TestOldEntryIsIgnored(t *testing.T) {
	f := newFleet("s-a-1")
	leaving := engine("s-a-1")
	leaving.Draining = true
	f.Put(start, leaving, 10)
	f.Put(start, engine("s-a-1"), 9)
	_, ok := f.Pool(plain).Choose(start, placement.Query{Phase: fighollow.RequestWhole})
	qt.Assert(t, ok, qt.IsFalse)
}

// runPlain sends n requests, 10 ms apart, each of which ends before the next. fails reports whether an upstream fails the
// i-th request. It returns how many requests each upstream got.
func runPlain(f *placement.Fleet, n int, fails func(id string, i int) bool) map[string]int {
	p := f.Pool(plain)
	got := make(map[string]int)
	now := start
	for i := range n {
		now = now.Add(10 * time.Millisecond)
		q := placement.Query{Phase: fighollow.RequestWhole, Seed: uint64(i)}
		c, ok := p.Choose(now, q)
		if !ok {
			continue
		}
		got[c.Upstream.ID]++
		result := placement.Answered
		if fails(c.Upstream.ID, i) {
			result = placement.Failed
		}
		p.End(now.Add(5*time.Millisecond), p.Begin(now, c, q), result)
	}
	return got
}

// Guards against sending work to an upstream that fails requests while its health checks pass.
func TestFailingUpstreamIsEjected(t *testing.T) {
	f := newFleet("s-a-1", "s-a-2", "s-a-3")
	got := runPlain(f, 1000, func(id string, i int) bool { return id == "s-a-1" && i%2 == 0 })
	qt.Assert(t, got["s-a-1"] < 150, qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against ejecting all upstreams of a service that fails some requests by design.
func TestFailuresOfAllUpstreamsEjectNone(t *testing.T) {
	f := newFleet("s-a-1", "s-a-2", "s-a-3")
	got := runPlain(f, 1000, func(_ string, i int) bool { return i%7 == 0 })
	for _, id := range []string{"s-a-1", "s-a-2", "s-a-3"} {
		qt.Assert(t, got[id] > 200, qt.IsTrue, qt.Commentf("%v", got))
	}
}

// Guards against decode attempts at an engine that is changing its role: it refuses them for seconds. In a test run, two
// engines refused 215 of them.
func TestChangingEngineIsLeftOut(t *testing.T) {
	f := newFleet("d-a-1", "d-a-2")
	p := f.Pool(models)
	refused := 0
	now := start
	for i := range 500 {
		now = now.Add(10 * time.Millisecond)
		q := placement.Query{Phase: fighollow.RequestDecode, Seed: uint64(i)}
		c, ok := p.Choose(now, q)
		qt.Assert(t, ok, qt.IsTrue)
		a := p.Begin(now, c, q)
		if c.Upstream.ID == "d-a-1" {
			refused++
			p.End(now, a, placement.Full)
			continue
		}
		p.Started(now.Add(30*time.Millisecond), a)
		p.End(now.Add(300*time.Millisecond), a, placement.Answered)
	}
	qt.Assert(t, refused < 12, qt.IsTrue, qt.Commentf("%d refusals in 5 s", refused))
}

// Guards against spending the only attempt of a request on an engine that refused recently. In an incident, prompts were
// computed and their requests were refused.
func TestSingleAttemptAvoidsAnEngineThatRefused(t *testing.T) {
	f := newFleet("d-a-1", "d-b-1")
	p := f.Pool(models)
	q := placement.Query{Phase: fighollow.RequestDecode, Bytes: 17_000}
	c, _ := p.Choose(start, q)
	qt.Assert(t, c.Upstream.ID, qt.Equals, "d-a-1")
	p.End(start, p.Begin(start, c, q), placement.Full)
	later := start.Add(10 * time.Second)
	c, _ = p.Choose(later, q)
	qt.Assert(t, c.Upstream.ID, qt.Equals, "d-a-1")
	q.NoRetry = true
	c, _ = p.Choose(later, q)
	qt.Assert(t, c.Upstream.ID, qt.Equals, "d-b-1")
	// The engine is used again once it has answered, or if there is no other.
	q.Tried = []string{"d-b-1"}
	c, ok := p.Choose(later, q)
	qt.Assert(t, ok, qt.IsTrue)
	p.End(later, p.Begin(later, c, q), placement.Answered)
	q.Tried = nil
	c, _ = p.Choose(later, q)
	qt.Assert(t, c.Upstream.ID, qt.Equals, "d-a-1")
}

// Guards against repeated attempts at an engine that rejected its role before the store shows its new one.
func TestMisdirectedEngineIsLeftOut(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2")
	p := f.Pool(models)
	q := prompt(7, 1)
	c, _ := p.Choose(start, q)
	p.End(start, p.Begin(start, c, q), placement.Misdirected)
	next, _ := p.Choose(start.Add(100*time.Millisecond), q)
	qt.Assert(t, next.Upstream.ID, qt.Not(qt.Equals), c.Upstream.ID)
}

// Guards against less urgent work moving an urgent prompt away from its cached prefix: engines compute urgent prompts first.
func TestUrgentPromptIgnoresLessUrgentWork(t *testing.T) {
	f := newFleet("p-a-1", "p-a-2")
	preferred := runPrefill(f, start, prompt(7, 1), 100*time.Millisecond).Upstream.ID
	p := f.Pool(models)
	now := start.Add(time.Second)
	for i := range uint64(10) {
		q := prompt(9, 100+i)
		q.Urgency = 4
		c, _ := p.Choose(now, q)
		p.Begin(now, c, q)
	}
	c, _ := p.Choose(now, prompt(7, 2))
	qt.Assert(t, c.Upstream.ID, qt.Equals, preferred)
	qt.Assert(t, c.PendingMs, qt.Equals, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	var ids []string
	for i := range 18 {
		ids = append(ids, fmt.Sprintf("p-a-%d", i))
	}
	f := newFleet(ids...)
	p := f.Pool(models)
	for i := range uint64(100) {
		runPrefill(f, start, prompt(i, 1000+i), time.Millisecond)
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		p.Choose(start, prompt(i%100, i))
	}
}

// Guards against connections that an upstream resets: it accepts a bounded number of them from all entries together.
func TestConnectionsAreSharedByEntries(t *testing.T) {
	f := placement.New(placement.Options{DataCentre: "a", DrainTime: drain})
	f.SetEntries(3)
	f.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{plain: {Name: plain, MaxConnections: 6}}})
	f.Put(start, engine("s-a-1"), 1)
	f.Put(start, engine("s-b-1"), 2)
	p := f.Pool(plain)
	q := placement.Query{Phase: fighollow.RequestWhole, Seed: 1}
	open := make(map[string][]*placement.Attempt)
	for range 4 {
		c, ok := p.Choose(start, q)
		qt.Assert(t, ok, qt.IsTrue)
		open[c.Upstream.ID] = append(open[c.Upstream.ID], p.Begin(start, c, q))
	}
	qt.Assert(t, open["s-a-1"], qt.HasLen, 2)
	_, ok := p.Choose(start, q)
	qt.Assert(t, ok, qt.IsFalse)
	p.End(start, open["s-b-1"][0], placement.Answered)
	c, ok := p.Choose(start, q)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.Upstream.ID, qt.Equals, "s-b-1")
	f.SetEntries(100)
	_, ok = p.Choose(start, q)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("each entry keeps one connection"))
}

// Guards against a stream that goes on at another software version, and against versions that are forgotten while callers may take
// their streams up.
func TestVersionRestrictsTheChoice(t *testing.T) {
	f := newFleet("d-a-1")
	other := engine("d-a-2")
	other.Version = "v2"
	f.Put(start, other, 9)
	p := f.Pool(models)
	q := placement.Query{Phase: fighollow.RequestWhole, Version: "v2"}
	c, ok := p.Choose(start, q)
	qt.Assert(t, ok && c.Upstream.ID == other.ID, qt.IsTrue)
	qt.Assert(t, p.Versions(start), qt.DeepEquals, []string{"", "v2"})
	f.Remove(start, other.ID, 10)
	gone := start.Add(drain)
	_, ok = p.Choose(gone, q)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, p.Versions(gone.Add(time.Minute-time.Second)), qt.DeepEquals, []string{"", "v2"})
	qt.Assert(t, p.Versions(gone.Add(time.Minute+time.Second)), qt.DeepEquals, []string{""})
}

// Guards against a version that is forgotten because its only engine started again with another one.
func TestVersionOfAnUpstreamThatStartsAgain(t *testing.T) {
	f := newFleet("d-a-1")
	p := f.Pool(models)
	again := engine("d-a-1")
	again.Version = "v2"
	f.Put(start, again, 9)
	qt.Assert(t, p.Versions(start.Add(time.Second)), qt.DeepEquals, []string{"", "v2"})
}

// Guards against answers that begin at engines of a version of which other entries don't know, and against refusals where there are no
// other engines.
func TestAnswersBeginAtAdmittedVersions(t *testing.T) {
	f := placement.New(placement.Options{DataCentre: "a", DrainTime: drain, AdmitVersions: true})
	f.Configure(&fighollow.Routing{Services: map[string]fighollow.ServiceTraits{models: {Name: models, Engine: &fighollow.EngineTraits{Slots: 8}}}})
	p := f.Pool(models)
	now := start
	chosen := func(phase fighollow.RequestPhase, version string) map[string]bool {
		out := make(map[string]bool)
		for seed := range uint64(64) {
			if c, ok := p.Choose(now, placement.Query{Phase: phase, Version: version, Seed: seed}); ok {
				out[c.Upstream.ID] = true
			}
		}
		return out
	}
	for i, e := range []string{"d-a-1", "d-a-2"} {
		u := engine(e)
		u.Version = fmt.Sprintf("v%d", i+1)
		f.Put(start, u, uint64(i+1))
	}
	both := map[string]bool{"d-a-1": true, "d-a-2": true}
	none := map[string]bool{}
	qt.Assert(t, chosen(fighollow.RequestWhole, ""), qt.DeepEquals, none, qt.Commentf("no version is admitted yet"))
	now = start.Add(2 * time.Second)
	qt.Assert(t, chosen(fighollow.RequestWhole, ""), qt.DeepEquals, both, qt.Commentf("no version can be admitted"))
	p.Admit([]string{"v1"})
	qt.Assert(t, chosen(fighollow.RequestWhole, ""), qt.DeepEquals, map[string]bool{"d-a-1": true})
	qt.Assert(t, chosen(fighollow.RequestWhole, "v2"), qt.DeepEquals, map[string]bool{"d-a-2": true}, qt.Commentf("an answer that has begun"))
	p.Admit([]string{"v1", "v2"})
	qt.Assert(t, chosen(fighollow.RequestWhole, ""), qt.DeepEquals, both)
	p.Admit([]string{"v1"})
	f.Remove(now, "d-a-1", 9)
	qt.Assert(t, chosen(fighollow.RequestWhole, ""), qt.DeepEquals, map[string]bool{"d-a-2": true}, qt.Commentf("none is left"))
	late := engine("d-a-3")
	late.Version = "v3"
	f.Put(now, late, 10)
	qt.Assert(t, chosen(fighollow.RequestWhole, ""), qt.DeepEquals, map[string]bool{"d-a-2": true}, qt.Commentf("a version that is new"))
}
