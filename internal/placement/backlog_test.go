package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// sharingFleet returns a fleet of so many entries, whose prompts are long.
func sharingFleet(entries int, engines ...string) *placement.Fleet {
	f := newFleetWith(placement.Options{DataCentre: "a", DrainTime: drain, ShareWork: true}, engines...)
	f.SetEntries(entries)
	placeAndAbandon(f, 14_000)
	return f
}

// placeAndAbandon places a prompt of so many tokens, all of them its own. They are expected to take 200 ms for 14,000.
func placeAndAbandon(f *placement.Fleet, tokens int) {
	numbered++ // no prompt has a part of another
	q := prompt(0, 0)
	q.PromptTokens, q.Prompt = tokens, []fighollow.PromptPart{{ID: 1<<41 + uint64(numbered), Tokens: tokens}}
	q.Target = time.Duration(tokens) * 800 * time.Millisecond / 14_000
	p := f.Pool(models)
	if c, ok := p.Choose(start, q); ok {
		p.End(start, p.Begin(start, c, q), placement.Abandoned)
	}
}

// Guards against reports between entries whose prompts end sooner than a report arrives.
func TestShortPromptsAreNotShared(t *testing.T) {
	f := sharingFleet(8, "p-a-1")
	for _, c := range []struct {
		tokens int
		shared bool
	}{{1000, false}, {3500, false}, {5600, true}, {3500, true}, {1000, false}} {
		for range 200 {
			placeAndAbandon(f, c.tokens)
		}
		added := f.AddWork(start, "other", placed(workAt("p-a-1", 0, 100))).Added == 1
		qt.Assert(t, added, qt.Equals, c.shared, qt.Commentf("%d tokens", c.tokens))
	}
}

// numbered counts the prompts of workAt.
var numbered uint32

func workAt(id string, urgency int, ms float64) placement.Work {
	numbered++
	return placement.Work{Number: numbered, Engine: placement.EngineHash(engine(id)), Urgency: urgency, Ms: ms}
}

// placed returns the report of an entry that has placed these prompts, and nothing before that is unfinished.
func placed(work ...placement.Work) placement.WorkReport {
	r := placement.WorkReport{Placed: work, Next: numbered + 1}
	for i := range work {
		r.Unfinished = append(r.Unfinished, work[i].Number)
	}
	return r
}

// ended returns the report of an entry whose prompt w has ended.
func ended(w placement.Work, ratio float64) placement.WorkReport {
	return placement.WorkReport{Ended: []placement.Work{{Number: w.Number, Ended: true, Computed: true, Ratio: ratio}}, Next: numbered + 1}
}

// pending returns the work that precedes a prompt at the only engine of a fleet.
func pending(f *placement.Fleet, now time.Time) float64 {
	c, _ := f.Pool(models).Choose(now, placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 100})
	return c.PendingMs
}

// Guards against an engine that looks idle while prompts of others pile up there, and against prompts that count after they have ended: by
// a report, by a later report if that one is lost, and after some seconds if no further report arrives.
func TestOthersPromptsCountUntilTheyEnd(t *testing.T) {
	f := sharingFleet(8, "p-a-1")
	first, second := workAt("p-a-1", 0, 100), workAt("p-a-1", 4, 300)
	f.AddWork(start, "other", placed(first, second))
	qt.Assert(t, pending(f, start.Add(2*time.Second)), qt.Equals, 400.0)

	f.AddWork(start, "other", ended(first, 0)) // names neither of them as unfinished
	qt.Assert(t, pending(f, start), qt.Equals, 0.0)

	lost, late := workAt("p-a-1", 0, 100), workAt("p-a-1", 0, 50)
	f.AddWork(start, "other", placed(lost))
	f.AddWork(start, "other", placed(late)) // lost has ended since
	qt.Assert(t, pending(f, start), qt.Equals, 50.0)
	old := placement.WorkReport{Next: late.Number} // was sent before late was placed
	f.AddWork(start, "other", old)
	qt.Assert(t, pending(f, start), qt.Equals, 50.0)

	unfinished := placement.WorkReport{Unfinished: []uint32{late.Number}, Next: numbered + 1}
	for s := range 9 {
		f.AddWork(start.Add(time.Duration(s)*time.Second), "other", unfinished)
		qt.Assert(t, pending(f, start.Add(time.Duration(s)*time.Second)), qt.Equals, 50.0)
	}
	qt.Assert(t, pending(f, start.Add(11*time.Second)), qt.Equals, 0.0, qt.Commentf("the entry has failed"))
	f.AddWork(start.Add(11*time.Second), "other", placed(late))
	f.AddWork(start.Add(21500*time.Millisecond), "other", unfinished)
	qt.Assert(t, pending(f, start.Add(22*time.Second)), qt.Equals, 0.0, qt.Commentf("unfinished for longer than any caller waits"))

	short := placed(workAt("p-a-1", 0, 100)) // has ended before it was reported
	short.Unfinished, short.Ended = nil, []placement.Work{{Number: numbered, Ended: true}}
	f.AddWork(start.Add(30*time.Second), "other", short)
	qt.Assert(t, pending(f, start.Add(30*time.Second)), qt.Equals, 0.0)
}

// Guards against shared parts that are computed again because another entry had them computed, and against long prompts that go to an engine
// that other entries know to be slow. Both must be forgotten when the engine starts again.
func TestReportsTellCachedPartsAndSpeed(t *testing.T) {
	f := sharingFleet(8, "p-a-1", "p-a-2", "p-a-3")
	p := f.Pool(models)
	q := prompt(1, 2)
	w := workAt("p-a-2", 0, 100)
	w.Prefix = q.Prompt[:1]
	f.AddWork(start, "other", placed(w))
	f.AddWork(start, "other", ended(w, 0))
	choose := func() placement.Choice {
		c, ok := p.Choose(start, q)
		qt.Assert(t, ok, qt.IsTrue)
		return c
	}
	c := choose()
	qt.Assert(t, c.Cached+c.Fetched, qt.Equals, 10_000, qt.Commentf("%+v", c))

	for range 20 {
		for id, ratio := range map[string]float64{"p-a-1": 0.6, "p-a-2": 3, "p-a-3": 0.6} {
			w := workAt(id, 0, 100)
			f.AddWork(start, "other", placed(w))
			f.AddWork(start, "other", ended(w, ratio))
		}
	}
	for own := range uint64(20) {
		q = prompt(100+own, 200+own)
		qt.Assert(t, choose().Upstream.ID, qt.Not(qt.Equals), "p-a-2")
	}
	again := engine("p-a-2")
	again.StartedMs++
	f.Put(start, again, 100)
	chosen := make(map[string]bool)
	for own := range uint64(20) {
		q = prompt(100+own, 200+own)
		chosen[choose().Upstream.ID] = true
	}
	qt.Assert(t, chosen["p-a-2"], qt.IsTrue)
}

// Guards against an engine that looks as fast as the others because its prompts all outlast their callers, who leave.
func TestAbandonedPromptsTellSpeed(t *testing.T) {
	f := sharingFleet(8, "p-a-1", "p-a-2")
	var reported []placement.Work
	f.OnWork(func(_ time.Time, w placement.Work) { reported = append(reported, w) })
	p := f.Pool(models)
	now := start
	for i := range uint64(40) { // those at p-a-1 take 100 ms; those at p-a-2 are abandoned
		q := prompt(i, 100+i)
		c, _ := p.Choose(now, q)
		a := p.Begin(now, c, q)
		if c.Upstream.ID == "p-a-1" {
			now = now.Add(100 * time.Millisecond)
			p.End(now, a, placement.Answered)
			continue
		}
		now = now.Add(3 * time.Second)
		p.End(now, a, placement.Abandoned)
	}
	slow := 0
	for i := range uint64(20) {
		if c, _ := p.Choose(now, prompt(1000+i, 2000+i)); c.Upstream.ID == "p-a-2" {
			slow++
		}
	}
	qt.Assert(t, slow, qt.Equals, 0)
	known := 0
	for _, w := range reported {
		if w.Ended && !w.Computed && w.Ratio > 2 {
			known++
		}
	}
	qt.Assert(t, known > 0, qt.IsTrue, qt.Commentf("no abandoned prompt tells other entries how slow the engine is"))
}

// Guards against entries that share their work while they are few, or more than can be told, and against frequent changes.
func TestWorkIsSharedFromEightToFortyEntries(t *testing.T) {
	f := sharingFleet(1, "p-a-1")
	for _, c := range []struct {
		entries int
		shared  bool
	}{{7, false}, {8, true}, {6, true}, {5, false}, {7, false}, {41, false}, {40, true}, {48, true}, {49, false}} {
		f.SetEntries(c.entries)
		qt.Assert(t, f.SharesWork(), qt.Equals, c.shared, qt.Commentf("%d entries", c.entries))
		added := f.AddWork(start, "other", placed(workAt("p-a-1", 0, 100))).Added == 1
		qt.Assert(t, added, qt.Equals, c.shared)
		qt.Assert(t, pending(f, start) > 0, qt.Equals, c.shared)
	}
}

// Guards against reports that are used although they are of an engine that started again or is unknown, invalid, or more than an entry can
// have placed, and against a bound that one long prompt reaches.
func TestReportsAreBounded(t *testing.T) {
	f := sharingFleet(20, "p-a-1", "p-a-2")
	unknown := workAt("p-a-3", 0, 100)
	c := f.AddWork(start, "a", placed(unknown, workAt("p-a-1", 10, 100), workAt("p-a-1", -1, 100), workAt("p-a-1", 0, -100)))
	qt.Assert(t, c, qt.Equals, placement.WorkCounts{Ignored: 4})
	qt.Assert(t, f.AddWork(start, "b", placed(workAt("p-a-1", 0, 4000))).Added, qt.Equals, 1)
	qt.Assert(t, f.AddWork(start, "b", placed(workAt("p-a-1", 0, 3_600_000))), qt.Equals, placement.WorkCounts{Ignored: 1, Distrusted: true})
	qt.Assert(t, f.AddWork(start.Add(29*time.Second), "b", placed(workAt("p-a-1", 0, 1))).Added, qt.Equals, 0)
	qt.Assert(t, f.AddWork(start.Add(31*time.Second), "b", placed(workAt("p-a-1", 0, 1))).Added, qt.Equals, 1)
	restarted := engine("p-a-1")
	restarted.StartedMs++
	f.Put(start, restarted, 100)
	qt.Assert(t, f.AddWork(start, "c", placed(workAt("p-a-1", 0, 1))).Added, qt.Equals, 0)
	qt.Assert(t, f.AddWork(start, "c", placed(workAt("p-a-2", 0, 1))).Added, qt.Equals, 1)
}

// Guards against an engine that is avoided because it started again, or because the entries began to share work, while a prompt was unfinished.
func TestBacklogBeginsWithUnfinishedPrompt(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		f := sharingFleet(8, "p-a-1")
		if !restarts {
			f.SetEntries(1)
		}
		p := f.Pool(models)
		c, _ := p.Choose(start, prompt(1, 2))
		p.Begin(start, c, prompt(1, 2))
		if restarts {
			again := engine("p-a-1")
			again.StartedMs++
			f.Put(start, again, 100)
		}
		f.SetEntries(8)
		qt.Assert(t, pending(f, start.Add(time.Second)) <= 1000, qt.IsTrue, qt.Commentf("restarts: %t", restarts))
	}
}

// Guards against placed prompts that are not told, or not told to have ended, each once.
func TestPlacedPromptsAreTold(t *testing.T) {
	f := sharingFleet(8, "p-a-1", "d-a-1")
	var told []placement.Work
	f.OnWork(func(_ time.Time, w placement.Work) { told = append(told, w) })
	p := f.Pool(models)
	q := prompt(1, 2)
	q.Urgency = 3
	c, _ := p.Choose(start, q)
	a := p.Begin(start, c, q)
	p.End(start.Add(time.Second), a, placement.Failed)
	p.End(start.Add(time.Second), a, placement.Failed)
	qt.Assert(t, told, qt.HasLen, 2)
	qt.Assert(t, told[0].Engine, qt.Equals, placement.EngineHash(engine("p-a-1")))
	qt.Assert(t, told[0].Urgency, qt.Equals, 3)
	qt.Assert(t, told[0].Ms > 0 && !told[0].Ended && told[1].Ended && !told[1].Computed, qt.IsTrue)
	qt.Assert(t, told[1].Number, qt.Equals, told[0].Number)
	qt.Assert(t, told[0].Prefix, qt.DeepEquals, q.Prompt[:1])
}

func BenchmarkChooseOfMany(b *testing.B) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("p-a-%d", i+1))
	}
	for i := range 36 {
		ids = append(ids, fmt.Sprintf("d-a-%d", i+1))
	}
	for _, entries := range []int{4, 31} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := sharingFleet(entries, ids...)
			p := f.Pool(models)
			for i := range 40 { // some unfinished prompts
				q := prompt(uint64(i), 1000+uint64(i))
				c, _ := p.Choose(start, q)
				p.Begin(start, c, q)
				f.AddWork(start, fmt.Sprintf("other-%d", i), placed(workAt(ids[i%20], i%10, 1000)))
			}
			for i := 0; b.Loop(); i++ {
				p.Choose(start.Add(time.Duration(i)*10*time.Microsecond), prompt(uint64(i%200), uint64(i)))
			}
		})
	}
}

// Guards against late prompts that are placed as if they were computed before the other late ones: at an engine with more of these, or
// although their deadline cannot be met.
func TestLatePromptWaitsForLateOnes(t *testing.T) {
	slo := placement.SLO{Arrived: start, Target: time.Second, Deadline: start.Add(4 * time.Second)}
	for _, c := range []struct {
		engines []string
		want    string
		err     error
	}{{[]string{"p-a-1", "p-a-2", "d-a-1"}, "p-a-2", nil}, {[]string{"p-a-1", "d-a-1"}, "p-a-1", placement.ErrTooLate}} {
		f := newFleet(c.engines...)
		p := f.Pool(models)
		for _, w := range []struct {
			engine, other string
			urgency       int
			ms            time.Duration
		}{{"p-a-1", "p-a-2", 0, 1100}, {"p-a-1", "p-a-2", 1, 5000}, {"p-a-2", "p-a-1", 0, 1500}} {
			// Before prompts were measured, one is expected to take a quarter of its target.
			q := placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 100, Urgency: w.urgency, Target: 4 * w.ms * time.Millisecond, Tried: []string{w.other}}
			if c, ok := p.Choose(start, q); ok {
				p.Begin(start, c, q)
			}
		}
		q := placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 100}
		got, over, err := p.Place(start, &q, slo)
		qt.Check(t, err, qt.Equals, c.err)
		qt.Check(t, got.Upstream.ID, qt.Equals, c.want)
		qt.Check(t, q.Urgency, qt.Equals, 1)
		if err != nil {
			qt.Check(t, over >= 5*time.Second, qt.IsTrue, qt.Commentf("%v over the target", over))
		}
	}
}
