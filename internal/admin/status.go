package admin

import (
	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/settings"
)

// Status is what one process knows. Two processes can differ for as long as a change takes to spread.
type Status struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	State      string `json:"state"` // as /readyz
	// Preset is the name of the preset in force as this process knows it, and PresetVersion the version of the choice;
	// 0 before it knows one. The version never goes back.
	Preset        string `json:"preset"`
	PresetVersion uint64 `json:"presetVersion"`
	// HighestVersion is the newest version of any object that the process holds.
	HighestVersion uint64         `json:"highestVersion"`
	Members        []MemberStatus `json:"members"`
}

// MemberStatus is what the process knows of one process of its data centre.
type MemberStatus struct {
	ID    string           `json:"id"`
	Kind  string           `json:"kind"`
	State membership.State `json:"state"`
	Role  string           `json:"role,omitempty"`
	Model string           `json:"model,omitempty"`
}

// NewStatus returns the view of a process from its catalog and its members.
func NewStatus(cfg settings.Process, state string, cat *catalog.Catalog, members []membership.Member) Status {
	s := Status{
		ID: cfg.ID, DataCentre: cfg.DataCentre, Region: cfg.Region, State: state,
		HighestVersion: cat.Digest().Highest, Members: make([]MemberStatus, 0, len(members)),
	}
	if f, version, err := cat.InForce(); err == nil {
		s.Preset, s.PresetVersion = f.Preset.Name, version
	}
	for _, m := range members {
		s.Members = append(s.Members, MemberStatus{
			ID: m.ID, Kind: string(m.Kind), State: m.State, Role: string(m.Role), Model: m.Model,
		})
	}
	return s
}
