package main

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/emulator"
)

// emulateCommand returns the command that compares policies on a simulated fleet.
func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "compare policies on a simulated fleet of engines, with the production code for placement and roles",
		Description: "Simulates the first users' mix of requests for each policy and seed, and prints how callers were served.\n" +
			"The same flags give the same figures.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "run each policy with `N` seeds"},
			&cli.StringSliceFlag{Name: "policy", Usage: "run only the policies with these `NAMES` (default all)"},
			&cli.FloatFlag{Name: "load", Value: 1, Usage: "multiply the request rates by `FACTOR`"},
			&cli.IntFlag{Name: "entries", Value: emulator.Default().Entries, Usage: "`N` entries"},
			&cli.IntFlag{Name: "engines", Value: emulator.Default().Engines, Usage: "`N` engines, of which two thirds start with the prefill role"},
			&cli.DurationFlag{Name: "duration", Value: emulator.Default().Duration, Usage: "`TIME` during which requests arrive"},
			&cli.BoolFlag{Name: "faults", Usage: "let engines crash and slow down"},
			&cli.IntFlag{Name: "draws", Usage: "run on `N` deployments drawn from seeds instead, and compare with the best fixed split of the roles in hindsight"},
			&cli.StringFlag{Name: "format", Value: "table", Usage: "output format: table, csv or json; csv and json contain a row for each run"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if n := cmd.Int("draws"); n != 0 {
				return runDraws(cmd.Root().Writer, n, cmd.StringSlice("policy"))
			}
			cfg, err := emulatorConfig(cmd)
			if err != nil {
				return err
			}
			runs, err := runPolicies(cfg, cmd.StringSlice("policy"), cmd.Int("seeds"))
			if err != nil {
				return err
			}
			return writeRuns(cmd.Root().Writer, cmd.String("format"), cfg, runs)
		},
	}
}

// emulatorConfig returns the configuration that the flags describe.
func emulatorConfig(cmd *cli.Command) (emulator.Config, error) {
	cfg := emulator.Default()
	cfg.Entries, cfg.Engines, cfg.Duration = cmd.Int("entries"), cmd.Int("engines"), cmd.Duration("duration")
	load := cmd.Float("load")
	if cfg.Entries < 1 || cfg.Engines < 2 || load <= 0 || cmd.Int("seeds") < 1 {
		return cfg, fmt.Errorf("emulate: at least 1 entry, 2 engines, 1 seed and a load above 0 are required")
	}
	cfg.PrefillEngines = max(1, cfg.Engines*2/3)
	for i := range cfg.Classes {
		cfg.Classes[i].PerSecond *= load
	}
	if cmd.Bool("faults") {
		cfg.Faults = emulatedFaults(cfg)
	}
	return cfg, nil
}

// emulatedFaults returns a fault for every sixth engine, alternately a crash and a slowdown, of two seconds each and spread
// evenly over the run.
func emulatedFaults(cfg emulator.Config) []emulator.Fault {
	const (
		everyNth = 6
		duration = 2 * time.Second
		slowdown = 8
	)
	var out []emulator.Fault
	for i := range max(1, cfg.Engines/everyNth) {
		f := emulator.Fault{Start: cfg.Duration * time.Duration(i+1) / time.Duration(cfg.Engines/everyNth+2), Duration: duration, Engine: i * everyNth, Slowdown: slowdown}
		f.Crash = i%2 == 0
		out = append(out, f)
	}
	return out
}

// runPolicies runs every selected policy with every seed, and returns the results in the order of the policies and seeds. No
// names select all policies.
func runPolicies(cfg emulator.Config, names []string, seeds int) ([]emulator.Result, error) {
	policies, err := selectPolicies(names)
	if err != nil {
		return nil, err
	}
	var out []emulator.Result
	for _, p := range policies {
		for seed := range seeds {
			cfg.Policy, cfg.Seed = p, uint64(seed+1)
			out = append(out, emulator.Run(cfg))
		}
	}
	return out, nil
}

// selectPolicies returns the policies with these names, or all policies if there are no names.
func selectPolicies(names []string) ([]emulator.Policy, error) {
	policies := emulator.Policies()
	for _, name := range names {
		if !slices.ContainsFunc(policies, func(p emulator.Policy) bool { return p.Name == name }) {
			return nil, fmt.Errorf("emulate: unknown policy %q", name)
		}
	}
	return slices.DeleteFunc(policies, func(p emulator.Policy) bool { return len(names) > 0 && !slices.Contains(names, p.Name) }), nil
}

// runRow is the printed form of a run.
type runRow struct {
	Policy        string  `json:"policy"`
	Seed          uint64  `json:"seed"`
	Worth         float64 `json:"worth"` // fraction of the worth of all requests answered on time
	OnTime        float64 `json:"onTime"`
	Served        float64 `json:"served"`
	FirstP95Ms    int64   `json:"firstP95Ms"` // 95th percentile of the time to first token, of the slowest class
	TokensRead    int     `json:"tokensRead"`
	TokensFetched int     `json:"tokensFetched"`
	RoleChanges   int     `json:"roleChanges"`
}

func newRunRow(cfg emulator.Config, r emulator.Result) runRow {
	row := runRow{
		Policy: r.Policy, Seed: r.Seed, Worth: r.Worth(cfg.Classes), TokensRead: r.ComputedTokens, TokensFetched: r.FetchedTokens, RoleChanges: r.RoleChanges,
	}
	var requests, onTime, served int
	for _, c := range r.Classes {
		requests += c.Requests
		onTime += c.OnTime
		served += c.Served
		row.FirstP95Ms = max(row.FirstP95Ms, c.TTFT(0.95).Milliseconds())
	}
	if requests > 0 {
		row.OnTime, row.Served = float64(onTime)/float64(requests), float64(served)/float64(requests)
	}
	return row
}

func writeRuns(w io.Writer, format string, cfg emulator.Config, runs []emulator.Result) error {
	rows := make([]runRow, len(runs))
	for i, r := range runs {
		rows[i] = newRunRow(cfg, r)
	}
	switch format {
	case "json":
		return json.NewEncoder(w).Encode(rows)
	case "csv":
		return writeRunsCSV(w, rows)
	case "table":
		return writeRunsTable(w, rows)
	}
	return fmt.Errorf("emulate: unknown format %q", format)
}

func writeRunsCSV(w io.Writer, rows []runRow) error {
	c := csv.NewWriter(w)
	records := [][]string{{"policy", "seed", "worth", "onTime", "served", "firstP95Ms", "tokensRead", "tokensFetched", "roleChanges"}}
	for _, r := range rows {
		records = append(records, []string{
			r.Policy, strconv.FormatUint(r.Seed, 10), fmt.Sprintf("%.4f", r.Worth), fmt.Sprintf("%.4f", r.OnTime), fmt.Sprintf("%.4f", r.Served),
			strconv.FormatInt(r.FirstP95Ms, 10), strconv.Itoa(r.TokensRead), strconv.Itoa(r.TokensFetched), strconv.Itoa(r.RoleChanges),
		})
	}
	return c.WriteAll(records)
}

// barWidth is the length in characters of the bar for a worth of 1.
const barWidth = 40

// writeRunsTable prints a line for each policy: means over its runs, the range of the worth, and the mean worth as a bar.
func writeRunsTable(w io.Writer, rows []runRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tworth\tmin\tmax\ton time\tserved\tfirst p95 ms\ttokens read\trole changes\t")
	for len(rows) > 0 {
		n := 1
		for n < len(rows) && rows[n].Policy == rows[0].Policy {
			n++
		}
		group := rows[:n]
		rows = rows[n:]
		var sum runRow
		low, high := group[0].Worth, group[0].Worth
		for _, r := range group {
			sum.Worth += r.Worth
			sum.OnTime += r.OnTime
			sum.Served += r.Served
			sum.FirstP95Ms += r.FirstP95Ms
			sum.TokensRead += r.TokensRead
			sum.RoleChanges += r.RoleChanges
			low, high = min(low, r.Worth), max(high, r.Worth)
		}
		f := float64(n)
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.1f\t%s\n", group[0].Policy, sum.Worth/f, low, high, sum.OnTime/f, sum.Served/f,
			sum.FirstP95Ms/int64(n), sum.TokensRead/n, float64(sum.RoleChanges)/f, strings.Repeat("#", int(sum.Worth/f*barWidth+0.5)))
	}
	return t.Flush()
}
