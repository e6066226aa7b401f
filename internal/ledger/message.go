package ledger

import (
	"github.com/google/uuid"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Topic is the prefix of all topics that a Ledger serves on links.
const Topic = "ledger."

// Topics of questions between processes.
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
	// Request is the id of the request that wants to run; no two claims that may lead to a dispatch share one.
	Request string `msgpack:"request"`
}

// ClaimReply answers a ClaimRequest: granted, a stored answer, or a refusal.
type ClaimReply struct {
	Granted bool                    `msgpack:"granted"`
	Answer  *fighollow.StoredAnswer `msgpack:"answer,omitempty"`
	Refusal *fighollow.Refusal      `msgpack:"refusal,omitempty"`
	// WaitMs is how long the key still lies in the future of the holder's clock; nothing is decided then.
	WaitMs int64 `msgpack:"waitMs,omitempty"`
}

// SettleRequest tells a holder how a granted request ended.
type SettleRequest struct {
	Region    string                  `msgpack:"region"`
	Workspace string                  `msgpack:"workspace"`
	Key       string                  `msgpack:"key"`
	Request   string                  `msgpack:"request"`
	Outcome   fighollow.Outcome       `msgpack:"outcome"`
	Answer    *fighollow.StoredAnswer `msgpack:"answer,omitempty"`
}

// SettleReply answers a SettleRequest. Taken is false when the holder does not know the grant.
type SettleReply struct {
	Taken bool `msgpack:"taken"`
}

// Record is the memory of one key.
type Record struct {
	Workspace string                  `msgpack:"workspace"`
	ID        uuid.UUID               `msgpack:"id"`
	CreatedMs int64                   `msgpack:"createdMs"`
	Request   string                  `msgpack:"request"` // the request that the key was granted to last
	State     State                   `msgpack:"state"`
	Answer    *fighollow.StoredAnswer `msgpack:"answer,omitempty"`
}

// State is what is known of a granted key.
type State string

// States of a key.
const (
	Granted   State = "granted"   // the request may run
	Completed State = "completed" // it ran
	Unknown   State = "unknown"   // it may have run
	Free      State = "free"      // it never ran; another request may get the key
)

// Export is the state of a stopped holder.
type Export struct {
	From      string
	StartedMs int64
	// VouchFromMs is the creation time from which the holder knew every granted key.
	VouchFromMs int64
	Records     []Record
}

// TransferRequest carries a part of an Export. Parts are sent one after the other.
type TransferRequest struct {
	Region      string   `msgpack:"region"`
	From        string   `msgpack:"from"`
	StartedMs   int64    `msgpack:"startedMs"`
	VouchFromMs int64    `msgpack:"vouchFromMs"`
	Part        int      `msgpack:"part"`  // from 0
	Total       int      `msgpack:"total"` // records in all parts
	Last        bool     `msgpack:"last"`
	Records     []Record `msgpack:"records"`
}

// TransferReply answers a TransferRequest. Taken is false when the receiver cannot take over, as when it stops itself.
type TransferReply struct {
	Taken bool `msgpack:"taken"`
}
