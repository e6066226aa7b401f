package soak

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

// Modes of the usage API, for FaultUsage.
const (
	usageUp   = "up"
	usageSlow = "slow" // accepts and answers after usageSlowTime
	usageDown = "down" // reads nothing and closes the connection
	usageBusy = "busy" // answers 429
	usageLose = "lose" // accepts and closes the connection
	usageLate = "late" // accepts at once and answers after usageLateTime
)

var usageModes = []string{usageSlow, usageDown, usageBusy, usageLose, usageLate}

const (
	usageSlowTime = 900 * time.Millisecond
	usageLateTime = 2 * time.Second // above the timeout of a call
)

// UsageServer is the platform's API for usage reports. It records each report that it has read.
type UsageServer struct {
	recorder *Recorder

	mu   sync.Mutex
	mode string
}

// NewUsageServer returns a server that accepts all reports.
func NewUsageServer(recorder *Recorder) *UsageServer {
	return &UsageServer{recorder: recorder, mode: usageUp}
}

// ServeHTTP implements http.Handler. A POST to /mode/MODE sets the mode.
func (s *UsageServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if mode, ok := strings.CutPrefix(r.URL.Path, "/mode/"); ok {
		s.mu.Lock()
		s.mode = mode
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	if mode == usageDown {
		panic(http.ErrAbortHandler)
	}
	standin.UsageHandler(func(report standin.UsageReport, err error) int { return s.receive(mode, report, err) }).ServeHTTP(w, r)
}

// receive records a report and returns the status of the answer, or closes the connection.
func (s *UsageServer) receive(mode string, report standin.UsageReport, err error) int {
	rec := Record{
		Kind: KindUsage, Holder: report.Holder, Fence: report.Fence, Number: report.Window, WorkspaceCounts: report.Counts, Status: http.StatusOK,
	}
	switch {
	case err != nil:
		rec.Status, rec.Text = http.StatusBadRequest, "malformed"
	case mode == usageBusy:
		rec.Status = http.StatusTooManyRequests
	}
	s.recorder.Add(rec)
	switch mode {
	case usageSlow:
		time.Sleep(usageSlowTime)
	case usageLate:
		time.Sleep(usageLateTime)
	case usageLose:
		panic(http.ErrAbortHandler)
	}
	return rec.Status
}
