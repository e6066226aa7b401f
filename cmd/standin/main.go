// Command standin runs small programs that take the platform's place in tests and in the local quick start.
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
		Usage:    "take the place of the platform",
		Commands: []*cli.Command{objectsCommand(), engineCommand(), serviceCommand(), loadCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
