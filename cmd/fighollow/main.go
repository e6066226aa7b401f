// Command fighollow runs the processes of the serving system and executes operators' commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is set with -ldflags in releases.
var version = "dev"

func main() {
	app := &cli.Command{
		Name:    "fighollow",
		Usage:   "serve language models on a fixed fleet of engines",
		Version: version,
		Commands: []*cli.Command{
			entryCommand(), sidecarCommand(), gatewayCommand(),
			presetCommand(), engineCommand(), objectCommand(), statusCommand(), configCommand(), keyCommand(), logsCommand(), explainCommand(), emulateCommand(), emulateLimitsCommand(), versionCommand(),
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fighollow:", err)
		os.Exit(1)
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "fighollow", version)
			return err
		},
	}
}
