package fighollow

// Preset is an operating mode of the fleet, chosen by an operator.
type Preset struct {
	Name string `json:"name"`
	// Models lists what is to be served; a model that is not listed loses its engines.
	Models []PresetModel `json:"models"`
	Policy Policy        `json:"policy"`
}

// PresetModel says how one model is to be served under a preset.
type PresetModel struct {
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters,omitempty"`
	// MinEngines is the number of engines that the model keeps whatever its demand. At least 1.
	MinEngines int `json:"minEngines"`
	// MaxEngines bounds it from above; 0 means no bound.
	MaxEngines int `json:"maxEngines,omitempty"`
	// PrefillShare is the share of the model's engines that start as prefill engines, from 0 to 1. With 0 and
	// Disaggregated false all engines have role both.
	PrefillShare float64 `json:"prefillShare"`
	// Disaggregated splits the model's engines into prefill and decode roles.
	Disaggregated bool `json:"disaggregated"`
}

// Policy weighs goodput against role changes.
type Policy struct {
	// RoleChangeWeight multiplies the cost of a role change; 0 means 1. A higher value means fewer changes.
	RoleChangeWeight float64 `json:"roleChangeWeight"`
	// MinDwellMs is how long an engine keeps a role at least; 0 means 60,000.
	MinDwellMs int64 `json:"minDwellMs"`
	// HorizonMs is the time over which a change must pay; 0 means 300,000.
	HorizonMs int64 `json:"horizonMs"`
	// MaxChangesPerDataCentre bounds engines that change at once in a data centre; 0 means 1.
	MaxChangesPerDataCentre int `json:"maxChangesPerDataCentre"`
	// MaxChangesPerModel bounds engines of one model that change at once; 0 means 1.
	MaxChangesPerModel int `json:"maxChangesPerModel"`
}

// InForce is the value of the object that says which preset is in force. It holds the whole preset, so that a
// process never combines a choice with another version of the preset.
type InForce struct {
	Preset   Preset `json:"preset"`
	ChosenBy string `json:"chosenBy"`
	ChosenMs int64  `json:"chosenMs"`
	WriteID  string `json:"writeId"` // recognises one's own write after a lost answer
}

// Plan assigns the engines of one data centre.
type Plan struct {
	// Revision grows by one with every conditional update and is the source of fencing numbers.
	Revision uint64 `json:"revision"`
	// Preset is the name of the preset that the plan was made for, and PresetVersion the version of its object.
	Preset        string                `json:"preset"`
	PresetVersion uint64                `json:"presetVersion"`
	Engines       map[string]Assignment `json:"engines"` // by engine id
	WriteID       string                `json:"writeId"`
}

// DrainAction is what an operator asked for an engine.
type DrainAction string

// Actions of an operator on one engine.
const (
	ActionDrain    DrainAction = "drain"    // takes no new work until restored
	ActionReplace  DrainAction = "replace"  // drains; its successor in the same slot serves again
	ActionWithdraw DrainAction = "withdraw" // drains and leaves the fleet
)

// Drain is an operator's request about one engine. Without such an object the engine is in service.
type Drain struct {
	Action  DrainAction `json:"action"`
	By      string      `json:"by"`
	AtMs    int64       `json:"atMs"`
	WriteID string      `json:"writeId"`
	// Incarnation ends ActionReplace: an engine that started after this time (Unix milliseconds) is the successor and in
	// service. Operators' commands set it to the time of the request.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// PlannerLease names the process that plans for a region. It only saves wasted work; plan writes are conditional.
type PlannerLease struct {
	Holder  string `json:"holder"`
	Renewal uint64 `json:"renewal"` // grows with each renewal
	WriteID string `json:"writeId"`
}
