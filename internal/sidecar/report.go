package sidecar

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// report sends the demand to one entry every demand.ReportIntervalMs until ctx ends.
func (s *Sidecar) report(ctx context.Context) {
	if s.engine == nil {
		return
	}
	t := time.NewTicker(demand.ReportIntervalMs * time.Millisecond)
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

// reportEntries is how many entries of a data centre take reports. Few entries make large batches for the planner, which
// compress well, and at the target size each of them still gets less than 2 KB/s from 34 sidecars.
const reportEntries = 4

// reportTo returns the entry that takes the reports of id: one of the reportEntries with the highest hashes among those
// alive.
func reportTo(id string, members []membership.Member) (best membership.Member, ok bool) {
	var entries []membership.Member
	for _, m := range members {
		if m.Kind == fighollow.InstanceEntry && m.State == membership.Alive && m.Link != "" {
			entries = append(entries, m)
		}
	}
	byHash := func(salt string) func(a, b membership.Member) int {
		return func(a, b membership.Member) int {
			return cmp.Compare(xxhash.Sum64String(b.ID+salt), xxhash.Sum64String(a.ID+salt))
		}
	}
	slices.SortFunc(entries, byHash("/reports"))
	entries = entries[:min(len(entries), reportEntries)]
	if len(entries) == 0 {
		return best, false
	}
	return slices.MinFunc(entries, byHash("/"+id)), true
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
