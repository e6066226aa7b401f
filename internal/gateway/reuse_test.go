package gateway_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fewDecodeEngines is a Dispatcher to engines of which the first so many that are to decode do not take the attempt.
type fewDecodeEngines struct {
	unsent, refused         int
	prefills, runs, release int
}

func (f *fewDecodeEngines) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error {
	f.release++
	return nil
}

func (f *fewDecodeEngines) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	empty := &fakeBody{Reader: &bytes.Buffer{}}
	switch {
	case a.Phase == fighollow.RequestPrefill:
		f.prefills++
		return &fighollow.Reply{Status: http.StatusOK, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: empty}, nil
	case f.unsent > 0:
		f.unsent--
		return nil, fighollow.ErrNotRun
	case f.refused > 0:
		f.refused--
		return &fighollow.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: empty}, nil
	}
	f.runs++
	return &fighollow.Reply{
		Status: http.StatusOK, Length: -1, Framing: fighollow.FramingChunked, Body: &fakeBody{Reader: bytes.NewBufferString("id: 1\ndata: 1\n\n")},
	}, nil
}

// Guards against prompts that are computed again, and requests that are refused for it, because decode engines are down or full.
func TestComputedPromptIsOfferedToSeveralDecodeEngines(t *testing.T) {
	for _, c := range []struct{ unsent, refused, wantPrefills, wantRuns int }{
		{0, 0, 1, 1}, {1, 0, 1, 1}, {3, 0, 1, 1}, {0, 1, 1, 1}, {2, 1, 1, 1}, {0, 2, 2, 1},
	} {
		f := &fewDecodeEngines{unsent: c.unsent, refused: c.refused}
		g := newGateway(f, fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 4, Timeout: time.Minute, Stream: true, Repeat: fighollow.RepeatNever,
			Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
		})
		now, r := time.Now(), &recordingResponder{}
		g.Serve(context.Background(), &fighollow.Call{
			ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", PromptTokens: 100, Arrived: now, Deadline: now.Add(time.Minute),
			Prompt: []fighollow.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}},
		}, r)
		qt.Check(t, f.prefills, qt.Equals, c.wantPrefills, qt.Commentf("%+v", c))
		qt.Check(t, f.runs, qt.Equals, c.wantRuns, qt.Commentf("%+v", c))
		qt.Check(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", c))
	}
}
