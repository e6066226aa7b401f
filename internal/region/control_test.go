package region_test

import (
	"context"
	"encoding/json"
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

// holder records what reaches the entry that holds the lease.
type holder struct {
	link.NoHandler
	told chan string
}

func (h *holder) HandleTell(_ *link.Conn, topic string, _ []byte) { h.told <- topic }

func object(t *testing.T, kind fighollow.Kind, name string, version uint64, v any) fighollow.Object {
	b, err := json.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	return fighollow.Object{Kind: kind, Name: name, Version: version, Value: b}
}

// Guards against a planner that never sees the reports that sidecars send to other entries, and against two entries
// passing a report back and forth.
func TestReportsReachTheHolderOnce(t *testing.T) {
	h := &holder{told: make(chan string, 10)}
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
		Self:    link.Hello{ID: "entry-1", Region: "midlands"},
		Members: func() []membership.Member { return nil },
	}, store, cat, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()

	body, err := msgpack.Marshal(demand.Report{Engine: "engine-1"})
	qt.Assert(t, err, qt.IsNil)
	c.HandleTell(nil, region.ForwardTopic, body) // from another entry: must not travel on
	c.HandleTell(nil, demand.ReportTopic, body)
	select {
	case topic := <-h.told:
		qt.Assert(t, topic, qt.Equals, region.ForwardTopic)
	case <-ctx.Done():
		t.Fatal("no report arrived")
	}
	qt.Assert(t, h.told, qt.HasLen, 0)
}
