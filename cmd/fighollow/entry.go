package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/entry"
	"github.com/fighollow/fighollow/internal/objectapi"
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
	e, err := entry.New(cfg, objectapi.New(objectapi.Options{Address: cfg.ObjectAPI, Writer: cfg.ID}), log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx)
}
