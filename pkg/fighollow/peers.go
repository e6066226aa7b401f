package fighollow

import (
	"context"
	"time"
)

// Peer is another entry of the deployment.
type Peer struct {
	Address    string // IP:port for messages
	DataCentre string
}

// StreamOrigin says which software version began a stream.
type StreamOrigin struct {
	Service string
	Stream  uint64 // hash of the id of the request that brought its first event
	Version string // of the software of the engine that sent that event
}

// StreamPeers are the other entries of a deployment, reached without the object store. Implementations are safe for concurrent use.
type StreamPeers interface {
	// Tell sends the origin of a stream to some of the peers that Ask asks for it. It does not wait, and what is sent can be lost.
	Tell(o StreamOrigin)

	// Ask asks the peers that may have been told of a stream for its version. It returns false if none answers that it knows the stream,
	// after 150 ms at most.
	Ask(ctx context.Context, service string, stream uint64) (version string, ok bool)
}

// StreamMemory is what an entry knows of streams' origins. Implementations are safe for concurrent use.
type StreamMemory interface {
	// Remember records what a peer tells at now.
	Remember(now time.Time, o StreamOrigin)

	// Recall returns the version that began a stream, if it is known.
	Recall(service string, stream uint64) (version string, ok bool)
}
