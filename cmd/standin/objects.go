package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func objectsCommand() *cli.Command {
	return &cli.Command{
		Name:  "objects",
		Usage: "serve the object API from memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7400", Usage: "IP:port to serve on"},
			&cli.StringFlag{Name: "load", Usage: "JSON `FILE` with a list of initial objects {kind, name, value}"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s := objects.New(objects.Options{})
			if err := loadObjects(s, cmd.String("load")); err != nil {
				return err
			}
			return serveHTTP(ctx, cmd.String("listen"), s)
		},
	}
}

func loadObjects(s *objects.Server, file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var list []fighollow.Object
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if err := s.Load(list); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// serveHTTP serves h on addr until ctx ends.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	srv := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
