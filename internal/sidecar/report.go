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

// reportLoop sends a demand report to one entry every demand.ReportIntervalMs until ctx ends.
func (s *Sidecar) reportLoop(ctx context.Context) {
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
		m, ok := reportTarget(s.cfg.ID, s.node.Members())
		if !ok {
			continue
		}
		if c = s.reportLink(ctx, c, m); c != nil {
			// A lost report needs no retry: reports carry totals, so the next one includes its counts.
			_ = c.Tell(demand.ReportTopic, s.demandReport())
		}
	}
}

// maxReportEntries bounds the entries of a data centre that receive reports. Few entries make large batches for the
// planner, which compress well. At the target size each of them still receives less than 2 KB/s from 34 sidecars.
const maxReportEntries = 4

// reportTarget returns the entry to which the sidecar id sends its reports. It is selected by rendezvous hashing in two
// steps: all sidecars select the same maxReportEntries of the alive entries, and each sidecar selects one of these.
func reportTarget(id string, members []membership.Member) (best membership.Member, ok bool) {
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
	entries = entries[:min(len(entries), maxReportEntries)]
	if len(entries) == 0 {
		return best, false
	}
	return slices.MinFunc(entries, byHash("/"+id)), true
}

// reportLink returns c if it is an open link to m. Otherwise it returns a new link, or nil if the dial fails.
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

func (s *Sidecar) demandReport() demand.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := demand.Report{
		Engine: s.cfg.ID, DataCentre: s.cfg.DataCentre, Incarnation: s.incarnation,
		Load: s.queue.Load(time.Now()), Models: s.counts.snapshot(),
	}
	r.State, _ = s.machine.State()
	return r
}
