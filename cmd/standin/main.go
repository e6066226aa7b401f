// Command standin runs stand-ins for the platform, for tests and the local quick start: the object API, an inference engine, a
// plain service and a load generator.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:     "standin",
		Usage:    "run stand-ins for the platform",
		Commands: []*cli.Command{objectsCommand(), engineCommand(), serviceCommand(), loadCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
