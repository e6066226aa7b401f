package sidecar

import (
	"sort"

	"github.com/fighollow/fighollow/internal/demand"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// counts sums the work by model since the process started. It is not safe for concurrent use.
type counts struct {
	models map[string]*demand.ModelCount
}

func newCounts() *counts { return &counts{models: make(map[string]*demand.ModelCount)} }

func (c *counts) model(call *link.Call) *demand.ModelCount {
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

// refused counts a refused attempt as demand, unless an earlier attempt of the request was: each sidecar that refuses it
// would otherwise add to the demand of a model that is overloaded.
func (c *counts) refused(call *link.Call) {
	if call.Retry {
		return
	}
	m := c.model(call)
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

func (c *counts) completed(call *link.Call, r fighollow.GenerateResult, output int) {
	m := c.model(call)
	m.Completed++
	m.CompletedWorth += call.Worth
	m.PrefillTokens += int64(max(0, r.PromptTokens-r.CachedTokens))
	m.DecodeTokens += int64(output)
}

func (c *counts) list() []demand.ModelCount {
	out := make([]demand.ModelCount, 0, len(c.models))
	for _, m := range c.models {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}
