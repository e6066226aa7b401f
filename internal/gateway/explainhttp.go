package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// maxExplaining is the number of requests that are explained at once: each copies the state of a service's upstreams, 2 MB at 1,500.
	maxExplaining = 8
	// maxExplainedParts is the number of parts that the prompt of a request may have that is explained.
	maxExplainedParts = 64
	// maxExplainedDeadline is the longest deadline of a request that is explained.
	maxExplainedDeadline = time.Hour
	// maxExplainedBytes is the largest body of a request that is explained.
	maxExplainedBytes = 1 << 30
)

// Parameters of a request for an explanation.
const (
	ParamID           = "id"
	ParamHost         = "host"
	ParamPath         = "path"
	ParamMethod       = "method"
	ParamWorkspace    = "workspace"
	ParamPrompt       = "prompt"
	ParamPromptTokens = "promptTokens"
	ParamBytes        = "bytes"
	ParamDeadline     = "deadlineMs"
)

var explainParams = []string{
	ParamID, ParamHost, ParamPath, ParamMethod, ParamWorkspace, ParamPrompt, ParamPromptTokens, ParamBytes, ParamDeadline,
}

// ParameterError is returned for a parameter that cannot be used.
type ParameterError struct {
	Parameter string
	Problem   string
}

func (e *ParameterError) Error() string {
	return fmt.Sprintf("parameter %s: %s", e.Parameter, e.Problem)
}

// ExplainDecoder decodes the parameters of a request for an explanation as the headers of a caller's request are decoded, and returns the
// HTTP status of a refusal.
type ExplainDecoder struct {
	Prompt       func(string) []fighollow.PromptPart // returns nil if the text is malformed
	PromptTokens func(stated int, parts []fighollow.PromptPart) int
	Deadline     time.Duration // of a request that names none
	Status       func(*fighollow.Refusal) int
}

// ExplainHandler serves explanations as JSON. The body of any other answer is a line of text.
func (g *Gateway) ExplainHandler(d ExplainDecoder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case g.explaining <- struct{}{}:
			defer func() { <-g.explaining }()
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, fmt.Sprintf("%d requests are being explained, which is the most at once", maxExplaining), http.StatusTooManyRequests)
			return
		}
		e, err := g.explainQuery(d, r.URL.RawQuery, time.Now())
		var invalid *ParameterError
		switch {
		case errors.As(err, &invalid):
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e) // fails only if the client has disconnected
	}
}

// explainQuery explains the request that the query of a URL describes.
func (g *Gateway) explainQuery(d ExplainDecoder, query string, now time.Time) (*Explanation, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil, &ParameterError{"query", err.Error()}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains(explainParams, name) {
			return nil, &ParameterError{name, "unknown; these are known: " + strings.Join(explainParams, ", ")}
		}
		if len(values[name]) > 1 {
			return nil, &ParameterError{name, "given several times"}
		}
	}
	call := &fighollow.Call{
		ID: values.Get(ParamID), Host: values.Get(ParamHost), Target: values.Get(ParamPath), Method: values.Get(ParamMethod), Arrived: now,
	}
	if call.ID == "" {
		call.ID = "explain"
	}
	if call.Method == "" {
		call.Method = http.MethodPost
	}
	if call.Host == "" {
		return nil, &ParameterError{ParamHost, "missing"}
	}
	if !strings.HasPrefix(call.Target, "/") {
		return nil, &ParameterError{ParamPath, "does not begin with a slash"}
	}
	if call.Prompt, err = d.prompt(values.Get(ParamPrompt)); err != nil {
		return nil, err
	}
	stated, err := number(values, ParamPromptTokens, 0, 0, maxExplainedBytes)
	if err != nil {
		return nil, err
	}
	call.PromptTokens = d.PromptTokens(stated, call.Prompt)
	bytes, err := number(values, ParamBytes, 0, 0, maxExplainedBytes)
	if err != nil {
		return nil, err
	}
	deadline, err := number(values, ParamDeadline, int(d.Deadline.Milliseconds()), 1, int(maxExplainedDeadline.Milliseconds()))
	if err != nil {
		return nil, err
	}
	call.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
	return g.Explain(call, values.Get(ParamWorkspace), bytes, d.Status)
}

// prompt decodes the parts of a prompt.
func (d *ExplainDecoder) prompt(text string) ([]fighollow.PromptPart, error) {
	if text == "" {
		return nil, nil
	}
	if n := strings.Count(text, ",") + 1; n > maxExplainedParts {
		return nil, &ParameterError{ParamPrompt, fmt.Sprintf("%d parts, at most %d are explained", n, maxExplainedParts)}
	}
	parts := d.Prompt(text)
	if parts == nil {
		return nil, &ParameterError{ParamPrompt, "not a list of ID:TOKENS with hexadecimal ids, separated by commas"}
	}
	return parts, nil
}

// number returns the value of a parameter, or a default if it is absent.
func number(values url.Values, name string, absent, least, most int) (int, error) {
	if !values.Has(name) {
		return absent, nil
	}
	n, err := strconv.Atoi(values.Get(name))
	if err != nil || n < least || n > most {
		return 0, &ParameterError{name, fmt.Sprintf("not a number from %d to %d", least, most)}
	}
	return n, nil
}
