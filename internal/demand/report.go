// Package demand estimates the demand for each model from reports of sidecars.
package demand

import "github.com/fighollow/fighollow/pkg/fighollow"

// ReportTopic is the topic of a Tell with a Report.
const ReportTopic = "demand.report"

// ReportIntervalMs is the time between two reports of a sidecar, in milliseconds.
const ReportIntervalMs = 5000

// Report is the message that a sidecar sends about its engine every ReportIntervalMs. Counts are totals since the sidecar
// started, so the next report makes up for a lost one.
type Report struct {
	Engine      string                `msgpack:"engine"`
	DataCentre  string                `msgpack:"dataCentre"`
	Incarnation int64                 `msgpack:"incarnation"` // of the sidecar, Unix ms
	State       fighollow.EngineState `msgpack:"state"`
	Load        fighollow.Load        `msgpack:"load"`
	Models      []ModelCount          `msgpack:"models"`
}

// ModelCount is the total work of one model, in tokens and requests.
type ModelCount struct {
	Model           string  `msgpack:"model"`
	PrefillTokens   int64   `msgpack:"prefillTokens"`   // prompt tokens computed, without those found in the cache
	DecodeTokens    int64   `msgpack:"decodeTokens"`    // tokens generated
	RefusedPrefill  int64   `msgpack:"refusedPrefill"`  // prompt tokens of refused requests
	RefusedDecode   int64   `msgpack:"refusedDecode"`   // output tokens that refused requests asked for
	Completed       int64   `msgpack:"completed"`       // requests
	CompletedWorth  float64 `msgpack:"completedWorth"`  // sum of the worth of completed requests
	RefusedRequests int64   `msgpack:"refusedRequests"` // requests
}
