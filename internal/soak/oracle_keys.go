package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// keyVersion is one configuration's keys, as the operator wrote them.
type keyVersion struct {
	begun, acked time.Time // acked is zero without an acknowledgement
	workspaces   map[string]string
}

// keyHistory holds the configurations of a run in the order of their writes.
type keyHistory []keyVersion

func keyHistoryOf(records []Record) (out keyHistory) {
	byNumber := make(map[int64]int)
	for _, r := range records {
		switch i, known := byNumber[r.Number]; {
		case r.Kind != KindConfig:
		case r.Text == configBegin:
			byNumber[r.Number] = len(out)
			out = append(out, keyVersion{begun: r.At(), workspaces: r.Keys})
		case known:
			out[i].acked = r.At()
		}
	}
	return out
}

// between returns the configurations of which one may be in force from a time to another: the last that was acknowledged by the
// first time, if there is one, and those after it.
func (h keyHistory) between(from, to time.Time) keyHistory {
	first := 0
	for i, v := range h {
		if !v.acked.IsZero() && !v.acked.After(from) {
			first = i
		}
	}
	end := first
	for end < len(h) && h[end].begun.Before(to) {
		end++
	}
	return h[first:end]
}

// held returns the workspaces that a key has in the configurations, and whether it is valid in all of them.
func (h keyHistory) held(key string) (workspaces []string, always bool) {
	always = len(h) > 0
	for _, v := range h {
		if w, ok := v.workspaces[key]; !ok {
			always = false
		} else if !slices.Contains(workspaces, w) {
			workspaces = append(workspaces, w)
		}
	}
	return workspaces, always
}

// keyedRequest is what the oracle knows of one request.
type keyedRequest struct {
	sent, got *Record
	arrivals  []Record
}

// checkKeys checks that requests run for the workspace of their key only, and that others are refused with 401.
//
// An entry that was not disturbed, and whose store was not, applies a configuration within Config of its acknowledgement. At other
// times it may apply any configuration up to then, or answer 503, but no request runs with a key that no configuration held, and a
// key that each held is not refused with 401.
func checkKeys(rules Rules, records []Record) (out []Finding) {
	history, disturbed := keyHistoryOf(records), disturbances(records)
	requests := make(map[string]*keyedRequest)
	var order []string
	of := func(id string) *keyedRequest {
		if requests[id] == nil {
			requests[id] = new(keyedRequest)
			order = append(order, id)
		}
		return requests[id]
	}
	for i, r := range records {
		switch r.Kind {
		case KindSent:
			of(r.Request).sent = &records[i]
		case KindGot:
			of(r.Request).got = &records[i]
		case KindArrive:
			of(r.Request).arrivals = append(of(r.Request).arrivals, r)
		case KindLeak:
			out = append(out, Finding{"keyLeak", "", r.Instance + ": " + r.Text})
		}
	}
	for _, id := range order {
		q := requests[id]
		if q.sent == nil {
			continue // never sent whole, see checkRuns
		}
		from, to, strict := time.Time{}, records[len(records)-1].At(), false
		if q.got != nil {
			to = q.got.At()
			if strict = !isDisturbed(rules, disturbed, q.got.Entry, q.sent.At(), to); strict {
				from = q.sent.At().Add(-rules.Config)
			}
		}
		out = append(out, q.check(history.between(from, to), strict)...)
	}
	return out
}

// isDisturbed reports whether an entry or its store is disturbed from a time to another, or was within the stable window before.
func isDisturbed(rules Rules, disturbed map[string][]interval, entry string, from, to time.Time) bool {
	return slices.ContainsFunc(slices.Concat(disturbed[entry], disturbed["store"]), func(v interval) bool {
		return v.from.Before(to) && (v.to.IsZero() || from.Before(v.to.Add(rules.Stable)))
	})
}

// check judges one request by the configurations that may have been in force.
func (q *keyedRequest) check(possible keyHistory, strict bool) (out []Finding) {
	workspaces, always := possible.held(q.sent.Key)
	public := isPublic(q.sent.Route)
	add := func(rule, text string, args ...any) {
		out = append(out, Finding{rule, q.sent.Request, fmt.Sprintf(text, args...) + fmt.Sprintf("; key %q %s, route %s", q.sent.Key, q.sent.Text, q.sent.Route)})
	}
	status := 0
	if q.got != nil {
		status = q.got.Status
	}
	switch {
	case status == 401 && public:
		add("keyRefused", "refused with 401 on a public route")
	case status == 401 && always:
		add("keyRefused", "refused with 401 and valid")
	case status == 401 && len(q.arrivals) > 0:
		add("keyRefused", "refused with 401 and passed on")
	case strict && !public && len(workspaces) == 0 && len(q.arrivals) == 0 && !slices.Contains([]int{0, 400, 401, 408, 503}, status):
		add("keyAnswer", "answered %d and not 401", status)
	}
	// One finding of each kind is enough for a request.
	if i := slices.IndexFunc(q.arrivals, func(a Record) bool { return a.KeySeen }); i >= 0 {
		add("keyForwarded", "%s got a key", q.arrivals[i].Instance)
	}
	for _, a := range q.arrivals {
		switch {
		case !public && len(workspaces) == 0:
			add("keyRun", "passed on to %s without a valid key", a.Instance)
		case a.Workspace != q.arrivals[0].Workspace:
			add("workspace", "passed on for %q and for %q", q.arrivals[0].Workspace, a.Workspace)
		case a.Workspace == "" && public && !always, slices.Contains(workspaces, a.Workspace):
			continue
		default:
			add("workspace", "passed on to %s for %q, and the key is of %q", a.Instance, a.Workspace, strings.Join(workspaces, ","))
		}
		return out
	}
	return out
}
