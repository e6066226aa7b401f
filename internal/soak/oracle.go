package soak

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Rules are the promises that the oracle checks.
type Rules struct {
	Lease        time.Duration // shortest time between orders of two holders
	Thaw         time.Duration // orders may be late for so long after their sender was resumed
	BudgetWindow time.Duration
	BudgetRatio  float64
	BudgetSlack  int
	Recovery     time.Duration // after the last fault
	LossSlack    time.Duration // within which a request may be lost with the connection that it was sent on
	// LimitWindow, LimitFactor and LimitSlack are the time in which an upstream may get so many times what its limit allows, and
	// so many requests more.
	LimitWindow time.Duration
	LimitFactor float64
	LimitSlack  int
	Stable      time.Duration // after a disturbance, and after the naming of a limit, until it has to be held
	// CountedCrash is the crash of engines by a part of prompts from which on the part has to be withheld, and LateRequests the number
	// of requests with it that may reach engines later than Stable after that crash.
	CountedCrash int
	LateRequests int
	MemoryKiB    int64
	Files        int
	// Workspaces reports that requests need keys and that usage reports are due: see checkKeys and checkUsage.
	Workspaces  bool
	Config      time.Duration // after which a configuration with other keys must be in force at an undisturbed entry
	Grace       time.Duration // within which a stopped entry ends
	Window      time.Duration // of usage reports
	UsageShare  float64       // share by which a count may be wrong
	UsageDue    time.Duration // after the end of its window, when a report must have been accepted
	PlannedOnly bool          // only planned stops and changes of the configuration: no request may be cut
}

// Finding is a broken promise.
type Finding struct {
	Rule    string
	Request string // empty if it concerns no single request
	Text    string
}

func (f Finding) String() string { return fmt.Sprintf("%s %s: %s", f.Rule, f.Request, f.Text) }

// Check judges the records of a run, which it sorts by time.
func Check(rules Rules, records []Record) []Finding {
	sort.SliceStable(records, func(i, j int) bool { return records[i].AtMicros < records[j].AtMicros })
	var out []Finding
	out = append(out, checkAnswers(rules, records)...)
	out = append(out, checkLost(rules, records)...)
	out = append(out, checkRuns(records)...)
	out = append(out, checkBudget(rules, records)...)
	out = append(out, checkOrders(rules, records)...)
	out = append(out, checkLimits(rules, records)...)
	out = append(out, checkCrashParts(rules, records)...)
	if rules.Workspaces {
		out = append(out, checkKeys(rules, records)...)
		out = append(out, checkHolders(rules, records)...)
		out = append(out, checkUsage(rules, records)...)
	}
	return append(out, checkEnd(rules, records)...)
}

// checkAnswers checks that an answer that looks complete is, and that planned work cuts none.
func checkAnswers(rules Rules, records []Record) (out []Finding) {
	sentAt, passedOn := make(map[string]time.Time), make(map[string]bool)
	for _, r := range records {
		switch r.Kind {
		case KindSent:
			sentAt[r.Request] = r.At()
		case KindArrive:
			passedOn[r.Request] = true
		}
	}
	for _, r := range records {
		if r.Kind != KindGot {
			continue
		}
		// A request may cross the end of its connection if nobody has passed it on.
		crossed := r.Status == 0 && !passedOn[r.Request] && r.At().Sub(sentAt[r.Request]) < rules.LossSlack
		if r.Status == 200 && r.Complete && !r.Whole {
			out = append(out, Finding{"complete", r.Request, "the answer looks complete and is not the expected one: " + r.Text})
		}
		if rules.PlannedOnly && !r.NotSent && !crossed && (r.Status == 0 || r.Status == 200 && !r.Complete) {
			out = append(out, Finding{"planned", r.Request, fmt.Sprintf("cut by planned work: status %d, %s", r.Status, r.Text)})
		}
	}
	return out
}

// interval is a time in which an entry, or the link in front of it, was disturbed.
type interval struct {
	fault    FaultKind
	from, to time.Time // to is zero while it has not ended
}

// disturbances returns the intervals of each target of a fault.
func disturbances(records []Record) map[string][]interval {
	out := make(map[string][]interval)
	for _, r := range records {
		if r.Kind != KindFault || r.Fault == "" || !r.Fault.disturbs() {
			continue
		}
		if strings.HasPrefix(r.Text, "begin") {
			out[r.Instance] = append(out[r.Instance], interval{fault: r.Fault, from: r.At()})
			continue
		}
		for i := range out[r.Instance] {
			if v := &out[r.Instance][i]; v.fault == r.Fault && v.to.IsZero() {
				v.to = r.At()
				break
			}
		}
	}
	return out
}

// checkLost checks that a request which an upstream ran gets an answer, however incomplete, if neither its entry nor the connection
// to it was disturbed. Runs of planned work are checked more strictly by checkAnswers.
func checkLost(rules Rules, records []Record) (out []Finding) {
	if rules.PlannedOnly {
		return nil
	}
	sentAt, ran := make(map[string]time.Time), make(map[string]bool)
	for _, r := range records {
		switch r.Kind {
		case KindSent:
			sentAt[r.Request] = r.At()
		case KindRun:
			ran[r.Request] = true
		}
	}
	disturbed := disturbances(records)
	for _, r := range records {
		sent := sentAt[r.Request]
		if r.Kind != KindGot || r.Status != 0 || r.NotSent || !ran[r.Request] || r.At().Sub(sent) >= requestDeadline {
			continue // answered, not sent, not run, or the caller stopped waiting
		}
		excused := slices.ContainsFunc(disturbed[r.Entry], func(v interval) bool {
			return v.from.Before(r.At()) && (v.to.IsZero() || sent.Before(v.to.Add(rules.LossSlack)))
		})
		if !excused {
			out = append(out, Finding{"lost", r.Request, fmt.Sprintf("ran, and its connection to %s ended without an answer after %v: %s",
				r.Entry, r.At().Sub(sent).Round(time.Millisecond), r.Text)})
		}
	}
	return out
}

// mayRepeat reports whether requests of a route may run more than once.
func mayRepeat(route string) bool {
	return route != routeOnce && route != routeStream && route != routeOpenStream
}

// checkRuns checks that no request runs twice that must not, that none runs that was refused as not run, and none that no
// caller sent whole.
func checkRuns(records []Record) (out []Finding) {
	runs := make(map[string]int)
	sent := make(map[string]bool)
	for _, r := range records {
		switch r.Kind {
		case KindRun:
			runs[r.Request]++
			if !mayRepeat(r.Route) && runs[r.Request] == 2 {
				out = append(out, Finding{"once", r.Request, "ran twice on route " + r.Route})
			}
		case KindSent:
			sent[r.Request] = !r.NotSent
		}
	}
	for _, r := range records {
		refused := r.Status == 429 || r.Status == 503 || r.Status == 408 || r.Status == 421
		if r.Kind == KindGot && refused && !mayRepeat(r.Route) && runs[r.Request] > 0 {
			out = append(out, Finding{"notRun", r.Request, fmt.Sprintf("answered %d and ran", r.Status)})
		}
	}
	for id := range runs {
		if !sent[id] {
			out = append(out, Finding{"unasked", id, "ran, and no caller sent it whole"})
		}
	}
	return out
}

// checkBudget checks the arrivals beyond the first of each request in each window. The first computed prefill is free.
func checkBudget(rules Rules, records []Record) (out []Finding) {
	var requests, extras []time.Time
	arrived, prefilled := make(map[string]bool), make(map[string]bool)
	for _, r := range records {
		switch {
		case r.Kind == KindSent:
			requests = append(requests, r.At())
		case r.Kind != KindArrive:
		case r.Accepted && !prefilled[r.Request]:
			prefilled[r.Request] = true
		case arrived[r.Request]:
			extras = append(extras, r.At())
		default:
			arrived[r.Request] = true
		}
	}
	within := func(times []time.Time, from, to time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(to) }) - sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	}
	w := rules.BudgetWindow
	for i, end := range extras {
		from := end.Add(-w)
		n := i + 1 - sort.Search(len(extras), func(j int) bool { return extras[j].After(from) })
		asked := max(within(requests, from, end), within(requests, from.Add(-w), from), within(requests, from.Add(-w/2), end.Add(-w/2)))
		if allowed := int(rules.BudgetRatio*float64(asked)) + rules.BudgetSlack; n > allowed {
			return append(out, Finding{"budget", "", fmt.Sprintf("%d extra arrivals within %v, %d allowed", n, w, allowed)})
		}
	}
	return out
}

// checkOrders checks that two holders are a lease apart at each engine and that fences do not decrease. Where usage reports are due, a
// stopped holder releases the lease, and the next one need not wait; checkHolders then checks that the stopped one does not return.
func checkOrders(rules Rules, records []Record) (out []Finding) {
	last := make(map[string]Record)
	resumed, stopped := make(map[string]time.Time), make(map[string]time.Time)
	for _, r := range records {
		if r.Kind == KindFault && r.Text == "resume" {
			resumed[r.Instance] = r.At()
		}
		if r.Kind == KindFault && r.Fault == FaultStop {
			stopped[r.Instance] = r.At()
		}
		if r.Kind != KindOrder || r.At().Sub(resumed[r.Holder]) < rules.Thaw {
			continue
		}
		prev, ok := last[r.Instance]
		last[r.Instance] = r
		released := rules.Workspaces && r.At().Sub(stopped[holderName(prev.Holder)]) < rules.Grace+rules.Lease
		switch {
		case !ok:
		case released && prev.Holder != r.Holder && prev.Fence < r.Fence:
		case prev.Holder != r.Holder && r.At().Sub(prev.At()) < rules.Lease:
			out = append(out, Finding{"oneSender", "", fmt.Sprintf("orders of %s and %s at %s within %v", prev.Holder, r.Holder, r.Instance, r.At().Sub(prev.At()))})
		case r.Fence < prev.Fence:
			out = append(out, Finding{"fence", "", fmt.Sprintf("fence %d after %d at %s", r.Fence, prev.Fence, r.Instance)})
		}
	}
	return out
}

// checkEnd checks recovery after the last fault and the state of the entries at the end.
func checkEnd(rules Rules, records []Record) (out []Finding) {
	var healed time.Time
	for _, r := range records {
		if r.Kind == KindFault {
			healed = r.At()
		}
	}
	sent, served := 0, 0
	late := make(map[string]bool)
	for _, r := range records {
		switch {
		case r.Kind == KindSent && !r.NotSent && !healed.IsZero() && r.At().Sub(healed) > rules.Recovery:
			sent++
			late[r.Request] = true
		case r.Kind == KindGot && late[r.Request] && r.Status == 200 && r.Complete:
			served++
		case r.Kind == KindFinal && r.Text != "":
			out = append(out, Finding{"config", "", r.Instance + ": " + r.Text})
		case r.Kind == KindFinal && (r.Number > rules.MemoryKiB || r.Files > rules.Files):
			out = append(out, Finding{"growth", "", fmt.Sprintf("%s has %d KiB and %d files open", r.Instance, r.Number, r.Files)})
		}
	}
	if 4*served < sent {
		out = append(out, Finding{"recover", "", fmt.Sprintf("%d of %d requests served %v after the last fault", served, sent, rules.Recovery)})
	}
	return out
}
