package sidecar

import (
	"sort"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// workCounts has the totals of work per model since the process started. It is not safe for concurrent use.
type workCounts struct {
	models map[string]*demand.ModelCount
}

func newWorkCounts() *workCounts { return &workCounts{models: make(map[string]*demand.ModelCount)} }

func (c *workCounts) forModel(call *link.Call) *demand.ModelCount {
	name := ""
	if call.Generate != nil {
		name = call.Generate.Model
	}
	m := c.models[name]
	if m == nil {
		m = &demand.ModelCount{Model: name}
		c.models[name] = m
	}
	return m
}

// addRefused counts a refused attempt as demand unless it is a retry. If retries counted, each sidecar that refuses the
// same request would add to the demand of an overloaded model.
func (c *workCounts) addRefused(call *link.Call) {
	if call.Retry {
		return
	}
	m := c.forModel(call)
	m.RefusedRequests++
	if g := call.Generate; g != nil {
		if g.Phase != fighollow.RequestDecode {
			m.RefusedPrefill += int64(g.PromptTokens)
		}
		if g.Phase != fighollow.RequestPrefill {
			m.RefusedDecode += int64(g.MaxTokens - g.Offset)
		}
	}
}

func (c *workCounts) addCompleted(call *link.Call, r fighollow.GenerateResult, output int) {
	m := c.forModel(call)
	m.Completed++
	m.CompletedWorth += call.Worth
	m.PrefillTokens += int64(max(0, r.PromptTokens-r.CachedTokens))
	m.DecodeTokens += int64(output)
}

func (c *workCounts) snapshot() []demand.ModelCount {
	out := make([]demand.ModelCount, 0, len(c.models))
	for _, m := range c.models {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}
