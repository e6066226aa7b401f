package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/internal/sidecar"
)

// sidecarCommand runs a sidecar until SIGTERM or SIGINT begins its graceful stop.
func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "serve one upstream",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "JSON settings `FILE`"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runSidecar(ctx, cmd.String("settings"))
		},
	}
}

func runSidecar(ctx context.Context, file string) error {
	cfg, err := settings.ReadSidecar(file)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(cfg.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	s, err := sidecar.New(cfg, objectapi.New(objectapi.Options{Address: cfg.ObjectAPI, Writer: cfg.ID}), log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return s.Run(ctx)
}
