package soak

import (
	"fmt"
	"strings"
	"time"
)

// limitState is what the oracle knows of one upstream's request limit.
type limitState struct {
	perSecond float64 // 0 for none
	since     time.Time
	arrivals  []time.Time
}

// checkLimits checks the requests that reach an upstream which names a limit, in each window that lies after the naming.
// Windows in which an entry, the store or the upstream itself was disturbed are left out, with the stable window after it.
func checkLimits(rules Rules, records []Record) (out []Finding) {
	states := make(map[string]*limitState)
	var disturbed time.Time // last disturbance that concerns all upstreams
	open := 0               // disturbances that have not ended
	disturb := func(r Record) {
		for name, s := range states {
			if r.Instance == name {
				s.perSecond = 0 // what it named may be lost with its process
			}
		}
		if isUpstreamName(r.Instance) {
			return
		}
		disturbed = r.At()
		switch {
		case strings.HasPrefix(r.Text, "begin"):
			open++
		case strings.HasPrefix(r.Text, "end"):
			open--
		}
	}
	for _, r := range records {
		switch r.Kind {
		case KindFault:
			if r.Fault == "" || r.Fault.disturbs() {
				disturb(r)
			}
		case KindLimit:
			states[r.Instance] = &limitState{perSecond: r.Limit, since: r.At()}
		case KindArrive:
			s := states[r.Instance]
			if s == nil || s.perSecond == 0 {
				continue
			}
			s.arrivals = append(s.arrivals, r.At())
			from := r.At().Add(-rules.LimitWindow)
			if open > 0 || from.Before(s.since) || from.Before(disturbed.Add(rules.Stable)) {
				continue
			}
			for s.arrivals[0].Before(from) {
				s.arrivals = s.arrivals[1:]
			}
			if allowed := int(rules.LimitFactor*s.perSecond*rules.LimitWindow.Seconds()) + rules.LimitSlack; len(s.arrivals) > allowed {
				out = append(out, Finding{"limit", r.Request, fmt.Sprintf("%s got %d requests within %v with a limit of %g a second, %d allowed",
					r.Instance, len(s.arrivals), rules.LimitWindow, s.perSecond, allowed)})
				s.arrivals = nil
			}
		}
	}
	return out
}

// isUpstreamName reports whether a fault's target is one upstream, or its link.
func isUpstreamName(name string) bool {
	return strings.HasPrefix(name, "engine") || strings.HasPrefix(name, "plain")
}
