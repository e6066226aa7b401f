package event

import "github.com/rs/zerolog"

// Events of the planner.
var (
	PlanWritten     = Event{4001, "planWritten", zerolog.InfoLevel, "a plan was written; lines of enginePlaced name what changes in it and why"}
	EnginePlaced    = Event{4002, "enginePlaced", zerolog.InfoLevel, "an engine got another assignment; the line names the reason, and gain and cost in engine-seconds where they decided"}
	PlanNotWritten  = Event{4003, "planNotWritten", zerolog.WarnLevel, "a plan could not be written: another write won, or the object API is down or did not answer; planning goes on at the next step"}
	LeaseChanged    = Event{4004, "leaseChanged", zerolog.InfoLevel, "this process took or lost the planner lease of its region"}
	PresetBlocked   = Event{4005, "presetBlocked", zerolog.WarnLevel, "a change of the preset waits because it would take a model's last engine; the line names the models"}
	ReportMalformed = Event{4006, "reportMalformed", zerolog.WarnLevel, "a demand report could not be decoded and was dropped; the sender may run another version"}
)

var plannerEvents = []Event{PlanWritten, EnginePlaced, PlanNotWritten, LeaseChanged, PresetBlocked, ReportMalformed}
