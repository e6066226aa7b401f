package fighollow

import "fmt"

// Validate checks a preset. Its errors are ErrInvalid and name the field.
func (p Preset) Validate() error {
	if p.Name == "" {
		return invalid("preset", "name", "is missing or empty")
	}
	if len(p.Models) == 0 {
		return invalid("preset "+p.Name, "models", "lists no model")
	}
	seen := make(map[string]bool)
	for i, m := range p.Models {
		field := fmt.Sprintf("models[%d]", i)
		if seen[m.Model] {
			return invalid("preset "+p.Name, field+".model", "%q is listed twice", m.Model)
		}
		seen[m.Model] = true
		if err := m.validate("preset "+p.Name, field); err != nil {
			return err
		}
	}
	return p.Policy.validate("preset " + p.Name)
}

func (m PresetModel) validate(object, field string) error {
	switch {
	case m.Model == "":
		return invalid(object, field+".model", "is missing or empty")
	case m.ModelVersion == "":
		return invalid(object, field+".modelVersion", "is missing or empty")
	case m.MinEngines < 1:
		return invalid(object, field+".minEngines", "%d is below 1", m.MinEngines)
	case m.MaxEngines != 0 && m.MaxEngines < m.MinEngines:
		return invalid(object, field+".maxEngines", "%d is below minEngines %d", m.MaxEngines, m.MinEngines)
	case m.PrefillShare < 0 || m.PrefillShare > 1:
		return invalid(object, field+".prefillShare", "%v is not between 0 and 1", m.PrefillShare)
	}
	return nil
}

func (p Policy) validate(object string) error {
	switch {
	case p.RoleChangeWeight < 0:
		return invalid(object, "policy.roleChangeWeight", "%v is negative", p.RoleChangeWeight)
	case p.MinDwellMs < 0:
		return invalid(object, "policy.minDwellMs", "%d is negative", p.MinDwellMs)
	case p.HorizonMs < 0:
		return invalid(object, "policy.horizonMs", "%d is negative", p.HorizonMs)
	case p.MaxChangesPerDataCentre < 0:
		return invalid(object, "policy.maxChangesPerDataCentre", "%d is negative", p.MaxChangesPerDataCentre)
	case p.MaxChangesPerModel < 0:
		return invalid(object, "policy.maxChangesPerModel", "%d is negative", p.MaxChangesPerModel)
	}
	return nil
}

// Validate checks a workspace. Its errors are ErrInvalid and name the field.
func (w Workspace) Validate() error {
	object := "workspace " + w.Name
	switch {
	case w.Name == "":
		return invalid("workspace", "name", "is missing or empty")
	case w.Key == "":
		return invalid(object, "key", "is missing or empty")
	case w.RequestsPerSecond < 0:
		return invalid(object, "requestsPerSecond", "%v is negative", w.RequestsPerSecond)
	case w.Burst < 0:
		return invalid(object, "burst", "%d is negative", w.Burst)
	case w.MaxConcurrent < 0:
		return invalid(object, "maxConcurrent", "%d is negative", w.MaxConcurrent)
	case w.Worth < 0:
		return invalid(object, "worth", "%v is negative", w.Worth)
	case w.DeadlineMs < 0:
		return invalid(object, "deadlineMs", "%d is negative", w.DeadlineMs)
	}
	return nil
}

// Validate checks a model. Its errors are ErrInvalid and name the field.
func (m Model) Validate() error {
	object := "model " + m.Name
	switch {
	case m.Name == "":
		return invalid("model", "name", "is missing or empty")
	case m.BytesPerToken < 0:
		return invalid(object, "bytesPerToken", "%v is negative", m.BytesPerToken)
	case m.MaxOutputTokens < 0:
		return invalid(object, "maxOutputTokens", "%d is negative", m.MaxOutputTokens)
	case m.PrefillTokensPerSecond < 0:
		return invalid(object, "prefillTokensPerSecond", "%v is negative", m.PrefillTokensPerSecond)
	case m.DecodeTokensPerSecond < 0:
		return invalid(object, "decodeTokensPerSecond", "%v is negative", m.DecodeTokensPerSecond)
	case m.LoadMs < 0:
		return invalid(object, "loadMs", "%d is negative", m.LoadMs)
	}
	return nil
}

// Validate checks a plain service. Its errors are ErrInvalid and name the field.
func (s Service) Validate() error {
	switch {
	case s.Name == "":
		return invalid("service", "name", "is missing or empty")
	case s.DeadlineMs < 0:
		return invalid("service "+s.Name, "deadlineMs", "%d is negative", s.DeadlineMs)
	}
	return nil
}

func invalid(object, field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: field %s: %s", ErrInvalid, object, field, fmt.Sprintf(format, args...))
}
