package fighollow

// Preset is an operating mode of the fleet, chosen by an operator.
type Preset struct {
	Name string `json:"name"`
	// Models lists the models to serve; a model that is not listed loses its engines.
	Models []PresetModel `json:"models"`
	Policy Policy        `json:"policy"`
}

// PresetModel specifies how a preset serves one model.
type PresetModel struct {
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters,omitempty"`
	// MinEngines is the number of engines that the model keeps regardless of its demand; at least 1.
	MinEngines int `json:"minEngines"`
	// MaxEngines is the maximum number of the model's engines; 0 means no bound.
	MaxEngines int `json:"maxEngines,omitempty"`
	// PrefillShare is the initial share of prefill engines among the model's engines, from 0 to 1. If it is 0 and
	// Disaggregated is false, all engines have role both.
	PrefillShare float64 `json:"prefillShare"`
	// Disaggregated splits the model's engines into prefill and decode engines.
	Disaggregated bool `json:"disaggregated"`
}

// Policy is the trade-off between goodput and role changes.
type Policy struct {
	// RoleChangeWeight multiplies the cost of a role change; 0 means 1. A higher value leads to fewer changes.
	RoleChangeWeight float64 `json:"roleChangeWeight"`
	// MinDwellMs is the minimum time for which an engine keeps a role, in milliseconds; 0 means 60,000.
	MinDwellMs int64 `json:"minDwellMs"`
	// HorizonMs is the time within which the gain of a change must exceed its cost, in milliseconds; 0 means 300,000.
	HorizonMs int64 `json:"horizonMs"`
	// MaxChangesPerDataCentre is the maximum number of engines that change at once in a data centre; 0 means 1.
	MaxChangesPerDataCentre int `json:"maxChangesPerDataCentre"`
	// MaxChangesPerModel is the maximum number of engines of one model that change at once; 0 means 1.
	MaxChangesPerModel int `json:"maxChangesPerModel"`
}

// InForce is the value of the object of KindInForce, which holds the preset in force. It contains the whole preset, so
// that a process never combines the operator's choice with another version of the preset.
type InForce struct {
	Preset   Preset `json:"preset"`
	ChosenBy string `json:"chosenBy"` // operator
	ChosenMs int64  `json:"chosenMs"` // Unix milliseconds
	WriteID  string `json:"writeId"`  // unique per write; identifies the writer's own write after a lost response
}

// Plan is the value of an object of KindPlan: the assignments of the engines of one data centre.
type Plan struct {
	// Revision grows by one with every conditional update and is the source of fencing tokens.
	Revision uint64 `json:"revision"`
	// Preset is the name of the preset that the plan was made for, and PresetVersion the version of its object.
	Preset        string                `json:"preset"`
	PresetVersion uint64                `json:"presetVersion"`
	Engines       map[string]Assignment `json:"engines"` // by engine id
	WriteID       string                `json:"writeId"` // as in InForce
}

// DrainAction is an operator's action on one engine.
type DrainAction string

// Actions of an operator on one engine.
const (
	ActionDrain    DrainAction = "drain"    // accepts no new work until restored
	ActionReplace  DrainAction = "replace"  // drains; its successor in the same slot returns to service
	ActionWithdraw DrainAction = "withdraw" // drains and leaves the fleet
)

// Drain is the value of an object of KindDrain, an operator's request about one engine. An engine without such an
// object is in service.
type Drain struct {
	Action  DrainAction `json:"action"`
	By      string      `json:"by"`      // operator
	AtMs    int64       `json:"atMs"`    // time of the request, Unix milliseconds
	WriteID string      `json:"writeId"` // as in InForce
	// Incarnation ends ActionReplace: an engine process that started after this time (Unix milliseconds) is the successor
	// and in service. The operator's commands set it to the time of the request.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// PlannerLease is the value of an object of KindPlannerLease, which names the process that plans for a region. It only
// avoids duplicate work; plans stay consistent without it because they are written conditionally.
type PlannerLease struct {
	Holder  string `json:"holder"`  // process id
	Renewal uint64 `json:"renewal"` // grows with each renewal
	WriteID string `json:"writeId"` // as in InForce
}
