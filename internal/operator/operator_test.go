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

type bench struct {
	server *objects.Server
	client *objectapi.Client
	ctx    context.Context
	now    time.Time
}

func start(t *testing.T) *bench {
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
	return &bench{server: s, client: c, ctx: ctx, now: time.UnixMilli(1_000_000)}
}

func (b *bench) operator(name string) *operator.Operator { return operator.New(b.client, name) }

func preset(name string) fighollow.Preset {
	return fighollow.Preset{Name: name, Models: []fighollow.PresetModel{{Model: "uw-models", ModelVersion: "v1", MinEngines: 1}}}
}

// Guards against two operators who both believe that their preset is in force, and a loser who is not told of the winner.
func TestRaceOfOperatorsHasOneWinner(t *testing.T) {
	b := start(t)
	names := []string{"ana", "bea", "caio", "davi"}
	for _, n := range names {
		_, err := b.operator(n).PutPreset(b.ctx, preset("of-"+n))
		qt.Assert(t, err, qt.IsNil)
	}
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, n := range names {
		wg.Go(func() { _, errs[i] = b.operator(n).UsePreset(b.ctx, b.now, "of-"+n, 0) })
	}
	wg.Wait()
	f, _, err := b.operator("check").InForce(b.ctx)
	qt.Assert(t, err, qt.IsNil)
	winners := 0
	for i, n := range names {
		if errs[i] == nil {
			winners++
			qt.Assert(t, f.ChosenBy, qt.Equals, n)
			continue
		}
		qt.Assert(t, errs[i], qt.ErrorIs, operator.ErrLostRace)
		qt.Assert(t, errs[i].Error(), qt.Contains, fmt.Sprintf("preset %s is in force, chosen by %s", f.Preset.Name, f.ChosenBy))
	}
	qt.Assert(t, winners, qt.Equals, 1)
}

// Guards against an operator being told that a choice failed although it took effect and only its answer was lost.
func TestLostAnswerOfAChoiceIsSuccess(t *testing.T) {
	b := start(t)
	o := b.operator("ana")
	_, err := o.PutPreset(b.ctx, preset("peak"))
	qt.Assert(t, err, qt.IsNil)
	b.server.SetControl(objects.Control{LoseWrites: 1})
	version, err := o.UsePreset(b.ctx, b.now, "peak", 0)
	qt.Assert(t, err, qt.IsNil)
	f, stored, err := o.InForce(b.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stored, qt.Equals, version)
	qt.Assert(t, f.ChosenBy, qt.Equals, "ana")
}

// Guards against an invalid or unknown preset being put in force.
func TestBadPresetsAreRefused(t *testing.T) {
	b := start(t)
	o := b.operator("ana")
	_, err := o.UsePreset(b.ctx, b.now, "missing", 0)
	qt.Assert(t, err, qt.ErrorIs, operator.ErrNoSuchPreset)
	p := preset("bad")
	p.Models = append(p.Models, p.Models[0])
	_, err = o.PutPreset(b.ctx, p)
	qt.Assert(t, err, qt.ErrorIs, fighollow.ErrInvalid)
	qt.Assert(t, err.Error(), qt.Contains, "models[1].model")
}

// Guards against a drain of something that is no engine, and a drain or restore that leaves the wrong state.
func TestDrainAndRestore(t *testing.T) {
	b := start(t)
	o := b.operator("ana")
	qt.Assert(t, o.Drain(b.ctx, b.now, "entry-1", fighollow.ActionDrain), qt.ErrorIs, operator.ErrNoSuchEngine)
	qt.Assert(t, o.Drain(b.ctx, b.now, "engine-1", fighollow.ActionDrain), qt.IsNil)
	qt.Assert(t, o.Drain(b.ctx, b.now, "engine-1", fighollow.ActionReplace), qt.IsNil)
	rows, err := o.Engines(b.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows[0].Drain.Incarnation, qt.Equals, b.now.UnixMilli(), qt.Commentf("no successor would ever serve"))
	qt.Assert(t, o.Drain(b.ctx, b.now, "engine-1", fighollow.ActionWithdraw), qt.IsNil)
	s, err := o.Status(b.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Engines, qt.HasLen, 1)
	qt.Assert(t, s.Engines[0].Drain.Action, qt.Equals, fighollow.ActionWithdraw)
	qt.Assert(t, o.Restore(b.ctx, "engine-1"), qt.IsNil)
	qt.Assert(t, o.Restore(b.ctx, "engine-1"), qt.IsNil)
	s, err = o.Status(b.ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Engines[0].Drain, qt.IsNil)
	qt.Assert(t, s.Instances, qt.HasLen, 1)
}
