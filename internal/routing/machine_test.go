package routing_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/routing"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// upstreamModel is the reference model of one engine: the events that the entry has observed, with their times.
type upstreamModel struct {
	listed          bool
	process         int64          // incarnation of the process at the engine's address
	leaving         map[int64]bool // incarnations that announced that they are leaving
	leavingLinkOpen bool           // the link of the leaving process is open
	leavingSeen     time.Time      // when that link closed, or when a later link reached the leaving process
	excludedUntil   time.Time      // a drain keeps work away before this time
	drainRefusals   int            // refusals because of draining since it last accepted an attempt
}

func (e *upstreamModel) exclude(until time.Time) {
	if until.After(e.excludedUntil) {
		e.excludedUntil = until
	}
}

// mayServe reports whether an attempt may be sent to the engine. certain is false where the router may be more cautious.
func (e *upstreamModel) mayServe(now time.Time) (may, certain bool) {
	if !e.listed || e.leaving[e.process] || now.Before(e.excludedUntil) {
		return false, true
	}
	cautious := len(e.leaving) > 0 && (e.leavingLinkOpen || now.Sub(e.leavingSeen) < 3*time.Second)
	return true, !cautious
}

// Guards against work sent to an upstream that is leaving, draining or not listed, and against finding no upstream while
// one is available, after any sequence of announcements, refusals, restarts, broken links and changes of the list.
func TestRoutingMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		r := routing.New("entry-1", "dc", routing.Options{})
		ids := []string{"e0", "e1", "e2", "e3"}
		fleet := make(map[string]*upstreamModel)
		for _, id := range ids {
			fleet[id] = &upstreamModel{process: 1, leaving: make(map[int64]bool)}
		}
		pick := func(t *rapid.T) (string, *upstreamModel) {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return id, fleet[id]
		}
		list := func(t *rapid.T) {
			var ups []routing.Upstream
			for _, id := range ids {
				fleet[id].listed = rapid.Bool().Draw(t, "listed "+id)
				if fleet[id].listed {
					ups = append(ups, routing.Upstream{ID: id, DataCentre: "dc", Target: target, Role: fighollow.RoleBoth})
				}
			}
			r.Update(now, ups, models)
		}
		list(t)
		t.Repeat(map[string]func(*rapid.T){
			"list": list,
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"leaving": func(t *rapid.T) {
				id, e := pick(t)
				e.leaving[e.process], e.leavingLinkOpen = true, true
				r.Leaving(now, id, e.process)
			},
			"closed": func(t *rapid.T) {
				id, e := pick(t)
				if e.leavingLinkOpen {
					e.leavingLinkOpen, e.leavingSeen = false, now
				}
				r.LinkClosed(now, id, e.process)
			},
			"restart": func(t *rapid.T) {
				id, e := pick(t)
				if e.leavingLinkOpen {
					e.leavingLinkOpen, e.leavingSeen = false, now
				}
				r.LinkClosed(now, id, e.process)
				e.process++
			},
			"unreachable": func(t *rapid.T) {
				id, _ := pick(t)
				r.Unreachable(now, id)
			},
			"refused": func(t *rapid.T) {
				id, e := pick(t)
				code := rapid.SampledFrom([]fighollow.Code{fighollow.CodeDraining, fighollow.CodeOverloaded}).Draw(t, "code")
				if code == fighollow.CodeDraining {
					pause := min(2*time.Second<<min(e.drainRefusals, 4), 10*time.Second)
					e.drainRefusals++
					e.exclude(now.Add(pause))
				}
				r.Refused(now, id, &fighollow.Refusal{Code: code, Outcome: fighollow.OutcomeNotRun}, fighollow.Load{Slots: 4})
			},
			"draining": func(t *rapid.T) {
				id, e := pick(t)
				e.exclude(now.Add(5 * time.Second))
				r.Draining(now, id)
			},
			"accepted": func(t *rapid.T) {
				id, e := pick(t)
				e.drainRefusals = 0
				r.Accepted(now, id, fighollow.Load{Slots: 4}, nil)
			},
			"request": func(t *rapid.T) { dispatch(t, r, fleet, &now) },
		})
	})
}

// dispatch performs an attempt as the entry does, that is, it chooses an upstream, opens a link and checks the
// incarnation of the process, and compares the outcome with the reference model.
func dispatch(t *rapid.T, r *routing.Router, fleet map[string]*upstreamModel, now *time.Time) {
	q := routing.Request{Target: target, PromptTokens: 10, Seed: rapid.Uint64().Draw(t, "seed")}
	for _, id := range slices.Sorted(maps.Keys(fleet)) {
		if rapid.IntRange(0, 9).Draw(t, "tried "+id) == 0 {
			q.Tried = append(q.Tried, id)
		}
	}
	untried := func(id string) bool { return !slices.Contains(q.Tried, id) }
	for range len(fleet) + 1 {
		d, ok := r.Choose(*now, &q)
		if !ok {
			break
		}
		id := d.Upstream.ID
		if !untried(id) {
			t.Fatalf("%s was chosen although it was tried before", id)
		}
		if !r.Connected(*now, id, fleet[id].process) {
			if !fleet[id].leaving[fleet[id].process] {
				t.Fatalf("%s was rejected although its process never announced that it is leaving", id)
			}
			fleet[id].leavingSeen = *now // a link to the leaving process restarts the pause
			q.Tried = append(q.Tried, id)
			continue
		}
		if may, _ := fleet[id].mayServe(*now); !may {
			t.Fatalf("%s got work: %s", id, describe(fleet[id], *now))
		}
		return
	}
	for id, e := range fleet {
		if may, certain := e.mayServe(*now); may && certain && untried(id) {
			t.Fatalf("no upstream was chosen although %s is available: %s", id, describe(e, *now))
		}
	}
}

func describe(e *upstreamModel, now time.Time) string {
	return fmt.Sprintf("listed %v, process %d, leaving %v, excluded for %v", e.listed, e.process, e.leaving, e.excludedUntil.Sub(now))
}
