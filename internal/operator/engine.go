package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fighollow/fighollow/internal/record"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// EngineStatus is the state of an engine in the stored objects.
type EngineStatus struct {
	Instance   fighollow.Instance    `json:"instance"`
	Assignment *fighollow.Assignment `json:"assignment,omitempty"` // from the plan; nil if no plan has the engine
	Drain      *fighollow.Drain      `json:"drain,omitempty"`      // nil if the engine is in service
}

// Engines returns all engines, ordered by id.
func (o *Operator) Engines(ctx context.Context) ([]EngineStatus, error) {
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
	var engines []EngineStatus
	for _, in := range instances {
		if in.Kind != fighollow.UpstreamEngine {
			continue
		}
		e := EngineStatus{Instance: in}
		if a, ok := assigned[in.ID]; ok {
			e.Assignment = &a
		}
		if d, ok := drains[in.ID]; ok {
			e.Drain = &d
		}
		engines = append(engines, e)
	}
	return engines, nil
}

// Drain requests that an engine is drained, replaced or withdrawn. A second request replaces the first. Errors:
// ErrNoSuchEngine, ErrConflict if another operator changes the engine at the same time, those of the store.
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
	return o.wrapConflict(err, engine)
}

// Restore puts an engine back in service. It does nothing if the engine is in service. The errors are those of Drain.
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
	return o.wrapConflict(err, engine)
}

// wrapConflict describes a conflict on an engine as ErrConflict and returns any other error unchanged.
func (o *Operator) wrapConflict(err error, engine string) error {
	if isConflict(err) {
		return fmt.Errorf("%w: engine %s was changed at the same time; list it and try again", ErrConflict, engine)
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
