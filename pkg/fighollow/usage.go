package fighollow

import (
	"context"
	"time"
)

// UsageRecorder counts the requests that upstreams began to run. Implementations are safe for concurrent use.
type UsageRecorder interface {
	// Begun counts one request of a workspace that began at a time of this process's clock. It must be called at most once for each
	// request.
	Begun(at time.Time, workspace string)
}

// UsageReport is the number of requests of each workspace that upstreams began to run in one window of true time.
type UsageReport struct {
	Window int64            // number of the window since the start of 1970
	Counts map[string]int64 // by workspace, without those that had none
}

// UsageAPI takes usage reports. Implementations are safe for concurrent use.
type UsageAPI interface {
	// ReportUsage sends a report on behalf of the holder of a lease with its fencing token. The API ignores an exact repeat; a second
	// report for a window with other counts must never be sent. Errors: ErrUnavailable (not accepted, or not now), ErrInvalid (refused
	// for good) and ErrUnknownOutcome (it may have been accepted).
	ReportUsage(ctx context.Context, holder string, fence uint64, r UsageReport) error
}

// UsageReportsName is the name of the only object of KindUsageReports.
const UsageReportsName = "current"
