package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/internal/quarantine"
	"github.com/fighollow/fighollow/internal/workspace"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxListed is the number of candidates, and of other upstreams, that an explanation lists. A deployment has up to 1,500 engines.
const maxListed = 50

// ErrNoConfiguration is returned for a request that is explained before the gateway has a configuration.
var ErrNoConfiguration = errors.New("gateway: no configuration is known yet")

// Explanation says where a request would be sent at a moment, and why.
type Explanation struct {
	At         time.Time            `json:"at"`
	Version    uint64               `json:"version"` // of the configuration
	Request    ExplainedRequest     `json:"request"`
	Route      *ExplainedRoute      `json:"route"` // null if none matches
	Path       string               `json:"path,omitempty"`
	Phases     []ExplainedPhase     `json:"phases,omitempty"` // in the order in which they are tried
	Share      *ExplainedShare      `json:"share,omitempty"`  // absent if shares do not apply to the request
	Quarantine *ExplainedQuarantine `json:"quarantine,omitempty"`
	Answer     ExplainedAnswer      `json:"answer"`
}

// ExplainedRequest is the request that is explained, with the values that were assumed. It has no key.
type ExplainedRequest struct {
	ID           string          `json:"id"`
	Host         string          `json:"host"`
	Path         string          `json:"path"` // with the query, if there is one
	Method       string          `json:"method"`
	Workspace    string          `json:"workspace,omitempty"` // empty for a request without a key
	Prompt       []ExplainedPart `json:"prompt,omitempty"`
	PromptTokens int             `json:"promptTokens"`
	Bytes        int             `json:"bytes"`
	DeadlineMs   int64           `json:"deadlineMs"`
}

// ExplainedPart is a part of a prompt. ID is hexadecimal, as callers write it.
type ExplainedPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// ExplainedRoute is the matching route, with what follows from it and the workspace.
type ExplainedRoute struct {
	Name        string `json:"name"`
	Service     string `json:"service"` // of the route's services, the one for the id of the request
	Rank        int    `json:"rank"`    // 0 is the most urgent
	TargetMs    int64  `json:"targetMs,omitempty"`
	MaxAttempts int    `json:"maxAttempts"`
	KeyRequired bool   `json:"keyRequired"`
}

// Paths of a request.
const (
	PathPlain         = "plain"         // a plain service
	PathPrefillDecode = "prefillDecode" // a prefill engine computes the prompt, a decode engine generates the answer
	PathWhole         = "whole"         // a decode engine does both
)

// ExplainedPhase is the choice of an upstream for one phase.
type ExplainedPhase struct {
	Phase          fighollow.RequestPhase      `json:"phase"`
	Chosen         string                      `json:"chosen,omitempty"`
	Problem        string                      `json:"problem,omitempty"` // why none was chosen, as in the log of retries
	Urgency        int                         `json:"urgency"`           // as sent to the engine
	LastResort     bool                        `json:"lastResort,omitempty"`
	Candidates     []ExplainedCandidate        `json:"candidates"` // by cost
	MoreCandidates int                         `json:"moreCandidates,omitempty"`
	Excluded       []ExplainedExclusion        `json:"excluded"`
	MoreExcluded   int                         `json:"moreExcluded,omitempty"`
	Reasons        map[placement.Exclusion]int `json:"reasons"` // number of all excluded upstreams by reason
}

// ExplainedCandidate is an upstream that an attempt may be sent to, with the terms of its cost in milliseconds:
// Total = Slowness*(AheadMs+PromptMs) and all further terms that end in Ms.
type ExplainedCandidate struct {
	Upstream       string  `json:"upstream"`
	DataCentre     string  `json:"dataCentre"`
	Computed       int     `json:"computedTokens"`
	Cached         int     `json:"cachedTokens"`
	Fetched        int     `json:"fetchedTokens"`
	Running        int     `json:"running"` // attempts of this entry
	AheadMs        float64 `json:"aheadMs"`
	PromptMs       float64 `json:"promptMs"`
	Slowness       float64 `json:"slowness"`
	TransferMs     float64 `json:"transferMs"`
	InterruptionMs float64 `json:"interruptionMs"`
	RunningMs      float64 `json:"runningMs"`
	LatencyMs      float64 `json:"latencyMs"`
	CrossMs        float64 `json:"otherDataCentreMs"`
	JitterMs       float64 `json:"jitterMs"`
	Total          float64 `json:"totalMs"`
}

// ExplainedExclusion is an upstream that is no candidate.
type ExplainedExclusion struct {
	Upstream   string              `json:"upstream"`
	DataCentre string              `json:"dataCentre"`
	Role       fighollow.Role      `json:"role"`
	Reason     placement.Exclusion `json:"reason"`
}

// ExplainedShare is what the workspace's share of the engines allows.
type ExplainedShare struct {
	Scarce   bool    `json:"scarce"`
	Fraction float64 `json:"admittedFraction"`
	Admitted bool    `json:"admitted"` // a request with this id
}

// ExplainedQuarantine says whether the request, or a part of its prompt, is in quarantine.
type ExplainedQuarantine struct {
	Withheld  bool   `json:"withheld"`
	Probe     bool   `json:"probe"`          // it would be sent to show whether it still crashes engines
	Kind      string `json:"kind,omitempty"` // part or request
	Key       string `json:"key,omitempty"`  // hexadecimal
	RetryInMs int64  `json:"retryInMs,omitempty"`
	// BodyKnown reports that the request itself was looked up, and not only the parts of its prompt. That needs its body.
	BodyKnown bool `json:"bodyKnown"`
}

// ExplainedAnswer is what the caller would get.
type ExplainedAnswer struct {
	Sent         bool           `json:"sent"`             // to the upstream of the first phase with one; the answer is its own
	Status       int            `json:"status,omitempty"` // of a refusal
	Code         fighollow.Code `json:"code,omitempty"`
	Message      string         `json:"message,omitempty"`
	RetryAfterMs int64          `json:"retryAfterMs,omitempty"`
}

// previewedShares is a SharePolicy that decides on one request and counts nothing.
type previewedShares struct {
	fighollow.SharePolicy
	preview *fighollow.SharePreview // nil if it was not asked
}

func (s *previewedShares) Decide(now time.Time, r fighollow.ShareRequest) fighollow.ShareDecision {
	preview := s.Preview(now, r)
	s.preview = &preview
	return preview.ShareDecision
}

func (s *previewedShares) Computed(time.Time, fighollow.ShareRequest, time.Duration) {}

// explainer decides on one request as an exchange does, with copies of what the decisions change.
type explainer struct {
	*exchange
	shares *previewedShares
	out    *Explanation
}

// Explain returns what would become of a call at its arrival, whose body has so many bytes. name is the call's workspace, empty for a call
// without a key; keys are not looked at. status returns the HTTP status of a refusal. It sends and changes nothing.
func (g *Gateway) Explain(call *fighollow.Call, name string, bytes int, status func(*fighollow.Refusal) int) (*Explanation, error) {
	t := g.table.Load()
	if t == nil {
		return nil, ErrNoConfiguration
	}
	if name != "" && t.routing.KeysRequired && !slices.ContainsFunc(t.routing.Workspaces, func(w fighollow.KeyedWorkspace) bool { return w.Name == name }) {
		return nil, &ParameterError{Parameter: "workspace", Problem: "the configuration has no such workspace"}
	}
	e := &explainer{
		exchange: g.rehearsal(t).newExchange(call, nil),
		out: &Explanation{
			At: call.Arrived, Version: t.routing.Version,
			Request: ExplainedRequest{
				ID: call.ID, Host: call.Host, Path: call.Target, Method: call.Method, Workspace: name, PromptTokens: call.PromptTokens, Bytes: bytes,
				DeadlineMs: call.Deadline.Sub(call.Arrived).Milliseconds(),
			},
		},
	}
	for _, p := range call.Prompt {
		e.out.Request.Prompt = append(e.out.Request.Prompt, ExplainedPart{ID: strconv.FormatUint(p.ID, 16), Tokens: p.Tokens})
	}
	if g.opts.Shares != nil {
		e.shares = &previewedShares{SharePolicy: g.opts.Shares}
		e.g.opts.Shares = e.shares
	}
	e.bytes = bytes
	refusal := e.explain(g.fleet, t, name)
	if e.shares != nil && e.shares.preview != nil {
		s := e.shares.preview
		e.out.Share = &ExplainedShare{Scarce: s.Scarce, Fraction: s.Fraction, Admitted: s.Admitted}
	}
	if e.out.Answer.Sent = refusal == nil; refusal != nil {
		e.out.Answer = ExplainedAnswer{Code: refusal.Code, Message: refusal.Message, RetryAfterMs: refusal.RetryAfterMs, Status: status(refusal)}
	}
	return e.out, nil
}

// rehearsal returns a gateway with the same configuration that logs, counts and sends nothing.
func (g *Gateway) rehearsal(t *routeTable) *Gateway {
	r := &Gateway{
		opts: Options{Quarantine: g.opts.Quarantine, Revocation: g.opts.Revocation}, log: zerolog.Nop(), seed: g.seed, metrics: newMetrics(nil),
		fingerprints: g.fingerprints,
	}
	r.table.Store(t)
	r.confirmed.Store(g.confirmed.Load())
	r.shutdown.Store(g.shutdown.Load())
	return r
}

// explain decides as exchange.serve does. It returns the refusal of the call, if there is one.
func (e *explainer) explain(fleet *placement.Fleet, t *routeTable, name string) *fighollow.Refusal {
	now := e.call.Arrived
	unidentified := e.identifyBy(t, now, func() (string, workspace.Reason) {
		if name == "" {
			return "", workspace.ReasonMissing
		}
		return name, workspace.ReasonNone
	})
	if e.route == nil {
		return unidentified
	}
	e.applyRoute(t)
	e.out.Route = &ExplainedRoute{
		Name: e.route.Name, Service: e.service, Rank: e.rank, TargetMs: e.route.TargetLatency.Milliseconds(), MaxAttempts: e.route.MaxAttempts,
		KeyRequired: t.routing.KeysRequired && !e.route.Public,
	}
	if unidentified != nil {
		return unidentified
	}
	if refusal := e.stopRefusal(); refusal != nil {
		return refusal
	}
	e.pool = fleet.Snapshot(now, e.service, e.call.Prompt)
	withheld := e.explainQuarantine(now)
	err := e.explainPhases(now)
	switch {
	case withheld != nil:
		return e.refusal(context.Background(), withheld)
	case err != nil:
		return e.refusal(context.Background(), err)
	}
	return nil
}

// explainQuarantine returns errQuarantined if the request may not be sent.
func (e *explainer) explainQuarantine(now time.Time) error {
	e.subject = quarantine.NewPrompt(e.service, e.call.Prompt)
	if e.bytes == 0 {
		e.subject = quarantine.NewRequest(e.service, e.call)
	}
	a := e.g.opts.Quarantine.Preview(now, e.subject)
	e.out.Quarantine = &ExplainedQuarantine{Withheld: a.Withheld, Probe: a.Probe, RetryInMs: a.RetryIn.Milliseconds(), BodyKnown: e.bytes == 0}
	if a.Withheld || a.Probe {
		e.out.Quarantine.Kind, e.out.Quarantine.Key = "part", strconv.FormatUint(a.Key.ID, 16)
		if a.Key.Request {
			e.out.Quarantine.Kind = "request"
		}
	}
	return e.applyAdmission(a)
}

// explainPhases chooses the upstreams of the phases, as exchange.plain and exchange.generate do.
func (e *explainer) explainPhases(now time.Time) error {
	if e.traits.Engine == nil {
		e.out.Path = PathPlain
		return e.explainPhase(now, fighollow.RequestWhole)
	}
	e.out.Path = PathWhole
	if e.path(now) == fighollow.RequestPrefill && e.arrivals.allowPrefill(e.route.MaxAttempts) {
		err := e.explainPhase(now, fighollow.RequestPrefill)
		if !e.skipsPrefill(err) {
			e.out.Path = PathPrefillDecode
		}
		if err == nil {
			e.attemptsSent++
			return e.explainPhase(now, fighollow.RequestDecode)
		}
		if !e.skipsPrefill(err) {
			return err
		}
	}
	return e.explainPhase(now, fighollow.RequestWhole)
}

// explainPhase chooses the upstream of a phase.
func (e *explainer) explainPhase(now time.Time, phase fighollow.RequestPhase) error {
	c, q, err := e.place(now, phase)
	w, _ := e.pool.Weighing(now, phase)
	out := ExplainedPhase{
		Phase: phase, Urgency: q.Urgency, LastResort: w.LastResort && err == nil, Reasons: make(map[placement.Exclusion]int),
		Candidates: []ExplainedCandidate{}, Excluded: []ExplainedExclusion{},
	}
	if err == nil {
		out.Chosen = c.Upstream.ID
	} else {
		_, out.Problem = e.retryDecision(context.Background(), err)
	}
	listed := min(len(w.Candidates), maxListed)
	out.MoreCandidates = len(w.Candidates) - listed
	for i := range w.Candidates[:listed] {
		out.Candidates = append(out.Candidates, explainedCandidate(&w.Candidates[i], w.Query))
	}
	// Those with another role come last: they are many, and of the least interest.
	slices.SortStableFunc(w.Excluded, func(a, b placement.ExcludedCandidate) int {
		return cmp.Compare(isOtherRole(a), isOtherRole(b))
	})
	for i, x := range w.Excluded {
		out.Reasons[x.Reason]++
		if i < maxListed {
			out.Excluded = append(out.Excluded, ExplainedExclusion{x.Upstream.ID, x.Upstream.DataCentre, x.Upstream.Role, x.Reason})
		}
	}
	out.MoreExcluded = len(w.Excluded) - len(out.Excluded)
	e.out.Phases = append(e.out.Phases, out)
	return err
}

// isOtherRole returns 1 for an upstream that is excluded by its role, and 0 for another one.
func isOtherRole(x placement.ExcludedCandidate) int {
	if x.Reason == placement.ExcludedRole {
		return 1
	}
	return 0
}

func explainedCandidate(c *placement.Choice, q placement.Query) ExplainedCandidate {
	return ExplainedCandidate{
		Upstream: c.Upstream.ID, DataCentre: c.Upstream.DataCentre, Computed: c.Computed(q), Cached: c.Cached, Fetched: c.Fetched, Running: c.Running,
		AheadMs: c.PendingMs, PromptMs: c.Terms.PromptMs, Slowness: c.Terms.Slowness, TransferMs: c.Terms.TransferMs,
		InterruptionMs: c.Terms.InterruptionMs, RunningMs: c.Terms.RunningMs, LatencyMs: c.Terms.LatencyMs, CrossMs: c.Terms.CrossMs,
		JitterMs: c.Terms.JitterMs, Total: c.CostMs,
	}
}
