package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/platform/standin"
)

// Guards against preset commands that do not work with the users' platform's store in place of an object API, that replace
// a choice other than the expected one, or that accept both addresses or none.
func TestPresetsInThePlatformsStore(t *testing.T) {
	server := httptest.NewServer(standin.NewStore())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		app := &cli.Command{Name: "fighollow", Writer: &out, Commands: []*cli.Command{presetCommand()}, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
		err := app.Run(context.Background(), append([]string{"fighollow", "preset"}, args...))
		return out.String(), err
	}
	file := filepath.Join(t.TempDir(), "calm.json")
	preset := `{"name": "calm", "models": [{"model": "m", "modelVersion": "1", "minEngines": 1}], "policy": {"roleChangeWeight": 3}}`
	qt.Assert(t, os.WriteFile(file, []byte(preset), 0o600), qt.IsNil)
	_, err := run("put", "--platform-store", address, file)
	qt.Assert(t, err, qt.IsNil)
	_, err = run("use", "--platform-store", address, "--by", "ana", "calm")
	qt.Assert(t, err, qt.IsNil)
	list, err := run("list", "--platform-store", address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list, qt.Contains, "calm")
	_, err = run("use", "--platform-store", address, "--expect", "1", "calm")
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("another choice is in force"))
	_, err = run("list")
	qt.Assert(t, err, qt.ErrorIs, errUsage)
	_, err = run("list", "--platform-store", address, "--object-api", address)
	qt.Assert(t, err, qt.ErrorIs, errUsage)
}
