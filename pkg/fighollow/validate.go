package fighollow

import "fmt"

// Validate checks a preset. Its errors wrap ErrInvalid and name the field.
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
	return checkNotNegative(object,
		numericField{"policy.roleChangeWeight", p.RoleChangeWeight},
		numericField{"policy.minDwellMs", float64(p.MinDwellMs)},
		numericField{"policy.horizonMs", float64(p.HorizonMs)},
		numericField{"policy.maxChangesPerDataCentre", float64(p.MaxChangesPerDataCentre)},
		numericField{"policy.maxChangesPerModel", float64(p.MaxChangesPerModel)},
	)
}

// Validate checks a workspace. Its errors wrap ErrInvalid and name the field.
func (w Workspace) Validate() error {
	if w.Name == "" {
		return invalid("workspace", "name", "is missing or empty")
	}
	object := "workspace " + w.Name
	if w.Key == "" {
		return invalid(object, "key", "is missing or empty")
	}
	return checkNotNegative(object,
		numericField{"requestsPerSecond", w.RequestsPerSecond},
		numericField{"burst", float64(w.Burst)},
		numericField{"maxConcurrent", float64(w.MaxConcurrent)},
		numericField{"worth", w.Worth},
		numericField{"deadlineMs", float64(w.DeadlineMs)},
	)
}

// Validate checks a model. Its errors wrap ErrInvalid and name the field.
func (m Model) Validate() error {
	if m.Name == "" {
		return invalid("model", "name", "is missing or empty")
	}
	return checkNotNegative("model "+m.Name,
		numericField{"bytesPerToken", m.BytesPerToken},
		numericField{"maxOutputTokens", float64(m.MaxOutputTokens)},
		numericField{"prefillTokensPerSecond", m.PrefillTokensPerSecond},
		numericField{"decodeTokensPerSecond", m.DecodeTokensPerSecond},
		numericField{"loadMs", float64(m.LoadMs)},
	)
}

// Validate checks a plain service. Its errors wrap ErrInvalid and name the field.
func (s Service) Validate() error {
	if s.Name == "" {
		return invalid("service", "name", "is missing or empty")
	}
	return checkNotNegative("service "+s.Name, numericField{"deadlineMs", float64(s.DeadlineMs)})
}

// numericField is the value of a numeric field and its JSON path.
type numericField struct {
	path  string
	value float64
}

func checkNotNegative(object string, fields ...numericField) error {
	for _, f := range fields {
		if f.value < 0 {
			return invalid(object, f.path, "%v is negative", f.value)
		}
	}
	return nil
}

func invalid(object, field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: field %s: %s", ErrInvalid, object, field, fmt.Sprintf(format, args...))
}
