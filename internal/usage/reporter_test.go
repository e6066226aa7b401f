package usage_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/lease"
	"github.com/fighollow/fighollow/internal/usage"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// site has a store with one object, an API, a lease and a ledger that does as the test says.
type site struct {
	fighollow.ObjectStore
	now     time.Time
	version uint64
	value   json.RawMessage
	calls   []string // of the store and of the API
	putErr  error    // outcome of the next write
	written bool     // whether the next write takes effect although it fails
	apiErr  error
	grant   lease.Grant
	noLease bool
}

func (s *site) FenceUpTo(least, _ time.Duration) (lease.Grant, bool) {
	return s.grant, !s.noLease && s.grant.Time >= least
}

func (s *site) Get(context.Context, fighollow.Kind, string) (fighollow.Object, error) {
	s.calls = append(s.calls, "get")
	if s.version == 0 {
		return fighollow.Object{}, fighollow.ErrNotFound
	}
	return fighollow.Object{Version: s.version, Value: s.value}, nil
}

func (s *site) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	s.calls = append(s.calls, "put")
	err := s.putErr
	s.putErr = nil
	if expected != s.version {
		return 0, fighollow.ErrConflict
	}
	if err == nil || s.written {
		s.version, s.value = s.version+1, o.Value
	}
	return s.version, err
}

func (s *site) ReportUsage(context.Context, string, uint64, fighollow.UsageReport) error {
	s.calls = append(s.calls, "report")
	return s.apiErr
}

func (s *site) Sync(context.Context, int64)   { s.calls = append(s.calls, "sync") }
func (s *site) Counts(int64) map[string]int64 { return nil }
func (s *site) Now(now time.Time) time.Time   { return now }
func (s *site) clock() time.Time              { return s.now }
func (s *site) take() (calls []string)        { calls, s.calls = s.calls, nil; return calls }
func (s *site) steps(r *usage.Reporter, n int) {
	for range n {
		r.Step(context.Background(), s.clock)
		s.now = s.now.Add(100 * time.Millisecond)
	}
}

func newSite() (*site, *usage.Reporter, metrics.Registry) {
	s := &site{now: time.Unix(1_767_000_000, 0), grant: lease.Grant{Token: 5, Tenure: 5, Time: time.Second}}
	registry := metrics.NewRegistry()
	r := usage.NewReporter(usage.ReporterOptions{Self: "n", Window: 5 * time.Second, CallsPerSec: 10, Started: s.now, Registry: registry}, s, s, s, s, s, zerolog.Nop())
	return s, r, registry
}

// Guards against more calls than one write and one report for each window and one read for each holder, and against calls by an entry that does
// not hold the lease.
func TestCallsOfAHolder(t *testing.T) {
	s, r, registry := newSite()
	s.noLease = true
	s.steps(r, 50)
	qt.Assert(t, s.take(), qt.HasLen, 0)
	s.noLease = false
	s.steps(r, 110)
	qt.Assert(t, s.take(), qt.DeepEquals, []string{"get", "sync", "put", "report", "put", "report"})
	s.grant = lease.Grant{Token: 9, Tenure: 9, Time: time.Second}
	s.steps(r, 50)
	qt.Assert(t, s.take(), qt.DeepEquals, []string{"get", "sync", "report", "put", "report"}, qt.Commentf("the last report is repeated"))
	qt.Assert(t, metrics.GetOrRegisterCounter("usage.accepted", registry).Count(), qt.Equals, int64(4))
	qt.Assert(t, metrics.GetOrRegisterCounter("usage.repeated", registry).Count(), qt.Equals, int64(1))
	s.grant.Time = 299 * time.Millisecond
	s.steps(r, 50)
	qt.Assert(t, s.take(), qt.DeepEquals, []string{"put"}, qt.Commentf("a call was sent with too little time"))
	qt.Assert(t, r.OldestMs() > 2000, qt.IsTrue)
}

// Guards against a report that is sent before the outcome of its write is known.
func TestWriteOfUnknownOutcomeIsReadBack(t *testing.T) {
	for _, written := range []bool{false, true} {
		s, r, _ := newSite()
		s.putErr, s.written = fighollow.ErrUnknownOutcome, written
		s.steps(r, 90)
		want := []string{"get", "sync", "put", "get", "sync", "put", "report"}
		if written {
			want = []string{"get", "sync", "put", "get", "sync", "report"}
		}
		qt.Assert(t, s.take(), qt.DeepEquals, want, qt.Commentf("written: %v", written))
	}
	s, r, _ := newSite()
	s.putErr = fighollow.ErrUnavailable
	s.steps(r, 90)
	qt.Assert(t, s.take(), qt.DeepEquals, []string{"get", "sync", "put", "put", "report"})
}

// Guards against a refused report that is sent again, and against a failed one that is not.
func TestRefusedReports(t *testing.T) {
	s, r, registry := newSite()
	s.apiErr = fighollow.ErrInvalid
	s.steps(r, 90)
	qt.Assert(t, s.take(), qt.DeepEquals, []string{"get", "sync", "put", "report"})
	qt.Assert(t, metrics.GetOrRegisterCounter("usage.givenUp", registry).Count(), qt.Equals, int64(1))
	s, r, _ = newSite()
	s.apiErr = fighollow.ErrUnavailable
	s.steps(r, 90) // 1 s from the first call on
	qt.Assert(t, s.take(), qt.DeepEquals, []string{"get", "sync", "put", "report", "report", "report"})
}

// Guards against a record that cannot be decoded and blocks all reports, or makes the holder report windows again.
func TestUnreadableRecord(t *testing.T) {
	for _, value := range []string{`null`, `"x"`, `{"lastWindow":-3}`, `{"lastWindow":9,"reports":[{"window":10}]}`} {
		s, r, _ := newSite()
		s.version, s.value = 3, json.RawMessage(value)
		s.steps(r, 60)
		qt.Assert(t, s.take(), qt.DeepEquals, []string{"get", "sync"})
		s.steps(r, 30)
		qt.Assert(t, s.take(), qt.DeepEquals, []string{"put", "report"})
	}
}
