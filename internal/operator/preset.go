package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// storedPreset is the value of a preset object. The write id identifies the writer's own write after a lost response.
type storedPreset struct {
	fighollow.Preset
	WriteID string `json:"writeId"`
}

// PutPreset creates or replaces a preset and returns its version. The preset in force is a copy, so that replacing the
// original has no effect until UsePreset is called again. Errors: fighollow.ErrInvalid, ErrConflict, those of the store.
func (o *Operator) PutPreset(ctx context.Context, p fighollow.Preset) (uint64, error) {
	if err := p.Validate(); err != nil {
		return 0, err
	}
	var old storedPreset
	version, err := o.read(ctx, fighollow.KindPreset, p.Name, &old)
	if err != nil {
		return 0, err
	}
	version, err = o.write(ctx, fighollow.KindPreset, p.Name, storedPreset{Preset: p, WriteID: newWriteID()}, version)
	if isConflict(err) {
		return 0, fmt.Errorf("%w: preset %s was changed at the same time; show it and try again", ErrConflict, p.Name)
	}
	return version, err
}

// Presets returns all presets, ordered by name.
func (o *Operator) Presets(ctx context.Context) ([]fighollow.Preset, error) {
	objects, _, err := o.store.List(ctx, fighollow.KindPreset)
	if err != nil {
		return nil, fmt.Errorf("operator: list presets: %w", err)
	}
	presets := make([]fighollow.Preset, 0, len(objects))
	for _, obj := range objects {
		var p storedPreset
		if err := json.Unmarshal(obj.Value, &p); err != nil {
			return nil, fmt.Errorf("operator: decode preset %s: %w", obj.Name, err)
		}
		presets = append(presets, p.Preset)
	}
	return presets, nil
}

// Preset returns one preset and its version. Errors: ErrNoSuchPreset, those of the store.
func (o *Operator) Preset(ctx context.Context, name string) (fighollow.Preset, uint64, error) {
	var p storedPreset
	version, err := o.read(ctx, fighollow.KindPreset, name, &p)
	if err != nil {
		return fighollow.Preset{}, 0, err
	}
	if version == 0 {
		return fighollow.Preset{}, 0, fmt.Errorf("%w: %s", ErrNoSuchPreset, name)
	}
	return p.Preset, version, nil
}

// InForce returns the preset in force and the version of its object. Errors: ErrNoPresetInForce, those of the store.
func (o *Operator) InForce(ctx context.Context) (fighollow.InForce, uint64, error) {
	var f fighollow.InForce
	version, err := o.read(ctx, fighollow.KindInForce, fighollow.InForceName, &f)
	if err != nil {
		return f, 0, err
	}
	if version == 0 {
		return f, 0, ErrNoPresetInForce
	}
	return f, version, nil
}

// UsePreset puts a preset in force if the object of the preset in force still has the version expected, which is 0 if no
// preset was in force. It returns the new version. Errors: ErrNoSuchPreset, ErrConflict if another preset was put in force
// first, those of the store.
func (o *Operator) UsePreset(ctx context.Context, now time.Time, name string, expected uint64) (uint64, error) {
	p, _, err := o.Preset(ctx, name)
	if err != nil {
		return 0, err
	}
	f := fighollow.InForce{Preset: p, ChosenBy: o.by, ChosenMs: now.UnixMilli(), WriteID: newWriteID()}
	version, err := o.write(ctx, fighollow.KindInForce, fighollow.InForceName, f, expected)
	if isConflict(err) {
		return 0, o.choiceConflict(ctx, name)
	}
	return version, err
}

// choiceConflict returns an ErrConflict that names the preset in force and who chose it.
func (o *Operator) choiceConflict(ctx context.Context, name string) error {
	inForce, version, err := o.InForce(ctx)
	if err != nil {
		return fmt.Errorf("%w: preset %s was not put in force, and the preset in force cannot be read: %w", ErrConflict, name, err)
	}
	return fmt.Errorf("%w: preset %s is in force, chosen by %s (version %d); %s was not put in force",
		ErrConflict, inForce.Preset.Name, inForce.ChosenBy, version, name)
}
