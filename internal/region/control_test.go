package region_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/region"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// leaseHolder records the reports that reach the entry that holds the lease.
type leaseHolder struct {
	link.NoHandler
	received chan []demand.Report
}

func (h *leaseHolder) HandleTell(_ *link.Conn, topic string, body []byte) {
	var packed []byte
	if topic != region.ForwardTopic || msgpack.Unmarshal(body, &packed) != nil {
		return
	}
	if reports, err := region.DecodeReports(packed); err == nil {
		h.received <- reports
	}
}

func object(t *testing.T, kind fighollow.Kind, name string, version uint64, v any) fighollow.Object {
	b, err := json.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	return fighollow.Object{Kind: kind, Name: name, Version: version, Value: b}
}

// Guards against reports that never reach the planner because sidecars send them to other entries, and against two entries
// that forward a report back and forth.
func TestReportsReachTheHolderOnce(t *testing.T) {
	h := &leaseHolder{received: make(chan []demand.Report, 10)}
	l, err := link.Listen("127.0.0.1:0", link.Hello{ID: "entry-2"}, h, link.Options{}, nil)
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()

	cat := catalog.New()
	cat.Apply(
		object(t, fighollow.KindPlannerLease, "midlands", 1, fighollow.PlannerLease{Holder: "entry-2"}),
		object(t, fighollow.KindInstance, "entry-2", 2, fighollow.Instance{ID: "entry-2", Link: l.Addr()}),
	)
	hs := httptest.NewServer(objects.New(objects.Options{}))
	defer hs.Close()
	store := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(hs.URL, "http://")})
	defer store.Close()
	c := region.New(region.Options{
		Self:            link.Hello{ID: "entry-1", Region: "midlands"},
		Members:         func() []membership.Member { return nil },
		ForwardInterval: 20 * time.Millisecond,
	}, store, cat, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()

	body, err := msgpack.Marshal(demand.Report{Engine: "engine-1"})
	qt.Assert(t, err, qt.IsNil)
	packed, err := region.EncodeReports([]demand.Report{{Engine: "engine-9"}})
	qt.Assert(t, err, qt.IsNil)
	forwarded, err := msgpack.Marshal(packed)
	qt.Assert(t, err, qt.IsNil)
	c.HandleTell(nil, region.ForwardTopic, forwarded) // from another entry: must not be forwarded
	c.HandleTell(nil, demand.ReportTopic, body)
	select {
	case reports := <-h.received:
		qt.Assert(t, reports, qt.HasLen, 1)
		qt.Assert(t, reports[0].Engine, qt.Equals, "engine-1")
	case <-ctx.Done():
		t.Fatal("no report arrived")
	}
}

// report returns a report of a busy engine with totals that have grown for a day.
func report(i int, model string) demand.Report {
	n := int64(1_000_000_007*i + 86_400*400)
	return demand.Report{
		Engine: fmt.Sprintf("hall-a-engine-%04d", i), DataCentre: "hall-a", Incarnation: 1_796_331_617_000 + int64(i)*977,
		State: fighollow.EngineState{
			Phase:        fighollow.PhaseReady,
			Assignment:   fighollow.Assignment{Role: fighollow.RoleDecode, Model: model, ModelVersion: "v7", Fence: uint64(1000 + i)},
			HighestFence: uint64(1000 + i), Slots: 64, Running: i % 64, StartedMs: 1_796_331_000_000 + int64(i)*1013,
		},
		Load: fighollow.Load{Slots: 64, Running: i % 64, Queued: i % 7, QueuedTokens: 1000 * (i % 31), WaitMs: int64(i % 90)},
		Models: []demand.ModelCount{{
			Model: model, PrefillTokens: 3 * n, DecodeTokens: n, RefusedPrefill: n / 97, RefusedDecode: n / 89,
			Completed: n / 300, CompletedWorth: float64(n) / 293, RefusedRequests: n / 9000,
		}},
	}
}

// Guards against a batch encoding that exceeds the 4 KB/s of control traffic allowed for a node, in a region of the target
// size: 375 engines that report through 4 entries in each of 3 data centres.
func TestReportsOfARegionFitTheControlBudget(t *testing.T) {
	const (
		engines, entries = 375, 12
		budget           = 4096.0 // bytes per second
		packetOverhead   = 120    // IP and TCP headers of a segment and of its acknowledgement, frame and topic
	)
	total := 0
	for e := range entries {
		var reports []demand.Report
		for i := e; i < engines; i += entries {
			reports = append(reports, report(i, fmt.Sprintf("model-%02d", i%39)))
		}
		packed, err := region.EncodeReports(reports)
		qt.Assert(t, err, qt.IsNil)
		total += len(packed) + packetOverhead
		back, err := region.DecodeReports(packed)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back, qt.HasLen, len(reports))
		for i, r := range reports {
			qt.Assert(t, back[i].State, qt.DeepEquals, r.State)
			qt.Assert(t, back[i].Incarnation, qt.Equals, r.Incarnation)
			qt.Assert(t, back[i].Load.QueuedTokens, qt.Equals, r.Load.QueuedTokens)
			qt.Assert(t, back[i].Models[0].DecodeTokens, qt.Equals, r.Models[0].DecodeTokens)
			qt.Assert(t, back[i].Models[0].RefusedPrefill, qt.Equals, r.Models[0].RefusedPrefill)
		}
	}
	perSecond := float64(total) / region.ForwardInterval.Seconds()
	t.Logf("%d bytes for each round of %d engines, %.0f bytes/s at the planner", total, engines, perSecond)
	qt.Assert(t, perSecond < budget, qt.IsTrue, qt.Commentf("%.0f bytes/s", perSecond))
}
