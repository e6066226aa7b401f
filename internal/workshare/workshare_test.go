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
type backlogs struct{ work []placement.Work }

func (b *backlogs) AddWork(_ time.Time, _ string, work []placement.Work) placement.WorkCounts {
	b.work = append(b.work, work...)
	return placement.WorkCounts{Added: len(work)}
}

// newSharer returns a Sharer with this many other entries in its data centre a, and what it sends.
func newSharer(peers int, got *backlogs, r metrics.Registry) (*workshare.Sharer, *[][]byte) {
	var sent [][]byte
	s := workshare.New(workshare.Options{
		Self: "self", MaxData: 1136, Registry: r, Send: func(data []byte, _ string) { sent = append(sent, data) },
	}, got, zerolog.Nop())
	known := map[string]fighollow.Peer{"self": {DataCentre: "a"}}
	for i := range peers {
		known[string(rune('A'+i))] = fighollow.Peer{DataCentre: "a"}
	}
	s.SetPeers(known)
	return s, &sent
}

func work(n int) placement.Work {
	return placement.Work{Engine: 1<<63 + uint64(n), DataCentre: "a", Phase: fighollow.RequestPrefill, Urgency: n % 10, Ms: float64(n)}
}

// Guards against batches that are lost, cut or sent too early or late, and against prompts that arrive changed.
func TestBatchesArriveWhole(t *testing.T) {
	for _, c := range []struct {
		peers int
		pause time.Duration
	}{{1, 20 * time.Millisecond}, {80, 40 * time.Millisecond}, {500, 200 * time.Millisecond}} {
		got := &backlogs{}
		s, sent := newSharer(c.peers, got, nil)
		_, waiting := s.Tick(start)
		qt.Assert(t, waiting, qt.IsFalse)
		var want []placement.Work
		for i := range 150 {
			w := work(i)
			if w.Ended = i%3 == 2; !w.Ended && i%3 == 1 {
				w.Phase = fighollow.RequestWhole
			}
			s.Add(start, w)
			w.DataCentre = ""
			if w.Ended {
				w.Phase = ""
			}
			want = append(want, w)
		}
		next, waiting := s.Tick(start.Add(c.pause - 1))
		qt.Assert(t, waiting, qt.IsTrue)
		qt.Assert(t, next, qt.Equals, start.Add(c.pause))
		qt.Assert(t, *sent, qt.HasLen, 0)
		_, waiting = s.Tick(next)
		qt.Assert(t, waiting, qt.IsFalse)
		qt.Assert(t, *sent, qt.HasLen, 3)
		for _, data := range *sent {
			qt.Assert(t, len(data) <= 1136, qt.IsTrue)
			s.Receive(start, "A", data)
		}
		qt.Assert(t, got.work, qt.DeepEquals, want)
	}
}

// Guards against messages of other formats, or cut or damaged ones, that stop the process or add work.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	got, r := &backlogs{}, metrics.NewRegistry()
	s, sent := newSharer(1, got, r)
	s.Add(start, work(1))
	s.Tick(start.Add(time.Second))
	data := (*sent)[0]
	malformed := [][]byte{nil, {0xc0}, {0x92, 0x02, 0x90}, {0x92, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff}}
	for i := range data {
		malformed = append(malformed, data[:i])
	}
	for _, m := range malformed {
		s.Receive(start, "A", m)
	}
	qt.Assert(t, got.work, qt.HasLen, 0)
	qt.Assert(t, metrics.GetOrRegisterCounter("work.ignored", r).Count(), qt.Equals, int64(len(malformed)))
}

// Guards against memory that grows while nothing is sent, and against messages to data centres without other entries.
func TestWhatWaitsIsBounded(t *testing.T) {
	r := metrics.NewRegistry()
	s, _ := newSharer(1, &backlogs{}, r)
	for i := range 3000 {
		s.Add(start, work(i))
	}
	qt.Assert(t, metrics.GetOrRegisterCounter("work.dropped", r).Count() > 1900, qt.IsTrue)
	s, sent := newSharer(0, &backlogs{}, nil)
	s.Add(start, work(1))
	s.Tick(start.Add(time.Second))
	qt.Assert(t, *sent, qt.HasLen, 0)
}
