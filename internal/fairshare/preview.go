package fairshare

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Preview implements fighollow.SharePolicy. It decides on a copy of what was measured.
func (p *Policy) Preview(now time.Time, r fighollow.ShareRequest) fighollow.SharePreview {
	out := fighollow.SharePreview{ShareDecision: fighollow.ShareDecision{Admitted: true}, Fraction: 1}
	s := (*p.services.Load())[r.Service]
	if s == nil || r.Workspace == "" || len(r.Workspace) > maxNameBytes {
		return out
	}
	v := s.verdict.Load()
	out.Scarce = v != nil
	c, ok := p.rates.copy(cellKey{r.Service, r.Workspace})
	if !ok {
		return out
	}
	out.ShareDecision, _ = p.decide(now, s, v, &c, r)
	if v != nil {
		out.Fraction = v.fraction(r.Workspace, c.rates(now.Sub(p.rates.start), rateBuckets))
	}
	return out
}

// copy returns a copy of a cell, empty if there is none. It returns false if there are too many for another.
func (r *recorder) copy(key cellKey) (cell, bool) {
	s := r.shard(key.workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.cells[key]; c != nil {
		return *c, true
	}
	return cell{}, len(s.cells) < maxCells/rateShards
}
