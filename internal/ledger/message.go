package ledger

import (
	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Topic is the prefix of all topics that a Ledger serves on links.
const Topic = "ledger."

// Topics of requests to a holder.
const (
	TopicClaim    = Topic + "claim"
	TopicSettle   = Topic + "settle"
	TopicTransfer = Topic + "transfer"
)

// ClaimRequest asks a holder to grant a key to a request.
type ClaimRequest struct {
	Region    string `msgpack:"region"`
	Workspace string `msgpack:"workspace"`
	Key       string `msgpack:"key"`
	// Request is the id of the claiming request. It must be unique among claims that may lead to a dispatch.
	Request string `msgpack:"request"`
}

// ClaimReply answers a ClaimRequest with a grant, a stored answer, a refusal or a time to wait.
type ClaimReply struct {
	Granted bool                      `msgpack:"granted"`
	Answer  *fighollow.StoredResponse `msgpack:"answer,omitempty"`
	Refusal *fighollow.Refusal        `msgpack:"refusal,omitempty"`
	// WaitMs is how far the key's creation time is ahead of the holder's clock. When it is set, the claim is undecided.
	WaitMs int64 `msgpack:"waitMs,omitempty"`
}

// SettleRequest reports the outcome of a granted request to the holder.
type SettleRequest struct {
	Region    string                    `msgpack:"region"`
	Workspace string                    `msgpack:"workspace"`
	Key       string                    `msgpack:"key"`
	Request   string                    `msgpack:"request"`
	Outcome   fighollow.Outcome         `msgpack:"outcome"`
	Answer    *fighollow.StoredResponse `msgpack:"answer,omitempty"`
}

// SettleReply answers a SettleRequest. Accepted is false when the holder does not have the grant.
type SettleReply struct {
	Accepted bool `msgpack:"taken"`
}

// Record is the state of one key.
type Record struct {
	Workspace string                    `msgpack:"workspace"`
	ID        uuid.UUID                 `msgpack:"id"`
	CreatedMs int64                     `msgpack:"createdMs"`
	Request   string                    `msgpack:"request"` // the request that the key was last granted to
	State     State                     `msgpack:"state"`
	Answer    *fighollow.StoredResponse `msgpack:"answer,omitempty"`
}

// State is the outcome so far of the request that a key was granted to.
type State string

// States of a key.
const (
	Granted   State = "granted"   // granted and not settled
	Completed State = "completed" // the request ran
	Unknown   State = "unknown"   // the request may have run
	Free      State = "free"      // the request never ran; the key may be granted to another request
)

// Export is the state that a stopped holder passes to its successor.
type Export struct {
	From      string
	StartedMs int64
	// CompleteFromMs is the creation time from which Records include every granted key.
	CompleteFromMs int64
	Records        []Record
}

// TransferRequest carries one part of an Export. Parts are sent in order, one at a time.
type TransferRequest struct {
	Region         string   `msgpack:"region"`
	From           string   `msgpack:"from"`
	StartedMs      int64    `msgpack:"startedMs"`
	CompleteFromMs int64    `msgpack:"vouchFromMs"`
	Part           int      `msgpack:"part"`  // from 0
	Total          int      `msgpack:"total"` // records in all parts
	Last           bool     `msgpack:"last"`
	Records        []Record `msgpack:"records"`
}

// TransferReply answers a TransferRequest. Accepted is false when the receiver cannot take over, for example because it
// is stopping as well.
type TransferReply struct {
	Accepted bool `msgpack:"taken"`
}
