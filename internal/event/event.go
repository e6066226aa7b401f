// Package event defines the numbered log events of the system. docs/events.md is their catalogue.
//
// Numbers are never reused: 1000 entry, 2000 sidecar, 3000 membership and spread, 4000 planner, 5000 ledger,
// 6000 process and settings, 7000 links, 8000 gateway.
package event

import "github.com/rs/zerolog"

// Event is a kind of log line.
type Event struct {
	Number  int
	Name    string // camel case
	Level   zerolog.Level
	Meaning string // what happened and, if it needs attention, what to check
}

// Log starts a line with the level, number and name of e. The caller adds fields and ends the line with Send or Msg.
func (e Event) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// All returns every event, ordered by number.
func All() []Event {
	var all []Event
	for _, events := range [][]Event{entryEvents, sidecarEvents, spreadEvents, plannerEvents, ledgerEvents, processEvents, linkEvents, gatewayEvents} {
		all = append(all, events...)
	}
	return all
}
