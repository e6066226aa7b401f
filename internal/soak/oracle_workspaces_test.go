package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// workspaceRules are the test rules for runs with workspaces.
func workspaceRules() Rules {
	rules := testRules
	rules.Workspaces, rules.Config, rules.Grace = true, 3*time.Second, 4*time.Second
	rules.Window, rules.UsageShare, rules.UsageDue = 2*time.Second, 0.05, 6*time.Second
	return rules
}

// Guards against checks of keys, workspaces and holders that no longer fire, and against findings in allowed behaviour.
func TestOracleJudgesKeys(t *testing.T) {
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	write := func(s float64, number int64, acked bool, keys ...string) []Record {
		begun := at(second(s), Record{Kind: KindConfig, Text: configBegin, Number: number, Keys: make(map[string]string)})
		for i := 0; i < len(keys); i += 2 {
			begun.Keys[keys[i]] = keys[i+1]
		}
		if !acked {
			return []Record{begun}
		}
		return []Record{begun, at(second(s+0.01), Record{Kind: KindConfig, Text: configEnd, Number: number})}
	}
	// ask returns the records of a request that is sent at a time. Without a status it is passed on and answered.
	ask := func(s float64, route, key, workspace string, status int) []Record {
		out := []Record{at(second(s), Record{Kind: KindSent, Request: "q", Route: route, Key: key})}
		if status == 0 {
			status = 200
			out = append(out, at(second(s)+1000, Record{Kind: KindArrive, Request: "q", Route: route, Workspace: workspace}), at(second(s)+2000, Record{Kind: KindRun, Request: "q", Route: route}))
		}
		return append(out, at(second(s)+3000, Record{Kind: KindGot, Request: "q", Route: route, Entry: "entry1", Status: status, Complete: true, Whole: true}))
	}
	fault := func(s float64, what string, kind FaultKind, target string) Record {
		return at(second(s), Record{Kind: KindFault, Instance: target, Fault: kind, Text: what + " " + string(kind) + " "})
	}
	usage := func(s float64, holder string, fence uint64) Record {
		return at(second(s), Record{Kind: KindUsage, Holder: holder, Fence: fence, Number: int64(s * 10), Status: 200})
	}
	order := func(s float64, holder string, fence uint64) Record {
		return at(second(s), Record{Kind: KindOrder, Instance: "engine1", Holder: holder + "@127.0.0.1", Fence: fence})
	}
	// At 0 s, k is of north; at 10 s, it is removed and n added; at 20 s, the write of a move of n to south is not acknowledged.
	configs := slices.Concat(write(0, 1, true, "k", "north"), write(10, 2, true, "n", "north"), write(20, 3, false, "n", "south"))
	for _, c := range []struct {
		name    string
		records []Record
		want    string
	}{
		{"valid", ask(8, routeAny, "k", "north", 0), ""},
		{"another workspace", ask(8, routeAny, "k", "south", 0), "workspace"},
		{"no workspace", ask(8, routeAny, "k", "", 0), "workspace"},
		{"two values", ask(8, routeAny, "k", "north,south", 0), "workspace"},
		{"valid and refused", ask(8, routeAny, "k", "", 401), "keyRefused"},
		{"valid and 503", ask(8, routeAny, "k", "", 503), ""},
		{"refused and passed on", append(ask(11, routeAny, "n", "north", 0)[:2], ask(11, routeAny, "n", "", 401)[1]), "keyRefused"},
		{"unknown key", ask(8, routeAny, "other", "north", 0), "keyRun"},
		{"unknown key, refused", ask(8, routeAny, "other", "", 401), ""},
		{"unknown key, overloaded", ask(8, routeAny, "other", "", 429), "keyAnswer"},
		{"no key", ask(8, routeOnce, "", "north", 0), "keyRun"},
		{"no key, refused", ask(8, routeOnce, "", "", 401), ""},
		{"unknown key at a disturbed entry", append(ask(8, routeAny, "other", "north", 0), fault(7, "begin", FaultPause, "entry1")), "keyRun"},
		{"no key at a store that is away", append(ask(8, routeAny, "", "", 0), fault(7, "begin", FaultStore, "store")), "keyRun"},
		{"public without a key", ask(8, routeOpen, "", "", 0), ""},
		{"public with a claimed workspace", ask(8, routeOpen, "", "south", 0), "workspace"},
		{"public with a key", ask(8, routeOpen, "k", "north", 0), ""},
		{"public with a key and no workspace", ask(8, routeOpen, "k", "", 0), "workspace"},
		{"public with an unknown key", ask(8, routeOpen, "other", "", 0), ""},
		{"public and refused", ask(8, routeOpen, "other", "", 401), "keyRefused"},
		{"forwarded key", append(ask(8, routeAny, "k", "north", 0), at(second(8)+1500, Record{Kind: KindArrive, Request: "q", Route: routeAny, Workspace: "north", KeySeen: true})), "keyForwarded"},
		{"removed", ask(14, routeAny, "k", "north", 0), "keyRun"},
		{"removed within the bound", ask(12, routeAny, "k", "north", 0), ""},
		{"removed beside another entry's fault", append(ask(14, routeAny, "k", "north", 0), fault(12, "begin", FaultKill, "entry2")), "keyRun"},
		{"removed beside a fault", append(ask(14, routeAny, "k", "north", 0), fault(12, "begin", FaultKill, "entry1")), ""},
		{"removed after a fault", append(ask(14, routeAny, "k", "north", 0), fault(12, "begin", FaultStore, "store"), fault(13, "end", FaultStore, "store")), ""},
		{"removed long after a fault", append(ask(14, routeAny, "k", "north", 0), fault(1, "begin", FaultStore, "store"), fault(10.5, "end", FaultStore, "store")), "keyRun"},
		{"added", ask(14, routeAny, "n", "", 401), "keyRefused"},
		{"added within the bound", ask(12, routeAny, "n", "", 401), ""},
		{"perhaps moved", ask(24, routeAny, "n", "south", 0), ""},
		{"perhaps moved and not", ask(24, routeAny, "n", "north", 0), ""},
		{"perhaps moved and both", append(ask(24, routeAny, "n", "north", 0), at(second(24)+1500, Record{Kind: KindArrive, Request: "q", Workspace: "south"})), "workspace"},
		{"key in a log", []Record{at(0, Record{Kind: KindLeak, Instance: "entry1"})}, "keyLeak"},

		{"holders in turn", []Record{usage(1, "a", 1), usage(2, "b", 2), usage(4.1, "a", 3)}, ""},
		{"a holder returns", []Record{usage(1, "a", 1), usage(2, "b", 2), usage(3.9, "a", 3)}, "holders"},
		{"a holder returns to an engine", []Record{order(1, "a", 1), fault(1.1, "begin", FaultStop, "a"), order(2, "b", 2), order(3, "a", 3)}, "oneSender holders"},
		{"a resumed holder", []Record{usage(1, "a", 1), usage(2, "b", 2), at(second(2.8), Record{Kind: KindFault, Instance: "a@127.0.0.1", Text: "resume"}), usage(3, "a", 1), usage(4, "b", 2)}, ""},
		{"late after a resume", []Record{usage(1, "a", 1), usage(2, "b", 2), at(second(4.5), Record{Kind: KindFault, Instance: "a@127.0.0.1", Text: "resume"}), usage(5, "a", 1)}, "fence"},
		{"beside a fault of the API", []Record{usage(1, "a", 1), usage(2, "b", 2), fault(2.1, "begin", FaultUsage, usageName), usage(3, "a", 3), fault(3.1, "end", FaultUsage, usageName)}, ""},
		{"shared fence", []Record{usage(1, "a", 1), order(8, "b", 1)}, "fenceShared"},
		{"released lease", []Record{order(1, "a", 1), fault(1.1, "begin", FaultStop, "a"), order(2, "b", 2)}, ""},
		{"lease not released", []Record{order(1, "a", 1), fault(1.1, "begin", FaultKill, "a"), order(2, "b", 2)}, "oneSender"},
		{"malformed report", []Record{at(0, Record{Kind: KindUsage, Holder: "a", Text: "malformed"})}, "usageForm"},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := Check(workspaceRules(), append(slices.Clone(configs), c.records...))
			var rules []string
			for _, f := range found {
				rules = append(rules, f.Rule)
			}
			qt.Assert(t, strings.Join(rules, " "), qt.Equals, c.want, qt.Commentf("%v", found))
		})
	}
}

// Guards against checks of usage reports that no longer fire, and against findings in counts within the tolerance.
func TestOracleJudgesReports(t *testing.T) {
	// The run lasts for 30 s from 1000 s after 1970 on. 20 requests of north begin in each of its windows, of 2 s each.
	const first = 500
	atEdges := false // one answer begins near each edge of a window
	play := func(change func(window int64, r *Record) bool, more ...Record) []Record {
		out := append([]Record{at(0, Record{Kind: KindConfig, Text: configBegin, Keys: map[string]string{"k": "north"}}), at(30*time.Second, Record{Kind: KindClosed})}, more...)
		for i := range 200 {
			d := time.Duration(i)*100*time.Millisecond + 50*time.Millisecond
			if !atEdges && (d%(2*time.Second) < usageEdge || d%(2*time.Second) > 2*time.Second-usageEdge) {
				d += 2 * usageEdge * time.Duration(1-2*(i%20/10)) // away from the edges of the window
			}
			id := string(rune('!' + i))
			out = append(out, at(d, Record{Kind: KindSent, Request: id, Route: routeAny, Key: "k"}), at(d, Record{Kind: KindArrive, Request: id, Route: routeAny, Workspace: "north"}),
				at(d, Record{Kind: KindRun, Request: id, Route: routeAny}), at(d, Record{Kind: KindGot, Request: id, Route: routeAny, Status: 200, Complete: true, Whole: true}))
		}
		for k := range int64(10) {
			r := at(time.Duration(2*k+4)*time.Second, Record{Kind: KindUsage, Holder: "a", Fence: 1, Number: first + k, Status: 200, WorkspaceCounts: map[string]int64{"north": 20}})
			if change(k, &r) {
				out = append(out, r)
			}
		}
		return out
	}
	edges := func(change func(window int64, r *Record) bool) []Record {
		atEdges = true
		defer func() { atEdges = false }()
		return play(change)
	}
	// in returns a change of the report of the seventh window.
	in := func(f func(*Record)) func(int64, *Record) bool {
		return func(k int64, r *Record) bool {
			if k == 6 {
				f(r)
			}
			return true
		}
	}
	count := func(n int64) func(int64, *Record) bool {
		return in(func(r *Record) { r.WorkspaceCounts = map[string]int64{"north": n} })
	}
	fault := func(d time.Duration, what string, kind FaultKind, target string) Record {
		return at(d, Record{Kind: KindFault, Instance: target, Fault: kind, Text: what + " " + string(kind) + " "})
	}
	all := func(int64, *Record) bool { return true }
	missing := func(k int64, _ *Record) bool { return k != 6 }
	for _, c := range []struct {
		name    string
		records []Record
		want    string
	}{
		{"right", play(all), ""},
		{"one less", play(count(19)), ""},
		{"two less", play(count(18)), "usageCount"},
		{"one more", play(count(21)), ""},
		{"two more", play(count(22)), "usageCount"},
		{"uncertain at the edges", edges(func(k int64, r *Record) bool { r.WorkspaceCounts["north"] += 2 * (k % 2); return true }), ""},
		{"more in each than is uncertain in all", edges(func(_ int64, r *Record) bool { r.WorkspaceCounts["north"] += 2; return true }), "usageCount"},
		{"another workspace", play(in(func(r *Record) { r.WorkspaceCounts["south"] = 2 })), "usageCount"},
		{"missing", play(missing), "usageLate"},
		{"missing at the beginning", play(func(k int64, _ *Record) bool { return k > 3 }), ""},
		{"not accepted", play(in(func(r *Record) { r.Status = 429 })), "usageLate"},
		{"late", play(in(func(r *Record) { r.AtMicros += (5 * time.Second).Microseconds() })), "usageLate"},
		{"repeated", play(all, at(17*time.Second, Record{Kind: KindUsage, Holder: "a", Fence: 1, Number: first + 6, Status: 200, WorkspaceCounts: map[string]int64{"north": 20}})), ""},
		{"differs", play(all, at(17*time.Second, Record{Kind: KindUsage, Holder: "a", Fence: 1, Number: first + 6, Status: 429, WorkspaceCounts: map[string]int64{"north": 21}})), "usageDiffers"},
		{"missing beside a fault", play(missing, fault(12*time.Second, "begin", FaultKill, "entry1"), fault(13*time.Second, "end", FaultKill, "entry1")), ""},
		{"missing after a fault", play(missing, fault(1*time.Second, "begin", FaultKill, "engine1"), fault(2900*time.Millisecond, "end", FaultKill, "engine1")), "usageLate"},
		{"missing after a handover", play(missing, fault(2*time.Second, "begin", FaultKill, "entry1"), fault(3500*time.Millisecond, "end", FaultKill, "entry1")), ""},
		{"missing after a return of the store", play(missing, fault(2*time.Second, "begin", FaultStore, "store"), fault(3500*time.Millisecond, "end", FaultStore, "store")), ""},
		{"missing beside a fault of the API", play(missing, fault(10*time.Second, "begin", FaultUsage, usageName), fault(12*time.Second, "end", FaultUsage, usageName)), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := Check(workspaceRules(), c.records)
			if c.want == "" {
				qt.Assert(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, len(found) > 0, qt.IsTrue)
			for _, f := range found {
				qt.Assert(t, f.Rule, qt.Equals, c.want)
			}
		})
	}
}

// Guards against workspaces that change the other faults of a seed, or that differ when a seed is played again, and against a part of
// the seeds without them.
func TestWorkspacesFollowTheSeed(t *testing.T) {
	top, with := TopologyOf(12), 0
	for seed := range uint64(200) {
		plain, p, again := DrawPlan(seed, top, 20*time.Second), DrawPlan(seed, top, 20*time.Second), DrawPlan(seed, top, 20*time.Second)
		p.AddWorkspaces(20 * time.Second)
		again.AddWorkspaces(20 * time.Second)
		qt.Assert(t, again, qt.DeepEquals, p)
		isNew := func(f Fault) bool { return f.Kind == FaultKeys || f.Kind == FaultUsage }
		qt.Assert(t, slices.ContainsFunc(p.Faults, isNew), qt.IsTrue)
		for _, f := range p.Faults {
			qt.Assert(t, f.At+f.For <= 20*time.Second, qt.IsTrue)
			qt.Assert(t, f.Kind == FaultUsage && p.Calm, qt.IsFalse)
		}
		qt.Assert(t, slices.DeleteFunc(p.Faults, isNew), qt.DeepEquals, plain.Faults)
		if HasWorkspaces(seed) {
			with++
		}
	}
	qt.Assert(t, with > 60 && with < 140, qt.IsTrue)
}

// Guards against an operator that takes a key of two workspaces for valid, which the oracle would then demand of the entries.
func TestSharedKeysAreNotValid(t *testing.T) {
	k := keyring{"north": {1}, "south": {1, 2}}
	qt.Assert(t, k.valid()[changingKey(2)], qt.Equals, "south")
	_, ok := k.valid()[changingKey(1)]
	qt.Assert(t, ok, qt.IsFalse)
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		k = k.change(r)
		for _, w := range soakWorkspaces {
			qt.Assert(t, k.valid()[steadyKey(w)], qt.Equals, w)
		}
	}
}
