package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "serve the engine protocol with generated answers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7500", Usage: "IP:port to serve on"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum batch size"},
			&cli.FloatFlag{Name: "prefill-rate", Value: 200_000, Usage: "prompt tokens per second"},
			&cli.FloatFlag{Name: "decode-rate", Value: 2000, Usage: "output tokens per second of each slot"},
			&cli.IntFlag{Name: "stop-after", Usage: "output tokens after which an answer stops; 0 for none"},
			&cli.IntFlag{Name: "cache-blocks", Value: 64, Usage: "blocks of 4,000 tokens in the prefix cache"},
			&cli.DurationFlag{Name: "change", Value: 200 * time.Millisecond, Usage: "duration of a change of model or role"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with a stale fencing token"},
			&cli.BoolFlag{Name: "interrupts-work", Usage: "accept orders while requests are in flight, and interrupt those"},
			&cli.DurationFlag{Name: "load-lag", Usage: "delay of the reported load"},
			&cli.DurationFlag{Name: "event-lag", Usage: "delay before a cache event is reported"},
			&cli.IntFlag{Name: "event-gap", Usage: "drop the cache events whose number is a multiple of this; 0 for none"},
			&cli.StringFlag{Name: "model", Usage: "model that is loaded at the start"},
			&cli.StringFlag{Name: "model-version", Usage: "version of that model"},
			&cli.StringFlag{Name: "role", Value: string(fighollow.RoleBoth), Usage: "role at the start, with --model"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	if cmd.Int("slots") < 1 || cmd.Float("prefill-rate") <= 0 || cmd.Float("decode-rate") <= 0 {
		return fmt.Errorf("slots, prefill-rate and decode-rate must be above 0")
	}
	opts := engine.Options{
		Address: cmd.String("listen"), Slots: cmd.Int("slots"), PrefillRate: cmd.Float("prefill-rate"),
		DecodeRate: cmd.Float("decode-rate"), StopAfter: cmd.Int("stop-after"), CacheBlocks: cmd.Int("cache-blocks"),
		ChangeTime: cmd.Duration("change"), ChecksFence: cmd.Bool("checks-fence"), InterruptsWork: cmd.Bool("interrupts-work"),
		LoadLag: cmd.Duration("load-lag"), EventLag: cmd.Duration("event-lag"), EventGap: cmd.Int("event-gap"),
	}
	if model := cmd.String("model"); model != "" {
		opts.Initial = fighollow.Assignment{
			Role: fighollow.Role(cmd.String("role")), Model: model, ModelVersion: cmd.String("model-version"),
		}
	}
	e := engine.New(opts)
	defer e.Close()
	return serveHTTP(ctx, opts.Address, e)
}
