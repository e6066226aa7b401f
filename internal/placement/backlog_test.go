package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// sharingFleet returns a fleet of so many entries whose engines' speed is known: 10 ms for 1,000 tokens.
func sharingFleet(entries int, engines ...string) *placement.Fleet {
	f := newFleetWith(placement.Options{DataCentre: "a", DrainTime: drain, ShareWork: true}, engines...)
	f.SetEntries(entries)
	return f
}

func workAt(id string, urgency int, ms float64) placement.Work {
	return placement.Work{Engine: placement.EngineHash(engine(id)), Phase: fighollow.RequestPrefill, Urgency: urgency, Ms: ms}
}

// pending returns the work that precedes a prompt of this urgency at the only engine of a fleet.
func pending(f *placement.Fleet, now time.Time, urgency int) float64 {
	c, _ := f.Pool(models).Choose(now, placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 100, Urgency: urgency})
	return c.PendingMs
}

// Guards against work of others that is counted for a prompt of a higher urgency, that does not drain, most urgent first, or that is counted
// after it was reported to have ended.
func TestOthersWorkDrainsByUrgency(t *testing.T) {
	f := sharingFleet(8, "p-a-1")
	f.AddWork(start, "other", []placement.Work{workAt("p-a-1", 0, 100), workAt("p-a-1", 4, 300)})
	qt.Assert(t, pending(f, start, 0), qt.Equals, 100.0)
	qt.Assert(t, pending(f, start, 4), qt.Equals, 400.0)
	later := start.Add(150 * time.Millisecond)
	qt.Assert(t, pending(f, later, 0), qt.Equals, 0.0)
	qt.Assert(t, pending(f, later, 4), qt.Equals, 250.0)
	ended := workAt("p-a-1", 4, 300)
	ended.Ended = true
	f.AddWork(later, "other", []placement.Work{ended})
	qt.Assert(t, pending(f, later, 9), qt.Equals, 0.0)
}

// Guards against entries that share their work while they are few, and against frequent changes.
func TestWorkIsSharedFromEightEntriesOn(t *testing.T) {
	f := sharingFleet(1, "p-a-1")
	for _, c := range []struct {
		entries int
		shared  bool
	}{{7, false}, {8, true}, {6, true}, {5, false}, {7, false}} {
		f.SetEntries(c.entries)
		qt.Assert(t, f.SharesWork(), qt.Equals, c.shared, qt.Commentf("%d entries", c.entries))
		added := f.AddWork(start, "other", []placement.Work{workAt("p-a-1", 0, 100)}).Added == 1
		qt.Assert(t, added, qt.Equals, c.shared)
		qt.Assert(t, pending(f, start, 0) > 0, qt.Equals, c.shared)
	}
}

// Guards against reports that are used although they are of an engine that started again or is unknown, invalid, or more than an entry can
// have placed, and against a bound that one long prompt reaches.
func TestReportsAreBounded(t *testing.T) {
	f := sharingFleet(20, "p-a-1", "p-a-2")
	unknown := workAt("p-a-3", 0, 100)
	c := f.AddWork(start, "a", []placement.Work{unknown, workAt("p-a-1", 10, 100), workAt("p-a-1", -1, 100), workAt("p-a-1", 0, -100)})
	qt.Assert(t, c, qt.Equals, placement.WorkCounts{Ignored: 4})
	qt.Assert(t, f.AddWork(start, "b", []placement.Work{workAt("p-a-1", 0, 4000)}).Added, qt.Equals, 1)
	qt.Assert(t, f.AddWork(start, "b", []placement.Work{workAt("p-a-1", 0, 3_600_000)}), qt.Equals, placement.WorkCounts{Ignored: 1, Distrusted: true})
	qt.Assert(t, f.AddWork(start.Add(29*time.Second), "b", []placement.Work{workAt("p-a-1", 0, 1)}).Added, qt.Equals, 0)
	qt.Assert(t, f.AddWork(start.Add(31*time.Second), "b", []placement.Work{workAt("p-a-1", 0, 1)}).Added, qt.Equals, 1)
	restarted := engine("p-a-1")
	restarted.StartedMs++
	f.Put(start, restarted, 100)
	qt.Assert(t, f.AddWork(start, "c", []placement.Work{workAt("p-a-1", 0, 1)}).Added, qt.Equals, 0)
	qt.Assert(t, f.AddWork(start, "c", []placement.Work{workAt("p-a-2", 0, 1)}).Added, qt.Equals, 1)
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
		qt.Assert(t, pending(f, start.Add(time.Second), 0) <= 1000, qt.IsTrue, qt.Commentf("restarts: %t", restarts))
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
	qt.Assert(t, told[0].Ms > 0 && !told[0].Ended && told[1].Ended, qt.IsTrue)
	qt.Assert(t, told[1].Ms, qt.Equals, told[0].Ms)
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
				f.AddWork(start, "other", []placement.Work{workAt(ids[i%20], i%10, 1000)})
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
		f := sharingFleet(8, c.engines...)
		for i, w := range []placement.Work{workAt("p-a-1", 0, 1100), workAt("p-a-1", 1, 5000), workAt("p-a-2", 0, 1500)} {
			f.AddWork(start, fmt.Sprint("other-", i), []placement.Work{w})
		}
		q := placement.Query{Phase: fighollow.RequestPrefill, PromptTokens: 100}
		got, over, err := f.Pool(models).Place(start, &q, slo)
		qt.Check(t, err, qt.Equals, c.err)
		qt.Check(t, got.Upstream.ID, qt.Equals, c.want)
		qt.Check(t, q.Urgency, qt.Equals, 1)
		if err != nil {
			qt.Check(t, over >= 5*time.Second, qt.IsTrue, qt.Commentf("%v over the target", over))
		}
	}
}
