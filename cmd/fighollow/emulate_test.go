package main

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

func emulate(args ...string) (string, error) {
	var out bytes.Buffer
	app := &cli.Command{Name: "fighollow", Writer: &out, Commands: []*cli.Command{emulateCommand()}, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := app.Run(context.Background(), append([]string{"fighollow", "emulate", "--duration", "2s", "--seeds", "2"}, args...))
	return out.String(), err
}

func TestEmulateComparesPolicies(t *testing.T) {
	table, err := emulate()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Count(table, "\n"), qt.Equals, 6)
	again, err := emulate()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.Equals, table)

	csv, err := emulate("--format", "csv", "--policy", "all", "--faults")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Count(csv, "\nall,"), qt.Equals, 2)

	data, err := emulate("--format", "json", "--policy", "all", "--load", "3")
	qt.Assert(t, err, qt.IsNil)
	var rows []runRow
	qt.Assert(t, json.Unmarshal([]byte(data), &rows), qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 2)
	qt.Assert(t, rows[0].TokensRead > 0, qt.IsTrue)
}

func TestEmulateRefusesInvalidFlags(t *testing.T) {
	for _, args := range [][]string{{"--policy", "none"}, {"--format", "xml"}, {"--engines", "1"}, {"--load", "0"}} {
		_, err := emulate(args...)
		qt.Assert(t, err, qt.ErrorMatches, "emulate: .*", qt.Commentf("%v", args))
	}
}
