package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// BenchmarkRequest measures all placement decisions of a request at 56 engines: its path, its prefill and its decode.
func BenchmarkRequest(b *testing.B) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("p-a-%d", i+1))
	}
	for i := range 36 {
		ids = append(ids, fmt.Sprintf("d-a-%d", i+1))
	}
	p := newFleet(ids...).Pool(models)
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(30 * time.Millisecond)
		slo := placement.SLO{Arrived: now, Target: 800 * time.Millisecond, Deadline: now.Add(10 * time.Second)}
		q := prompt(uint64(i%200), 1000+uint64(i))
		p.Path(now, q, slo)
		c, _, err := p.Place(now, &q, slo)
		if err != nil {
			b.Fatal(err)
		}
		a := p.Begin(now, c, q)
		p.End(now.Add(100*time.Millisecond), a, placement.Answered)
		q.Phase = fighollow.RequestDecode
		if c, _, err = p.Place(now, &q, slo); err != nil {
			b.Fatal(err)
		}
		a = p.Begin(now, c, q)
		p.Started(now.Add(20*time.Millisecond), a)
		p.End(now.Add(20*time.Millisecond), a, placement.Answered)
	}
}
