package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testRules are rules with round numbers.
var testRules = Rules{
	Lease: 3 * time.Second, Thaw: 300 * time.Millisecond, BudgetWindow: 10 * time.Second, BudgetRatio: 0.2, BudgetSlack: 2,
	LimitWindow: 4 * time.Second, LimitFactor: 1.5, LimitSlack: 5, Stable: 3 * time.Second, CountedCrash: 5, LateRequests: 3,
	Recovery: 12 * time.Second, LossSlack: 200 * time.Millisecond, MemoryKiB: 1000, Files: 100,
}

// at returns a record at a time after the start of the run.
func at(d time.Duration, r Record) Record {
	r.AtMicros = (1000*time.Second + d).Microseconds()
	return r
}

// served returns the records of a request q that is served without a fault.
func served(d time.Duration, route string) []Record {
	const id = "q"
	return []Record{
		at(d, Record{Kind: KindSent, Request: id, Route: route}), at(d+1, Record{Kind: KindArrive, Request: id, Route: route}),
		at(d+2, Record{Kind: KindRun, Request: id, Route: route}),
		at(d+3, Record{Kind: KindGot, Request: id, Route: route, Status: 200, Complete: true, Whole: true}),
	}
}

// Guards against checks of the oracle that no longer fire.
func TestOracleFindsPlantedFaults(t *testing.T) {
	many := func(kind RecordKind, n int) (out []Record) {
		for i := range n {
			out = append(out, at(time.Duration(i)*time.Millisecond, Record{Kind: kind, Request: "q", Route: routeAny}))
		}
		return out
	}
	// limited returns the arrivals of 10 s at an upstream that names a limit, each second.
	limited := func(perSecond float64, n int, more ...Record) []Record {
		out := append([]Record{at(0, Record{Kind: KindLimit, Instance: "plain1", Limit: perSecond})}, more...)
		for i := range 10 * n {
			id := fmt.Sprint("a", i)
			out = append(out, at(0, Record{Kind: KindSent, Request: id}),
				at(time.Duration(i)*time.Second/time.Duration(n), Record{Kind: KindArrive, Request: id, Instance: "plain1"}))
		}
		return out
	}
	// crashing returns the records of 22 s in which a part of prompts crashes engines from 2 s on, the fifth at 6 s. So many
	// requests with it arrive in the second after 11 s; of 20 sound streams in each second, so many begin from 12 s on.
	crashing := func(late, begun int, more ...Record) []Record {
		out := []Record{
			at(2*time.Second, Record{Kind: KindFault, Instance: crashPart, Text: "begin crashPart "}),
			at(20*time.Second, Record{Kind: KindFault, Instance: crashPart, Text: "end crashPart "}),
		}
		for i := range 5 {
			out = append(out, at(time.Duration(i+2)*time.Second, Record{Kind: KindCrash, Instance: "engine1", Part: crashPart}))
		}
		for i := range late {
			id := fmt.Sprint("c", i)
			out = append(out, at(11*time.Second, Record{Kind: KindSent, Request: id, Route: routeStream, Part: crashPart}),
				at(11*time.Second+time.Duration(i)*time.Millisecond, Record{Kind: KindArrive, Request: id, Route: routeStream, Instance: "engine1", Part: crashPart}))
		}
		for i := range 20 * 22 {
			d, id := time.Duration(i)*time.Second/20, fmt.Sprint("s", i)
			out = append(out, at(d, Record{Kind: KindSent, Request: id, Route: routeStream}))
			if d < 12*time.Second || i%20 < begun {
				out = append(out, at(d+1, Record{Kind: KindGot, Request: id, Route: routeStream, Status: 200}))
			}
		}
		return append(out, more...)
	}
	var lost []Record
	for i := range 8 {
		lost = append(lost, at(20*time.Second, Record{Kind: KindSent, Request: fmt.Sprint("l", i), Route: routeAny}))
	}
	// unanswered returns the records of a request that ran and was sent to an entry that closed its connection.
	unanswered := func(more ...Record) []Record {
		return append(append(served(time.Second, routeAny)[:3], at(1100*time.Millisecond, Record{Kind: KindGot, Request: "q", Route: routeAny, Entry: "entry1"})), more...)
	}
	fault := func(d time.Duration, text string, kind FaultKind, target string) Record {
		return at(d, Record{Kind: KindFault, Instance: target, Fault: kind, Text: text})
	}
	for _, c := range []struct {
		name    string
		planned bool
		records []Record
		want    string
	}{
		{"served", true, served(time.Second, routeOnce), ""},
		{"short", false, append(served(0, routeAny), at(time.Second, Record{Kind: KindGot, Request: "q", Route: routeAny, Status: 200, Complete: true})), "complete"},
		{"broken", false, append(served(0, routeAny), at(time.Second, Record{Kind: KindGot, Request: "q", Route: routeAny, Status: 200})), ""},
		{"cut by a stop", true, append(served(0, routeAny), at(time.Second, Record{Kind: KindGot, Request: "q", Route: routeAny, Status: 200})), "planned"},
		{"crossed a close", true, []Record{at(0, Record{Kind: KindSent, Request: "q"}), at(1, Record{Kind: KindGot, Request: "q"})}, ""},
		{"lost after it was passed on", true, []Record{at(0, Record{Kind: KindSent, Request: "q"}), at(1, Record{Kind: KindArrive, Request: "q"}), at(2, Record{Kind: KindGot, Request: "q"})}, "planned"},
		{"lost after it ran", false, unanswered(), "lost"},
		{"lost beside a change of the configuration", false, unanswered(fault(0, "begin", FaultGrow, ""), fault(0, "begin", FaultHangup, "entry1")), "lost"},
		{"lost after a pause", false, unanswered(fault(0, "begin", FaultPause, "entry1"), fault(500*time.Millisecond, "end", FaultPause, "entry1")), "lost"},
		{"lost beside a fault of another entry", false, unanswered(fault(0, "begin", FaultKill, "entry2")), "lost"},
		{"lost in a pause", false, unanswered(fault(0, "begin", FaultPause, "entry1"), fault(900*time.Millisecond, "end", FaultPause, "entry1")), ""},
		{"lost by a kill", false, unanswered(fault(1050*time.Millisecond, "begin", FaultKill, "entry1")), ""},
		{"lost and not run", false, unanswered()[3:], ""},
		{"the caller stopped waiting", false, append(served(0, routeAny)[:3], at(4*time.Second, Record{Kind: KindGot, Request: "q", Route: routeAny, Entry: "entry1"})), ""},
		{"ran twice", false, append(served(0, routeOnce), at(5, Record{Kind: KindRun, Request: "q", Route: routeOnce})), "once"},
		{"ran again", false, append(served(0, routeAny), at(5, Record{Kind: KindRun, Request: "q", Route: routeAny})), ""},
		{"refused and ran", false, append(served(0, routeStream)[:3], at(5, Record{Kind: KindGot, Request: "q", Route: routeStream, Status: 503})), "notRun"},
		{"cut request ran", false, []Record{at(0, Record{Kind: KindSent, Request: "q", NotSent: true}), at(1, Record{Kind: KindRun, Request: "q", Route: routeAny})}, "unasked"},
		{"repeats", false, append(many(KindArrive, 5), at(0, Record{Kind: KindSent, Request: "q"})), "budget"},
		{"repeats within the slack", false, append(many(KindArrive, 3), at(0, Record{Kind: KindSent, Request: "q"})), ""},
		{"two senders", false, []Record{at(0, Record{Kind: KindOrder, Instance: "e", Holder: "a", Fence: 1}), at(2*time.Second, Record{Kind: KindOrder, Instance: "e", Holder: "b", Fence: 2})}, "oneSender"},
		{"a lease apart", false, []Record{at(0, Record{Kind: KindOrder, Instance: "e", Holder: "a", Fence: 1}), at(4*time.Second, Record{Kind: KindOrder, Instance: "e", Holder: "b", Fence: 2})}, ""},
		{"old fence", false, []Record{at(0, Record{Kind: KindOrder, Instance: "e", Holder: "a", Fence: 2}), at(4*time.Second, Record{Kind: KindOrder, Instance: "e", Holder: "a", Fence: 1})}, "fence"},
		{"resumed sender", false, []Record{at(0, Record{Kind: KindOrder, Instance: "e", Holder: "a", Fence: 2}), at(time.Second, Record{Kind: KindFault, Instance: "b", Text: "resume"}), at(1100*time.Millisecond, Record{Kind: KindOrder, Instance: "e", Holder: "b", Fence: 1})}, ""},
		{"above a limit", false, limited(2, 6)[:60], "limit"},
		{"within a limit", false, limited(2, 4), ""},
		{"after a limit", false, limited(2, 6, at(1, Record{Kind: KindLimit, Instance: "plain1"})), ""},
		{"an entry was disturbed", false, limited(2, 6, at(time.Second, Record{Kind: KindFault, Instance: "entry1", Text: "begin kill"})), ""},
		{"no recovery", false, append(lost, at(time.Second, Record{Kind: KindFault})), "recover"},
		{"part that crashes engines", false, crashing(4, 20), "crashPart"},
		{"part withheld", false, crashing(3, 10), ""},
		{"part withheld and sound requests lost", false, crashing(3, 9), "crashPartSound"},
		{"part beside a disturbed entry", false, crashing(4, 20, at(9*time.Second, Record{Kind: KindFault, Instance: "entry1", Text: "begin pause "}), at(10*time.Second, Record{Kind: KindFault, Instance: "entry1", Text: "end pause "})), ""},
		{"part beside a disturbed engine", false, crashing(4, 20, at(9*time.Second, Record{Kind: KindFault, Instance: "engine2", Text: "begin kill "}), at(10*time.Second, Record{Kind: KindFault, Instance: "engine2", Text: "end kill "})), "crashPart"},
		{"old configuration", false, []Record{at(0, Record{Kind: KindFinal, Instance: "e", Text: "the newest route is not known"})}, "config"},
		{"memory", false, []Record{at(0, Record{Kind: KindFinal, Instance: "e", Number: 2000})}, "growth"},
		{"files", false, []Record{at(0, Record{Kind: KindFinal, Instance: "e", Files: 200})}, "growth"},
	} {
		t.Run(c.name, func(t *testing.T) {
			rules := testRules
			rules.PlannedOnly = c.planned
			found := Check(rules, c.records)
			if c.want == "" {
				qt.Assert(t, found, qt.HasLen, 0)
				return
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Assert(t, found[0].Rule, qt.Equals, c.want)
		})
	}
}

// Guards against a schedule that differs when it is played again, and against unplanned faults in a run of planned work.
func TestPlanFollowsItsSeed(t *testing.T) {
	top := TopologyOf(12)
	for seed := range uint64(200) {
		p := DrawPlan(seed, top, 20*time.Second)
		qt.Assert(t, DrawPlan(seed, top, 20*time.Second), qt.DeepEquals, p)
		qt.Assert(t, len(p.Faults) > 0, qt.IsTrue)
		with := DrawPlan(seed, top, 20*time.Second)
		with.AddCrashPart()
		isNew := func(f Fault) bool { return f.Kind == FaultCrash }
		qt.Assert(t, slices.ContainsFunc(with.Faults, isNew), qt.IsTrue)
		isLimit := func(f Fault) bool { return p.Planned && f.Kind == FaultLimit }
		qt.Assert(t, slices.DeleteFunc(with.Faults, isNew), qt.DeepEquals, slices.DeleteFunc(slices.Clone(p.Faults), isLimit))
		for _, f := range p.Faults {
			qt.Assert(t, f.At+f.For <= 20*time.Second, qt.IsTrue)
			qt.Assert(t, f.Kind != FaultCrash, qt.IsTrue)
			qt.Assert(t, !p.Planned || f.Kind == FaultStop && !p.Calm || !f.Kind.disturbs(), qt.IsTrue)
		}
	}
}
