package emulator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// registrations is an in-memory store of entries' registrations.
type registrations struct {
	version uint64
	objects map[string]fighollow.Object
	states  []registrationState // of objects after each write, oldest first
}

type registrationState struct {
	at      time.Time
	objects map[string]fighollow.Object
}

// storeClient is one entry's access to the store.
type storeClient struct {
	fighollow.ObjectStore
	*registrations
	clock *Clock
	entry *LimitEntry
}

func (s *storeClient) Get(_ context.Context, _ fighollow.Kind, name string) (fighollow.Object, error) {
	o, ok := s.objects[name]
	if s.entry.Cut || !ok {
		return o, fighollow.ErrNotFound
	}
	return o, nil
}

func (s *storeClient) Put(_ context.Context, o fighollow.Object, expected uint64) (uint64, error) {
	switch {
	case s.entry.Cut:
		return 0, fighollow.ErrUnavailable
	case s.objects[o.Name].Version != expected:
		return 0, fighollow.ErrConflict
	}
	s.version++
	o.Version = s.version
	s.objects[o.Name] = o
	s.states = append(s.states, registrationState{s.clock.Now, maps.Clone(s.objects)})
	return o.Version, nil
}

func (s *storeClient) Delete(_ context.Context, _ fighollow.Kind, name string, _ uint64) (uint64, error) {
	delete(s.objects, name)
	return 0, nil
}

func (s *storeClient) List(context.Context, fighollow.Kind) ([]fighollow.Object, uint64, error) {
	if s.entry.Cut {
		return nil, 0, fighollow.ErrUnavailable
	}
	var out []fighollow.Object
	for _, st := range slices.Backward(s.states) {
		if st.at.After(s.clock.Now.Add(-s.entry.Lag)) {
			continue
		}
		for _, o := range st.objects {
			out = append(out, o)
		}
		break
	}
	return out, s.version, nil
}
