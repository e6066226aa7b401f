package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/logging"
)

// logsCommand returns the command that reads log lines of processes.
func logsCommand() *cli.Command {
	return &cli.Command{
		Name:  "logs",
		Usage: "read the log lines of processes",
		Commands: []*cli.Command{{
			Name:      "explain",
			Usage:     "print what happened to one past request, across processes",
			ArgsUsage: "REQUEST-ID [FILE...]",
			Description: "Reads the files, or standard input if none is given. \"fighollow explain\" says where a request would be sent now.\n" +
				"Exits with status 1 if no line has the request's id.",
			Action: func(_ context.Context, cmd *cli.Command) error {
				if cmd.Args().Len() == 0 {
					return fmt.Errorf("logs explain: the request's id is missing")
				}
				return explain(cmd.Root().Writer, cmd.Args().First(), cmd.Args().Tail())
			},
		}},
	}
}

// explain prints the log lines of a request to w, read from files or, if there are none, from standard input.
func explain(w io.Writer, request string, files []string) error {
	var logs io.Reader = os.Stdin
	if len(files) > 0 {
		var readers []io.Reader
		for _, name := range files {
			f, err := os.Open(name)
			if err != nil {
				return fmt.Errorf("logs explain: %w", err)
			}
			defer func() { _ = f.Close() }() // the file was only read
			readers = append(readers, f)
		}
		logs = io.MultiReader(readers...)
	}
	n, err := logging.Explain(w, logs, request)
	if err == nil && n == 0 {
		err = fmt.Errorf("logs explain: no line has the request %s", request)
	}
	return err
}
