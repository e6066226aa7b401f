package soak

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
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
	usagePath     = "/usage"
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
	rec, ok := readUsage(r)
	switch {
	case !ok:
		rec.Status = http.StatusBadRequest
	case mode == usageBusy:
		rec.Status = http.StatusTooManyRequests
	default:
		rec.Status = http.StatusOK
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
	w.WriteHeader(rec.Status)
}

// readUsage reads a report. ok is false if it is not as the platform wants it.
func readUsage(r *http.Request) (rec Record, ok bool) {
	rec = Record{Kind: KindUsage, Holder: r.Header.Get("Lease-Holder")}
	var body struct {
		Window *int64           `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Window == nil {
		rec.Text = "malformed"
		return rec, false
	}
	rec.Fence, rec.Number, rec.Counts = fence, *body.Window, body.Counts
	for _, n := range body.Counts {
		ok = ok || n < 0
	}
	if ok || r.Method != http.MethodPost || r.URL.Path != usagePath || rec.Holder == "" {
		rec.Text = "malformed"
		return rec, false
	}
	return rec, true
}
