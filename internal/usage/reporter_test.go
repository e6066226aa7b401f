package usage_test

import (
	"context"
	"encoding/json"
	"fmt"
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
	era     uint64
	copies  []fighollow.Object // after each write
	counted int64              // as Counts returns it: never the same again
	slow    time.Duration      // that a call of the API takes
	ahead   time.Duration      // of the estimate of true time
	sent    []fighollow.UsageReport
}

// Era implements fighollow.EraStore.
func (s *site) Era() uint64 { return s.era }

// comeBack replaces the store by the copy that was made after a write.
func (s *site) comeBack(write int) {
	s.era++
	s.version, s.value = fighollow.NewVersion(s.era, s.copies[write].Version), s.copies[write].Value
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
		s.copies = append(s.copies, fighollow.Object{Version: s.version, Value: s.value})
	}
	return s.version, err
}

func (s *site) ReportUsage(_ context.Context, _ string, _ uint64, r fighollow.UsageReport) error {
	s.calls = append(s.calls, "report")
	s.sent = append(s.sent, r)
	s.now = s.now.Add(s.slow)
	return s.apiErr
}

func (s *site) Sync(context.Context, int64)   { s.calls = append(s.calls, "sync") }
func (s *site) Counts(int64) map[string]int64 { s.counted++; return map[string]int64{"w": s.counted} }
func (s *site) Now(now time.Time) time.Time   { return now.Add(s.ahead) }
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
	r, registry := s.newReporter()
	return s, r, registry
}

func (s *site) newReporter() (*usage.Reporter, metrics.Registry) {
	registry := metrics.NewRegistry()
	opts := usage.ReporterOptions{Self: "n", Window: 5 * time.Second, CallsPerSec: 10, Started: s.now, Registry: registry}
	return usage.NewReporter(opts, s, s, s, s, s, zerolog.Nop()), registry
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

// Guards against a window that is reported again with other counts after the store came back with a record from before, at or after its
// freezing, and against windows that are not reported although no report of them can be lost.
func TestStoreComesBackAroundAnAcceptedReport(t *testing.T) {
	for _, holder := range []string{"goes on", "again", "another"} {
		for write := range 3 {
			t.Run(fmt.Sprint(holder, write), func(t *testing.T) {
				s, r, _ := newSite()
				s.steps(r, 190) // three windows
				qt.Assert(t, s.sent, qt.HasLen, 3)
				s.comeBack(write)
				s.grant.Token = s.version + 1
				if holder != "goes on" {
					s.grant.Tenure = s.grant.Token
					s.now = s.now.Add(6 * time.Second)
				}
				if holder == "another" {
					r, _ = s.newReporter()
				}
				s.steps(r, 150)
				counts := make(map[int64]map[string]int64)
				for i, sent := range s.sent {
					if before, ok := counts[sent.Window]; ok {
						qt.Check(t, sent.Counts, qt.DeepEquals, before, qt.Commentf("window %d", sent.Window))
					}
					counts[sent.Window] = sent.Counts
					if i > 0 && holder == "goes on" {
						qt.Check(t, sent.Window, qt.Equals, s.sent[i-1].Window+1)
					}
				}
				// Only windows that ended before the object was read may be missing.
				qt.Check(t, len(counts) >= 5, qt.IsTrue, qt.Commentf("%v", counts))
			})
		}
	}
}

// Guards against reports that are lost, out of order or changed while the API is away, slow or refuses calls for some windows, and
// against those that are still sent when it has been away for longer than reports live.
func TestAPIIsAwayForSomeWindows(t *testing.T) {
	for _, c := range []struct {
		away, slow time.Duration
	}{{12 * time.Second, 0}, {40 * time.Second, 1200 * time.Millisecond}, {100 * time.Second, 0}} {
		s, r, registry := newSite()
		s.steps(r, 90)
		first := s.sent[0].Window
		s.sent, s.apiErr, s.slow = nil, fighollow.ErrUnavailable, c.slow
		for back := s.now.Add(c.away); s.now.Before(back); {
			s.steps(r, 1)
		}
		tries := len(s.sent)
		qt.Check(t, tries <= int(c.away/time.Second)+2, qt.IsTrue, qt.Commentf("%d calls", tries))
		s.sent, s.apiErr, s.slow = nil, nil, 0
		s.steps(r, 50)
		for i, sent := range s.sent {
			qt.Check(t, sent.Window, qt.Equals, s.sent[0].Window+int64(i))
		}
		givenUp := metrics.GetOrRegisterCounter("usage.givenUp", registry).Count()
		qt.Check(t, s.sent[0].Window, qt.Equals, first+1+givenUp)
		qt.Check(t, givenUp > 0, qt.Equals, c.away > time.Minute, qt.Commentf("%d given up", givenUp))
		end := s.now.Unix()/5 - 1
		qt.Check(t, s.sent[len(s.sent)-1].Window >= end-1, qt.IsTrue)
	}
}

// Guards against a second report of a window that a holder whose estimate is 5 s ahead froze 2 s before its end, when the estimate is
// corrected or another holder's is right, and against a clock that is behind by seconds and makes reports late or missing.
func TestEstimatesThatAreOffBySeconds(t *testing.T) {
	for _, another := range []bool{false, true} {
		s, r, _ := newSite()
		s.steps(r, 90)
		for _, ahead := range []time.Duration{5 * time.Second, 0, -4 * time.Second, 0} {
			s.ahead = ahead
			if another {
				s.grant = lease.Grant{Token: s.grant.Token + 1, Tenure: s.grant.Token + 1, Time: time.Second}
				r, _ = s.newReporter()
			}
			for range 160 {
				s.steps(r, 1)
				last := s.sent[len(s.sent)-1].Window
				due := s.now.Add(-10*time.Second).Unix()/5 - 1
				qt.Assert(t, last >= due, qt.IsTrue, qt.Commentf("window %d is late", due))
				early := time.Unix((last+1)*5, 0).Sub(s.now)
				qt.Assert(t, early <= 2*time.Second, qt.IsTrue, qt.Commentf("sent %v before the end", early))
			}
		}
		counts := make(map[int64]map[string]int64)
		for _, sent := range s.sent {
			if before, ok := counts[sent.Window]; ok {
				qt.Assert(t, sent.Counts, qt.DeepEquals, before)
			}
			counts[sent.Window] = sent.Counts
		}
		qt.Assert(t, int64(len(counts)), qt.Equals, s.sent[len(s.sent)-1].Window-s.sent[0].Window+1)
	}
}
