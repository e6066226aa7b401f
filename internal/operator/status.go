package operator

import (
	"context"
	"errors"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Status is the state of the fleet in the stored objects.
type Status struct {
	InForce   *fighollow.InForce   `json:"inForce,omitempty"` // nil if no preset has been put in force
	Version   uint64               `json:"version"`           // of the object that holds the preset in force; 0 if there is none
	Engines   []EngineStatus       `json:"engines"`
	Instances []fighollow.Instance `json:"instances"` // entries and plain services
}

// Status returns the preset in force and the state of all engines and other instances.
func (o *Operator) Status(ctx context.Context) (Status, error) {
	var s Status
	f, version, err := o.InForce(ctx)
	switch {
	case err == nil:
		s.InForce, s.Version = &f, version
	case !errors.Is(err, ErrNoPresetInForce):
		return s, err
	}
	if s.Engines, err = o.Engines(ctx); err != nil {
		return s, err
	}
	all, err := o.instances(ctx)
	if err != nil {
		return s, err
	}
	for _, in := range all {
		if in.Kind != fighollow.UpstreamEngine {
			s.Instances = append(s.Instances, in)
		}
	}
	return s, nil
}
