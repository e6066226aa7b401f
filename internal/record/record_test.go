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

func start(t *testing.T) (*objects.Server, *objectapi.Client, context.Context) {
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

func value(id string) fighollow.Object {
	return fighollow.Object{Kind: fighollow.KindInForce, Name: fighollow.InForceName, Value: fmt.Appendf(nil, `{"writeId":%q}`, id)}
}

func effects(s *objects.Server, id string) (n int) {
	for _, w := range s.Record() {
		if w.WriteID == id && w.Version != 0 {
			n++
		}
	}
	return n
}

// Guards against a write that took effect being repeated or reported as failed because its answer was lost.
func TestLostAnswerIsOwnSuccess(t *testing.T) {
	s, c, ctx := start(t)
	s.SetControl(objects.Control{LoseWrites: 1})
	v, err := record.Put(ctx, c, value("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.Equals, uint64(1))
	qt.Assert(t, effects(s, "one"), qt.Equals, 1)
}

// Guards against a delayed first write and its repetition both taking effect.
func TestDelayedWriteTakesEffectOnce(t *testing.T) {
	s, c, ctx := start(t)
	s.SetControl(objects.Control{HoldWrites: 1})
	v, err := record.Put(ctx, c, value("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	next, err := record.Put(ctx, c, value("two"), v)
	qt.Assert(t, err, qt.IsNil)
	s.SetControl(objects.Control{})
	for len(s.Record()) < 3 {
		qt.Assert(t, ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, effects(s, "one"), qt.Equals, 1)
	o, err := c.Get(ctx, fighollow.KindInForce, fighollow.InForceName)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Version, qt.Equals, next)
}

// Guards against a writer that takes another writer's value for its own.
func TestAnotherWritersValueMeansOvertaken(t *testing.T) {
	s, c, ctx := start(t)
	s.SetControl(objects.Control{HoldWrites: 1})
	done := make(chan error, 1)
	go func() {
		_, err := record.Put(ctx, c, value("slow"), 0)
		done <- err
	}()
	for s.Control().HoldWrites != 0 {
		qt.Assert(t, ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	_, err := record.Put(ctx, c, value("fast"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-done, qt.ErrorIs, record.ErrOvertaken)
	_, err = record.Put(ctx, c, value("late"), 0)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrConflict)
}

// Guards against a definite answer about a write while the API cannot be read.
func TestOutageAfterSendingStaysUnknown(t *testing.T) {
	s, c, _ := start(t)
	s.SetControl(objects.Control{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := record.Put(ctx, c, value("one"), 0)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrUnknownOutcome)
}

// Guards against a delete whose lost answer makes the caller believe that the object is still there.
func TestDeleteSettlesALostAnswer(t *testing.T) {
	s, c, ctx := start(t)
	v, err := record.Put(ctx, c, value("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	s.SetControl(objects.Control{LoseWrites: 1})
	_, err = record.Delete(ctx, c, fighollow.KindInForce, fighollow.InForceName, v)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Get(ctx, fighollow.KindInForce, fighollow.InForceName)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrNotFound)
}
