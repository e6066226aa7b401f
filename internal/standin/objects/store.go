// Package objects is an in-memory stand-in for the object API of the platform, for tests and the local quick start. It can inject
// the faults that the real API has.
package objects

import (
	"encoding/json"
	"errors"
	"sort"
	"sync"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Bounds of the history, the record and a reply to a watch.
const (
	DefaultHistory  = 10_000  // writes
	maxRecord       = 100_000 // writes
	maxWatchObjects = 1000
	maxWatchBytes   = 8 << 20
)

var errExpired = errors.New("objects: history expired")

// Write is an entry of the record: a conditional write that was applied or refused, in the order of the decisions.
type Write struct {
	Seq      int    `json:"seq"`
	AtMs     int64  `json:"atMs"`
	Writer   string `json:"writer"` // the X-Writer header
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Expected uint64 `json:"expected"`
	Version  uint64 `json:"version"` // 0 on a version conflict
	Deleted  bool   `json:"deleted,omitempty"`
	WriteID  string `json:"writeId,omitempty"` // the writeId field of the value, if it has one
	Lost     bool   `json:"lost,omitempty"`    // the reply was withheld
	// Value is the written value. It is kept for the first 10,000 writes of the record only.
	Value json.RawMessage `json:"value,omitempty"`
}

type key struct {
	kind fighollow.Kind
	name string
}

// store holds the objects, a bounded history of writes and the record. It is safe for concurrent use.
type store struct {
	mu           sync.Mutex
	version      uint64
	objects      map[key]fighollow.Object
	history      []fighollow.Object // the newest writes, in the order of versions
	historyLimit int                // in writes
	oldest       uint64             // watches after a version below this one have expired
	changed      chan struct{}      // closed and replaced at each write
	record       []Write
}

func newStore(limit int) *store {
	if limit <= 0 {
		limit = DefaultHistory
	}
	return &store{objects: make(map[key]fighollow.Object), historyLimit: limit, changed: make(chan struct{})}
}

func (s *store) get(k key) (fighollow.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
	return o, ok
}

func (s *store) list(kind fighollow.Kind) ([]fighollow.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []fighollow.Object{}
	for k, o := range s.objects {
		if kind == "" || k.kind == kind {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out, s.version
}

// write applies a conditional write, if the versions match, and records it. It returns the new version, or 0 on a version conflict.
func (s *store) write(w Write, o fighollow.Object) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Name}
	if s.objects[k].Version == w.Expected && (!o.Deleted || w.Expected != 0) {
		s.version++
		o.Version, w.Version = s.version, s.version
		if o.Deleted {
			delete(s.objects, k)
		} else {
			s.objects[k] = o
		}
		s.appendHistory(o)
	}
	if len(s.record) < maxRecord {
		w.Seq = len(s.record) + 1
		if w.Seq > maxRecord/10 {
			w.Value = nil
		}
		s.record = append(s.record, w)
	}
	return w.Version
}

func (s *store) appendHistory(o fighollow.Object) {
	s.history = append(s.history, o)
	if len(s.history) > s.historyLimit {
		s.oldest = s.history[0].Version
		s.history[0] = fighollow.Object{}
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the writes after a version, within the bounds of a reply, and a channel that is closed at the next write. It
// returns errExpired when the history no longer reaches back to that version.
func (s *store) since(after uint64) ([]fighollow.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, nil, errExpired
	}
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	var out []fighollow.Object
	bytes := 0
	for _, o := range s.history[i:] {
		bytes += len(o.Value)
		if len(out) == maxWatchObjects || len(out) > 0 && bytes > maxWatchBytes {
			break
		}
		out = append(out, o)
	}
	return out, s.changed, nil
}

func (s *store) writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Write{}, s.record...)
}
