package fairshare

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a workspace that escapes its share, or shuts others out, by stating engine time that is wrong or missing, and against others
// that get little in the worst seconds, in the less urgent rank or as the least of them. The play is that of TestLoad.
func TestStatedWork(t *testing.T) {
	const entries, engines, workspaces, heavy = 26, 20, 80, 7
	const capacity, length = 1000.0 * engines, 45 * time.Second
	variants := []struct {
		name   string
		one    bool // the heavy workspace uses one entry only
		shares bool
		states float64
	}{
		{"first come, first served; all entries", false, false, 1},
		{"first come, first served; one entry", true, false, 1},
		{"shares; all entries", false, true, 1},
		{"shares; one entry", true, true, 1},
		{"shares; states a hundredth", false, true, 0.01},
		{"shares; states a hundredth, one entry", true, true, 0.01},
		{"shares; states nothing", false, true, 0},
		{"shares; states a hundred times", false, true, 100},
		{"shares; states a hundred times, one entry", true, true, 100},
	}
	rows := make([]string, len(variants))
	play := func(i int) {
		v := &variants[i]
		f := newFleet(entries, engines, workspaces)
		f.ranked, f.states = true, map[int]float64{heavy: v.states}
		demand := make([]float64, workspaces)
		for w := range demand {
			demand[w] = 2 * capacity / (workspaces - 1 + 10)
		}
		demand[heavy] *= 10
		got := f.play(length, demand, func(w int) int {
			if v.one && w == heavy {
				return 3
			}
			return f.random.IntN(entries)
		}, v.shares)
		var others outcome
		least := 1.0
		for w := range got {
			if w == heavy {
				continue
			}
			o := &got[w]
			others.offered, others.admitted, others.onTime = others.offered+o.offered, others.admitted+o.admitted, others.onTime+o.onTime
			least = min(least, o.admitted/o.offered)
			for i, r := range o.ranks {
				others.ranks[i].got, others.ranks[i].asked = others.ranks[i].got+r.got, others.ranks[i].asked+r.asked
			}
			for i, s := range o.slots {
				others.slots[i].got, others.slots[i].asked = others.slots[i].got+s.got, others.slots[i].asked+s.asked
			}
		}
		worst := 1.0
		for _, s := range others.slots {
			worst = min(worst, s.got/s.asked)
		}
		rows[i] = fmt.Sprintf("%-45s %7.2f %7.2f %7.2f %7.2f %7.2f %9.2f %9.2f\n", v.name, got[heavy].admitted/got[heavy].offered, others.admitted/others.offered, least,
			others.ranks[0].got/others.ranks[0].asked, others.ranks[1].got/others.ranks[1].asked, others.onTime/others.offered, worst)
		t.Log(rows[i])
	}
	var plays sync.WaitGroup
	for i := range variants {
		plays.Go(func() { play(i) })
	}
	plays.Wait()
	head := fmt.Sprintf("%-45s %7s %7s %7s %7s %7s %9s %9s\n%-45s %7s %7s %7s %7s %7s %9s %9s\n", "", "heavy", "others", "least", "urgent", "not", "others", "worst",
		"", "", "", "of them", "", "urgent", "on time", "2 s")
	goldie.New(t).Assert(t, "claims", []byte(head+strings.Join(rows, "")))
}

// Guards against a correction of workspaces whose prompts are short, wait for longer because they are less urgent, or are few, and against one
// that has no bound.
func TestCorrection(t *testing.T) {
	for _, c := range []struct {
		name               string
		stated, work, wait float64
		prompts            int
		want               float64
	}{
		{"as others", 90, 90, 400, 100, 1},
		{"short prompts", 30, 30, 400, 100, 1},
		{"long prompts", 300, 300, 400, 100, 1},
		{"few prompts", 1, 300, 400, 7, 1},
		{"a hundredth", 2, 200, 400, 100, 13.78},
		{"a hundred times", 9000, 90, 400, 100, 0.04},
		{"nothing", 0, 1e9, 400, 100, 100},
		{"no time", 1e4, 0, 0, 100, 0.01},
	} {
		p := newFleet(1, 1, 2).entries[0].policy
		r := func(workspace string, ms float64) fighollow.ShareRequest {
			return fighollow.ShareRequest{Service: "hule", Workspace: workspace, Work: time.Duration(ms * float64(time.Millisecond)), Rank: 2}
		}
		p.Decide(epoch, r("own", c.stated))
		p.Decide(epoch, r("other", 90))
		for i := range 100 {
			if i < c.prompts {
				p.Computed(epoch, r("own", c.stated), time.Duration((c.work+c.wait)*float64(time.Millisecond)))
			}
			p.Computed(epoch, r("other", 90), 490*time.Millisecond)
			p.Computed(epoch, fighollow.ShareRequest{Service: "hule", Workspace: "other", Work: 90 * time.Millisecond}, 100*time.Millisecond) // more urgent
		}
		all := p.service("hule").observed.get()
		own := p.rates.shard("own").cells[cellKey{"hule", "own"}].computed
		got := correction(epoch, &own, &all)
		qt.Assert(t, math.Abs(got-c.want) < 0.01*c.want, qt.IsTrue, qt.Commentf("%s: %v", c.name, got))
	}
}
