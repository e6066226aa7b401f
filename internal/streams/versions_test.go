package streams_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/streams"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// listed returns what the store lists.
func (f *fleet) listed() string { return string(f.store.versions[service].Value) }

// Guards against streams that begin at a version of which the store does not tell others yet.
func TestVersionIsListedBeforeStreamsBegin(t *testing.T) {
	f := newFleet("v1")
	j := f.entry("a", old)
	f.step(j, time.Second)
	qt.Assert(t, f.admitted["a"], qt.DeepEquals, []string{"v1"})
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1"]}`)
	f.serving, f.store.down = []string{"v1", "v2"}, true
	for range 10 {
		f.step(j, time.Second)
	}
	qt.Assert(t, f.admitted["a"], qt.DeepEquals, []string{"v1"})
	f.store.down = false
	f.step(j, time.Second)
	qt.Assert(t, f.admitted["a"], qt.DeepEquals, []string{"v1", "v2"})
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
}

// Guards against an entry that overwrites versions that others have listed.
func TestEntriesListTheSameVersions(t *testing.T) {
	f := newFleet("v1")
	a, b := f.entry("a", old), f.entry("b", old)
	f.step(a, time.Second)
	f.serving = []string{"v2"} // as the others see it
	f.store.changed = func() { f.step(f.entry("c", old), 0) }
	f.step(b, time.Second)
	f.step(b, time.Second)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
	qt.Assert(t, f.admitted["b"], qt.DeepEquals, []string{"v1", "v2"})
	f.serving = []string{"v1"}
	f.step(a, time.Second)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
}

// Guards against versions that count for ever, which would have take-ups refused, and against one that is forgotten while callers can
// take up its streams.
func TestVersionsLapse(t *testing.T) {
	f := newFleet("v1", "v2")
	j := f.entry("a", old)
	f.step(j, time.Second)
	f.serving = []string{"v2"}
	f.step(j, time.Second)
	f.step(j, time.Minute)
	_, err := f.entry("b", old).Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.ErrorIs, streams.ErrUnknown)
	f.missed = []string{"v1"} // an upstream that has come back
	f.step(j, time.Minute+time.Second)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
	f.missed = nil
	f.step(j, time.Second)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
	f.step(j, 2*time.Minute+time.Second)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v2"]}`)
	version, err := f.entry("b", old).Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, "v2")
	f.serving = []string{"v1", "v2"}
	f.step(j, time.Second)
	qt.Assert(t, f.admitted["a"], qt.DeepEquals, []string{"v1", "v2"})
	f.step(j, 10*time.Minute)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
}

// Guards against versions that are lost because the store came back from an older copy, or because another writer has spoilt the object.
func TestVersionsAreWrittenAgain(t *testing.T) {
	f := newFleet("v1", "v2")
	j := f.entry("a", old)
	f.step(j, time.Second)
	f.store.era++
	f.store.versions[service] = fighollow.Object{Name: service, Version: fighollow.NewVersion(f.store.era, 1), Value: []byte(`{"versions":["v1"]}`)}
	f.step(j, time.Second)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
	f.store.versions[service] = fighollow.Object{Name: service, Version: fighollow.NewVersion(f.store.era, 90), Value: []byte(`{"versions":7}`)}
	_, err := f.entry("b", old).Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrInvalid)
	f.step(f.entry("c", 0), time.Second)
	qt.Assert(t, f.listed(), qt.Equals, `{"versions":["v1","v2"]}`)
}

// Guards against a call of the store for each stream that is taken up, and against callers that wait for a store that has just failed.
func TestTakeUpsShareCalls(t *testing.T) {
	f := newFleet("v1")
	j := f.entry("a", old)
	find := func(n int) {
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { _, _ = j.Find(context.Background(), time.Now(), service, "", fmt.Sprint(i)) })
		}
		wg.Wait()
	}
	f.store.slow = 20 * time.Millisecond
	find(50)
	qt.Assert(t, f.store.calls <= 3, qt.IsTrue, qt.Commentf("%d calls", f.store.calls))
	f.store.down, f.store.calls = true, 0
	start := time.Now()
	find(50)
	find(50)
	waited := time.Since(start)
	qt.Assert(t, f.store.calls <= 2+int(waited/(500*time.Millisecond)), qt.IsTrue, qt.Commentf("%d calls in %v", f.store.calls, waited))
}
