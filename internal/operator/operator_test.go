package operator_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/operator"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

type testEnv struct {
	server *objects.Server
	client *objectapi.Client
	ctx    context.Context
	now    time.Time
}

func newTestEnv(t *testing.T) *testEnv {
	s := objects.New(objects.Options{})
	qt.Assert(t, s.Load([]fighollow.Object{
		{Kind: fighollow.KindInstance, Name: "engine-1", Value: []byte(`{"id": "engine-1", "kind": "engine", "dataCentre": "hall-a"}`)},
		{Kind: fighollow.KindInstance, Name: "entry-1", Value: []byte(`{"id": "entry-1", "kind": "entry", "dataCentre": "hall-a"}`)},
	}), qt.IsNil)
	hs := httptest.NewServer(s)
	c := objectapi.New(objectapi.Options{Address: strings.TrimPrefix(hs.URL, "http://"), Timeout: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(func() {
		cancel()
		c.Close()
		hs.CloseClientConnections()
		hs.Close()
	})
	return &testEnv{server: s, client: c, ctx: ctx, now: time.UnixMilli(1_000_000)}
}

func (e *testEnv) operator(name string) *operator.Operator { return operator.New(e.client, name) }

func preset(name string) fighollow.Preset {
	return fighollow.Preset{Name: name, Models: []fighollow.PresetModel{{Model: "uw-models", ModelVersion: "v1", MinEngines: 1}}}
}

// Guards against concurrent UsePreset calls that both succeed, and against a conflict error that does not name the
// preset in force and who chose it.
func TestRaceOfOperatorsHasOneWinner(t *testing.T) {
	e := newTestEnv(t)
	names := []string{"ana", "bea", "caio", "davi"}
	for _, n := range names {
		_, err := e.operator(n).PutPreset(e.ctx, preset("of-"+n))
		qt.Assert(t, err, qt.IsNil)
	}
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, n := range names {
		wg.Go(func() { _, errs[i] = e.operator(n).UsePreset(e.ctx, e.now, "of-"+n, 0) })
	}
	wg.Wait()
	f, _, err := e.operator("check").InForce(e.ctx)
	qt.Assert(t, err, qt.IsNil)
	winners := 0
	for i, n := range names {
		if errs[i] == nil {
			winners++
			qt.Assert(t, f.ChosenBy, qt.Equals, n)
			continue
		}
		qt.Assert(t, errs[i], qt.ErrorIs, operator.ErrConflict)
		qt.Assert(t, errs[i].Error(), qt.Contains, fmt.Sprintf("preset %s is in force, chosen by %s", f.Preset.Name, f.ChosenBy))
	}
	qt.Assert(t, winners, qt.Equals, 1)
}

// Guards against UsePreset failing although the write took effect and only its response was lost.
func TestLostAnswerOfAChoiceIsSuccess(t *testing.T) {
	e := newTestEnv(t)
	o := e.operator("ana")
	_, err := o.PutPreset(e.ctx, preset("peak"))
	qt.Assert(t, err, qt.IsNil)
	e.server.SetControl(objects.Control{LoseWrites: 1})
	version, err := o.UsePreset(e.ctx, e.now, "peak", 0)
	qt.Assert(t, err, qt.IsNil)
	f, storedVersion, err := o.InForce(e.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, storedVersion, qt.Equals, version)
	qt.Assert(t, f.ChosenBy, qt.Equals, "ana")
}

// Guards against storing an invalid preset and against putting an unknown preset in force.
func TestBadPresetsAreRefused(t *testing.T) {
	e := newTestEnv(t)
	o := e.operator("ana")
	_, err := o.UsePreset(e.ctx, e.now, "missing", 0)
	qt.Assert(t, err, qt.ErrorIs, operator.ErrNoSuchPreset)
	p := preset("bad")
	p.Models = append(p.Models, p.Models[0])
	_, err = o.PutPreset(e.ctx, p)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrInvalid)
	qt.Assert(t, err.Error(), qt.Contains, "models[1].model")
}

// Guards against draining an instance that is not an engine, and against a drain or restore that stores a wrong state.
// Without an incarnation in a replace request, no successor would ever be in service.
func TestDrainAndRestore(t *testing.T) {
	e := newTestEnv(t)
	o := e.operator("ana")
	qt.Assert(t, o.Drain(e.ctx, e.now, "entry-1", fighollow.ActionDrain), qt.ErrorIs, operator.ErrNoSuchEngine)
	qt.Assert(t, o.Drain(e.ctx, e.now, "engine-1", fighollow.ActionDrain), qt.IsNil)
	qt.Assert(t, o.Drain(e.ctx, e.now, "engine-1", fighollow.ActionReplace), qt.IsNil)
	engines, err := o.Engines(e.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, engines[0].Drain.Incarnation, qt.Equals, e.now.UnixMilli(), qt.Commentf("without it no successor would be in service"))
	qt.Assert(t, o.Drain(e.ctx, e.now, "engine-1", fighollow.ActionWithdraw), qt.IsNil)
	s, err := o.Status(e.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Engines, qt.HasLen, 1)
	qt.Assert(t, s.Engines[0].Drain.Action, qt.Equals, fighollow.ActionWithdraw)
	qt.Assert(t, o.Restore(e.ctx, "engine-1"), qt.IsNil)
	qt.Assert(t, o.Restore(e.ctx, "engine-1"), qt.IsNil)
	s, err = o.Status(e.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Engines[0].Drain, qt.IsNil)
	qt.Assert(t, s.Instances, qt.HasLen, 1)
}
