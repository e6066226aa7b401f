package sidecar

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// report sends the demand to one entry every demand.ReportEveryMs until ctx ends.
func (s *Sidecar) report(ctx context.Context) {
	if s.engine == nil {
		return
	}
	t := time.NewTicker(demand.ReportEveryMs * time.Millisecond)
	defer t.Stop()
	var c *link.Conn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m, ok := reportTo(s.cfg.ID, s.node.Members())
		if !ok {
			continue
		}
		if c = s.reportLink(ctx, c, m); c != nil {
			// A lost report is repaired by the next one, which has totals.
			_ = c.Tell(demand.ReportTopic, s.demand())
		}
	}
}

// reportTo returns the entry that takes the reports of id: the one with the highest hash among those alive.
func reportTo(id string, members []membership.Member) (best membership.Member, ok bool) {
	var highest uint64
	for _, m := range members {
		if m.Kind != fighollow.InstanceEntry || m.State != membership.Alive || m.Link == "" {
			continue
		}
		if h := xxhash.Sum64String(m.ID + "/" + id); !ok || h > highest {
			best, highest, ok = m, h, true
		}
	}
	return best, ok
}

// reportLink returns c if it still leads to m, or a new link.
func (s *Sidecar) reportLink(ctx context.Context, c *link.Conn, m membership.Member) *link.Conn {
	if c != nil {
		select {
		case <-c.Closed():
		default:
			if c.Peer().ID == m.ID {
				return c
			}
			c.Close()
		}
	}
	c, err := link.Dial(ctx, m.Link, s.hello, s, s.linkOpts)
	if err != nil {
		return nil
	}
	return c
}

func (s *Sidecar) demand() demand.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := demand.Report{
		Engine: s.cfg.ID, DataCentre: s.cfg.DataCentre, Incarnation: s.incarnation,
		Load: s.admission.Load(time.Now()), Models: s.counts.list(),
	}
	r.State, _ = s.machine.State()
	return r
}
