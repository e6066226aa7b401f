package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
	"github.com/fighollow/fighollow/platform"
)

const (
	// explainPath is the path of explanations on the metrics server of a gateway.
	explainPath = "/explain"
	// explainTimeout is how long the command waits for the entry.
	explainTimeout = 5 * time.Second
	// maxExplanation is the largest answer that the command reads, in bytes. An explanation lists at most 300 upstreams.
	maxExplanation = 4 << 20
)

// explainDecoder decodes the parameters of a request for an explanation as platform does those of a caller's request.
func explainDecoder() gateway.ExplainDecoder {
	return gateway.ExplainDecoder{
		Prompt: platform.ParsePromptParts, PromptTokens: platform.PromptTokens, Deadline: platform.DefaultDeadline, Status: platform.RefusalStatus,
	}
}

// explainCommand returns the command that asks a running gateway where it would send a request.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "ask a running gateway where it would send a request now, and why",
		Description: "Nothing is sent to engines, and nothing changes at the entry. \"fighollow logs explain\" says what happened to a request in the past.\n" +
			"Exits with status 1 if the entry does not answer, has no configuration, or cannot use a parameter.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "`ADDRESS` (host:port) of the entry's metrics server"},
			&cli.StringFlag{Name: gateway.ParamHost, Required: true, Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: gateway.ParamPath, Required: true, Usage: "`PATH` of the request"},
			&cli.StringFlag{Name: gateway.ParamMethod, Usage: "HTTP `METHOD` (default: POST)"},
			&cli.StringFlag{Name: gateway.ParamWorkspace, Usage: "`NAME` of the workspace, not its key; none: a request without a key"},
			&cli.StringFlag{Name: gateway.ParamPrompt, Usage: "parts of the prompt, as `ID:TOKENS,...` with hexadecimal ids"},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "`TOKENS` of the whole prompt (default: of its parts)"},
			&cli.IntFlag{Name: gateway.ParamBytes, Usage: "size of the body in `BYTES`"},
			&cli.DurationFlag{Name: "deadline", Usage: "`TIME` for which the caller waits (default: as without a deadline)"},
			&cli.StringFlag{Name: gateway.ParamID, Usage: "`ID` of the request, by which shares and weights decide (default: explain)"},
			&cli.BoolFlag{Name: "json", Usage: "print the entry's answer unchanged"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			body, err := fetchExplanation(ctx, cmd.String("entry"), explainQuery(cmd))
			if err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			if cmd.Bool("json") {
				_, err = cmd.Root().Writer.Write(body)
				return err
			}
			var e gateway.Explanation
			if err := json.Unmarshal(body, &e); err != nil {
				return fmt.Errorf("explain: the entry's answer: %w", err)
			}
			return writeExplanation(cmd.Root().Writer, &e)
		},
	}
}

// explainQuery returns the parameters of the flags that are set.
func explainQuery(cmd *cli.Command) url.Values {
	q := make(url.Values)
	for _, name := range []string{
		gateway.ParamHost, gateway.ParamPath, gateway.ParamMethod, gateway.ParamWorkspace, gateway.ParamPrompt, gateway.ParamID,
	} {
		if cmd.IsSet(name) {
			q.Set(name, cmd.String(name))
		}
	}
	if cmd.IsSet("prompt-tokens") {
		q.Set(gateway.ParamPromptTokens, strconv.Itoa(cmd.Int("prompt-tokens")))
	}
	if cmd.IsSet(gateway.ParamBytes) {
		q.Set(gateway.ParamBytes, strconv.Itoa(cmd.Int(gateway.ParamBytes)))
	}
	if cmd.IsSet("deadline") {
		q.Set(gateway.ParamDeadline, strconv.FormatInt(cmd.Duration("deadline").Milliseconds(), 10))
	}
	return q
}

// errExplanationRefused is returned when the entry answers without an explanation.
var errExplanationRefused = errors.New("the entry refused")

// fetchExplanation returns the JSON of an explanation.
func fetchExplanation(ctx context.Context, entry string, q url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: entry, Path: explainPath, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("the entry at %s does not answer: %w", entry, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanation))
	if err != nil {
		return nil, fmt.Errorf("the answer of the entry at %s broke off: %w", entry, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s: %s", errExplanationRefused, resp.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// pathTexts describe the paths of a request.
var pathTexts = map[string]string{
	gateway.PathPlain:         "plain service",
	gateway.PathPrefillDecode: "prefill, then decode at another engine",
	gateway.PathWhole:         "whole: a decode engine computes the prompt itself",
}

// writeExplanation prints an explanation for people.
func writeExplanation(w io.Writer, e *gateway.Explanation) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	r := &e.Request
	line("request\t%s %s%s, id %s, %d prompt tokens in %d parts, %d bytes, deadline %d ms", r.Method, r.Host, r.Path, r.ID, r.PromptTokens, len(r.Prompt), r.Bytes, r.DeadlineMs)
	line("configuration\tversion %d at %s", e.Version, e.At.Format(time.RFC3339Nano))
	if e.Route == nil {
		line("route\tnone")
	} else {
		line("route\t%s: service %s, rank %d, target %d ms, at most %d attempts, %s", e.Route.Name, e.Route.Service, e.Route.Rank, e.Route.TargetMs, e.Route.MaxAttempts,
			choose(e.Route.KeyRequired, "key required", "no key required"))
	}
	if r.Workspace != "" {
		line("workspace\t%s", r.Workspace)
	}
	if e.Path != "" {
		line("path\t%s", pathTexts[e.Path])
	}
	if s := e.Share; s != nil {
		line("share\t%s, %.0f%% of the workspace's requests are admitted, this one %s", choose(s.Scarce, "scarce", "not scarce"), 100*s.Fraction,
			choose(s.Admitted, "is", "is not"))
	}
	if q := e.Quarantine; q != nil {
		line("quarantine\t%s%s", quarantineText(q), choose(q.BodyKnown, "", " (of the parts of the prompt; the body is not known)"))
	}
	line("answer\t%s", answerText(e))
	for i := range e.Phases {
		writePhase(out, &e.Phases[i])
	}
	return out.Flush()
}

// choose returns one of two texts.
func choose(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}

func quarantineText(q *gateway.ExplainedQuarantine) string {
	switch {
	case q.Withheld:
		return fmt.Sprintf("withheld by the %s %s, next try in %d ms", q.Kind, q.Key, q.RetryInMs)
	case q.Probe:
		return fmt.Sprintf("sent as a probe of the %s %s", q.Kind, q.Key)
	}
	return "none"
}

func answerText(e *gateway.Explanation) string {
	if !e.Answer.Sent {
		a := &e.Answer
		text := fmt.Sprintf("refused: %d %s, %s", a.Status, a.Code, a.Message)
		if a.RetryAfterMs > 0 {
			text += fmt.Sprintf(", Retry-After %.3f s", float64(a.RetryAfterMs)/1000)
		}
		return text
	}
	var chosen []string
	for i := range e.Phases {
		if p := &e.Phases[i]; p.Chosen != "" {
			chosen = append(chosen, p.Chosen)
		}
	}
	return "sent to " + strings.Join(chosen, ", then ")
}

// writePhase prints the candidates of a phase and the number of the other upstreams, with those that have the phase's role.
func writePhase(w io.Writer, p *gateway.ExplainedPhase) {
	result := "no upstream: " + p.Problem
	if p.Chosen != "" {
		result = fmt.Sprintf("%s, urgency %d", p.Chosen, p.Urgency)
	}
	if p.LastResort {
		result += ", as a last resort"
	}
	fmt.Fprintf(w, "\n%s\t%s\n", p.Phase, result)
	if len(p.Candidates) > 0 {
		header := "upstream centre computed cached fetched ahead prompt slowness transfer interruption running latency otherDC jitter totalMs"
		fmt.Fprintf(w, "  %s\n", strings.ReplaceAll(header, " ", "\t"))
	}
	for i := range p.Candidates {
		c := &p.Candidates[i]
		fmt.Fprintf(w, "  %s\t%s\t%d\t%d\t%d", c.Upstream, c.DataCentre, c.Computed, c.Cached, c.Fetched)
		for _, v := range []float64{c.AheadMs, c.PromptMs, c.Slowness, c.TransferMs, c.InterruptionMs} {
			fmt.Fprintf(w, "\t%.1f", v)
		}
		fmt.Fprintf(w, "\t%.1f (%d)", c.RunningMs, c.Running)
		for _, v := range []float64{c.LatencyMs, c.CrossMs, c.JitterMs, c.Total} {
			fmt.Fprintf(w, "\t%.1f", v)
		}
		fmt.Fprintln(w)
	}
	if p.MoreCandidates > 0 {
		fmt.Fprintf(w, "  and %d more\n", p.MoreCandidates)
	}
	if len(p.Reasons) > 0 {
		var counts []string
		for _, reason := range slices.Sorted(maps.Keys(p.Reasons)) {
			counts = append(counts, fmt.Sprintf("%d %s", p.Reasons[reason], reason))
		}
		fmt.Fprintf(w, "  not candidates: %s\n", strings.Join(counts, ", "))
	}
	for _, x := range p.Excluded {
		if x.Reason != placement.ExcludedRole {
			fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", x.Upstream, x.DataCentre, roleText(x.Role), x.Reason)
		}
	}
}

func roleText(r fighollow.Role) string {
	if r == fighollow.RoleNone {
		return "plain"
	}
	return string(r)
}
