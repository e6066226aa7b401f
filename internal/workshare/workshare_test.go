package workshare_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/workshare"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var start = time.Unix(1000, 0)

// backlogs records what a Sharer receives.
type backlogs struct{ reports []placement.WorkReport }

func (b *backlogs) AddWork(_ time.Time, _ string, r placement.WorkReport) placement.WorkCounts {
	b.reports = append(b.reports, r)
	return placement.WorkCounts{Added: len(r.Placed)}
}

// newSharer returns a Sharer, and what it sends.
func newSharer(got *backlogs, r metrics.Registry) (*workshare.Sharer, *[][]byte) {
	var sent [][]byte
	s := workshare.New(workshare.Options{MaxData: 1136, Registry: r, Send: func(data []byte) { sent = append(sent, data) }}, got, zerolog.Nop())
	return s, &sent
}

func work(n int) placement.Work {
	w := placement.Work{Number: uint32(n), Engine: 1<<63 + uint64(n), Urgency: n % 10, Ms: float64(n)}
	for part := range n % 5 {
		w.Prefix = append(w.Prefix, fighollow.PromptPart{ID: 1<<62 + uint64(n), Tokens: 1000 * part})
	}
	return w
}

// Guards against reports that are lost, cut or sent too early or late, and against prompts that arrive changed.
func TestReportsArriveWhole(t *testing.T) {
	got := &backlogs{}
	s, sent := newSharer(got, nil)
	_, waiting := s.Tick(start)
	qt.Assert(t, waiting, qt.IsFalse)
	var want, wantEnded []placement.Work
	var unfinished []uint32
	for i := range 60 {
		w := work(i)
		want = append(want, w)
		s.Add(start, w)
		if i%3 != 0 {
			unfinished = append(unfinished, w.Number)
			continue
		}
		w = placement.Work{Number: w.Number, Ended: true, Computed: i%2 == 0, Ratio: 1.25}
		s.Add(start, w)
		wantEnded = append(wantEnded, w)
	}
	const delay = 20 * time.Millisecond
	next, waiting := s.Tick(start.Add(delay - 1))
	qt.Assert(t, waiting, qt.IsTrue)
	qt.Assert(t, next, qt.Equals, start.Add(delay))
	qt.Assert(t, *sent, qt.HasLen, 0)
	next, waiting = s.Tick(next)
	qt.Assert(t, waiting, qt.IsTrue)
	qt.Assert(t, next, qt.Equals, start.Add(delay+time.Second), qt.Commentf("unfinished prompts are named again"))
	for _, data := range *sent {
		qt.Assert(t, len(data) <= 1136, qt.IsTrue)
		s.Receive(start, "A", data)
	}
	var placed, ended []placement.Work
	for _, r := range got.reports {
		qt.Assert(t, r.Unfinished, qt.DeepEquals, unfinished)
		qt.Assert(t, r.Next, qt.Equals, uint32(60))
		placed, ended = append(placed, r.Placed...), append(ended, r.Ended...)
	}
	qt.Assert(t, placed, qt.DeepEquals, want)
	qt.Assert(t, ended, qt.DeepEquals, wantEnded)
}

// Guards against messages of other formats, or cut or damaged ones, that stop the process or add work.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	got, r := &backlogs{}, metrics.NewRegistry()
	s, sent := newSharer(got, r)
	s.Add(start, work(4))
	s.Add(start, work(3))
	s.Add(start, placement.Work{Number: 3, Ended: true})
	s.Tick(start.Add(time.Second))
	data := (*sent)[0]
	malformed := [][]byte{nil, {0xc0}, {0x92, 0x01, 0x90}, {0x95, 0x02, 0x00, 0xdd, 0xff, 0xff, 0xff, 0xff}, {0x95, 0x02, 0x00, 0x90, 0xdd, 0x00, 0xff, 0xff, 0xff}}
	for i := range data {
		malformed = append(malformed, data[:i])
	}
	for _, m := range malformed {
		s.Receive(start, "A", m)
	}
	qt.Assert(t, got.reports, qt.HasLen, 0)
	qt.Assert(t, metrics.GetOrRegisterCounter("work.ignored", r).Count(), qt.Equals, int64(len(malformed)))
}

// Guards against memory that grows while nothing is sent, and against ends that are reported of prompts that were not.
func TestWhatWaitsIsBounded(t *testing.T) {
	r := metrics.NewRegistry()
	s, sent := newSharer(&backlogs{}, r)
	for i := range 3000 {
		s.Add(start, work(i))
	}
	qt.Assert(t, metrics.GetOrRegisterCounter("work.dropped", r).Count(), qt.Equals, int64(3000-64))
	for i := range 3000 {
		s.Add(start, placement.Work{Number: uint32(i), Ended: true})
	}
	s.Tick(start.Add(time.Second))
	got := &backlogs{}
	receiver, _ := newSharer(got, nil)
	ended := 0
	for _, data := range *sent {
		qt.Assert(t, len(data) <= 1136, qt.IsTrue)
		receiver.Receive(start, "A", data)
	}
	for _, r := range got.reports {
		ended += len(r.Ended)
	}
	qt.Assert(t, ended, qt.Equals, 64, qt.Commentf("only what was reported is reported to have ended"))
	_, waiting := s.Tick(start.Add(time.Second))
	qt.Assert(t, waiting, qt.IsFalse)
}
