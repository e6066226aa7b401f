package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// commentingEngine is a Dispatcher to engines whose first answer breaks off after some bytes. Further answers are whole.
type commentingEngine struct {
	first string
	runs  int
}

func (*commentingEngine) Release(context.Context, fighollow.Upstream, *fighollow.KVCache) error {
	return nil
}

func (e *commentingEngine) Dispatch(_ context.Context, a *fighollow.Attempt) (*fighollow.Reply, error) {
	if a.Phase == fighollow.RequestPrefill {
		return &fighollow.Reply{Status: http.StatusOK, KV: &fighollow.KVCache{Address: a.Upstream.Address, Handle: "h"}, Body: &fakeBody{Reader: strings.NewReader("")}}, nil
	}
	body := &fakeBody{Reader: strings.NewReader("id: 1\ndata: 1\n\n")}
	if e.runs++; e.runs == 1 {
		body = &fakeBody{Reader: strings.NewReader(e.first), end: errCut}
	}
	return &fighollow.Reply{Status: http.StatusOK, Length: -1, Framing: fighollow.FramingChunked, Body: body}, nil
}

// Guards against comments that begin a stream, so that it cannot be refused or begin anew any more.
func TestCommentsDoNotBeginAStream(t *testing.T) {
	for _, c := range []struct {
		first   string
		repeat  fighollow.Repeat
		body    string
		refused bool
	}{
		{": ready\n\n", fighollow.RepeatNever, "", true},
		{": ready\n\nretry: 5\n\n", fighollow.RepeatNever, "", true},
		{": ready\n\n", fighollow.RepeatAny, "id: 1\ndata: 1\n\n", false},
		{": ready\n\nid: 0\n\n", fighollow.RepeatNever, ": ready\n\nid: 0\n\n", false},
	} {
		route := fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 3, Timeout: time.Minute, Stream: true, Repeat: c.repeat,
			Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
		}
		now, caller := time.Now(), &recordingResponder{}
		newGateway(&commentingEngine{first: c.first}, route).Serve(t.Context(), &fighollow.Call{
			ID: "q", Method: "POST", Target: "/x", Host: "h", Model: "m", Arrived: now, Deadline: now.Add(time.Minute),
		}, caller)
		comment := qt.Commentf("%q: status %d, body %q, refusal %+v", c.first, caller.status, &caller.body, caller.refusal)
		qt.Check(t, caller.body.String(), qt.Equals, c.body, comment)
		qt.Check(t, caller.refusal != nil, qt.Equals, c.refused, comment)
		qt.Check(t, caller.aborted, qt.Equals, c.repeat == fighollow.RepeatNever && !c.refused, comment)
	}
}
