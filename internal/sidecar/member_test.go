package sidecar_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/internal/standin/engine"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// member is an entry that takes part in membership and keeps the reports that it gets.
type member struct {
	tells
	node *spread.Node

	mu      sync.Mutex
	reports []demand.Report
}

func (m *member) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	return m.node.ServeAsk(ctx, c, topic, body)
}

func (m *member) HandleTell(c *link.Conn, topic string, body []byte) {
	if strings.HasPrefix(topic, spread.Topic) {
		m.node.HandleTell(c, topic, body)
	}
	if topic != demand.ReportTopic {
		return
	}
	var r demand.Report
	if msgpack.Unmarshal(body, &r) == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.reports = append(m.reports, r)
	}
}

func (m *member) last() (demand.Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.reports) == 0 {
		return demand.Report{}, false
	}
	return m.reports[len(m.reports)-1], true
}

// joinEntry starts an entry's part in membership at addr.
func joinEntry(t *testing.T, f *fleet, addr string) *member {
	m := &member{}
	now := time.Now().UnixMilli()
	m.node = spread.New(spread.Options{}, membership.Member{
		ID: "entry-9", Incarnation: uint64(now), Kind: fighollow.InstanceEntry, DataCentre: "hall-a", Link: addr,
	}, f.store, catalog.New(), testLog(t))
	hello := link.Hello{ID: "entry-9", Incarnation: now, Kind: fighollow.InstanceEntry, DataCentre: "hall-a", Link: addr}
	l, err := link.Listen(addr, hello, m, link.Options{}, nil)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		l.Close()
		<-done
	})
	return m
}

func (m *member) sees(ok func(o membership.Member) bool) func() bool {
	return func() bool {
		for _, o := range m.node.Members() {
			if o.ID == "upstream-1" && ok(o) {
				return true
			}
		}
		return false
	}
}

// Guards against members that do not learn what an engine serves and that it leaves, and a planner without reports.
func TestMembersLearnRoleLoadAndLeaving(t *testing.T) {
	t.Parallel()
	addr := freeAddress(t)
	f := startEngine(t, engine.Options{}, func(f *fleet) { f.cfg.Peers = []string{addr} })
	m := joinEntry(t, f, addr)
	await(t, "announcement of the model", m.sees(func(o membership.Member) bool {
		return o.State == membership.Alive && o.Model == "loom" && o.Role == fighollow.RoleBoth
	}))
	call := generate("reported", 25)
	qt.Assert(t, f.run(f.dial(), call).finish.Outcome, qt.Equals, fighollow.Completed)
	await(t, "report with the work done", func() bool {
		r, ok := m.last()
		return ok && r.Engine == "upstream-1" && r.Load.Slots == 8 && len(r.Models) == 1 &&
			r.Models[0].Model == "loom" && r.Models[0].DecodeTokens >= 25 && r.Models[0].CompletedWorth >= 1
	})
	f.put(fighollow.KindDrain, "upstream-1", fighollow.Drain{Action: fighollow.ActionWithdraw})
	await(t, "announcement of leaving", m.sees(func(o membership.Member) bool { return o.State == membership.Leaving }))
}
