package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/entry"
	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/planner"
	"github.com/fighollow/fighollow/internal/settings"
)

// entryCommand runs an entry until SIGTERM or SIGINT begins its graceful stop.
func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "serve callers",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "JSON settings `FILE`"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runEntry(ctx, cmd.String("settings"))
		},
	}
}

func runEntry(ctx context.Context, file string) error {
	cfg, err := settings.ReadEntry(file)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(cfg.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("process", cfg.ID).Logger()
	store := objectapi.New(objectapi.Options{Address: cfg.ObjectAPI, Writer: cfg.ID})
	e, err := entry.New(cfg, store, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runner := planner.NewRunner(planner.Options{Holder: cfg.ID, Region: cfg.Region}, store, e.Catalog(), log)
	var wg sync.WaitGroup
	defer wg.Wait()
	// A stopping entry plans no more; another takes the lease.
	wg.Go(func() { _ = runner.Run(ctx) })
	return e.Run(ctx)
}
