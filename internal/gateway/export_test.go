package gateway

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ServeFor is Serve for a request of a workspace.
func (g *Gateway) ServeFor(ctx context.Context, workspace string, call *fighollow.Call, out fighollow.Responder) {
	x := &exchange{g: g, call: call, out: out, workspace: workspace, log: zerolog.Nop()}
	x.finish(x.serve(ctx))
}
