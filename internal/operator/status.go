package operator

import (
	"context"
	"errors"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Status is an overview of the fleet from the objects.
type Status struct {
	InForce   *fighollow.InForce   `json:"inForce,omitempty"` // nil before the first choice
	Version   uint64               `json:"version"`           // of the choice
	Engines   []EngineRow          `json:"engines"`
	Instances []fighollow.Instance `json:"instances"` // entries and plain services
}

// Status returns an overview of the fleet.
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
