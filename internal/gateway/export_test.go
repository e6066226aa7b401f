package gateway

import (
	"context"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ServeFor is Serve for a request of a workspace.
func (g *Gateway) ServeFor(ctx context.Context, workspace string, call *fighollow.Call, out fighollow.Responder) {
	call.Identity = &fighollow.Identity{Checked: g.Routing().KeysRequired, Workspace: workspace}
	g.Serve(ctx, call, out)
}
