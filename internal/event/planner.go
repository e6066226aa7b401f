package event

import "github.com/rs/zerolog"

// Events of the planner.
var (
	PlanWritten = Event{4001, "planWritten", zerolog.InfoLevel, "a plan was written; the line names the engines that change and why"}
)

var plannerEvents = []Event{PlanWritten}
