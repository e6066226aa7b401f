package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fighollow/fighollow/internal/record"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// EngineRow is what is known of one engine from the objects.
type EngineRow struct {
	Instance   fighollow.Instance    `json:"instance"`
	Assignment *fighollow.Assignment `json:"assignment,omitempty"` // as planned; nil before the first plan
	Drain      *fighollow.Drain      `json:"drain,omitempty"`      // nil while in service
}

// Engines returns all engines in the order of their ids.
func (o *Operator) Engines(ctx context.Context) ([]EngineRow, error) {
	instances, err := o.instances(ctx)
	if err != nil {
		return nil, err
	}
	assigned, err := o.assignments(ctx)
	if err != nil {
		return nil, err
	}
	drains, err := o.drains(ctx)
	if err != nil {
		return nil, err
	}
	var rows []EngineRow
	for _, in := range instances {
		if in.Kind != fighollow.UpstreamEngine {
			continue
		}
		row := EngineRow{Instance: in}
		if a, ok := assigned[in.ID]; ok {
			row.Assignment = &a
		}
		if d, ok := drains[in.ID]; ok {
			row.Drain = &d
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Drain asks for an engine to be drained, replaced or withdrawn. A second request replaces the first. Errors:
// ErrNoSuchEngine, ErrLostRace when another operator acts on the engine at the same time, those of the store.
func (o *Operator) Drain(ctx context.Context, now time.Time, engine string, action fighollow.DrainAction) error {
	if err := o.requireEngine(ctx, engine); err != nil {
		return err
	}
	var old fighollow.Drain
	version, err := o.read(ctx, fighollow.KindDrain, engine, &old)
	if err != nil {
		return err
	}
	d := fighollow.Drain{Action: action, By: o.by, AtMs: now.UnixMilli(), WriteID: newWriteID()}
	if action == fighollow.ActionReplace {
		d.Incarnation = d.AtMs
	}
	_, err = o.write(ctx, fighollow.KindDrain, engine, d, version)
	return o.engineRace(err, engine)
}

// Restore puts an engine back in service. Restoring an engine that is in service is no error.
func (o *Operator) Restore(ctx context.Context, engine string) error {
	if err := o.requireEngine(ctx, engine); err != nil {
		return err
	}
	var old fighollow.Drain
	version, err := o.read(ctx, fighollow.KindDrain, engine, &old)
	if err != nil || version == 0 {
		return err
	}
	_, err = record.Delete(ctx, o.store, fighollow.KindDrain, engine, version)
	return o.engineRace(err, engine)
}

func (o *Operator) engineRace(err error, engine string) error {
	if lostRace(err) {
		return fmt.Errorf("%w: engine %s was changed at the same time; list it and try again", ErrLostRace, engine)
	}
	return err
}

func (o *Operator) requireEngine(ctx context.Context, engine string) error {
	var in fighollow.Instance
	version, err := o.read(ctx, fighollow.KindInstance, engine, &in)
	if err != nil {
		return err
	}
	if version == 0 || in.Kind != fighollow.UpstreamEngine {
		return fmt.Errorf("%w: %s", ErrNoSuchEngine, engine)
	}
	return nil
}

func (o *Operator) instances(ctx context.Context) ([]fighollow.Instance, error) {
	objects, _, err := o.store.List(ctx, fighollow.KindInstance)
	if err != nil {
		return nil, fmt.Errorf("operator: list instances: %w", err)
	}
	instances := make([]fighollow.Instance, 0, len(objects))
	for _, obj := range objects {
		var in fighollow.Instance
		if err := json.Unmarshal(obj.Value, &in); err != nil {
			return nil, fmt.Errorf("operator: decode instance %s: %w", obj.Name, err)
		}
		instances = append(instances, in)
	}
	return instances, nil
}

func (o *Operator) assignments(ctx context.Context) (map[string]fighollow.Assignment, error) {
	objects, _, err := o.store.List(ctx, fighollow.KindPlan)
	if err != nil {
		return nil, fmt.Errorf("operator: list plans: %w", err)
	}
	assigned := make(map[string]fighollow.Assignment)
	for _, obj := range objects {
		var p fighollow.Plan
		if err := json.Unmarshal(obj.Value, &p); err != nil {
			return nil, fmt.Errorf("operator: decode plan %s: %w", obj.Name, err)
		}
		for engine, a := range p.Engines {
			assigned[engine] = a
		}
	}
	return assigned, nil
}

func (o *Operator) drains(ctx context.Context) (map[string]fighollow.Drain, error) {
	objects, _, err := o.store.List(ctx, fighollow.KindDrain)
	if err != nil {
		return nil, fmt.Errorf("operator: list drains: %w", err)
	}
	drains := make(map[string]fighollow.Drain)
	for _, obj := range objects {
		var d fighollow.Drain
		if err := json.Unmarshal(obj.Value, &d); err != nil {
			return nil, fmt.Errorf("operator: decode drain %s: %w", obj.Name, err)
		}
		drains[obj.Name] = d
	}
	return drains, nil
}
