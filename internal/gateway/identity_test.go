package gateway_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/gateway"
	"github.com/fighollow/fighollow/internal/streams"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// toldStreams are peers that keep what they are told.
type toldStreams struct{ hashes []uint64 }

func (p *toldStreams) Tell(o fighollow.StreamOrigin) { p.hashes = append(p.hashes, o.Stream) }

func (p *toldStreams) Ask(context.Context, string, uint64) (string, bool) { return "", false }

// Guards against a stream that peers are told of without its workspace, so that callers of others find it, and against another hash where
// no keys are required.
func TestPeersAreToldOfStreamsByWorkspace(t *testing.T) {
	const hash = 0xaf63ee4c86020b22 // FNV-1a of "s"
	for _, c := range []struct {
		identity *fighollow.Identity
		isPlain  bool
	}{{nil, true}, {&fighollow.Identity{Checked: true}, true}, {&fighollow.Identity{Checked: true, Workspace: "hule"}, false}} {
		told := &toldStreams{}
		journal := streams.New(streams.Options{Self: "e", Peers: told}, newHistoryStore(), zerolog.Nop())
		d := &leavingCaller{reply: replyWith(200, false, "id: 1\ndata: x\n\n", nil)}
		g := newGatewayWith(gateway.Options{RetryRatio: 1, RetrySlack: 10, Streams: journal}, d, fighollow.Route{
			Name: "r", Host: "h", PathPrefix: "/", Stream: true, Generates: true, MaxAttempts: 2, Repeat: fighollow.RepeatResume,
			Services: []fighollow.WeightedService{{Service: "models", Weight: 1}},
		})
		now := time.Now()
		g.Serve(context.Background(), &fighollow.Call{
			ID: "s", Method: "POST", Target: "/a", Host: "h", Model: "m", Arrived: now, Deadline: now.Add(time.Minute), Identity: c.identity,
		}, &recordingResponder{})
		qt.Assert(t, told.hashes, qt.HasLen, 1)
		qt.Check(t, told.hashes[0] == hash, qt.Equals, c.isPlain)
	}
}
