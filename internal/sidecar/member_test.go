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

// entryNode is an entry that takes part in membership and collects the demand reports that it receives.
type entryNode struct {
	entryHandler
	node *spread.Node

	mu      sync.Mutex
	reports []demand.Report
}

func (n *entryNode) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	return n.node.ServeAsk(ctx, c, topic, body)
}

func (n *entryNode) HandleTell(c *link.Conn, topic string, body []byte) {
	if strings.HasPrefix(topic, spread.Topic) {
		n.node.HandleTell(c, topic, body)
	}
	if topic != demand.ReportTopic {
		return
	}
	var r demand.Report
	if msgpack.Unmarshal(body, &r) == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.reports = append(n.reports, r)
	}
}

func (n *entryNode) lastReport() (demand.Report, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.reports) == 0 {
		return demand.Report{}, false
	}
	return n.reports[len(n.reports)-1], true
}

// startEntryNode starts an entry that listens on addr and takes part in membership.
func startEntryNode(t *testing.T, f *fixture, addr string) *entryNode {
	n := &entryNode{}
	now := time.Now().UnixMilli()
	n.node = spread.New(spread.Options{}, membership.Member{
		ID: "entry-9", Incarnation: uint64(now), Kind: fighollow.InstanceEntry, DataCentre: "hall-a", Link: addr,
	}, f.store, catalog.New(), testLog(t))
	hello := link.Hello{ID: "entry-9", Incarnation: now, Kind: fighollow.InstanceEntry, DataCentre: "hall-a", Link: addr}
	l, err := link.Listen(addr, hello, n, link.Options{}, nil)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		l.Close()
		<-done
	})
	return n
}

// hasUpstream returns a condition for await: match returns true for the entry's member record of the sidecar.
func (n *entryNode) hasUpstream(match func(o membership.Member) bool) func() bool {
	return func() bool {
		for _, o := range n.node.Members() {
			if o.ID == "upstream-1" && match(o) {
				return true
			}
		}
		return false
	}
}

// Guards against members that do not learn which model an engine serves or that it leaves, and against missing demand
// reports.
func TestMembersLearnRoleLoadAndLeaving(t *testing.T) {
	t.Parallel()
	addr := freeAddress(t)
	f := startEngine(t, engine.Options{}, func(f *fixture) { f.cfg.Peers = []string{addr} })
	n := startEntryNode(t, f, addr)
	await(t, "announcement of the model", n.hasUpstream(func(o membership.Member) bool {
		return o.State == membership.Alive && o.Model == "loom" && o.Role == fighollow.RoleBoth
	}))
	call := generateCall("reported", 25)
	qt.Assert(t, f.run(f.dial(), call).finish.Outcome, qt.Equals, fighollow.OutcomeCompleted)
	await(t, "report with the work done", func() bool {
		r, ok := n.lastReport()
		return ok && r.Engine == "upstream-1" && r.Load.Slots == 8 && len(r.Models) == 1 &&
			r.Models[0].Model == "loom" && r.Models[0].DecodeTokens >= 25 && r.Models[0].CompletedWorth >= 1
	})
	f.putObject(fighollow.KindDrain, "upstream-1", fighollow.Drain{Action: fighollow.ActionWithdraw})
	await(t, "announcement of leaving", n.hasUpstream(func(o membership.Member) bool { return o.State == membership.Leaving }))
}
