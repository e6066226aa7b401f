package routing_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var start = time.UnixMilli(1_800_000_000_000)

var target = routing.Target{Kind: fighollow.InstanceEngine, Name: "m"}

var models = map[string]routing.Model{"m": {PrefillRate: 8000}}

func engines(n int, dc string, role fighollow.Role) []routing.Upstream {
	var out []routing.Upstream
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", dc, role, i)
		out = append(out, routing.Upstream{ID: id, Link: id, DataCentre: dc, Target: target, Role: role})
	}
	return out
}

func newRouter(ups ...[]routing.Upstream) *routing.Router {
	r := routing.New("entry-1", "dc", routing.Options{})
	r.Update(start, slices.Concat(ups...), models)
	return r
}

func prompt(block string, blocks int) string { return strings.Repeat(block, 16000/len(block)*blocks) }

// Guards against hashes that do not depend on the blocks before, or that are equal for different models.
func TestBlocksAreChained(t *testing.T) {
	a := routing.AppendBlocks(nil, "m", prompt("a", 2)+"tail", 4)
	b := routing.AppendBlocks(nil, "m", prompt("a", 1)+prompt("b", 1), 4)
	c := routing.AppendBlocks(nil, "m", prompt("b", 1)+prompt("a", 1), 4)
	qt.Assert(t, len(a), qt.Equals, 2)
	qt.Assert(t, a[0], qt.Equals, b[0])
	qt.Assert(t, a[1], qt.Not(qt.Equals), b[1])
	qt.Assert(t, a[1], qt.Not(qt.Equals), c[1])
	qt.Assert(t, routing.AppendBlocks(nil, "other", prompt("a", 1), 4)[0], qt.Not(qt.Equals), a[0])
	qt.Assert(t, routing.AppendBlocks(nil, "m", "short", 4), qt.HasLen, 0)
}

// Guards against a missed cache hit, against prefix affinity that overloads an engine, and against hits on blocks that
// the engine has evicted.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	r := newRouter(engines(12, "dc", fighollow.RoleBoth))
	text := prompt("a", 4)
	q := routing.Request{Target: target, Blocks: routing.AppendBlocks(nil, "m", text, 4), PromptTokens: 16000}
	holder := "dc-both-7"
	r.Sent(holder, 0)
	r.Accepted(start, holder, fighollow.Load{Slots: 8, Running: 1}, q.Blocks)
	for seed := range uint64(20) {
		q.Seed = seed
		d, ok := r.Choose(start, &q)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, d.Upstream.ID, qt.Equals, holder)
		qt.Assert(t, d.Reason, qt.Equals, routing.ReasonPrefix)
		qt.Assert(t, d.Cached, qt.Equals, 16000)
	}
	r.Accepted(start, holder, fighollow.Load{Slots: 8, Running: 8, Queued: 30, WaitMs: 9000}, nil)
	d, _ := r.Choose(start, &q)
	qt.Assert(t, d.Upstream.ID, qt.Not(qt.Equals), holder)
	r.Accepted(start, holder, fighollow.Load{Slots: 8, Running: 1, CacheAgeMs: 30_000}, q.Blocks)
	d, _ = r.Choose(start.Add(29*time.Second), &q)
	qt.Assert(t, d.Cached, qt.Equals, 16000)
	d, _ = r.Choose(start.Add(31*time.Second), &q)
	qt.Assert(t, d.Cached, qt.Equals, 0, qt.Commentf("the block counts as cached although the engine has evicted it"))
	d, _ = r.Choose(start.Add(time.Hour), &q)
	qt.Assert(t, d.Cached, qt.Equals, 0, qt.Commentf("the block counts as cached beyond the maximum age"))
}

// Guards against entries that send the same new prefix to different engines, so that each of these computes it.
func TestEntriesAgreeOnAPrefix(t *testing.T) {
	ups := engines(12, "dc", fighollow.RoleBoth)
	q := routing.Request{Target: target, Blocks: routing.AppendBlocks(nil, "m", prompt("a", 4), 4), PromptTokens: 16000}
	chosen := make(map[string]bool)
	for i := range 30 {
		r := routing.New(fmt.Sprintf("entry-%d", i), "dc", routing.Options{})
		r.Update(start, ups, models)
		q.Seed = uint64(i) * 77
		d, _ := r.Choose(start, &q)
		chosen[d.Upstream.ID] = true
	}
	qt.Assert(t, chosen, qt.HasLen, 1)
}

// Guards against entries that all choose the same engine because they have the same outdated load information.
func TestEqualLoadsAreSpread(t *testing.T) {
	r := newRouter(engines(16, "dc", fighollow.RoleBoth))
	for i := range 16 {
		r.Accepted(start, fmt.Sprintf("dc-both-%d", i), fighollow.Load{Slots: 8, Running: i % 8}, nil)
	}
	chosen := make(map[string]int)
	for seed := range uint64(200) {
		d, _ := r.Choose(start, &routing.Request{Target: target, PromptTokens: 100, Seed: seed})
		chosen[d.Upstream.ID]++
	}
	qt.Assert(t, len(chosen) >= 4, qt.IsTrue, qt.Commentf("%v", chosen))
}

// Guards against links from every entry to every engine, and against candidates that all change when one engine does.
func TestCandidatesAreBoundedAndStable(t *testing.T) {
	own, other := engines(60, "dc", fighollow.RoleBoth), engines(60, "far", fighollow.RoleBoth)
	r := newRouter(own, other)
	before := r.Candidates(target)
	qt.Assert(t, before, qt.HasLen, routing.MaxCandidates)
	local := 0
	for _, id := range before {
		if strings.HasPrefix(id, "dc-") {
			local++
		}
	}
	qt.Assert(t, local, qt.Equals, 12)
	removed := slices.IndexFunc(own, func(u routing.Upstream) bool { return u.ID == before[0] })
	r.Update(start, slices.Concat(slices.Delete(slices.Clone(own), removed, removed+1), other), models)
	kept := 0
	for _, id := range r.Candidates(target) {
		if slices.Contains(before, id) {
			kept++
		}
	}
	qt.Assert(t, kept, qt.Equals, routing.MaxCandidates-1)
}

// Guards against spill-over to other data centres while the own one has capacity, and against no spill-over when it is
// full.
func TestOtherDataCentresAreSpillOver(t *testing.T) {
	r := newRouter(engines(4, "dc", fighollow.RoleBoth), engines(4, "far", fighollow.RoleBoth))
	q := routing.Request{Target: target, PromptTokens: 100}
	for seed := range uint64(50) {
		q.Seed = seed
		d, _ := r.Choose(start, &q)
		qt.Assert(t, d.Upstream.DataCentre, qt.Equals, "dc")
	}
	for i := range 4 {
		r.Accepted(start, fmt.Sprintf("dc-both-%d", i), fighollow.Load{Slots: 2, Running: 2, Queued: 9, WaitMs: 5000}, nil)
	}
	d, _ := r.Choose(start, &q)
	qt.Assert(t, d.Reason, qt.Equals, routing.ReasonSpill)
}

// Guards against engines of one role that stay idle while those of the other role are full.
func TestRolesTakeEachOthersOverflow(t *testing.T) {
	full := fighollow.Load{Slots: 2, Running: 2, Queued: 20, WaitMs: 20_000}
	long := routing.Request{Target: target, PromptTokens: 8000}
	fill := func(r *routing.Router, role fighollow.Role) {
		for i := range 3 {
			r.Accepted(start, fmt.Sprintf("dc-%s-%d", role, i), full, nil)
		}
	}
	fleet := func() *routing.Router {
		return newRouter(engines(3, "dc", fighollow.RolePrefill), engines(3, "dc", fighollow.RoleDecode))
	}
	r := fleet()
	d, _ := r.Choose(start, &long)
	qt.Assert(t, d.Phase, qt.Equals, fighollow.RequestPrefill)
	qt.Assert(t, d.Upstream.Role, qt.Equals, fighollow.RolePrefill)
	d, _ = r.Choose(start, &routing.Request{Target: target, PromptTokens: 8000, Decode: true, PreferredDataCentre: "dc"})
	qt.Assert(t, d.Phase, qt.Equals, fighollow.RequestDecode)
	qt.Assert(t, d.Upstream.Role, qt.Equals, fighollow.RoleDecode)
	d, _ = r.Choose(start, &routing.Request{Target: target, PromptTokens: 20})
	qt.Assert(t, d.Phase, qt.Equals, fighollow.RequestWhole)
	qt.Assert(t, d.Upstream.Role, qt.Equals, fighollow.RoleDecode)

	fill(r, fighollow.RolePrefill)
	d, _ = r.Choose(start, &long)
	qt.Assert(t, d.Phase, qt.Equals, fighollow.RequestWhole)
	qt.Assert(t, d.Upstream.Role, qt.Equals, fighollow.RoleDecode)

	r = fleet()
	fill(r, fighollow.RoleDecode)
	d, _ = r.Choose(start, &long)
	qt.Assert(t, d.Phase, qt.Equals, fighollow.RequestWhole)
	qt.Assert(t, d.Upstream.Role, qt.Equals, fighollow.RolePrefill)
	qt.Assert(t, d.Reason, qt.Equals, routing.ReasonOverflow)
}

// Guards against retries that amplify an overload, in whatever order requests and refusals come: beyond the burst, at
// most a tenth of the requests may be retried.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	b := routing.NewBudget()
	const requests = 10_000
	retries := 0
	for range requests {
		b.CountRequest()
		for range 2 {
			if b.TakeRetry(false) {
				retries++
			}
		}
	}
	qt.Assert(t, retries <= requests/10+10, qt.IsTrue, qt.Commentf("%d", retries))
	qt.Assert(t, retries >= requests/10-10, qt.IsTrue, qt.Commentf("%d", retries))
	failures := 0
	for b.TakeRetry(true) {
		failures++
	}
	qt.Assert(t, failures <= 101, qt.IsTrue)
}

// Guards against a choice whose cost or memory use grows with the fleet: it must not allocate at the target size.
func TestDecisionAllocatesNothing(t *testing.T) {
	r, q := newTargetSizeRouter()
	seed := uint64(0)
	n := testing.AllocsPerRun(1000, func() {
		seed++
		q.Seed = seed
		if _, ok := r.Choose(start, &q); !ok {
			t.Fatal("no upstream")
		}
	})
	qt.Assert(t, n, qt.Equals, 0.0)
}

// newTargetSizeRouter returns a router with 1,500 engines and 39 models, and a request with 8 blocks of which the
// candidates hold different numbers of leading ones.
func newTargetSizeRouter() (*routing.Router, routing.Request) {
	rates := make(map[string]routing.Model)
	var ups []routing.Upstream
	roles := []fighollow.Role{fighollow.RolePrefill, fighollow.RoleDecode, fighollow.RoleBoth}
	for i := range 1500 {
		name := fmt.Sprintf("m%d", i%39)
		rates[name] = routing.Model{PrefillRate: 8000}
		id := fmt.Sprintf("engine-%d", i)
		ups = append(ups, routing.Upstream{
			ID: id, Link: id, DataCentre: fmt.Sprintf("dc%d", i%3), Role: roles[i/39%3],
			Target: routing.Target{Kind: fighollow.InstanceEngine, Name: name},
		})
	}
	r := routing.New("entry-1", "dc1", routing.Options{})
	r.Update(start, ups, rates)
	q := routing.Request{
		Target: routing.Target{Kind: fighollow.InstanceEngine, Name: "m7"}, PromptTokens: 32_000,
		Blocks: routing.AppendBlocks(nil, "m7", prompt("a", 8), 4),
	}
	for i, id := range r.Candidates(q.Target) {
		r.Accepted(start, id, fighollow.Load{Slots: 16, Running: i % 16}, q.Blocks[:i%9])
	}
	return r, q
}

func BenchmarkChoose(b *testing.B) {
	r, q := newTargetSizeRouter()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Seed = uint64(i)
		r.Choose(start, &q)
	}
}

func BenchmarkBlocks(b *testing.B) {
	text := prompt("a", 8)
	dst := make([]uint64, 0, 8)
	b.ReportAllocs()
	for b.Loop() {
		dst = routing.AppendBlocks(dst[:0], "m", text, 4)
	}
}

// Guards against an index that grows with the number of prompts, or that evicts a block in use before an older one.
func TestIndexForgetsTheOldestBlocks(t *testing.T) {
	r := routing.New("entry-1", "dc", routing.Options{MaxPrefixBlocks: 100})
	r.Update(start, engines(1, "dc", fighollow.RoleBoth), models)
	cached := func(i int) int {
		blocks := []uint64{uint64(i)}
		d, _ := r.Choose(start, &routing.Request{Target: target, Blocks: blocks, PromptTokens: routing.BlockTokens})
		return d.Cached
	}
	for i := range 1000 {
		r.Accepted(start, "dc-both-0", fighollow.Load{}, []uint64{uint64(i)})
		r.Accepted(start, "dc-both-0", fighollow.Load{}, []uint64{0})
	}
	held := 0
	for i := range 1000 {
		if cached(i) > 0 {
			held++
		}
	}
	qt.Assert(t, held, qt.Equals, 100)
	qt.Assert(t, cached(0), qt.Equals, routing.BlockTokens)
	qt.Assert(t, cached(999), qt.Equals, routing.BlockTokens)
	qt.Assert(t, cached(1), qt.Equals, 0)
}
