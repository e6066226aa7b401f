package soak

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// holderName returns the entry's name of a holder: in orders, its address follows.
func holderName(holder string) string {
	name, _, _ := strings.Cut(holder, "@")
	return name
}

// usageSpans returns the times in which the usage API was disturbed.
func usageSpans(records []Record) []span {
	return faultSpansOf(records, func(r Record) bool { return r.Fault == FaultUsage })
}

// faultSpansOf returns the times of the faults of some kinds. One without an end lasts for the whole run.
func faultSpansOf(records []Record, counts func(Record) bool) (out []span) {
	type fault struct{ instance, text string }
	open := make(map[fault][]int)
	for _, r := range records {
		if r.Kind != KindFault || r.Fault == "" || !counts(r) {
			continue
		}
		what, rest, _ := strings.Cut(r.Text, " ")
		f := fault{r.Instance, rest}
		switch {
		case what == "begin":
			open[f] = append(open[f], len(out))
			out = append(out, span{r.At(), records[len(records)-1].At().Add(1)})
		case len(open[f]) > 0:
			out[open[f][0]].to = r.At()
			open[f] = open[f][1:]
		}
	}
	return out
}

// checkHolders checks those that send orders and usage reports: two holders never share a fencing token, tokens of reports never
// decrease, and at no receiver a holder acts again within the lease time in which another one acted. Calls shortly after the end of a
// freeze of their sender are left out, and reports while the usage API is disturbed.
func checkHolders(rules Rules, records []Record) (out []Finding) {
	owner := make(map[uint64]string)
	resumed := make(map[string]time.Time)
	type receiver struct {
		previous, last Record // last acts of the last two holders
		fence          uint64
	}
	receivers := make(map[string]*receiver)
	away := usageSpans(records)
	for _, r := range records {
		if r.Kind == KindFault && r.Text == "resume" {
			resumed[holderName(r.Instance)] = r.At()
		}
		if r.Kind != KindOrder && r.Kind != KindUsage || r.Text != "" {
			continue
		}
		r.Holder = holderName(r.Holder)
		if other, ok := owner[r.Fence]; ok && other != r.Holder {
			out = append(out, Finding{"fenceShared", "", fmt.Sprintf("%s and %s act with fence %d", other, r.Holder, r.Fence)})
		}
		owner[r.Fence] = r.Holder
		to := r.Instance
		if r.Kind == KindUsage {
			to = usageName
		}
		if r.At().Sub(resumed[r.Holder]) < rules.Thaw || to == usageName && inAny(away, r.At()) {
			continue
		}
		v := receivers[to]
		if v == nil {
			v = &receiver{last: r}
			receivers[to] = v
		}
		if to == usageName && r.Fence < v.fence {
			out = append(out, Finding{"fence", "", fmt.Sprintf("report of %s with fence %d after %d", r.Holder, r.Fence, v.fence)})
		}
		if r.Holder != v.last.Holder {
			if v.previous.Holder == r.Holder && r.At().Sub(v.previous.At()) < rules.Lease {
				out = append(out, Finding{"holders", "", fmt.Sprintf("%s acts at %s %v before and after %s",
					r.Holder, to, r.At().Sub(v.previous.At()), v.last.Holder)})
			}
			v.previous = v.last
		}
		v.last, v.fence = r, max(v.fence, r.Fence)
	}
	return out
}

// usageEdge is how far apart the clocks' readings of an upstream and of its entry may be for one answer.
const usageEdge = 100 * time.Millisecond

// handoverLeases is the time, in lease durations, after which reports must be in order again if the lease changed hands: 1.6 of them and
// 0.7 s until it can be acquired, and the time to read what was frozen and counted.
const handoverLeases = 3

// tally holds the least and the greatest number of answers that may have begun, by workspace.
type tally struct{ least, most map[string]int64 }

// countedRequest is a request of a workspace that ran.
type countedRequest struct {
	workspace string
	began     []time.Time
	runs      int
	lastRun   time.Time
	whole     bool // answered whole
}

// countedRequests returns the requests that count. A plain answer begins as it runs, a stream with its first event.
func countedRequests(records []Record) (out []*countedRequest) {
	requests := make(map[string]*countedRequest)
	of := func(id string) *countedRequest {
		if requests[id] == nil {
			requests[id] = new(countedRequest)
		}
		return requests[id]
	}
	for _, r := range records {
		switch r.Kind {
		case KindArrive:
			of(r.Request).workspace = r.Workspace
		case KindRun:
			q := of(r.Request)
			if !isStream(r.Route) {
				q.began = append(q.began, r.At())
			}
			q.runs, q.lastRun = q.runs+1, r.At()
		case KindBegin:
			of(r.Request).began = append(of(r.Request).began, r.At())
		case KindGot:
			of(r.Request).whole = r.Status == 200 && r.Complete
		}
	}
	for _, q := range requests {
		if q.workspace != "" && q.runs > 0 {
			out = append(out, q)
		}
	}
	return out
}

// tallyOf counts what upstreams began in a time. A request that was answered whole and of which all attempts began well within it
// counts. Beyond that, each attempt may count that began in it or near it, and a run without a beginning until its caller's deadline.
func tallyOf(requests []*countedRequest, in span) tally {
	t := tally{make(map[string]int64), make(map[string]int64)}
	inner, outer := span{in.from.Add(usageEdge), in.to.Add(-usageEdge)}, span{in.from.Add(-usageEdge), in.to.Add(usageEdge)}
	for _, q := range requests {
		within := q.whole && len(q.began) == q.runs
		for _, at := range q.began {
			within = within && inner.contains(at)
			if outer.contains(at) {
				t.most[q.workspace]++
			}
		}
		if within {
			t.least[q.workspace]++
		}
		if q.lastRun.Before(outer.to) && q.lastRun.Add(requestDeadline).After(outer.from) {
			t.most[q.workspace] += int64(max(0, q.runs-len(q.began)))
		}
	}
	return t
}

// checkUsage checks that the reports of a window are all the same and, for windows without a fault near them whose report is due in the
// run, that it is accepted in time and says what upstreams began. The sums of consecutive windows are judged too: beginnings at the edge
// of two windows are uncertain in each of them, but not in both.
func checkUsage(rules Rules, records []Record) (out []Finding) {
	reports := make(map[int64]Record) // the first of each window
	accepted := make(map[int64]time.Time)
	var begin, end time.Time
	for _, r := range records {
		switch {
		case r.Kind == KindSent && begin.IsZero():
			begin = r.At().Add(handoverLeases * rules.Lease) // the lease is acquired for the first time
		case r.Kind == KindClosed:
			end = r.At()
		case r.Kind == KindUsage && r.Text != "":
			out = append(out, Finding{"usageForm", "", r.Text + " report of " + r.Holder})
		case r.Kind == KindUsage:
			if first, ok := reports[r.Number]; !ok {
				reports[r.Number] = r
			} else if !maps.Equal(first.WorkspaceCounts, r.WorkspaceCounts) {
				out = append(out, Finding{"usageDiffers", "", fmt.Sprintf("window %d: %v of %s, and %v of %s", r.Number, first.WorkspaceCounts, first.Holder, r.WorkspaceCounts, r.Holder)})
			}
			if _, ok := accepted[r.Number]; !ok && r.Status == 200 {
				accepted[r.Number] = r.At()
			}
		}
	}
	if begin.IsZero() || end.IsZero() {
		return out
	}
	near := faultSpansOf(records, func(r Record) bool { return r.Fault.disturbs() || r.Fault == FaultUsage })
	// The lease may change hands after a fault of an entry or the store. If the store came back from a copy, windows that ended before the
	// lease was acquired anew are given up.
	handovers := faultSpansOf(records, func(r Record) bool { return r.Fault.disturbs() && !isUpstreamName(r.Instance) })
	requests := countedRequests(records)
	var series []int64 // consecutive windows with reports that are judged
	endSeries := func() {
		if len(series) > 1 {
			sum := make(map[string]int64)
			for _, k := range series {
				for w, n := range reports[k].WorkspaceCounts {
					sum[w] += n
				}
			}
			first, last := series[0], series[len(series)-1]
			out = append(out, checkCounts(rules, first, last, sum, tallyOf(requests, windowSpan(rules, first, last)))...)
		}
		series = nil
	}
	for k := begin.UnixNano()/int64(rules.Window) + 1; ; k++ {
		in := windowSpan(rules, k, k)
		due := in.to.Add(rules.UsageDue)
		if due.After(end) {
			break
		}
		overlaps := func(slack time.Duration) func(span) bool {
			return func(s span) bool { return s.from.Before(due) && s.to.Add(slack).After(in.from) }
		}
		began := tallyOf(requests, in)
		if slices.ContainsFunc(near, overlaps(rules.Stable)) || slices.ContainsFunc(handovers, overlaps(handoverLeases*rules.Lease)) || len(began.least) == 0 {
			endSeries() // a window in which nothing began needs no report
			continue
		}
		at, ok := accepted[k]
		if !ok {
			out = append(out, Finding{"usageLate", "", fmt.Sprintf("window %d that ended at %v has no report", k, in.to)})
			endSeries()
			continue
		}
		if at.After(due) {
			out = append(out, Finding{"usageLate", "", fmt.Sprintf("window %d is reported %v after its end", k, at.Sub(in.to))})
		}
		out = append(out, checkCounts(rules, k, k, reports[k].WorkspaceCounts, began)...)
		series = append(series, k)
	}
	endSeries()
	return out
}

// windowSpan returns the time from the beginning of a window to the end of another.
func windowSpan(rules Rules, first, last int64) span {
	return span{time.Unix(0, first*int64(rules.Window)), time.Unix(0, (last+1)*int64(rules.Window))}
}

// checkCounts checks the counts of the report of a window, or the sums of those of consecutive ones.
func checkCounts(rules Rules, first, last int64, counts map[string]int64, began tally) (out []Finding) {
	slack := func(n int64) int64 { return max(1, int64(math.Floor(rules.UsageShare*float64(n)))) }
	workspaces := make(map[string]bool)
	for _, m := range []map[string]int64{counts, began.most} {
		for w := range m {
			workspaces[w] = true
		}
	}
	for _, w := range slices.Sorted(maps.Keys(workspaces)) {
		least, most := began.least[w], began.most[w]
		if n := counts[w]; n < least-slack(least) || n > most+slack(most) {
			out = append(out, Finding{"usageCount", "", fmt.Sprintf("windows %d to %d: %d for %s, and %d to %d began", first, last, n, w, least, most)})
		}
	}
	return out
}
