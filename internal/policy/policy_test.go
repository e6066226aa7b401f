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
	csvPath = flag.String("policy.csv", "", "run the whole bench and write this file")
	seeds   = flag.Int("policy.seeds", 5, "seeds of the whole bench")
	// With a margin of 1 a request overflows to the other role as soon as that is expected to be faster.
	margin      = flag.Float64("policy.margin", admission.OverflowMargin, "by how much the other role must be faster for overflow")
	trialPrefix = flag.String("policy.only", "", "only trials with this prefix")
)

// trial is a workload under given conditions.
type trial struct {
	name     string
	workload workload
	cond     conditions
}

func trials() []trial {
	var list []trial
	for _, w := range workloads {
		list = append(list, trial{w.name, w, conditions{lag: 1}})
	}
	step := workloads[1]
	// Requests cannot overflow to another model, so the planner makes changes in every trial of the shift between models.
	models := workloads[6]
	return append(list,
		trial{"models, lag 30 s", models, conditions{lag: 30}},
		trial{"models, crash in change", models, conditions{lag: 1, crash: true}},
		trial{"models, no plans for 300 s", models, conditions{lag: 1, outage: true}},
		trial{"step, lag 30 s", step, conditions{lag: 30}},
		trial{"swing, lag 30 s", workloads[3], conditions{lag: 30}},
		trial{"step, crash in change", step, conditions{lag: 1, crash: true}},
		trial{"step, no plans for 300 s", step, conditions{lag: 1, outage: true}})
}

// variant is a strategy under test, with changes to the conditions of a trial.
type variant struct {
	name string
	new  func(u user) strategy
	cond func(c *conditions)
}

func plannerWith(change func(p *fighollow.Policy, o *planner.Policy, d *demand.Options)) func(u user) strategy {
	return func(u user) strategy {
		preset, policy, opts := u.preset(), planner.Policy{}, demand.Options{}
		if change != nil {
			change(&preset.Policy, &policy, &opts)
		}
		return newPlannerStrategy(preset, policy, opts)
	}
}

func variants() []variant {
	none := func(*conditions) {}
	return []variant{
		{"fixed split", func(user) strategy { return fixedSplit{} }, none},
		{"every threshold", func(user) strategy { return &thresholdStrategy{last: make(map[string]demand.ModelCount)} }, none},
		{"planner", plannerWith(nil), none},
		{"planner without hysteresis", plannerWith(func(_ *fighollow.Policy, o *planner.Policy, _ *demand.Options) {
			o.MinGain, o.ReverseFactor = 1e-9, 1
		}), none},
		{"planner without dwell", plannerWith(func(p *fighollow.Policy, _ *planner.Policy, _ *demand.Options) { p.MinDwellMs = 1 }), none},
		{"planner without cost rule", plannerWith(func(p *fighollow.Policy, _ *planner.Policy, _ *demand.Options) { p.RoleChangeWeight = 1e-9 }), none},
		{"planner without overflow", plannerWith(func(_ *fighollow.Policy, o *planner.Policy, _ *demand.Options) { o.OverflowRate = 1e-9 }), func(c *conditions) { c.noOverflow = true }},
		{"fixed split without overflow", func(user) strategy { return fixedSplit{} }, func(c *conditions) { c.noOverflow = true }},
		{"planner without early refusal", plannerWith(nil), func(c *conditions) { c.noEarlyRefusal = true }},
	}
}

// oraclePrices are the prices of a change, in engine-seconds, for which a schedule is computed; the schedule with the
// highest goodput counts.
var oraclePrices = []float64{5, 15, 40, 120}

// score is the outcome of a simulation.
type score struct {
	goodput                float64 // share of the offered worth
	late, refused, changes int
}

func measure(u user, t trial, seed uint64, cond conditions, s strategy) score {
	requests := t.workload.arrivals(u, rand.New(rand.NewPCG(seed, 1)))
	r := newSimulation(u, cond, rand.New(rand.NewPCG(seed, 2)))
	r.run(requests, s)
	return score{r.usefulWorth / r.offeredWorth, r.late, r.refused, r.changes}
}

// firstSeed is the first seed of the bench. The defaults of the policy and the overflow margin were fitted to lower seeds,
// so the bench measures them on other requests.
const firstSeed = 300

// row holds the outcomes of one policy in one trial for all seeds.
type row struct {
	user, trial, policy string
	scores              []score
	ratios              []float64 // goodput relative to the best outcome for the same seed, see compareVariants
}

func compareVariants(u user, t trial, seeds int) []row {
	vs := variants()
	rows := make([]row, len(vs)+1)
	for i, v := range vs {
		rows[i] = row{user: u.name, trial: t.name, policy: v.name}
	}
	rows[len(vs)] = row{user: u.name, trial: t.name, policy: "best in hindsight"}
	var oracles []*oracle
	for _, price := range oraclePrices {
		oracles = append(oracles, t.workload.optimalSchedule(price))
	}
	for i := range uint64(seeds) {
		seed := firstSeed + i
		var best score
		for _, o := range oracles {
			if s := measure(u, t, seed, t.cond, o); s.goodput > best.goodput {
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

// TestBench prints the table of docs/policy.md. It does nothing without -policy.csv; ordinary test runs are covered by
// TestPolicyBeatsFixedSplit.
func TestBench(t *testing.T) {
	if *csvPath == "" {
		return
	}
	var list []func() []row
	for _, u := range users {
		for _, tr := range trials() {
			if strings.HasPrefix(tr.name, *trialPrefix) {
				list = append(list, func() []row { return compareVariants(u, tr, *seeds) })
			}
		}
	}
	results := make([][]row, len(list))
	var wg sync.WaitGroup
	sem := make(chan struct{}, min(6, runtime.NumCPU()))
	for i, f := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sem <- struct{}{}
			results[i] = f()
			<-sem
		}()
	}
	wg.Wait()
	rows := slices.Concat(results...)
	write(t, rows)
	for _, u := range users {
		summarise(u, rows)
	}
}

// summarise prints the planner's results for the targets in section 10 of docs/design.md.
func summarise(u user, rows []row) {
	var ratios []float64
	below, runs, changes, thresholdChanges := 0, 0, 0, 0
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
			thresholdChanges += th.scores[i].changes
			if d := base.scores[i].goodput - s.goodput; d > 0 {
				below, worst = below+1, max(worst, d)
			}
		}
	}
	mid, low, _ := median(ratios)
	fmt.Printf("%s: planner against the best plan in hindsight: median %.3f, lowest %.3f; below the fixed split in %d of %d runs, by at most %.3f; %d role changes, %.1f%% of every threshold's %d\n",
		u.name, mid, low, below, runs, worst, changes, 100*float64(changes)/float64(thresholdChanges), thresholdChanges)
}

func write(t *testing.T, rows []row) {
	f, err := os.Create(*csvPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	_ = w.Write(header)
	fmt.Printf("%-12s %-26s %-30s %8s %7s %15s %8s %9s %6s %8s\n", "user", "trial", "policy", "goodput", "ratio", "spread", "changes", "spread", "late", "refused")
	for _, r := range rows {
		c := r.record()
		_ = w.Write(c)
		fmt.Printf("%-12s %-26s %-30s %8s %7s %7s-%7s %8s %4s-%4s %6s %8s\n", c[0], c[1], c[2], c[3], c[4], c[5], c[6], c[7], c[8], c[9], c[10], c[11])
	}
	w.Flush()
	if err := w.Error(); err != nil {
		t.Fatal(err)
	}
}

// TestFields prints the effect of the fields of a preset's policy, for docs/policy.md. Like TestBench it needs -policy.csv.
func TestFields(t *testing.T) {
	if *csvPath == "" {
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
		for _, s := range []workload{workloads[1], workloads[3], workloads[5], workloads[6]} {
			var goodput, changes []float64
			for i := range uint64(*seeds) {
				c := plannerWith(func(p *fighollow.Policy, _ *planner.Policy, _ *demand.Options) { f.change(p) })(users[0])
				r := measure(users[0], trial{workload: s}, firstSeed+i, conditions{lag: 1}, c)
				goodput, changes = append(goodput, r.goodput), append(changes, float64(r.changes))
			}
			g, _, _ := median(goodput)
			n, _, _ := median(changes)
			fmt.Printf(" %s %.3f/%.0f", s.name, g, n)
		}
		fmt.Println()
	}
}

// Guards against a planner with less goodput than a fixed split, or with more than a fifth of the role changes of a
// threshold rule, which follows every swing.
func TestPolicyBeatsFixedSplit(t *testing.T) {
	for _, tr := range trials()[1:4] {
		u := users[1]
		base := measure(u, tr, 1, tr.cond, fixedSplit{})
		threshold := measure(u, tr, 1, tr.cond, &thresholdStrategy{last: make(map[string]demand.ModelCount)})
		got := measure(u, tr, 1, tr.cond, newPlannerStrategy(u.preset(), planner.Policy{}, demand.Options{}))
		if got.goodput < base.goodput-0.01 || got.changes*5 > threshold.changes {
			t.Errorf("%s: planner %+v, fixed %+v, threshold %+v", tr.name, got, base, threshold)
		}
	}
}
