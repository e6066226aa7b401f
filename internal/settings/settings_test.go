package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/settings"
)

const entryFile = `{"id": "entry-1", "dataCentre": "hall-a", "region": "midlands", "link": "127.0.0.1:7001",
	"admin": "127.0.0.1:7002", "objectApi": "127.0.0.1:7000", "http": "127.0.0.1:7003"}`

const sidecarFile = `{"id": "engine-1", "dataCentre": "hall-a", "region": "midlands", "link": "127.0.0.1:7001",
	"admin": "127.0.0.1:7002", "objectApi": "127.0.0.1:7000", "upstream": {"kind": "engine", "address": "127.0.0.1:7004"}}`

func writeFile(t *testing.T, content string) string {
	file := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
	return file
}

// Guards against a default that is not set, so that a process would start with a limit of zero.
func TestDefaultsAreFilledIn(t *testing.T) {
	e, err := settings.ReadEntry(writeFile(t, entryFile))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.MaxBodyBytes, qt.Equals, settings.DefaultMaxBodyBytes)
	qt.Assert(t, e.LogLevel, qt.Equals, "info")
	s, err := settings.ReadSidecar(writeFile(t, sidecarFile))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.ResumeWindowMs, qt.Equals, int64(settings.DefaultResumeWindowMs))
}

// Guards against an invalid settings file that is accepted, and against an error that does not name the file and the field.
func TestFaultsNameFileAndField(t *testing.T) {
	for _, c := range []struct{ name, old, new, field string }{
		{"unknown field", `"http"`, `"colour": 1, "http"`, "colour"},
		{"wrong type", `"hall-a"`, `7`, "dataCentre"},
		{"wrong unit", `"http"`, `"keyHorizonMs": 15, "http"`, "keyHorizonMs"},
		{"unit as text", `"http"`, `"keyHorizonMs": "15m", "http"`, "keyHorizonMs"},
		{"missing id", `"entry-1"`, `""`, "id"},
		{"host name", `127.0.0.1:7003`, `localhost:7003`, "http"},
		{"no port", `127.0.0.1:7003`, `127.0.0.1`, "http"},
		{"port zero", `127.0.0.1:7003`, `127.0.0.1:0`, "http"},
		{"same address twice", `127.0.0.1:7003`, `127.0.0.1:7001`, "link"},
		{"peer twice", `"http"`, `"peers": ["127.0.0.1:1", "127.0.0.1:1"], "http"`, "peers[1]"},
		{"body above frame", `"http"`, `"maxBodyBytes": 5000000, "http"`, "maxBodyBytes"},
		{"unspecified link", `127.0.0.1:7001`, `0.0.0.0:7001`, "link"},
		{"log level", `"http"`, `"logLevel": "loud", "http"`, "logLevel"},
		{"data after the value", `7003"}`, `7003"} {}`, "after the JSON value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := writeFile(t, strings.Replace(entryFile, c.old, c.new, 1))
			_, err := settings.ReadEntry(file)
			qt.Assert(t, err, qt.ErrorIs, settings.ErrInvalid)
			qt.Assert(t, err.Error(), qt.Contains, file)
			qt.Assert(t, err.Error(), qt.Contains, c.field)
		})
	}
}

// Guards against a sidecar that starts with an invalid upstream.
func TestSidecarFaults(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`"kind": "engine"`, `"kind": "motor"`, "upstream.kind"},
		{`"kind": "engine"`, `"kind": "service"`, "upstream.service"},
		{`"kind": "engine"`, `"kind": "engine", "service": "x"`, "upstream.service"},
	} {
		_, err := settings.ReadSidecar(writeFile(t, strings.Replace(sidecarFile, c.old, c.new, 1)))
		qt.Assert(t, err, qt.ErrorIs, settings.ErrInvalid)
		qt.Assert(t, err.Error(), qt.Contains, c.field)
	}
}
