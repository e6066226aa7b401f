package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// span is a time in which something holds.
type span struct{ from, to time.Time }

func (s span) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.to) }

// minSoundRequests is the least number of sound requests of which a share is judged.
const minSoundRequests = 30

// checkCrashParts checks parts of prompts that crash engines: from Stable after the counted crash on, few requests with the part
// may reach engines, and from twice Stable on, sound streams must begin at least half as often as before. Requests of disturbed
// times are left out, with the stable window after them.
func checkCrashParts(rules Rules, records []Record) (out []Finding) {
	faults := faultSpans(rules, records)
	for _, crashing := range faults.crashing {
		var crashes []time.Time
		for _, r := range records {
			if r.Kind == KindCrash && crashing.contains(r.At()) {
				crashes = append(crashes, r.At())
			}
		}
		if len(crashes) == 0 {
			continue
		}
		counted := crashes[min(rules.CountedCrash, len(crashes))-1]
		late := 0
		for _, r := range records {
			inTouch := !inAny(faults.entries, r.At())
			if r.Kind == KindArrive && r.Part != "" && inTouch && (span{counted.Add(rules.Stable), crashing.to}).contains(r.At()) {
				late++
			}
		}
		if len(crashes) >= rules.CountedCrash && late > rules.LateRequests {
			out = append(out, Finding{"crashPart", "", fmt.Sprintf("%d requests with a part that crashes engines reached them later than %v after the crash number %d, %d allowed",
				late, rules.Stable, rules.CountedCrash, rules.LateRequests)})
		}
		before, asked := beginning(records, span{time.Time{}, crashing.from}, faults)
		after, askedAfter := beginning(records, span{counted.Add(2 * rules.Stable), crashing.to}, faults)
		if asked >= minSoundRequests && askedAfter >= minSoundRequests && 2*after < before {
			out = append(out, Finding{"crashPartSound", "", fmt.Sprintf("%.2f of %d sound streams began while a part crashed engines, %.2f of %d before",
				after, askedAfter, before, asked)})
		}
	}
	return out
}

// faultTimes are the times of faults. entries holds those of entries and the store, others all but changes of the configuration;
// both last for the stable window longer.
type faultTimes struct{ crashing, entries, others []span }

// faultSpans returns the times of the faults in the records. One without an end lasts for the whole run.
func faultSpans(rules Rules, records []Record) (out faultTimes) {
	for i, r := range records {
		kind, ok := strings.CutPrefix(r.Text, "begin ")
		if r.Kind != KindFault || !ok || strings.HasPrefix(kind, string(FaultConfig)) || r.Fault == FaultKeys || r.Fault == FaultUsage {
			continue
		}
		end := records[len(records)-1].At()
		for _, later := range records[i:] {
			if later.Kind == KindFault && later.Instance == r.Instance && later.Text == "end "+kind {
				end = later.At()
				break
			}
		}
		if strings.HasPrefix(kind, string(FaultCrash)) {
			out.crashing = append(out.crashing, span{r.At(), end})
			continue
		}
		disturbed := span{r.At(), end.Add(rules.Stable)}
		out.others = append(out.others, disturbed)
		if !isUpstreamName(r.Instance) {
			out.entries = append(out.entries, disturbed)
		}
	}
	return out
}

func inAny(spans []span, t time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.contains(t) })
}

// beginning returns the share of the sound streams sent in a span, without disturbed times, whose answer began.
func beginning(records []Record, within span, faults faultTimes) (share float64, asked int) {
	sound := make(map[string]bool)
	began := 0
	for _, r := range records {
		switch {
		case r.Kind == KindSent && isStream(r.Route) && r.Part == "" && !r.NotSent && within.contains(r.At()) && !inAny(faults.others, r.At()):
			sound[r.Request] = true
		case r.Kind == KindGot && sound[r.Request] && r.Status == 200:
			began++
		}
	}
	return float64(began) / float64(max(1, len(sound))), len(sound)
}
