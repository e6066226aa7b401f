package record_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/record"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func newStore(t *testing.T) (*objects.Server, *objectapi.Client, context.Context) {
	s := objects.New(objects.Options{})
	hs := httptest.NewServer(s)
	c := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(func() {
		cancel()
		s.SetControl(objects.Control{})
		c.Close()
		hs.CloseClientConnections()
		hs.Close()
	})
	return s, c, ctx
}

func object(writeID string) fighollow.Object {
	return fighollow.Object{Kind: fighollow.KindInForce, Name: fighollow.InForceName, Value: fmt.Appendf(nil, `{"writeId":%q}`, writeID)}
}

func appliedWrites(s *objects.Server, writeID string) (n int) {
	for _, w := range s.Record() {
		if w.WriteID == writeID && w.Version != 0 {
			n++
		}
	}
	return n
}

// Guards against a write that took effect being repeated, or reported as failed, because its response was lost.
func TestLostResponseCountsAsSuccess(t *testing.T) {
	s, c, ctx := newStore(t)
	s.SetControl(objects.Control{LoseWrites: 1})
	v, err := record.Put(ctx, c, object("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.Equals, uint64(1))
	qt.Assert(t, appliedWrites(s, "one"), qt.Equals, 1)
}

// Guards against a delayed first write and its repetition both taking effect.
func TestDelayedWriteTakesEffectOnce(t *testing.T) {
	s, c, ctx := newStore(t)
	s.SetControl(objects.Control{HoldWrites: 1})
	v, err := record.Put(ctx, c, object("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	next, err := record.Put(ctx, c, object("two"), v)
	qt.Assert(t, err, qt.IsNil)
	s.SetControl(objects.Control{})
	for len(s.Record()) < 3 {
		qt.Assert(t, ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, appliedWrites(s, "one"), qt.Equals, 1)
	o, err := c.Get(ctx, fighollow.KindInForce, fighollow.InForceName)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Version, qt.Equals, next)
}

// Guards against a writer that reports success although the object has another writer's value.
func TestAnotherWritersValueMeansOvertaken(t *testing.T) {
	s, c, ctx := newStore(t)
	s.SetControl(objects.Control{HoldWrites: 1})
	done := make(chan error, 1)
	go func() {
		_, err := record.Put(ctx, c, object("slow"), 0)
		done <- err
	}()
	for s.Control().HoldWrites != 0 {
		qt.Assert(t, ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	_, err := record.Put(ctx, c, object("fast"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-done, qt.ErrorIs, record.ErrSuperseded)
	_, err = record.Put(ctx, c, object("late"), 0)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrConflict)
}

// Guards against a definite outcome being reported for a write that was sent while the object cannot be read back.
func TestOutageAfterSendingStaysUnknown(t *testing.T) {
	s, c, _ := newStore(t)
	s.SetControl(objects.Control{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := record.Put(ctx, c, object("one"), 0)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrUnknownOutcome)
}

// Guards against a delete that took effect being reported as failed because its response was lost.
func TestDeleteSettlesALostAnswer(t *testing.T) {
	s, c, ctx := newStore(t)
	v, err := record.Put(ctx, c, object("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	s.SetControl(objects.Control{LoseWrites: 1})
	_, err = record.Delete(ctx, c, fighollow.KindInForce, fighollow.InForceName, v)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Get(ctx, fighollow.KindInForce, fighollow.InForceName)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrNotFound)
}
