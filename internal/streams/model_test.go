package streams_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/streams"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	modelEntries = 3
	// maxOutOfStep bounds how long an entry does not hear of upstreams, or does not reach the store.
	maxOutOfStep = 20 * time.Second
	// leavingTime is how long engines that have left the store's list still serve.
	leavingTime = 5 * time.Second
	// takeUpTime is how long after its beginning a stream is taken up.
	takeUpTime = 30 * time.Second
	// rememberTime is how long entries remember versions of upstreams.
	rememberTime = time.Minute
)

// modelStore is an entry's way to the store.
type modelStore struct {
	*store
	cut       bool
	loseReply bool // the next write takes effect without an answer
}

func (s *modelStore) Get(ctx context.Context, kind fighollow.Kind, name string) (fighollow.Object, error) {
	if s.cut {
		return fighollow.Object{}, fighollow.ErrUnavailable
	}
	return s.store.Get(ctx, kind, name)
}

func (s *modelStore) List(ctx context.Context, kind fighollow.Kind) ([]fighollow.Object, uint64, error) {
	if s.cut {
		return nil, 0, fighollow.ErrUnavailable
	}
	return s.store.List(ctx, kind)
}

func (s *modelStore) Put(ctx context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	if s.cut {
		return 0, fighollow.ErrUnavailable
	}
	version, err := s.store.Put(ctx, o, expected)
	if s.loseReply && err == nil {
		s.loseReply = false
		return 0, fighollow.ErrUnknownOutcome
	}
	return version, err
}

// modelEntry is an entry with what it knows of upstreams.
type modelEntry struct {
	*streams.Journal
	name     string
	store    *modelStore
	view     []string             // versions of the upstreams
	viewAt   time.Time            // when it last heard of them
	seen     map[string]time.Time // by version
	admitted []string
}

// modelStream is a stream with the version that began it.
type modelStream struct {
	id, version string
	at          time.Time
	entry       *modelEntry
}

// model is a deployment: what is true, and what its entries know.
type model struct {
	store   *store
	entries [modelEntries]*modelEntry
	listed  []string             // versions of the upstreams that the store lists
	serving map[string]time.Time // until when engines of a version that has left serve; zero for those that are listed
	streams []modelStream
	begun   int
}

// start starts an entry's process anew.
func (m *model) start(i int) {
	e := &modelEntry{name: fmt.Sprint("entry-", i), store: &modelStore{store: m.store}, viewAt: time.Now(), seen: make(map[string]time.Time)}
	e.Journal = streams.New(streams.Options{
		Self: e.name, Started: time.Now(), Entries: func() int { return modelEntries },
		Services: func() []string { return []string{service} },
		Versions: func(now time.Time, _ string) []string { return e.versions(now) },
		Registered: func(context.Context, string) ([]string, error) {
			if e.store.cut {
				return nil, fighollow.ErrUnavailable
			}
			return m.listed, nil
		},
		Admit: func(_ string, versions []string) { e.admitted = versions },
	}, e.store, zerolog.Nop())
	m.entries[i] = e
	m.hear(e)
}

// versions returns what an entry knows of the upstreams' versions.
func (e *modelEntry) versions(now time.Time) []string {
	for _, v := range e.view {
		e.seen[v] = now
	}
	for v, at := range e.seen {
		if now.Sub(at) > rememberTime {
			delete(e.seen, v)
		}
	}
	return slices.Sorted(maps.Keys(e.seen))
}

// hear makes an entry know the upstreams as the store lists them.
func (m *model) hear(e *modelEntry) {
	if !e.store.cut {
		e.versions(time.Now())
		e.view, e.viewAt = slices.Clone(m.listed), time.Now()
	}
}

// isServing reports whether engines of a version serve.
func (m *model) isServing(version string) bool {
	until, ok := m.serving[version]
	return ok && (until.IsZero() || time.Now().Before(until))
}

// begin begins a stream at an entry as the placement does while there are engines of versions that it may use.
func (m *model) begin(t *rapid.T, e *modelEntry) {
	var usable []string
	for _, v := range e.view {
		if slices.Contains(e.admitted, v) && m.isServing(v) {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return
	}
	m.begun++
	s := modelStream{id: fmt.Sprint("stream-", m.begun), version: rapid.SampledFrom(usable).Draw(t, "version"), at: time.Now(), entry: e}
	e.Begin(time.Now(), service, "", s.id, s.version)
	m.streams = append(m.streams, s)
}

// takeUp takes a stream up at an entry and checks that it goes on at its own version, if it does.
func (m *model) takeUp(t *rapid.T, e *modelEntry) {
	m.streams = slices.DeleteFunc(m.streams, func(s modelStream) bool { return time.Since(s.at) > takeUpTime })
	if len(m.streams) == 0 {
		return
	}
	s := rapid.SampledFrom(m.streams).Draw(t, "stream")
	version, err := e.Find(context.Background(), time.Now(), service, "", s.id)
	if err != nil {
		return
	}
	for _, v := range e.view {
		if (v == version || version == "") && v != s.version && m.isServing(v) {
			t.Fatalf("%s, begun at %s at %s, goes on at %s at %s", s.id, s.version, s.entry.name, v, e.name)
		}
	}
}

// actions returns what happens in the model.
func (m *model) actions() map[string]func(*rapid.T) {
	entry := func(t *rapid.T) *modelEntry { return m.entries[rapid.IntRange(0, modelEntries-1).Draw(t, "entry")] }
	version := func(t *rapid.T) string { return rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version") }
	return map[string]func(*rapid.T){
		"join": func(t *rapid.T) {
			v := version(t)
			if !slices.Contains(m.listed, v) {
				m.listed = append(m.listed, v)
			}
			m.serving[v] = time.Time{}
		},
		"leave": func(t *rapid.T) {
			v := version(t)
			if i := slices.Index(m.listed, v); i >= 0 {
				m.listed = slices.Delete(slices.Clone(m.listed), i, i+1)
				m.serving[v] = time.Now().Add(leavingTime)
			}
		},
		"hear":   func(t *rapid.T) { m.hear(entry(t)) },
		"cut":    func(t *rapid.T) { entry(t).store.cut = true },
		"heal":   func(t *rapid.T) { entry(t).store.cut = false },
		"lose":   func(t *rapid.T) { entry(t).store.loseReply = true },
		"step":   func(t *rapid.T) { entry(t).Step(context.Background(), time.Now()) },
		"begin":  func(t *rapid.T) { m.begin(t, entry(t)) },
		"takeUp": func(t *rapid.T) { m.takeUp(t, entry(t)) },
		"kill":   func(t *rapid.T) { m.start(rapid.IntRange(0, modelEntries-1).Draw(t, "entry")) },
		"killAll": func(*rapid.T) {
			for i := range m.entries {
				m.start(i)
			}
		},
		"wait":     func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond) },
		"waitLong": func(t *rapid.T) { m.waitLong(time.Duration(rapid.IntRange(10, 70).Draw(t, "s")) * time.Second) },
		"": func(*rapid.T) {
			for _, e := range m.entries {
				if time.Since(e.viewAt) > maxOutOfStep {
					e.store.cut = false
					m.hear(e)
				}
			}
		},
	}
}

// waitLong lets time pass in which all entries are in step.
func (m *model) waitLong(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Second) {
		for _, e := range m.entries {
			e.store.cut = false
			m.hear(e)
			e.Step(context.Background(), time.Now())
		}
	}
}

// inBubble runs f with simulated time. Its panics, by which rapid ends a case, pass through.
func inBubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

// Guards against a stream that goes on at another version, whatever entries know of upstreams and whichever calls of the store fail.
func TestTakeUpsNeverJoinVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			m := &model{
				store:  &store{objects: make(map[string]fighollow.Object), versions: make(map[string]fighollow.Object)},
				listed: []string{"v1"}, serving: map[string]time.Time{"v1": {}},
			}
			for i := range m.entries {
				m.start(i)
			}
			rt.Repeat(m.actions())
		})
	})
}
