package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/operator"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/pkg/fighollow"
	"github.com/fighollow/fighollow/platform"
)

// errUsage means that a command has a wrong number of arguments, or that its arguments or flags do not fit together.
var errUsage = errors.New("wrong arguments")

const commandTimeout = 30 * time.Second

// operatorFlags returns the flags of all commands that use the object API or the platform's store, followed by extra.
func operatorFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "object-api", Usage: "IP:port of the object API",
			Sources: cli.EnvVars("FIGHOLLOW_OBJECT_API"),
		},
		&cli.StringFlag{
			Name: "platform-store", Usage: "IP:port of the users' platform's store, instead of --object-api; for presets only",
			Sources: cli.EnvVars("FIGHOLLOW_PLATFORM_STORE"),
		},
		&cli.StringFlag{
			Name: "by", Usage: "name of the operator, stored with each change and shown to other operators",
			Sources: cli.EnvVars("FIGHOLLOW_OPERATOR", "USER"), Value: "unknown",
		},
	}, extra...)
}

// operatorAction executes a command with an Operator for the store and person that the flags name.
type operatorAction func(ctx context.Context, c *cli.Command, o *operator.Operator, args []string) error

// withOperator returns an action that checks for n arguments and calls action with an Operator and a timeout.
func withOperator(n int, action operatorAction) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		args := c.Args().Slice()
		if len(args) != n {
			return fmt.Errorf("%w: %s takes %d argument(s), got %d (see --help)", errUsage, c.FullName(), n, len(args))
		}
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		store, err := operatorStore(c)
		if err != nil {
			return err
		}
		return action(ctx, c, operator.New(store, c.String("by")), args)
	}
}

// operatorStore returns a client of the store whose address is given by the flags. Exactly one of them must be set.
func operatorStore(c *cli.Command) (fighollow.ObjectStore, error) {
	api, store := c.String("object-api"), c.String("platform-store")
	switch {
	case api != "" && store != "":
		return nil, fmt.Errorf("%w: --object-api and --platform-store exclude each other", errUsage)
	case api != "":
		return objectapi.New(objectapi.Options{Address: api}), nil
	case store != "":
		return platform.NewStore(platform.StoreOptions{Address: store}, zerolog.Nop()), nil
	}
	return nil, fmt.Errorf("%w: --object-api or --platform-store is missing", errUsage)
}

func out(c *cli.Command) io.Writer { return c.Root().Writer }

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func presetCommand() *cli.Command {
	return &cli.Command{
		Name: "preset", Usage: "create presets and choose the one in force",
		Commands: []*cli.Command{
			{Name: "put", Usage: "create or replace a preset from a JSON file", ArgsUsage: "FILE", Flags: operatorFlags(), Action: withOperator(1, putPreset)},
			{Name: "list", Usage: "list presets", Flags: operatorFlags(), Action: withOperator(0, listPresets)},
			{Name: "show", Usage: "print a preset as JSON", ArgsUsage: "NAME", Flags: operatorFlags(), Action: withOperator(1, showPreset)},
			{
				Name: "use", Usage: "put a preset in force", ArgsUsage: "NAME", Action: withOperator(1, usePreset),
				Flags: operatorFlags(&cli.Uint64Flag{
					Name:  "expect",
					Usage: "version, as printed by status, that the preset in force must still have (default: the version that this command reads first)",
				}),
			},
		},
	}
}

func putPreset(ctx context.Context, c *cli.Command, o *operator.Operator, args []string) error {
	var p fighollow.Preset
	if err := readStrict(args[0], &p); err != nil {
		return err
	}
	version, err := o.PutPreset(ctx, p)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out(c), "preset %s stored, version %d\n", p.Name, version)
	return err
}

// readStrict decodes a JSON file into v and rejects unknown fields.
func readStrict(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return settings.Decode(file, data, v)
}

func listPresets(ctx context.Context, c *cli.Command, o *operator.Operator, _ []string) error {
	presets, err := o.Presets(ctx)
	if err != nil {
		return err
	}
	inForce, _, err := o.InForce(ctx)
	if err != nil && !errors.Is(err, operator.ErrNoPresetInForce) {
		return err
	}
	for _, p := range presets {
		mark := " "
		if p.Name == inForce.Preset.Name {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out(c), "%s %s\n", mark, p.Name); err != nil {
			return err
		}
	}
	return nil
}

func showPreset(ctx context.Context, c *cli.Command, o *operator.Operator, args []string) error {
	p, _, err := o.Preset(ctx, args[0])
	if err != nil {
		return err
	}
	return printJSON(out(c), p)
}

func usePreset(ctx context.Context, c *cli.Command, o *operator.Operator, args []string) error {
	expected := c.Uint64("expect")
	if !c.IsSet("expect") {
		_, version, err := o.InForce(ctx)
		if err != nil && !errors.Is(err, operator.ErrNoPresetInForce) {
			return err
		}
		expected = version
	}
	version, err := o.UsePreset(ctx, time.Now(), args[0], expected)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out(c), "preset %s is in force, version %d\n", args[0], version)
	return err
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "list, drain, replace, withdraw and restore engines",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list engines", Flags: operatorFlags(), Action: withOperator(0, listEngines)},
			{Name: "drain", Usage: "send an engine no new work until it is restored", ArgsUsage: "ENGINE", Flags: operatorFlags(), Action: withOperator(1, drainAction(fighollow.ActionDrain))},
			{Name: "replace", Usage: "drain an engine until its successor in the slot has started", ArgsUsage: "ENGINE", Flags: operatorFlags(), Action: withOperator(1, drainAction(fighollow.ActionReplace))},
			{Name: "withdraw", Usage: "drain an engine and remove it from the plan", ArgsUsage: "ENGINE", Flags: operatorFlags(), Action: withOperator(1, drainAction(fighollow.ActionWithdraw))},
			{Name: "restore", Usage: "put an engine back in service", ArgsUsage: "ENGINE", Flags: operatorFlags(), Action: withOperator(1, restoreEngine)},
		},
	}
}

func drainAction(action fighollow.DrainAction) operatorAction {
	return func(ctx context.Context, c *cli.Command, o *operator.Operator, args []string) error {
		if err := o.Drain(ctx, time.Now(), args[0], action); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out(c), "engine %s: %s accepted\n", args[0], action)
		return err
	}
}

func restoreEngine(ctx context.Context, c *cli.Command, o *operator.Operator, args []string) error {
	if err := o.Restore(ctx, args[0]); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out(c), "engine %s: in service\n", args[0])
	return err
}

func listEngines(ctx context.Context, c *cli.Command, o *operator.Operator, _ []string) error {
	engines, err := o.Engines(ctx)
	if err != nil {
		return err
	}
	return printEngines(out(c), engines)
}

func printEngines(w io.Writer, engines []operator.EngineStatus) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ENGINE\tDATA CENTRE\tROLE\tMODEL\tVERSION\tFENCE\tOPERATOR")
	for _, e := range engines {
		a := fighollow.Assignment{}
		if e.Assignment != nil {
			a = *e.Assignment
		}
		state := "in service"
		if e.Drain != nil {
			state = fmt.Sprintf("%s by %s", e.Drain.Action, e.Drain.By)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", e.Instance.ID, e.Instance.DataCentre, a.Role, a.Model, a.ModelVersion, a.Fence, state)
	}
	return t.Flush()
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the preset in force and the fleet",
		Flags: operatorFlags(
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringSliceFlag{Name: "process", Usage: "admin IP:port of a process whose status is also printed; may be repeated"},
		),
		Action: withOperator(0, printStatus),
	}
}

func printStatus(ctx context.Context, c *cli.Command, o *operator.Operator, _ []string) error {
	s, err := o.Status(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(out(c), s)
	}
	if s.InForce == nil {
		fmt.Fprintln(out(c), "no preset is in force")
	} else {
		at := time.UnixMilli(s.InForce.ChosenMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(out(c), "preset in force: %s (version %d, chosen by %s at %s)\n", s.InForce.Preset.Name, s.Version, s.InForce.ChosenBy, at)
	}
	if err := printEngines(out(c), s.Engines); err != nil {
		return err
	}
	for _, in := range s.Instances {
		fmt.Fprintf(out(c), "%s %s in %s, link %s\n", in.Kind, in.ID, in.DataCentre, in.Link)
	}
	return printProcesses(ctx, out(c), c.StringSlice("process"))
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "idempotency keys",
		Commands: []*cli.Command{{
			Name: "new", Usage: "print a new key for the Idempotency-Key header",
			Action: func(_ context.Context, c *cli.Command) error {
				id, err := uuid.NewV7()
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(out(c), id)
				return err
			},
		}},
	}
}
