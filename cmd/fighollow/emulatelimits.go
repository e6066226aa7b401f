package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/emulator"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Times of an emulated limit, after the start.
const (
	emulatedNaming = 10 * time.Second
	emulatedSettle = 30 * time.Second // from the naming until the use is measured
	emulatedEnd    = 100 * time.Second
	emulatedWindow = 4 * time.Second
)

// emulateLimitsCommand returns the command that shows how entries share request limits.
func emulateLimitsCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate-limits",
		Usage: "show how entries share the request limits that upstreams name, with the production code",
		Description: "Simulates entries that send requests to plain upstreams, each of which names the same limit after 10 s of 100 s, and\n" +
			"prints which part of the limits they use from 40 s on, and the most requests that reach an upstream within 4 s,\n" +
			"from entries that it has told of its limit.\n" +
			"The same flags give the same figures.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 5, Usage: "`N` entries; the first sends half of the requests"},
			&cli.IntFlag{Name: "upstreams", Value: 1, Usage: "`N` upstreams"},
			&cli.FloatFlag{Name: "limit", Value: 3, Usage: "`REQUESTS` a second that each upstream names"},
			&cli.FloatFlag{Name: "load", Value: 2, Usage: "requests as a `MULTIPLE` of what all limits allow"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			entries, upstreams, limit, load := cmd.Int("entries"), cmd.Int("upstreams"), cmd.Float("limit"), cmd.Float("load")
			if entries < 1 || upstreams < 1 || !(limit > 0) || !(load > 0) {
				return errors.New("emulate-limits: at least 1 entry, 1 upstream, a limit and a load above 0 are required")
			}
			used, most := runLimits(cmd.Uint64("seed"), entries, upstreams, limit, load)
			_, err := fmt.Fprintf(cmd.Root().Writer, "used %.2f of the limits; at most %d requests within %s at one upstream, whose limit allows %.1f\n",
				used, most, emulatedWindow, limit*emulatedWindow.Seconds())
			return err
		},
	}
}

// runLimits returns the part of the limits that is used, and the most requests in a window at one upstream.
func runLimits(seed uint64, entries, upstreams int, limit, load float64) (used float64, most int) {
	ids := make([]string, upstreams)
	for i := range ids {
		ids[i] = fmt.Sprintf("s-a-%d", i)
	}
	r := emulator.NewLimitRun(seed, fighollow.RequestWhole, emulatedEnd, ids...)
	total := load * limit * float64(upstreams)
	for i := range entries {
		rate := total / 2 / float64(max(1, entries-1))
		if i == 0 {
			rate = total / 2
		}
		r.AddEntry("a", rate)
	}
	r.After(emulatedNaming, func() {
		for _, id := range ids {
			r.Limits[id] = fighollow.RequestLimit{State: fighollow.LimitNamed, PerSecond: limit}
		}
	})
	r.RunUntil(emulator.LimitRunStart.Add(emulatedEnd))
	from, count := emulatedNaming+emulatedSettle, 0
	for _, id := range ids {
		count += r.Count(id, from, emulatedEnd)
		n, _ := r.Most(id, from, emulatedEnd, emulatedWindow, func(x emulator.Arrival, end time.Time) bool {
			told, ok := x.From.Told[id]
			return ok && told.Before(end)
		})
		most = max(most, n)
	}
	return float64(count) / (limit * float64(upstreams) * (emulatedEnd - from).Seconds()), most
}
