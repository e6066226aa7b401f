package streams_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// told is the peers of an entry: what they were told, and what they answer.
type told struct {
	origins []fighollow.StreamOrigin
	known   map[uint64]string
}

func (p *told) Tell(o fighollow.StreamOrigin) { p.origins = append(p.origins, o) }

func (p *told) Ask(_ context.Context, _ string, stream uint64) (string, bool) {
	v, ok := p.known[stream]
	return v, ok
}

// Guards against streams that are lost with an entry that cannot reach the store.
func TestPeersKnowStreams(t *testing.T) {
	f := newFleet("v1", "v2")
	var p, none told
	a, b := f.entryOf("a", old, &p), f.entryOf("b", old, &none)
	f.store.down = true
	a.Begin(f.now, service, "", "s", "v1")
	qt.Assert(t, p.origins, qt.HasLen, 1)
	b.Remember(f.now, p.origins[0])
	version, err := b.Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, "v1")
	c := f.entryOf("c", old, &told{known: map[uint64]string{p.origins[0].Stream: "v1"}})
	version, err = c.Find(context.Background(), f.now, service, "", "s")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, "v1")
	_, err = b.Find(context.Background(), f.now, service, "", "t")
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrUnavailable)
}

// Guards against a long stream whose copies were forgotten or have ended with their entries.
func TestLongStreamsAreToldAgain(t *testing.T) {
	f := newFleet("v1")
	var p told
	a := f.entryOf("a", old, &p)
	a.Begin(f.now, service, "", "long", "v1")
	a.Begin(f.now, service, "", "short", "v1")
	a.End(f.now.Add(time.Second), service, "", "short", true)
	for range 60 {
		f.step(a, time.Second)
	}
	qt.Assert(t, len(p.origins) >= 4, qt.IsTrue, qt.Commentf("%d messages in a minute", len(p.origins)))
	qt.Assert(t, len(p.origins) <= 5, qt.IsTrue, qt.Commentf("%d messages in a minute", len(p.origins)))
	for _, o := range p.origins[2:] {
		qt.Assert(t, o, qt.Equals, p.origins[0])
	}
}

// Guards against memory that grows with all streams ever told, and against copies that are forgotten at once where there are many.
func TestCopiesAreBounded(t *testing.T) {
	f := newFleet("v1")
	var p told
	j := f.entryOf("a", old, &p)
	remember := func(stream uint64) {
		j.Remember(f.now, fighollow.StreamOrigin{Service: service, Stream: stream, Version: "v1"})
	}
	for s := range uint64(40_000) {
		remember(s)
	}
	known := 0
	for s := range uint64(40_000) {
		if _, ok := j.Recall(service, s); ok {
			known++
		}
	}
	qt.Assert(t, known <= 2*8192, qt.IsTrue, qt.Commentf("%d copies", known))
	_, ok := j.Recall(service, 40_000-8192)
	qt.Assert(t, ok, qt.IsTrue)
	for i := range uint64(3) {
		f.now = f.now.Add(31 * time.Second)
		remember(50_000 + i)
	}
	for stream, want := range map[uint64]bool{39_999: false, 50_000: false, 50_001: true, 50_002: true} {
		_, ok := j.Recall(service, stream)
		qt.Check(t, ok, qt.Equals, want, qt.Commentf(fmt.Sprint(stream)))
	}
}

// Guards against a stream that another workspace can take up because its callers use the same ids, here or by what peers are told, and
// against hashes that are not those of entries without workspaces.
func TestStreamsOfWorkspacesAreTheirOwn(t *testing.T) {
	f := newFleet("v1", "v2")
	a := f.entry("a", old)
	a.Begin(f.now, service, "hule", "s", "v1")
	a.Begin(f.now, service, "fida", "s", "v2")
	for workspace, want := range map[string]string{"hule": "v1", "fida": "v2"} {
		version, err := a.Find(context.Background(), f.now, service, workspace, "s")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, version, qt.Equals, want)
	}
	const hash = 0xaf63ee4c86020b22 // FNV-1a of "s"
	_, ok := a.Recall(service, hash)
	qt.Check(t, ok, qt.IsFalse)
	a.Begin(f.now, service, "", "s", "v3")
	version, _ := a.Recall(service, hash)
	qt.Check(t, version, qt.Equals, "v3")
}
