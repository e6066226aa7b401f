package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/roster"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// scaleFreshness holds the bounds of a platform with several hundred instances.
var scaleFreshness = gateway.Freshness{Routing: 4 * time.Second, Upstreams: 4 * time.Second, Crashes: 2500 * time.Millisecond}

// countingStore counts the calls by kind.
type countingStore struct {
	*historyStore
	countMu sync.Mutex
	calls   map[fighollow.Kind]int
}

func (s *countingStore) count(kind fighollow.Kind) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	s.calls[kind]++
}

func (s *countingStore) List(ctx context.Context, kind fighollow.Kind) ([]fighollow.Object, uint64, error) {
	s.count(kind)
	return s.historyStore.List(ctx, kind)
}

func (s *countingStore) Watch(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	s.count(kind)
	return s.historyStore.Watch(ctx, kind, after)
}

// total returns the calls of some kinds since it was last called, or of all.
func (s *countingStore) total(kinds ...fighollow.Kind) (n int) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	for kind, calls := range s.calls {
		if len(kinds) == 0 || slices.Contains(kinds, kind) {
			n += calls
		}
	}
	clear(s.calls)
	return n
}

// followAll runs the followers of n entries until ctx is done. It returns a function that waits for their end.
func followAll(ctx context.Context, s fighollow.ObjectStore, n int) (wait func()) {
	dataCentres := make(map[string]string)
	for i := range n {
		dataCentres[fmt.Sprint("entry", i)] = fmt.Sprint("dc", i%5)
	}
	observers := roster.Observers(dataCentres)
	var wg sync.WaitGroup
	ignore := func(time.Time, []fighollow.Object, bool) {}
	for name, dataCentre := range dataCentres {
		fleet := placement.New(placement.Options{DataCentre: dataCentre, DrainTime: scaleFreshness.Upstreams})
		g := gateway.New(gateway.Options{}, fleet, nil, zerolog.Nop())
		f := gateway.NewFollower(s, decodeJSON, g, fleet, scaleFreshness, zerolog.Nop())
		observing := make(chan bool, 1)
		observing <- slices.Contains(observers, name)
		wg.Go(func() { f.Run(ctx) })
		wg.Go(func() { f.Follow(ctx, fighollow.KindQuarantine, ignore) })
		wg.Go(func() { f.FollowWhile(ctx, fighollow.KindCrashReports, observing, ignore, func() {}) })
	}
	return wg.Wait
}

// Guards against calls of the store that grow with entries times events, and against a rush of calls when the store returns.
func TestStoreCallsOfALargeFleet(t *testing.T) {
	const span = 10 * time.Second
	for _, entries := range []int{30, 100, 300} {
		synctest.Test(t, func(t *testing.T) {
			s := &countingStore{historyStore: newHistoryStore(), calls: make(map[fighollow.Kind]int)}
			s.write(fighollow.KindRouting, fighollow.RoutingName, fighollow.Routing{Version: 1})
			ctx, cancel := context.WithCancel(t.Context())
			ended := followAll(ctx, s, entries)
			defer ended()
			defer cancel()
			time.Sleep(time.Second)
			perEntry := func(calls int) float64 { return float64(calls) / float64(entries) }
			seconds := span.Seconds()

			s.total()
			for i := range 180 { // each engine changes once
				s.write(fighollow.KindInstance, fmt.Sprint("e", i), fighollow.Upstream{ID: fmt.Sprint("e", i), Service: "one", Address: "a", DataCentre: "a"})
				time.Sleep(span / 180)
			}
			qt.Check(t, perEntry(s.total(fighollow.KindInstance)) <= 1.2*seconds, qt.IsTrue, qt.Commentf("a call a second"))

			for i := range 142 {
				s.write(fighollow.KindCrashReports, fmt.Sprint("entry", i%entries), i)
				time.Sleep(span / 142)
			}
			qt.Check(t, s.total(fighollow.KindCrashReports) <= 4*int(2*seconds), qt.IsTrue, qt.Commentf("of four observers"))

			s.set(func(s *historyStore) {
				s.down = true
				close(s.changed)
				s.changed = make(chan struct{})
			})
			time.Sleep(span)
			qt.Check(t, perEntry(s.total()) <= 3*seconds, qt.IsTrue, qt.Commentf("of all kinds, while the store is away"))
			s.set(func(s *historyStore) { s.down = false })
			time.Sleep(time.Second)
			qt.Check(t, perEntry(s.total()) <= 10, qt.IsTrue, qt.Commentf("in the second after its return"))
		})
	}
}
