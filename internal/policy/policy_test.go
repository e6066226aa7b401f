// Package policy_test measures the planning policy against baselines. See scripts/policy.sh.
package policy_test

import (
	"encoding/csv"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/fighollow/fighollow/internal/admission"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var (
	out   = flag.String("policy.csv", "", "run the whole bench and write this file")
	seeds = flag.Int("policy.seeds", 5, "seeds of the whole bench")
	// margin 1 lets a request overflow to the other role as soon as that is expected to be faster.
	margin = flag.Float64("policy.margin", admission.OverflowMargin, "by how much the other role must be faster for overflow")
	only   = flag.String("policy.only", "", "only shapes with this prefix")
)

// trial is a shape with what goes wrong in it.
type trial struct {
	name  string
	shape shape
	cond  conditions
}

func trials() []trial {
	var list []trial
	for _, s := range shapes {
		list = append(list, trial{s.name, s, conditions{lag: 1}})
	}
	step := shapes[1]
	return append(list,
		trial{"step, lag 30 s", step, conditions{lag: 30}},
		trial{"swing, lag 30 s", shapes[3], conditions{lag: 30}},
		trial{"step, crash in change", step, conditions{lag: 1, crash: true}},
		trial{"step, no plans for 300 s", step, conditions{lag: 1, outage: true}})
}

// variant is a policy under test.
type variant struct {
	name string
	new  func(u user) chooser
	cond func(c *conditions)
}

func productWith(change func(p *fighollow.Policy, o *planner.Policy, d *demand.Options)) func(u user) chooser {
	return func(u user) chooser {
		preset, policy, opts := u.preset(), planner.Policy{}, demand.Options{}
		if change != nil {
			change(&preset.Policy, &policy, &opts)
		}
		return newProduct(preset, policy, opts)
	}
}

func variants() []variant {
	none := func(*conditions) {}
	return []variant{
		{"fixed split", func(user) chooser { return fixed{} }, none},
		{"every threshold", func(user) chooser { return &threshold{last: make(map[string]demand.ModelCount)} }, none},
		{"planner", productWith(nil), none},
		{"planner without hysteresis", productWith(func(_ *fighollow.Policy, o *planner.Policy, _ *demand.Options) {
			o.MinGain, o.ReverseFactor = 1e-9, 1
		}), none},
		{"planner without dwell", productWith(func(p *fighollow.Policy, _ *planner.Policy, _ *demand.Options) { p.MinDwellMs = 1 }), none},
		{"planner without cost rule", productWith(func(p *fighollow.Policy, _ *planner.Policy, _ *demand.Options) { p.RoleChangeWeight = 1e-9 }), none},
		{"planner without overflow", productWith(func(_ *fighollow.Policy, o *planner.Policy, _ *demand.Options) { o.OverflowRate = 1e-9 }), func(c *conditions) { c.noOverflow = true }},
		{"fixed split without overflow", func(user) chooser { return fixed{} }, func(c *conditions) { c.noOverflow = true }},
		{"planner without early refusal", productWith(nil), func(c *conditions) { c.noEarly = true }},
	}
}

// hindsightPrices are the prices of a change, in engine-seconds, for which a schedule is made; the best one counts.
var hindsightPrices = []float64{5, 15, 40, 120}

// score is the outcome of a run.
type score struct {
	goodput                float64 // share of the offered worth
	late, refused, changes int
}

func measure(u user, t trial, seed uint64, cond conditions, c chooser) score {
	requests := t.shape.arrivals(u, rand.New(rand.NewPCG(seed, 1)))
	r := newRun(u, cond, rand.New(rand.NewPCG(seed, 2)))
	r.play(requests, c)
	return score{r.useful / r.offered, r.late, r.refused, r.changes}
}

// firstSeed is above the seeds with which the defaults of the policy and the overflow margin were chosen.
const firstSeed = 300

// row is the outcome of one policy in one trial over all seeds.
type row struct {
	user, trial, policy string
	scores              []score
	ratios              []float64 // goodput relative to the best plan in hindsight of the same seed
}

func compareAll(u user, t trial, seeds int) []row {
	vs := variants()
	rows := make([]row, len(vs)+1)
	for i, v := range vs {
		rows[i] = row{user: u.name, trial: t.name, policy: v.name}
	}
	rows[len(vs)] = row{user: u.name, trial: t.name, policy: "best in hindsight"}
	var plans []*hindsight
	for _, price := range hindsightPrices {
		plans = append(plans, t.shape.plan(price))
	}
	for i := range uint64(seeds) {
		seed := firstSeed + i
		var best score
		for _, h := range plans {
			if s := measure(u, t, seed, t.cond, h); s.goodput > best.goodput {
				best = s
			}
		}
		all := make([]score, len(vs))
		for i, v := range vs {
			cond := t.cond
			v.cond(&cond)
			all[i] = measure(u, t, seed, cond, v.new(u))
			if all[i].goodput > best.goodput {
				best = all[i]
			}
		}
		for i, s := range append(all, best) {
			rows[i].scores = append(rows[i].scores, s)
			rows[i].ratios = append(rows[i].ratios, s.goodput/best.goodput)
		}
	}
	return rows
}

func median(v []float64) (mid, low, high float64) {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2], v[0], v[len(v)-1]
}

func (r row) column(f func(s score) float64) []float64 {
	var v []float64
	for _, s := range r.scores {
		v = append(v, f(s))
	}
	return v
}

func (r row) record() []string {
	ratio, low, high := median(r.ratios)
	goodput, _, _ := median(r.column(func(s score) float64 { return s.goodput }))
	changes, least, most := median(r.column(func(s score) float64 { return float64(s.changes) }))
	late, _, _ := median(r.column(func(s score) float64 { return float64(s.late) }))
	refused, _, _ := median(r.column(func(s score) float64 { return float64(s.refused) }))
	return []string{r.user, r.trial, r.policy, fmt.Sprintf("%.3f", goodput), fmt.Sprintf("%.3f", ratio), fmt.Sprintf("%.3f", low),
		fmt.Sprintf("%.3f", high), fmt.Sprint(changes), fmt.Sprint(least), fmt.Sprint(most), fmt.Sprint(late), fmt.Sprint(refused)}
}

var header = []string{"user", "trial", "policy", "goodput", "ratio", "ratioMin", "ratioMax", "changes", "changesMin", "changesMax", "late", "refused"}

// TestBench prints the table of docs/policy.md. Without -policy.csv it does nothing; TestPolicyBeatsFixedSplit is the
// check of every run.
func TestBench(t *testing.T) {
	if *out == "" {
		return
	}
	var list []func() []row
	for _, u := range users {
		for _, tr := range trials() {
			if strings.HasPrefix(tr.name, *only) {
				list = append(list, func() []row { return compareAll(u, tr, *seeds) })
			}
		}
	}
	results := make([][]row, len(list))
	var wg sync.WaitGroup
	slot := make(chan struct{}, min(6, runtime.NumCPU()))
	for i, f := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slot <- struct{}{}
			results[i] = f()
			<-slot
		}()
	}
	wg.Wait()
	rows := slices.Concat(results...)
	write(t, rows)
	for _, u := range users {
		summarise(u, rows)
	}
}

// summarise compares the planner with the aims of docs/design.md section 10.
func summarise(u user, rows []row) {
	var ratios []float64
	below, runs, changes, every := 0, 0, 0, 0
	worst := 0.0
	byKey := make(map[string]row)
	for _, r := range rows {
		byKey[r.user+r.trial+r.policy] = r
	}
	for _, r := range rows {
		if r.user != u.name || r.policy != "planner" {
			continue
		}
		ratios = append(ratios, r.ratios...)
		base, th := byKey[r.user+r.trial+"fixed split"], byKey[r.user+r.trial+"every threshold"]
		for i, s := range r.scores {
			runs++
			changes += s.changes
			every += th.scores[i].changes
			if d := base.scores[i].goodput - s.goodput; d > 0 {
				below, worst = below+1, max(worst, d)
			}
		}
	}
	mid, low, _ := median(ratios)
	fmt.Printf("%s: planner against the best plan in hindsight: median %.3f, lowest %.3f; below the fixed split in %d of %d runs, by at most %.3f; %d role changes, %.1f%% of every threshold's %d\n",
		u.name, mid, low, below, runs, worst, changes, 100*float64(changes)/float64(every), every)
}

func write(t *testing.T, rows []row) {
	f, err := os.Create(*out)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	_ = w.Write(header)
	fmt.Printf("%-12s %-24s %-30s %8s %7s %15s %8s %9s %6s %8s\n", "user", "trial", "policy", "goodput", "ratio", "spread", "changes", "spread", "late", "refused")
	for _, r := range rows {
		c := r.record()
		_ = w.Write(c)
		fmt.Printf("%-12s %-24s %-30s %8s %7s %7s-%7s %8s %4s-%4s %6s %8s\n", c[0], c[1], c[2], c[3], c[4], c[5], c[6], c[7], c[8], c[9], c[10], c[11])
	}
	w.Flush()
	if err := w.Error(); err != nil {
		t.Fatal(err)
	}
}

// TestFields prints what the fields of a preset's policy do, for docs/policy.md. Like TestBench it needs -policy.csv.
func TestFields(t *testing.T) {
	if *out == "" {
		return
	}
	fields := []struct {
		name   string
		change func(p *fighollow.Policy)
	}{
		{"all defaults", func(p *fighollow.Policy) { *p = fighollow.Policy{} }},
		{"roleChangeWeight 0.5", func(p *fighollow.Policy) { *p = fighollow.Policy{RoleChangeWeight: 0.5} }},
		{"roleChangeWeight 3", func(p *fighollow.Policy) { *p = fighollow.Policy{RoleChangeWeight: 3} }},
		{"roleChangeWeight 10", func(p *fighollow.Policy) { *p = fighollow.Policy{RoleChangeWeight: 10} }},
		{"minDwellMs 10000", func(p *fighollow.Policy) { *p = fighollow.Policy{MinDwellMs: 10_000} }},
		{"minDwellMs 300000", func(p *fighollow.Policy) { *p = fighollow.Policy{MinDwellMs: 300_000} }},
		{"horizonMs 60000", func(p *fighollow.Policy) { *p = fighollow.Policy{HorizonMs: 60_000} }},
		{"horizonMs 900000", func(p *fighollow.Policy) { *p = fighollow.Policy{HorizonMs: 900_000} }},
		{"maxChangesPerDataCentre 3, maxChangesPerModel 4", func(p *fighollow.Policy) {
			*p = fighollow.Policy{MaxChangesPerDataCentre: 3, MaxChangesPerModel: 4}
		}},
	}
	for _, f := range fields {
		fmt.Printf("%-50s", f.name)
		for _, s := range []shape{shapes[1], shapes[3], shapes[5], shapes[6]} {
			var goodput, changes []float64
			for i := range uint64(*seeds) {
				c := productWith(func(p *fighollow.Policy, _ *planner.Policy, _ *demand.Options) { f.change(p) })(users[0])
				r := measure(users[0], trial{shape: s}, firstSeed+i, conditions{lag: 1}, c)
				goodput, changes = append(goodput, r.goodput), append(changes, float64(r.changes))
			}
			g, _, _ := median(goodput)
			n, _, _ := median(changes)
			fmt.Printf(" %s %.3f/%.0f", s.name, g, n)
		}
		fmt.Println()
	}
}

// Guards against a policy that does worse than no policy, or that follows every swing with role changes.
func TestPolicyBeatsFixedSplit(t *testing.T) {
	for _, tr := range trials()[1:4] {
		u := users[1]
		base := measure(u, tr, 1, tr.cond, fixed{})
		every := measure(u, tr, 1, tr.cond, &threshold{last: make(map[string]demand.ModelCount)})
		got := measure(u, tr, 1, tr.cond, newProduct(u.preset(), planner.Policy{}, demand.Options{}))
		if got.goodput < base.goodput-0.01 || got.changes*5 > every.changes {
			t.Errorf("%s: planner %+v, fixed %+v, threshold %+v", tr.name, got, base, every)
		}
	}
}
