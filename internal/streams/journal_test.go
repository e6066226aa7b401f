package streams_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/streams"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const service = "models"

// store is an in-memory store of the entries' objects and of versions that counts its calls.
type store struct {
	fighollow.ObjectStore
	era      uint64
	revision uint64
	objects  map[string]fighollow.Object // of entries
	versions map[string]fighollow.Object // by service
	calls    int
	written  int // bytes of entries' objects
	down     bool
	slow     time.Duration // that a Get takes
	changed  func()        // called once after the next Get of versions, as another entry would write then; nil for none
}

func (s *store) Era() uint64 { return s.era }

func (s *store) kind(kind fighollow.Kind) map[string]fighollow.Object {
	if kind == fighollow.KindVersions {
		return s.versions
	}
	return s.objects
}

func (s *store) call() error {
	s.calls++
	if s.down {
		return fighollow.ErrUnavailable
	}
	return nil
}

func (s *store) Get(_ context.Context, kind fighollow.Kind, name string) (fighollow.Object, error) {
	time.Sleep(s.slow)
	if err := s.call(); err != nil {
		return fighollow.Object{}, err
	}
	o, ok := s.kind(kind)[name]
	if changed := s.changed; changed != nil && kind == fighollow.KindVersions {
		s.changed = nil
		changed()
	}
	if !ok {
		return o, fighollow.ErrNotFound
	}
	return o, nil
}

func (s *store) List(context.Context, fighollow.Kind) (out []fighollow.Object, version uint64, err error) {
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out, fighollow.NewVersion(s.era, s.revision), s.call()
}

func (s *store) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	if err := s.call(); err != nil {
		return 0, err
	}
	objects := s.kind(o.Kind)
	if objects[o.Name].Version != expected {
		return 0, fighollow.ErrConflict
	}
	s.revision++
	o.Version = fighollow.NewVersion(s.era, s.revision)
	objects[o.Name] = o
	if o.Kind != fighollow.KindVersions {
		s.written += len(o.Value)
	}
	return o.Version, nil
}

func (s *store) Delete(_ context.Context, _ fighollow.Kind, name string, expected uint64) (uint64, error) {
	if s.objects[name].Version != expected {
		return 0, fighollow.ErrConflict
	}
	delete(s.objects, name)
	return fighollow.NewVersion(s.era, s.revision), s.call()
}

// fleet is journals of entries that share a store.
type fleet struct {
	store    *store
	serving  []string            // versions of the upstreams, as the entries that step next know them
	missed   []string            // versions of upstreams of which these entries have not heard
	admitted map[string][]string // versions at which an entry may begin streams
	now      time.Time
}

func newFleet(serving ...string) *fleet {
	return &fleet{
		store:   &store{objects: make(map[string]fighollow.Object), versions: make(map[string]fighollow.Object)},
		serving: serving, admitted: make(map[string][]string), now: time.Now(),
	}
}

// entry starts an entry's process.
func (f *fleet) entry(name string, age time.Duration) *streams.Journal {
	return f.entryOf(name, age, nil)
}

// entryOf is entry for one with peers.
func (f *fleet) entryOf(name string, age time.Duration, peers fighollow.StreamPeers) *streams.Journal {
	return streams.New(streams.Options{
		Self: name, Started: f.now.Add(-age), Entries: func() int { return 3 },
		Services: func() []string { return []string{service} },
		Versions: func(time.Time, string) []string { return f.serving },
		Peers:    peers,
		Registered: func(context.Context, string) ([]string, error) {
			return slices.Concat(f.serving, f.missed), f.store.call()
		},
		Admit: func(_ string, versions []string) { f.admitted[name] = versions },
	}, f.store, zerolog.Nop())
}

// step lets an entry write, after so long.
func (f *fleet) step(j *streams.Journal, after time.Duration) {
	f.now = f.now.Add(after)
	j.Step(context.Background(), f.now)
}

const old = time.Hour // age of a process that has seen all versions

// Guards against streams that can't be taken up at other entries, or go on at another version.
func TestFind(t *testing.T) {
	ctx := context.Background()
	for _, test := range []struct {
		name  string
		mixed bool          // several versions serve
		age   time.Duration // of the entry that is asked
		begun bool          // at another entry, with version v1
		down  bool          // the store
		want  string
		err   error
	}{
		{name: "one version", age: old, begun: true, want: "v1"},
		{name: "one version, unknown stream, young process", want: "v1"},
		{name: "one version, young process, store away", down: true, err: fighollow.ErrUnavailable},
		{name: "one version, store away", age: old, begun: true, down: true, err: fighollow.ErrUnavailable},
		{name: "several versions", mixed: true, age: old, begun: true, want: "v1"},
		{name: "several versions, young process", mixed: true, begun: true, want: "v1"},
		{name: "several versions, unknown stream", mixed: true, age: old, err: streams.ErrUnknown},
		{name: "several versions, store away", mixed: true, age: old, begun: true, down: true, err: fighollow.ErrUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet("v1")
			if test.mixed {
				f.serving = []string{"v1", "v2"}
			}
			first := f.entry("a", old)
			first.Begin(f.now, service, "", "other", "v2")
			if test.begun {
				first.Begin(f.now, service, "", "s", "v1")
			}
			f.step(first, time.Second)
			f.store.down = test.down
			version, err := f.entry("b", test.age).Find(ctx, f.now, service, "", "s")
			qt.Assert(t, errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, version, qt.Equals, test.want)
		})
	}
}

// Guards against a young process that lets a stream go on at the only version left although another began it.
func TestFindAfterARelease(t *testing.T) {
	f := newFleet("v1", "v2")
	first := f.entry("a", old)
	first.Begin(f.now, service, "", "s", "v1")
	f.step(first, time.Second)
	young := f.entry("b", 0)
	f.serving = []string{"v2"} // as the young process sees it
	version, err := young.Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, "v1")
	_, err = young.Find(context.Background(), f.now, service, "", "unknown")
	qt.Assert(t, err, qt.ErrorIs, streams.ErrUnknown)
}

// Guards against streams that are forgotten because their entry started again and wrote its object anew.
func TestRestartedEntryKeepsItsStreams(t *testing.T) {
	f := newFleet("v1", "v2")
	before := f.entry("a", old)
	before.Begin(f.now, service, "", "s", "v1")
	f.step(before, time.Second)
	after := f.entry("a", 0)
	after.Begin(f.now, service, "", "t", "v2")
	f.step(after, time.Second)
	f.step(after, time.Second)
	for id, want := range map[string]string{"s": "v1", "t": "v2"} {
		version, err := f.entry("b", old).Find(context.Background(), f.now, service, "", id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, version, qt.Equals, want)
	}
}

// Guards against a stream that began before a second version came and is not written.
func TestStreamsAreWrittenOnceAnotherVersionComes(t *testing.T) {
	f := newFleet("v1")
	j := f.entry("a", old)
	j.Begin(f.now, service, "", "s", "v1")
	f.step(j, time.Second)
	qt.Assert(t, f.store.objects, qt.HasLen, 0)
	f.serving = []string{"v1", "v2"}
	f.step(j, time.Second)
	version, err := f.entry("b", old).Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, "v1")
}

// Guards against calls of the store for each stream, and against objects and traffic that grow with all streams ever begun.
func TestManyStreamsCostFewCalls(t *testing.T) {
	const life, played = 600 * time.Millisecond, 100 * time.Second
	const allowedBytes = 4096.0 * 350 / 2200 // a stream: 4 KB a second and node for control, 350 nodes, 2,200 requests a second in all
	for _, perSecond := range []int{20, 1000} {
		f := newFleet("v1", "v2")
		j := f.entry("a", old)
		gap := time.Second / time.Duration(perSecond)
		for i := range int(played / gap) {
			j.Begin(f.now, service, "", fmt.Sprint(i), "v1")
			if ended := i - int(life/gap); ended >= 0 {
				j.End(f.now, service, "", fmt.Sprint(ended), ended%100 > 0)
			}
			f.step(j, gap)
		}
		// One write in 200 ms, one search for objects of ended entries in a minute; the versions are read and written once.
		const writes, reads, searches, versions = 100_000 / 200, 1, 3, 2
		qt.Check(t, f.store.calls <= writes+reads+searches+versions, qt.IsTrue, qt.Commentf("%d calls in 100 s", f.store.calls))
		perStream := float64(f.store.written) / float64(played/gap)
		t.Logf("%d streams a second: %d calls, %.0f bytes a second, %.0f bytes a stream", perSecond, f.store.calls, float64(f.store.written)/played.Seconds(), perStream)
		qt.Check(t, perStream <= allowedBytes, qt.IsTrue, qt.Commentf("%.0f bytes a stream", perStream))
	}
}

// Guards against objects of entries that have ended staying for good, and against garbage in them.
func TestObjectsOfEndedEntriesLapse(t *testing.T) {
	f := newFleet("v1", "v2")
	f.store.objects["gone"] = fighollow.Object{Name: "gone", Version: 1, Value: []byte(`{"models":{"v1":["z-z"]}}`)}
	f.store.objects["bad"] = fighollow.Object{Name: "bad", Version: 1, Value: []byte(`[`)}
	j := f.entry("a", 0)
	_, err := j.Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.ErrorIs, streams.ErrUnknown)
	for range 4 {
		f.step(j, time.Minute)
	}
	qt.Assert(t, f.store.objects, qt.HasLen, 0)
}
