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

// truth is the oracle's knowledge of one engine: what the entry was told, as plain facts with times.
type truth struct {
	listed     bool
	process    int64 // incarnation of the process at the engine's address
	told       map[int64]bool
	tellOpen   bool      // the link of the process that said that it leaves is open
	tellClosed time.Time // or when its process was last found to be the one that leaves
	drained    time.Time // end of the time in which a refusal keeps work away
	drains     int       // refusals since it last accepted
}

func (e *truth) drain(until time.Time) {
	if until.After(e.drained) {
		e.drained = until
	}
}

// mayGetWork says whether an attempt may be sent; sure is false where the router may be more careful.
func (e *truth) mayGetWork(now time.Time) (may, sure bool) {
	if !e.listed || e.told[e.process] || now.Before(e.drained) {
		return false, true
	}
	careful := len(e.told) > 0 && (e.tellOpen || now.Sub(e.tellClosed) < 3*time.Second)
	return true, !careful
}

// Guards against work for an upstream that is leaving, draining or not listed, and against a refusal while an upstream
// could serve, after any order of tells, refusals, restarts, broken links and changes of the list.
func TestRoutingFollowsWhatItWasTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		r := routing.New("entry-1", "dc", routing.Options{})
		ids := []string{"e0", "e1", "e2", "e3"}
		known := make(map[string]*truth)
		for _, id := range ids {
			known[id] = &truth{process: 1, told: make(map[int64]bool)}
		}
		pick := func(t *rapid.T) (string, *truth) {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return id, known[id]
		}
		list := func(t *rapid.T) {
			var ups []routing.Upstream
			for _, id := range ids {
				known[id].listed = rapid.Bool().Draw(t, "listed "+id)
				if known[id].listed {
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
				e.told[e.process], e.tellOpen = true, true
				r.Left(now, id, e.process)
			},
			"closed": func(t *rapid.T) {
				id, e := pick(t)
				if e.tellOpen {
					e.tellOpen, e.tellClosed = false, now
				}
				r.LinkClosed(now, id, e.process)
			},
			"restart": func(t *rapid.T) {
				id, e := pick(t)
				if e.tellOpen {
					e.tellOpen, e.tellClosed = false, now
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
					pause := min(2*time.Second<<min(e.drains, 4), 10*time.Second)
					e.drains++
					e.drain(now.Add(pause))
				}
				r.Refused(now, id, &fighollow.Refusal{Code: code, Outcome: fighollow.NotRun}, fighollow.Load{Slots: 4})
			},
			"draining": func(t *rapid.T) {
				id, e := pick(t)
				e.drain(now.Add(5 * time.Second))
				r.Drained(now, id)
			},
			"accepted": func(t *rapid.T) {
				id, e := pick(t)
				e.drains = 0
				r.Accepted(now, id, fighollow.Load{Slots: 4}, nil)
			},
			"request": func(t *rapid.T) { dispatch(t, r, known, &now) },
		})
	})
}

// dispatch asks for an upstream and checks the attempt as the entry makes it: choose, link, check of the process.
func dispatch(t *rapid.T, r *routing.Router, known map[string]*truth, now *time.Time) {
	q := routing.Request{Target: target, PromptTokens: 10, Seed: rapid.Uint64().Draw(t, "seed")}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if rapid.IntRange(0, 9).Draw(t, "tried "+id) == 0 {
			q.Tried = append(q.Tried, id)
		}
	}
	untried := func(id string) bool { return !slices.Contains(q.Tried, id) }
	for range len(known) + 1 {
		d, ok := r.Choose(*now, &q)
		if !ok {
			break
		}
		id := d.Upstream.ID
		if !untried(id) {
			t.Fatalf("%s was chosen a second time", id)
		}
		if !r.Reached(*now, id, known[id].process) {
			if !known[id].told[known[id].process] {
				t.Fatalf("%s was barred, though its process never said that it leaves", id)
			}
			known[id].tellClosed = *now // finding the old process again repeats the pause
			q.Tried = append(q.Tried, id)
			continue
		}
		if may, _ := known[id].mayGetWork(*now); !may {
			t.Fatalf("%s got work: %s", id, describe(known[id], *now))
		}
		return
	}
	for id, e := range known {
		if may, sure := e.mayGetWork(*now); may && sure && untried(id) {
			t.Fatalf("no upstream was chosen, though %s may serve: %s", id, describe(e, *now))
		}
	}
}

func describe(e *truth, now time.Time) string {
	return fmt.Sprintf("listed %v, process %d, told %v, drained for %v", e.listed, e.process, e.told, e.drained.Sub(now))
}
