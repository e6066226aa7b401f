package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/quota"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against entries that send without a limit because those that were told of it claim other upstreams for the moment.
func TestReportedLimitStandsWhileNobodyClaims(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * time.Second) }
	d := quota.New("me")
	observe := func(s int, claims map[string]fighollow.LimitClaim) {
		d.Observe(at(s), []quota.Entry{{Name: "me"}, {Name: "other", Claims: claims, ChangedAt: at(s)}}, time.Second)
	}
	limit := map[string]fighollow.LimitClaim{"u": {Told: true, PerSecond: 3, Demand: 2}}
	observe(0, limit)
	for s := 1; s < 250; s++ {
		observe(s, nil)
		qt.Assert(t, d.Reported()["u"].PerSecond, qt.Equals, 3.0)
	}
	observe(400, nil)
	qt.Assert(t, d.Reported(), qt.HasLen, 0)
	observe(401, limit)
	observe(402, map[string]fighollow.LimitClaim{"u": {Told: true}})
	qt.Assert(t, d.Reported()["u"].PerSecond, qt.Equals, 0.0)
	observe(403, nil)
	qt.Assert(t, d.Reported(), qt.HasLen, 0)
}

// Guards against an entry that goes on sending without a limit for seconds after the list says that others were told of one.
func TestReportedLimitCountsAtOnceForAnEntryThatWasNotTold(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var l quota.Named
	l.Observe(at(0), at(-30), fighollow.RequestLimit{})
	limit, inForce := l.InForceAt(at(300), fighollow.LimitReport{PerSecond: 3, ToldAt: at(200)}, true)
	qt.Assert(t, inForce, qt.IsTrue)
	qt.Assert(t, limit, qt.Equals, 3.0)
}

// Guards against an answer to a request from before a report, without a limit yet, that ends the reported limit.
func TestReportedLimitIsTakenBackByALaterRequestOnly(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	report := fighollow.LimitReport{PerSecond: 3, ToldAt: at(200)}
	var l quota.Named
	_, inForce := l.InForceAt(at(300), report, true)
	qt.Assert(t, inForce, qt.IsTrue)
	l.Observe(at(310), at(290), fighollow.RequestLimit{})
	_, inForce = l.InForceAt(at(320), report, true)
	qt.Assert(t, inForce, qt.IsTrue)
	l.Observe(at(400), at(350), fighollow.RequestLimit{})
	_, inForce = l.InForceAt(at(410), fighollow.LimitReport{PerSecond: 3, ToldAt: at(405)}, true)
	qt.Assert(t, inForce, qt.IsFalse, qt.Commentf("reports can be out of date"))
	qt.Assert(t, l.LiftedAt, qt.Equals, at(400))
}

// Guards against permits issued while requests from before the limit fill what the upstream tolerates, and against a longer pause.
func TestBucketPausesForTheTrafficBeforeTheLimit(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	firstPermit := func(share fighollow.LimitShare, recent float64) int {
		b := quota.NewBucket(at(0), 20, share, recent)
		for ms := 0; ; ms += 10 {
			if b.Refill(at(ms), share); b.Available() {
				return ms
			}
		}
	}
	share := fighollow.LimitShare{PerSecond: 10, Burst: 6}
	qt.Assert(t, firstPermit(share, 5), qt.Equals, 0)
	qt.Assert(t, firstPermit(share, 20), qt.Equals, 3100, qt.Commentf("the demand of the others is not known"))
	known := share
	known.DemandKnown = true
	for demand, ms := range map[float64]int{40: 100, 100: 3000, 200: 3500} {
		known.Demand = demand
		first := firstPermit(known, 20)
		qt.Check(t, first >= ms && first <= ms+400, qt.IsTrue, qt.Commentf("demand %v: %d ms", demand, first))
	}
}
