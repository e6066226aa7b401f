package emulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// CrashResult holds the figures of a CrashRun.
type CrashResult struct {
	Parts []CrashPartResult
	// Repeats is the largest number of arrivals beyond the first of each request in a window of repeatWindow, less what is allowed
	// in it; above 0 it breaks the rule.
	Repeats       int
	Sound         int // requests without a crashing part
	SoundWithheld int
	// WronglyBlamed is the number of sound parts for which an entry withheld requests.
	WronglyBlamed  int
	PublishedBytes int // of the largest publication of an entry
}

// CrashPartResult holds the figures of one crashing part.
type CrashPartResult struct {
	Crashes int
	// Counted is the time of the fifth crash, of the third if it is a request, or of the last if there are fewer.
	Counted time.Duration
	Arrived int // requests with the part that reached engines while it crashed them
	Late    int // of those that entries in touch sent later than crashStable after Counted
	// SoundBefore and SoundAfter are the shares of the sound requests with the same first part whose answer began, before the part
	// came and from twice crashStable after Counted on, while it came; -1 where there are too few. A part in the first place is
	// compared by all sound requests.
	SoundBefore, SoundAfter float64
	// ServedAgain is the time from the end of the crashing until a request with the part was allowed, and MostlyServed until nine
	// tenths are in each 5 s that remain; -1 if that does not happen.
	ServedAgain, MostlyServed time.Duration
}

// Violations returns the broken rules.
func (r CrashResult) Violations() (out []string) {
	for i, p := range r.Parts {
		if p.Late > lateRequests {
			out = append(out, fmt.Sprintf("part %d: %d requests reached engines later than %v after the counted crash, %d allowed", i, p.Late, crashStable, lateRequests))
		}
		if p.SoundBefore >= 0 && p.SoundAfter >= 0 && 2*p.SoundAfter < p.SoundBefore {
			out = append(out, fmt.Sprintf("part %d: %.2f of the sound requests began, %.2f before", i, p.SoundAfter, p.SoundBefore))
		}
	}
	if r.Repeats > 0 {
		out = append(out, fmt.Sprintf("%d repeats within %v above the budget", r.Repeats, repeatWindow))
	}
	return out
}

// crashOracle collects what the rules are about.
type crashOracle struct {
	cfg            CrashConfig
	parts          []crashPartFacts
	requests       []*crashRequest
	repeats        []time.Duration
	decisions      []crashDecision
	publishedBytes int
}

type crashPartFacts struct {
	crashes  []time.Duration
	arrivals []crashArrival
}

type crashArrival struct {
	sent  time.Duration
	entry int
}

// crashDecision is one answer of a CrashDecider.
type crashDecision struct {
	at      time.Duration
	entry   int
	req     *crashRequest
	allowed bool
}

func (o *crashOracle) decided(at time.Duration, entry int, req *crashRequest, allowed bool) {
	o.decisions = append(o.decisions, crashDecision{at, entry, req, allowed})
}

func (o *crashOracle) crashed(at time.Duration, part int) {
	o.parts[part].crashes = append(o.parts[part].crashes, at)
}

// reached records a request that reached an engine.
func (o *crashOracle) reached(sent time.Duration, entry int, req *crashRequest) {
	if req.arrived {
		o.repeats = append(o.repeats, sent)
	}
	req.arrived = true
	if req.part >= 0 && o.cfg.Parts[req.part].Crashing.contains(sent) {
		o.parts[req.part].arrivals = append(o.parts[req.part].arrivals, crashArrival{sent, entry})
	}
}

// inTouch reports whether an entry and the store were undisturbed for crashStable before a time.
func (o *crashOracle) inTouch(entry int, at time.Duration) bool {
	return !slices.ContainsFunc(o.cfg.Entry, func(d EntryDisruption) bool {
		return (d.Entry < 0 || d.Entry == entry) && at >= d.Start && at < d.End+crashStable
	})
}

func (o *crashOracle) result(start time.Time) CrashResult {
	out := CrashResult{PublishedBytes: o.publishedBytes, Repeats: o.mostRepeats(start)}
	for _, req := range o.requests {
		if req.part < 0 {
			out.Sound++
		}
	}
	for _, d := range o.decisions {
		if d.req.part < 0 && !d.allowed {
			out.SoundWithheld++
		}
	}
	out.WronglyBlamed = len(o.wronglyBlamed())
	for i := range o.parts {
		out.Parts = append(out.Parts, o.part(start, i))
	}
	return out
}

// part returns the figures of a crashing part.
func (o *crashOracle) part(start time.Time, i int) CrashPartResult {
	facts, cfg := o.parts[i], o.cfg.Parts[i]
	p := CrashPartResult{Crashes: len(facts.crashes), Arrived: len(facts.arrivals), SoundBefore: -1, SoundAfter: -1, ServedAgain: -1, MostlyServed: -1}
	if p.Crashes > 0 {
		p.Counted = facts.crashes[min(cfg.counted(), p.Crashes)-1]
		p.SoundBefore = o.beginning(start, i, Span{0, o.firstCrashing()})
		p.SoundAfter = o.beginning(start, i, Span{p.Counted + 2*crashStable, min(cfg.Crashing.End, o.cfg.Duration)})
	}
	if p.Crashes >= cfg.counted() {
		for _, a := range facts.arrivals {
			if a.sent > p.Counted+crashStable && o.inTouch(a.entry, a.sent) {
				p.Late++
			}
		}
	}
	o.recovery(i, &p)
	return p
}

func (o *crashOracle) firstCrashing() time.Duration {
	first := o.cfg.Duration
	for _, p := range o.cfg.Parts {
		first = min(first, p.Crashing.Start)
	}
	return first
}

// beginning returns the share of the sound requests of a span whose answer began, of those with a first part that requests with
// the crashing part have too.
func (o *crashOracle) beginning(start time.Time, part int, span Span) float64 {
	shared := make(map[uint64]bool)
	for _, req := range o.requests {
		if req.part == part {
			shared[req.call.Prompt[0].ID] = true
		}
	}
	first := o.cfg.Parts[part].Place == 0 || o.cfg.Parts[part].Request
	asked, began := 0, 0
	for _, req := range o.requests {
		if req.part >= 0 || !span.contains(req.at.Sub(start)) || !first && !shared[req.call.Prompt[0].ID] {
			continue
		}
		asked++
		if req.began {
			began++
		}
	}
	if asked < minSoundRequests {
		return -1
	}
	return float64(began) / float64(asked)
}

// recovery computes when requests with a part are served after its end.
func (o *crashOracle) recovery(part int, p *CrashPartResult) {
	end := o.cfg.Parts[part].Crashing.End
	var decisions []crashDecision
	for _, d := range o.decisions {
		if d.req.part == part && d.at >= end {
			decisions = append(decisions, d)
			if d.allowed && p.ServedAgain < 0 {
				p.ServedAgain = d.at - end
			}
		}
	}
	const slot = 5 * time.Second
	var since time.Duration = -1
	for from := end; from+slot <= o.cfg.Duration; from += slot {
		asked, allowed := 0, 0
		for _, d := range decisions {
			if d.at >= from && d.at < from+slot {
				asked++
				if d.allowed {
					allowed++
				}
			}
		}
		switch {
		case 10*allowed < 9*asked:
			since = -1
		case since < 0:
			since = from - end
		}
	}
	p.MostlyServed = since
}

// mostRepeats returns the largest number of repeats in a window, less what the rule allows in it.
func (o *crashOracle) mostRepeats(start time.Time) int {
	before := func(d time.Duration) int { // o.requests are in order of time
		return sort.Search(len(o.requests), func(i int) bool { return o.requests[i].at.Sub(start) >= d })
	}
	asked := func(s Span) int { return before(s.End) - before(s.Start) }
	slices.Sort(o.repeats)
	most, first := 0, 0
	for i, end := range o.repeats {
		for end-o.repeats[first] >= repeatWindow {
			first++
		}
		n := i + 1 - first
		if n <= repeatSlack+most { // the ratio allows more
			continue
		}
		from := end - repeatWindow
		requests := max(asked(Span{from, end}), asked(Span{from - repeatWindow, from}), asked(Span{from - repeatWindow/2, end - repeatWindow/2}))
		most = max(most, n-int(repeatRatio*float64(requests))-repeatSlack)
	}
	return most
}

// wronglyBlamed returns the sound parts for which entries withheld requests: in a slot of time of an entry, at least
// wrongBlameRefused sound requests with the part were withheld and none was allowed. Withheld requests are explained by as few
// parts as possible.
func (o *crashOracle) wronglyBlamed() map[uint64]bool {
	type slot struct {
		entry int
		n     time.Duration
	}
	withheld, allowed := make(map[slot][][]fighollow.PromptPart), make(map[slot]map[uint64]bool)
	for _, d := range o.decisions {
		if d.req.part >= 0 {
			continue
		}
		s, shared := slot{d.entry, d.at / wrongBlameSlot}, d.req.call.Prompt[:len(d.req.call.Prompt)-1]
		if !d.allowed {
			withheld[s] = append(withheld[s], shared)
			continue
		}
		if allowed[s] == nil {
			allowed[s] = make(map[uint64]bool)
		}
		for _, part := range shared {
			allowed[s][part.ID] = true
		}
	}
	out := make(map[uint64]bool)
	for s, prompts := range withheld {
		for {
			id, n := mostFrequent(prompts, allowed[s])
			if n < wrongBlameRefused {
				break
			}
			out[id] = true
			prompts = slices.DeleteFunc(prompts, func(prompt []fighollow.PromptPart) bool { return holds(prompt, id) })
		}
	}
	return out
}

func holds(prompt []fighollow.PromptPart, id uint64) bool {
	return slices.ContainsFunc(prompt, func(p fighollow.PromptPart) bool { return p.ID == id })
}

// mostFrequent returns the part that most prompts hold, of those that are not excluded.
func mostFrequent(prompts [][]fighollow.PromptPart, excluded map[uint64]bool) (id uint64, n int) {
	counts := make(map[uint64]int)
	for _, prompt := range prompts {
		for _, part := range prompt {
			if excluded[part.ID] {
				continue
			}
			counts[part.ID]++
			if c := counts[part.ID]; c > n || c == n && part.ID < id {
				id, n = part.ID, c
			}
		}
	}
	return id, n
}
