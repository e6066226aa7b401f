// Command soak runs entries with stand-ins of the platform as separate processes, injects faults drawn from a seed, and
// judges what callers, upstreams and the store saw. It exits with 1 if a promise was broken.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/soak"
)

// errFindings is returned if a promise was broken.
var errFindings = errors.New("a promise was broken")

// Values of the flag workspaces.
const (
	workspacesDrawn = "drawn"
	workspacesOn    = "on"
	workspacesOff   = "off"
)

func hasWorkspaces(which string, seed uint64) bool {
	return which == workspacesOn || which == workspacesDrawn && soak.HasWorkspaces(seed)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:  "soak",
		Usage: "run entries and stand-ins as processes under random faults",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds, from the first on"},
			&cli.Uint64Flag{Name: "replay", Usage: "play the schedule of this `SEED` only"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "`TIME` in which faults are injected"},
			&cli.IntFlag{Name: "processes", Value: 12, Usage: "about so many processes in a run"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "`NUMBER` of runs at once"},
			&cli.BoolFlag{Name: "crash-part", Usage: "add a part of prompts that crashes engines to each run"},
			&cli.StringFlag{
				Name: "workspaces", Value: workspacesDrawn, Usage: "`WHICH` runs have keys and usage reports: drawn, on or off",
				Validator: func(value string) error {
					if !slices.Contains([]string{workspacesDrawn, workspacesOn, workspacesOff}, value) {
						return fmt.Errorf("%q is not drawn, on or off", value)
					}
					return nil
				},
			},
			&cli.StringFlag{Name: "gateway", Usage: "`FILE` of the fighollow program; built if empty"},
			&cli.StringFlag{Name: "report", Usage: "`DIRECTORY` for records and logs; a temporary one if empty"},
		},
		Action:   runSeeds,
		Commands: []*cli.Command{storeCommand(), usageCommand(), upstreamCommand(), callersCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func runSeeds(ctx context.Context, c *cli.Command) error {
	dir := c.String("report")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
	}
	gateway, err := gatewayProgram(ctx, c.String("gateway"), dir)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	first, n := c.Uint64("seed"), c.Int("seeds")
	if c.IsSet("replay") {
		first, n = c.Uint64("replay"), 1
	}
	slots := make(chan struct{}, max(1, c.Int("parallel")))
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	for i := range n {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			seed := first + uint64(i)
			rep, err := soak.Run(ctx, soak.Options{
				Seed: seed, Duration: c.Duration("duration"), Processes: c.Int("processes"), Gateway: gateway, Self: self, CrashPart: c.Bool("crash-part"),
				Dir: filepath.Join(dir, fmt.Sprintf("seed%d", seed)), Workspaces: hasWorkspaces(c.String("workspaces"), seed),
			})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = printReport(rep)
			}
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("seed %d: %w", seed, err))
			}
		})
	}
	wg.Wait()
	return errors.Join(failed, ctx.Err())
}

// gatewayProgram returns the program of the entries. It builds it into dir if there is none.
func gatewayProgram(ctx context.Context, file, dir string) (string, error) {
	if file != "" {
		return filepath.Abs(file)
	}
	file = filepath.Join(dir, "fighollow")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", file, "./cmd/fighollow").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build of fighollow: %w: %s", err, out)
	}
	return filepath.Abs(file)
}

// printReport prints a run. A run with findings is printed with its faults and the lines of the request concerned.
func printReport(r *soak.Report) error {
	fmt.Printf("seed %d: %d processes, %d faults, %d requests, %d answered whole, %d findings\n",
		r.Seed, r.Processes, len(r.Plan.Faults), r.Requests, r.Answered, len(r.Findings))
	if len(r.Findings) == 0 {
		return nil
	}
	for _, f := range r.Plan.Faults {
		fmt.Println("  ", f)
	}
	for i, f := range r.Findings {
		if i == 10 {
			fmt.Printf("   and %d more; of all, %s\n", len(r.Findings)-i, countByRule(r.Findings))
			break
		}
		fmt.Println("  ", f)
	}
	fmt.Printf("   records and logs: %s; fighollow logs explain REQUEST %s/entry*.log; play again: --replay %d", r.Dir, r.Dir, r.Seed)
	if r.Plan.CrashPart {
		fmt.Print(" --crash-part")
	}
	if r.Plan.Workspaces {
		fmt.Print(" --workspaces on")
	}
	fmt.Println()
	return errFindings
}

// countByRule returns the numbers of findings of each rule.
func countByRule(findings []soak.Finding) string {
	numbers := make(map[string]int)
	for _, f := range findings {
		numbers[f.Rule]++
	}
	var out []string
	for _, rule := range slices.Sorted(maps.Keys(numbers)) {
		out = append(out, fmt.Sprintf("%s %d", rule, numbers[rule]))
	}
	return strings.Join(out, ", ")
}

func recordsFlag() cli.Flag {
	return &cli.StringFlag{Name: "records", Required: true, Usage: "`FILE` for what it sees"}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name: "store", Usage: "run the stand-in of the platform's store", Hidden: true,
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Required: true}, recordsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			s := &http.Server{Addr: c.String("listen"), Handler: soak.NewStoreServer(), ReadHeaderTimeout: 10 * time.Second}
			return s.ListenAndServe()
		},
	}
}

func usageCommand() *cli.Command {
	return &cli.Command{
		Name: "usage", Usage: "run the stand-in of the platform's API for usage reports", Hidden: true,
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Required: true}, recordsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			rec, err := soak.NewRecorder(c.String("records"))
			if err != nil {
				return err
			}
			s := &http.Server{Addr: c.String("listen"), Handler: soak.NewUsageServer(rec), ReadHeaderTimeout: 10 * time.Second}
			return s.ListenAndServe()
		},
	}
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name: "upstream", Usage: "run the stand-in of an engine or a plain service", Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Required: true}, &cli.StringFlag{Name: "service", Required: true}, &cli.StringFlag{Name: "role"},
			&cli.StringFlag{Name: "listen", Required: true}, &cli.StringFlag{Name: "address", Required: true},
			&cli.StringFlag{Name: "store", Required: true}, &cli.Uint64Flag{Name: "seed"}, &cli.FloatFlag{Name: "faulty"}, recordsFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			rec, err := soak.NewRecorder(c.String("records"))
			if err != nil {
				return err
			}
			u := &soak.Upstream{
				ID: c.String("id"), Service: c.String("service"), Role: c.String("role"), Address: c.String("address"),
				Listen: c.String("listen"), Store: c.String("store"), Seed: c.Uint64("seed"), Faulty: c.Float("faulty"), Recorder: rec,
			}
			return u.Run(ctx, time.Second)
		},
	}
}

func callersCommand() *cli.Command {
	return &cli.Command{
		Name: "callers", Usage: "run callers", Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true}, &cli.Uint64Flag{Name: "seed"}, &cli.IntFlag{Name: "workers", Value: 1},
			&cli.IntFlag{Name: "resting"}, &cli.BoolFlag{Name: "rude"}, &cli.BoolFlag{Name: "crash-part"}, &cli.BoolFlag{Name: "workspaces"},
			&cli.StringSliceFlag{Name: "entry", Usage: "`NAME=INGRESS=READINESS`"}, recordsFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			rec, err := soak.NewRecorder(c.String("records"))
			if err != nil {
				return err
			}
			callers := &soak.Callers{
				Name: c.String("name"), Workers: c.Int("workers"), Resting: c.Int("resting"), Seed: c.Uint64("seed"), Rude: c.Bool("rude"),
				CrashPart: c.Bool("crash-part"), Workspaces: c.Bool("workspaces"), Recorder: rec,
			}
			for _, e := range c.StringSlice("entry") {
				parts := strings.Split(e, "=")
				if len(parts) != 3 {
					return fmt.Errorf("flag entry: %q is not NAME=INGRESS=READINESS", e)
				}
				for _, address := range parts[1:] {
					if _, _, err := net.SplitHostPort(address); err != nil {
						return fmt.Errorf("flag entry: %q: %w", e, err)
					}
				}
				callers.Entries = append(callers.Entries, soak.Entry{Name: parts[0], Ingress: parts[1], Readiness: parts[2]})
			}
			callers.Run(ctx)
			return nil
		},
	}
}
