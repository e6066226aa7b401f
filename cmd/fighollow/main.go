// Command fighollow runs the processes of the serving system and the operators' commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{Name: "fighollow", Usage: "serve language models", Commands: []*cli.Command{sidecarCommand()}}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fighollow:", err)
		os.Exit(1)
	}
}
