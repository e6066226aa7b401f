package fighollow

import "time"

// ShareRequest describes a request of a workspace for a service with engines when it is placed for the first time.
type ShareRequest struct {
	Service   string
	Workspace string
	ID        string        // of the request; a retry by the caller has a new one
	Rank      int           // from 0 for the most urgent
	Work      time.Duration // expected engine time
	// Late reports that the request is refused as too late, or expected to miss its latency target by more than the target itself.
	Late bool
	// Wait is for how long the request is expected to wait for other work at its engine, relative to its latency target; 0 without one.
	Wait float64
	// Refused reports that placement has refused the request, which is then only counted.
	Refused bool
}

// ShareDecision is whether a request is within its workspace's share of the engines.
type ShareDecision struct {
	Admitted   bool
	RetryAfter time.Duration // if it is not admitted
}

// SharePreview is what a SharePolicy would decide on a request.
type SharePreview struct {
	ShareDecision
	Scarce   bool    // the service does not suffice for all workspaces
	Fraction float64 // of the workspace's requests that are admitted
}

// SharePolicy divides engine time among workspaces. Implementations are safe for concurrent use.
type SharePolicy interface {
	// Decide counts a request and decides on it. It must be called at most once for each request.
	Decide(now time.Time, r ShareRequest) ShareDecision
	// Preview returns what Decide would return, and changes nothing.
	Preview(now time.Time, r ShareRequest) SharePreview
	// Computed records that an engine computed the prompt of an admitted request, and how long after it was sent. Decide corrects by that
	// the engine time that later requests of the workspace state.
	Computed(now time.Time, r ShareRequest, took time.Duration)
}
