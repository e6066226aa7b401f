package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/record"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "check settings files",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a settings or preset file without starting anything", ArgsUsage: "FILE",
			Flags: []cli.Flag{&cli.StringFlag{
				Name:  "kind",
				Usage: "entry, sidecar, preset, workspace, model or service (default: determined from the fields)",
			}},
			Action: checkConfig,
		}},
	}
}

func checkConfig(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fmt.Errorf("%w: config check takes one file", errUsage)
	}
	file := c.Args().First()
	kind := c.String("kind")
	if kind == "" {
		var err error
		if kind, err = detectKind(file); err != nil {
			return err
		}
	}
	if err := checkFile(kind, file); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out(c), "%s: valid %s file\n", file, kind)
	return err
}

// detectKind returns the kind of a file, determined by a field that only this kind has.
func detectKind(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return "", settings.Decode(file, data, &fields)
	}
	for _, d := range []struct{ field, kind string }{
		{"upstream", "sidecar"}, {"http", "entry"}, {"models", "preset"}, {"key", "workspace"}, {"loadMs", "model"}, {"nonIdempotentMethods", "service"},
	} {
		if _, ok := fields[d.field]; ok {
			return d.kind, nil
		}
	}
	return "", fmt.Errorf("%w: %s: cannot determine the kind of file; set it with --kind", settings.ErrInvalid, file)
}

// checkFile decodes and validates a file of a kind.
func checkFile(kind, file string) error {
	switch kind {
	case "entry":
		_, err := settings.ReadEntry(file)
		return err
	case "sidecar":
		_, err := settings.ReadSidecar(file)
		return err
	}
	_, _, err := readObject(fighollow.Kind(kind), file)
	return err
}

// readObject decodes and validates a file with the value of an object. It returns the object's name and value.
func readObject(kind fighollow.Kind, file string) (string, any, error) {
	switch kind {
	case fighollow.KindPreset:
		var p fighollow.Preset
		if err := readStrict(file, &p); err != nil {
			return "", nil, err
		}
		return p.Name, p, p.Validate()
	case fighollow.KindWorkspace:
		var w fighollow.Workspace
		if err := readStrict(file, &w); err != nil {
			return "", nil, err
		}
		return w.Name, w, w.Validate()
	case fighollow.KindModel:
		var m fighollow.Model
		if err := readStrict(file, &m); err != nil {
			return "", nil, err
		}
		return m.Name, m, m.Validate()
	case fighollow.KindService:
		var s fighollow.Service
		if err := readStrict(file, &s); err != nil {
			return "", nil, err
		}
		return s.Name, s, s.Validate()
	}
	return "", nil, fmt.Errorf("%w: kind %q is none of entry, sidecar, preset, workspace, model and service", settings.ErrInvalid, kind)
}

// objectCommand returns the command that stores workspaces, models and plain services. Presets have their own command.
func objectCommand() *cli.Command {
	return &cli.Command{
		Name: "object", Usage: "store workspaces, models and plain services",
		Commands: []*cli.Command{{
			Name: "put", Usage: "create or replace a workspace, model or service from a JSON file", ArgsUsage: "KIND FILE",
			Flags: operatorFlags(), Action: putObject,
		}},
	}
}

func putObject(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return fmt.Errorf("%w: object put takes a kind and a file", errUsage)
	}
	kind := fighollow.Kind(c.Args().Get(0))
	if kind == fighollow.KindPreset {
		return fmt.Errorf("%w: presets are stored with preset put", errUsage)
	}
	name, value, err := readObject(kind, c.Args().Get(1))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	store, err := operatorStore(c)
	if err != nil {
		return err
	}
	version, err := storeObject(ctx, store, kind, name, value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out(c), "%s %s stored, version %d\n", kind, name, version)
	return err
}

// storeObject creates an object or replaces its current version, and returns the new version.
func storeObject(ctx context.Context, store fighollow.ObjectStore, kind fighollow.Kind, name string, value any) (uint64, error) {
	body, err := withWriteID(value)
	if err != nil {
		return 0, err
	}
	old, err := store.Get(ctx, kind, name)
	if err != nil && !errors.Is(err, fighollow.ErrNotFound) {
		return 0, err
	}
	return record.Put(ctx, store, fighollow.Object{Kind: kind, Name: name, Value: body}, old.Version)
}

// withWriteID encodes value with a unique writeId, by which record.Put determines the outcome of a write whose response
// was lost.
func withWriteID(value any) (json.RawMessage, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, err
	}
	if fields["writeId"], err = json.Marshal(uuid.NewString()); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
