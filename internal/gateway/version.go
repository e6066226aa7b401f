package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// findVersion finds the software version that began the stream that the caller takes up, if there are several. It returns
// fighollow.ErrNotRun if that is not known.
func (x *exchange) findVersion(ctx context.Context) error {
	if x.g.opts.Streams == nil || x.call.BegunBy == "" && x.call.ResumeAfter == "" {
		return nil
	}
	version, err := x.g.opts.Streams.Find(ctx, time.Now(), x.service, x.identity.Workspace, x.call.BegunBy)
	if err != nil {
		x.g.metrics.count("streams.unknown")
		return fmt.Errorf("%w: %w", fighollow.ErrNotRun, err)
	}
	x.software = version
	return nil
}

// streamID returns the id of the request that brought the first event of the stream.
func (x *exchange) streamID() string {
	if x.call.BegunBy != "" {
		return x.call.BegunBy
	}
	return x.call.ID
}

// recordBegin records the version that begins the stream, or goes on with it.
func (x *exchange) recordBegin(a *attempt) {
	if x.isRecorded || x.streaming {
		return
	}
	x.software = a.upstream.Version
	if x.g.opts.Streams != nil {
		x.isRecorded = true
		x.g.opts.Streams.Begin(time.Now(), x.service, x.identity.Workspace, x.streamID(), x.software)
	}
}

// recordEnd records the end of the stream's answer.
func (x *exchange) recordEnd(whole bool) {
	if x.isRecorded {
		x.g.opts.Streams.End(time.Now(), x.service, x.identity.Workspace, x.streamID(), whole)
	}
}
