package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/entry"
	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/ledger"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/region"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// entryCommand runs an entry until SIGTERM or SIGINT, which start its graceful stop.
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
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	control, keys, err := setUpControl(cfg, store, e, log)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	// A stopping entry stops planning at once, and another entry takes over the planner's lease.
	wg.Go(func() { control.Run(ctx) })
	wg.Go(func() { _ = keys.Run(ctx) })
	err = e.Run(ctx)
	cancel() // stops the background work even if the entry could not start, for example because an address is in use
	wg.Wait()
	handOverKeys(keys, log)
	return err
}

// setUpControl creates the entry's part of the region's control plane and its ledger, and registers their handlers with
// the entry.
func setUpControl(cfg settings.Entry, store fighollow.ObjectStore, e *entry.Entry, log zerolog.Logger,
) (*region.Controller, *ledger.Ledger, error) {
	opts := link.Options{MaxFrame: cfg.MaxFrameBytes}
	if cfg.TLS != nil {
		var err error
		if opts.TLS, err = link.LoadTLS(cfg.TLS.Certificate, cfg.TLS.Key, cfg.TLS.Authority); err != nil {
			return nil, nil, err
		}
	}
	self := e.Hello()
	control := region.New(region.Options{
		Self: self, Link: opts, KeyHorizon: time.Duration(cfg.KeyHorizonMs) * time.Millisecond, Members: e.Node().Members,
	}, store, e.Catalog(), log)
	keys := ledger.New(ledger.Options{Link: opts}, self, store, e.Catalog(), e.Node().Members, log)
	e.SetKeyLedger(keys)
	e.SetLedgerHandler(keys.ServeAsk)
	e.SetDemandHandler(control.HandleTell)
	return control, keys, nil
}

// keyHandoverTimeout limits the handover of idempotency keys at the end of a graceful stop, when no request is open. Keys
// that are not handed over are refused as unknown afterwards.
const keyHandoverTimeout = 10 * time.Second

func handOverKeys(keys *ledger.Ledger, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), keyHandoverTimeout)
	defer cancel()
	if err := keys.Stop(ctx); err != nil {
		event.KeysNotHandedOver.Log(&log).Err(err).Send()
	}
}
