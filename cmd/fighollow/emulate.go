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

// emulateCommand compares policies on an emulated fleet.
func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "compare policies on an emulated fleet of engines, with the product's deciding code",
		Description: "Plays the first users' mix of requests for each policy and seed, and prints what callers got.\n" +
			"The same flags give the same figures.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "play `N` seeds for each policy"},
			&cli.StringSliceFlag{Name: "policy", Usage: "only the policies with these `NAMES`; all without it"},
			&cli.FloatFlag{Name: "load", Value: 1, Usage: "`FACTOR` of the mix's rates"},
			&cli.IntFlag{Name: "entries", Value: emulator.Default().Entries, Usage: "`N` entries"},
			&cli.IntFlag{Name: "engines", Value: emulator.Default().Engines, Usage: "`N` engines, two thirds of them for prefill at first"},
			&cli.DurationFlag{Name: "duration", Value: emulator.Default().Duration, Usage: "`TIME` for which requests arrive"},
			&cli.BoolFlag{Name: "faults", Usage: "engines crash and turn slow"},
			&cli.StringFlag{Name: "format", Value: "table", Usage: "table, csv or json; csv and json have a row for each run"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			cfg, err := emulation(cmd)
			if err != nil {
				return err
			}
			runs, err := playPolicies(cfg, cmd.StringSlice("policy"), cmd.Int("seeds"))
			if err != nil {
				return err
			}
			return writeRuns(cmd.Root().Writer, cmd.String("format"), cfg, runs)
		},
	}
}

// emulation returns the configuration that the flags describe.
func emulation(cmd *cli.Command) (emulator.Config, error) {
	cfg := emulator.Default()
	cfg.Entries, cfg.Engines, cfg.Duration = cmd.Int("entries"), cmd.Int("engines"), cmd.Duration("duration")
	load := cmd.Float("load")
	if cfg.Entries < 1 || cfg.Engines < 2 || load <= 0 || cmd.Int("seeds") < 1 {
		return cfg, fmt.Errorf("emulate: there must be an entry, two engines, a seed and a load above 0")
	}
	cfg.Prefill = max(1, cfg.Engines*2/3)
	for i := range cfg.Kinds {
		cfg.Kinds[i].PerSecond *= load
	}
	if cmd.Bool("faults") {
		cfg.Faults = emulatedFaults(cfg)
	}
	return cfg, nil
}

// emulatedFaults strikes a sixth of the engines: every second one of them crashes for two seconds, the others turn slow.
func emulatedFaults(cfg emulator.Config) []emulator.Fault {
	const (
		share  = 6
		lasts  = 2 * time.Second
		slower = 8
	)
	var out []emulator.Fault
	for i := range max(1, cfg.Engines/share) {
		f := emulator.Fault{From: cfg.Duration * time.Duration(i+1) / time.Duration(cfg.Engines/share+2), For: lasts, Engine: i * share, Slow: slower}
		f.Down = i%2 == 0
		out = append(out, f)
	}
	return out
}

// playPolicies returns the runs of each policy, in the order of the policies and seeds.
func playPolicies(cfg emulator.Config, names []string, seeds int) ([]emulator.Result, error) {
	policies := emulator.Policies()
	for _, name := range names {
		if !slices.ContainsFunc(policies, func(p emulator.Policy) bool { return p.Name == name }) {
			return nil, fmt.Errorf("emulate: no policy %q", name)
		}
	}
	var out []emulator.Result
	for _, p := range policies {
		if len(names) > 0 && !slices.Contains(names, p.Name) {
			continue
		}
		for seed := range seeds {
			cfg.Policy, cfg.Seed = p, uint64(seed+1)
			out = append(out, emulator.Run(cfg))
		}
	}
	return out, nil
}

// runRow is a run as it is printed.
type runRow struct {
	Policy        string  `json:"policy"`
	Seed          uint64  `json:"seed"`
	Worth         float64 `json:"worth"` // share of what was owed
	OnTime        float64 `json:"onTime"`
	Served        float64 `json:"served"`
	FirstP95Ms    int64   `json:"firstP95Ms"` // of the kind that waits longest
	TokensRead    int     `json:"tokensRead"`
	TokensFetched int     `json:"tokensFetched"`
	RoleChanges   int     `json:"roleChanges"`
}

func newRunRow(cfg emulator.Config, r emulator.Result) runRow {
	row := runRow{
		Policy: r.Policy, Seed: r.Seed, Worth: r.Worth(cfg.Kinds), TokensRead: r.Computed, TokensFetched: r.Fetched, RoleChanges: r.Orders,
	}
	var asked, onTime, served int
	for _, k := range r.Kinds {
		asked += k.Asked
		onTime += k.OnTime
		served += k.Served
		row.FirstP95Ms = max(row.FirstP95Ms, k.First(0.95).Milliseconds())
	}
	if asked > 0 {
		row.OnTime, row.Served = float64(onTime)/float64(asked), float64(served)/float64(asked)
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
	return fmt.Errorf("emulate: no format %q", format)
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

// barWidth is the length of a full bar in characters.
const barWidth = 40

// writeRunsTable prints a line for each policy: means, the range of the worth, and the worth as a bar.
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
