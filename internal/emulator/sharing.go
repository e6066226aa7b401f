package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/workshare"
)

// falseReportInterval is the pause between two false reports, and falseReportMs the work in them.
const (
	falseReportInterval = 100 * time.Millisecond
	falseReportMs       = 3_600_000
	// falseReportNumbers is below the numbers of false reports and above those of the prompts of the entry that sends them.
	falseReportNumbers = 1 << 30
)

// shareWork connects the entries by messages that take networkDelay.
func (r *run) shareWork() {
	r.messages = rand.New(rand.NewPCG(r.cfg.Seed, 2))
	for i, f := range r.entries {
		s := workshare.New(workshare.Options{MaxData: peers.MaxData, Send: func(data []byte) { r.deliver(i, data) }}, f, zerolog.Nop())
		r.sharers = append(r.sharers, s)
		f.OnWork(func(now time.Time, w placement.Work) {
			s.Add(now, w)
			r.tickAt(s)
		})
		f.SetEntries(len(r.entries))
	}
	if r.cfg.Policy.FalseReports {
		r.After(falseReportInterval, r.reportFalsely)
	}
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// tickAt sends what waits once it is due, as Sharer.Run does.
func (r *run) tickAt(s *workshare.Sharer) {
	if next, waiting := s.Tick(r.Now); waiting {
		r.After(next.Sub(r.Now), func() { s.Tick(r.Now) })
	}
}

// deliver brings a message of an entry to the others.
func (r *run) deliver(from int, data []byte) {
	r.result.Messages++
	for i, s := range r.sharers {
		if i == from || r.messages.Float64() < r.cfg.Policy.MessageLoss {
			continue
		}
		r.result.Datagrams++
		r.result.MessageBytes += len(data)
		r.After(networkDelay, func() { s.Receive(r.Now, entryName(from), data) })
	}
}

// reportFalsely lets the first entry report work at all engines that it did not place.
func (r *run) reportFalsely() {
	r.After(falseReportInterval, r.reportFalsely)
	for i, e := range r.engines {
		r.falseReports++
		r.sharers[0].Add(r.Now, placement.Work{
			Number: falseReportNumbers + r.falseReports, Engine: placement.EngineHash(e.upstream), Urgency: i % 2, Ms: falseReportMs,
		})
	}
	r.tickAt(r.sharers[0])
}
