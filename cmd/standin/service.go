package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/standin/plain"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "serve a plain service that echoes its calls",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7600", Usage: "IP:port to serve on"},
			&cli.StringFlag{Name: "name", Value: "service", Usage: "service name in replies"},
			&cli.DurationFlag{Name: "work", Usage: "processing time of each call"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s := plain.New(plain.Options{Name: cmd.String("name"), Work: cmd.Duration("work")})
			return serveHTTP(ctx, cmd.String("listen"), s)
		},
	}
}
