package admin

import (
	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/settings"
)

// Status is one process's view of the fleet. The views of two processes can differ while a change is being distributed.
type Status struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	State      string `json:"state"` // as in /readyz
	// Preset is the name of the preset in force according to this process, and PresetVersion is the version of the object
	// that selects it, or 0 before the process has received one. The version never decreases.
	Preset        string `json:"preset"`
	PresetVersion uint64 `json:"presetVersion"`
	// HighestVersion is the highest version of any object in the process's catalog.
	HighestVersion uint64         `json:"highestVersion"`
	Members        []MemberStatus `json:"members"`
}

// MemberStatus is the process's view of one process in its data centre.
type MemberStatus struct {
	ID    string           `json:"id"`
	Kind  string           `json:"kind"`
	State membership.State `json:"state"`
	Role  string           `json:"role,omitempty"`
	Model string           `json:"model,omitempty"`
}

// NewStatus returns the status of a process, built from its catalog and its list of members.
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
