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
	return notNegative(object,
		amount{"policy.roleChangeWeight", p.RoleChangeWeight},
		amount{"policy.minDwellMs", float64(p.MinDwellMs)},
		amount{"policy.horizonMs", float64(p.HorizonMs)},
		amount{"policy.maxChangesPerDataCentre", float64(p.MaxChangesPerDataCentre)},
		amount{"policy.maxChangesPerModel", float64(p.MaxChangesPerModel)},
	)
}

// Validate checks a workspace. Its errors are ErrInvalid and name the field.
func (w Workspace) Validate() error {
	if w.Name == "" {
		return invalid("workspace", "name", "is missing or empty")
	}
	object := "workspace " + w.Name
	if w.Key == "" {
		return invalid(object, "key", "is missing or empty")
	}
	return notNegative(object,
		amount{"requestsPerSecond", w.RequestsPerSecond},
		amount{"burst", float64(w.Burst)},
		amount{"maxConcurrent", float64(w.MaxConcurrent)},
		amount{"worth", w.Worth},
		amount{"deadlineMs", float64(w.DeadlineMs)},
	)
}

// Validate checks a model. Its errors are ErrInvalid and name the field.
func (m Model) Validate() error {
	if m.Name == "" {
		return invalid("model", "name", "is missing or empty")
	}
	return notNegative("model "+m.Name,
		amount{"bytesPerToken", m.BytesPerToken},
		amount{"maxOutputTokens", float64(m.MaxOutputTokens)},
		amount{"prefillTokensPerSecond", m.PrefillTokensPerSecond},
		amount{"decodeTokensPerSecond", m.DecodeTokensPerSecond},
		amount{"loadMs", float64(m.LoadMs)},
	)
}

// Validate checks a plain service. Its errors are ErrInvalid and name the field.
func (s Service) Validate() error {
	if s.Name == "" {
		return invalid("service", "name", "is missing or empty")
	}
	return notNegative("service "+s.Name, amount{"deadlineMs", float64(s.DeadlineMs)})
}

// amount is a numeric field that must not be below 0.
type amount struct {
	field string
	value float64
}

func notNegative(object string, amounts ...amount) error {
	for _, a := range amounts {
		if a.value < 0 {
			return invalid(object, a.field, "%v is negative", a.value)
		}
	}
	return nil
}

func invalid(object, field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: field %s: %s", ErrInvalid, object, field, fmt.Sprintf(format, args...))
}
