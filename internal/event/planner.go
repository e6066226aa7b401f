package event

import "github.com/rs/zerolog"

// Events of the planner.
var (
	PlanWritten     = Event{4001, "planWritten", zerolog.InfoLevel, "a plan was written; its changes and their reasons are in lines of enginePlaced"}
	EnginePlaced    = Event{4002, "enginePlaced", zerolog.InfoLevel, "an engine got another assignment; the line has the reason, and gain and cost in engine-seconds if they decided the change"}
	PlanNotWritten  = Event{4003, "planNotWritten", zerolog.WarnLevel, "a plan could not be written: there was a conflicting write, or the object API is down or did not answer; the planner tries again in its next step"}
	LeaseChanged    = Event{4004, "leaseChanged", zerolog.InfoLevel, "this process acquired or lost the planner lease of its region"}
	PresetBlocked   = Event{4005, "presetBlocked", zerolog.WarnLevel, "a change of the preset waits because it would remove a model's last engine; the line has the models"}
	ReportMalformed = Event{4006, "reportMalformed", zerolog.WarnLevel, "a demand report could not be decoded and was dropped; the sender may run another version"}
)

var plannerEvents = []Event{PlanWritten, EnginePlaced, PlanNotWritten, LeaseChanged, PresetBlocked, ReportMalformed}
