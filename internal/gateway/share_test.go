package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// shareLog is a fighollow.SharePolicy that keeps what it is asked.
type shareLog struct {
	refuse   bool
	asked    []fighollow.ShareRequest
	computed []fighollow.ShareRequest
}

func (l *shareLog) Computed(_ time.Time, r fighollow.ShareRequest, _ time.Duration) {
	l.computed = append(l.computed, r)
}

func (l *shareLog) Decide(_ time.Time, r fighollow.ShareRequest) fighollow.ShareDecision {
	l.asked = append(l.asked, r)
	return fighollow.ShareDecision{Admitted: !l.refuse, RetryAfter: 1234 * time.Millisecond}
}

func (l *shareLog) Preview(time.Time, fighollow.ShareRequest) fighollow.SharePreview {
	return fighollow.SharePreview{
		Scarce: l.refuse, Fraction: 0.25, ShareDecision: fighollow.ShareDecision{Admitted: !l.refuse, RetryAfter: 1234 * time.Millisecond},
	}
}

// Guards against a request that is run although it is beyond its workspace's share, against one that is counted again when it is retried, and
// against decisions on requests that have no workspace, take up a stream, go to a plain service or meet a configuration without workspaces, and against durations of prompts that are not compared with what was stated.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name, service, workspace, resumeAfter string
		keys, refuse, late, computed          bool
		asked                                 int
	}{
		{name: "admitted", service: "models", workspace: "w", keys: true, asked: 1, computed: true},
		{name: "refused", service: "models", workspace: "w", keys: true, refuse: true, asked: 1},
		{name: "too late", service: "models", workspace: "w", keys: true, late: true, asked: 1},
		{name: "without a workspace", service: "models", keys: true, refuse: true},
		{name: "without keys", service: "models", workspace: "w", refuse: true},
		{name: "plain", service: "plain", workspace: "w", keys: true, refuse: true},
		{name: "taken up", service: "models", workspace: "w", resumeAfter: "1", keys: true, refuse: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := fighollow.Route{
					Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Timeout: 100 * time.Second, Stream: true, Priority: 3,
					TargetLatency: time.Second, Repeat: fighollow.RepeatAny, Services: []fighollow.WeightedService{{Service: c.service, Weight: 1}},
				}
				shares := &shareLog{refuse: c.refuse}
				d := &scriptedUpstreams{script: []string{"refused", "stream"}}
				g := newGatewayWith(gateway.Options{RetryRatio: 0.2, RetrySlack: 500, Shares: shares}, d, route)
				r := *g.Routing()
				r.Version, r.KeysRequired = r.Version+1, c.keys
				g.Apply(&r)
				now := time.Now()
				call := &fighollow.Call{
					ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now.Add(-time.Second / 2),
					Deadline: now.Add(time.Minute), ResumeAfter: c.resumeAfter, Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
				}
				if c.late {
					call.Deadline = now.Add(time.Millisecond)
				}
				got := &recordingResponder{}
				g.ServeFor(t.Context(), c.workspace, call, got)
				qt.Assert(t, len(shares.asked), qt.Equals, c.asked)
				isRefused := c.refuse && c.asked > 0
				switch {
				case isRefused:
					qt.Assert(t, got.refusal.Code, qt.Equals, fighollow.CodeOverloaded)
					qt.Assert(t, got.refusal.Outcome, qt.Equals, fighollow.OutcomeNotRun)
					qt.Assert(t, got.refusal.RetryAfterMs, qt.Equals, int64(1234))
					qt.Assert(t, time.Now(), qt.Equals, now) // at once
					qt.Assert(t, len(d.script), qt.Equals, 2)
				case c.late:
					qt.Assert(t, got.refusal.Code, qt.Equals, fighollow.CodeTooLate)
				default:
					qt.Assert(t, got.refusal == nil, qt.IsTrue)
				}
				if c.computed {
					qt.Assert(t, shares.computed, qt.DeepEquals, shares.asked)
				} else {
					qt.Assert(t, shares.computed, qt.HasLen, 0)
				}
				for _, r := range shares.asked {
					qt.Assert(t, r.Work > 0 && r.Wait == 0, qt.IsTrue, qt.Commentf("%+v", r))
					r.Work, r.Wait = 0, 0
					qt.Assert(t, r, qt.Equals, fighollow.ShareRequest{
						Service: "models", Workspace: "w", ID: "q", Rank: 3, Late: c.late, Refused: c.late,
					})
				}
			})
		})
	}
}
