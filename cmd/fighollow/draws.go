package main

import (
	"cmp"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/fighollow/fighollow/internal/emulator"
)

// drawnWorth is the worth of a policy on one drawn deployment.
type drawnWorth struct {
	seed  uint64
	worth float64
	ratio float64 // to the best fixed split in hindsight
}

// runDraws runs the policies on n deployments with the seeds from 1 on, and prints how the worth of each policy is distributed.
func runDraws(w io.Writer, n int, names []string) error {
	if n < 1 {
		return fmt.Errorf("emulate: --draws must be at least 1")
	}
	policies, err := selectPolicies(names)
	if err != nil {
		return err
	}
	results := make([][]drawnWorth, len(policies))
	for i := range results {
		results[i] = make([]drawnWorth, n)
	}
	running := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var wg sync.WaitGroup
	for i := range n {
		running <- struct{}{}
		wg.Go(func() {
			defer func() { <-running }()
			cfg := emulator.Draw(uint64(i + 1))
			cfg.Policy.WatchCaches = true
			best := emulator.BestFixedSplit(cfg)
			for j, p := range policies {
				cfg.Policy = p
				r := emulator.Run(cfg)
				results[j][i] = drawnWorth{cfg.Seed, r.Worth(cfg.Classes), r.Worth(cfg.Classes) / best}
			}
		})
	}
	wg.Wait()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tworth p10\tmedian\tratio to best split p10\tmedian\tworst\tworst seed\t")
	for j, p := range policies {
		byWorth, byRatio := slices.Clone(results[j]), results[j]
		slices.SortFunc(byWorth, func(a, b drawnWorth) int { return cmp.Compare(a.worth, b.worth) })
		slices.SortFunc(byRatio, func(a, b drawnWorth) int { return cmp.Compare(a.ratio, b.ratio) })
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t\n", p.Name, byWorth[n/10].worth, byWorth[n/2].worth, byRatio[n/10].ratio,
			byRatio[n/2].ratio, byRatio[0].ratio, byRatio[0].seed)
	}
	return t.Flush()
}
