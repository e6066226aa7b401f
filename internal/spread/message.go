package spread

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Topics on links. topicHeartbeat and topicUpdate are one-way messages, the others are requests with a reply.
const (
	topicHeartbeat = Topic + "heartbeat"
	topicUpdate    = Topic + "update"
	topicMembers   = Topic + "members"
	topicDigest    = Topic + "digest"
	topicObjects   = Topic + "objects"
)

// Limits on the contents of one message. With names and texts of at most 256 bytes they keep a message below the smallest
// frame limit, 64 KiB.
const (
	maxUpdateMembers = 16
	maxUpdateRefs    = 64
	maxWants         = 128
	buckets          = 64  // hash buckets in which catalogs and member lists are compared
	refBytes         = 32  // upper estimate of a ref's encoded size without its texts
	memberBytes      = 512 // estimate of a member's encoded size
)

// heartbeat shows that the sender is alive, and summarises its catalog and its member list.
type heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Highest  uint64   // of catalog.Digest
	Sum      uint64   // of catalog.Digest
	Members  uint64   // membership.Machine.Sum
}

// ref identifies a version of an object.
type ref struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Kind     fighollow.Kind
	Name     string
	Version  uint64
}

// update announces changed members and objects that the sender now holds. A receiver that lacks an object fetches its
// value from one neighbour only: a plan has about 20 KB and would otherwise arrive on every link.
type update struct {
	Members []membership.Member `msgpack:"members,omitempty"`
	Refs    []ref               `msgpack:"refs,omitempty"`
}

// membersRequest introduces the sender and requests the members in buckets whose sums differ from the receiver's.
type membersRequest struct {
	Self membership.Member `msgpack:"self"`
	Sums []uint64          `msgpack:"sums"`
}

type membersReply struct {
	Members []membership.Member `msgpack:"members"`
}

// digestRequest requests the digest and, if Sums is set, the versions in buckets whose sums differ from the receiver's.
type digestRequest struct {
	Sums []uint64 `msgpack:"sums,omitempty"`
}

type digestReply struct {
	Digest catalog.Digest `msgpack:"digest"`
	Refs   []ref          `msgpack:"refs,omitempty"`
}

// want requests the value of an object, starting at byte Offset.
type want struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Kind     fighollow.Kind
	Name     string
	Offset   int
}

type objectsRequest struct {
	Wants []want `msgpack:"wants"`
}

// part is a fragment of an object. A value larger than the reply budget is sent in several parts.
type part struct {
	Kind    fighollow.Kind `msgpack:"kind"`
	Name    string         `msgpack:"name"`
	Version uint64         `msgpack:"version"`
	Deleted bool           `msgpack:"deleted,omitempty"`
	Total   int            `msgpack:"total"` // bytes of the whole value
	Offset  int            `msgpack:"offset"`
	Data    []byte         `msgpack:"data"`
	Flate   bool           `msgpack:"flate,omitempty"` // Data is compressed; Offset and Total count uncompressed bytes
}

type objectsReply struct {
	Parts []part `msgpack:"parts"`
}

func bucketOf(text string) int { return int(xxhash.Sum64String(text) % buckets) }

func keyText(k catalog.Key) string { return string(k.Kind) + "/" + k.Name }

// objectSums returns, for each bucket, an order-independent hash of the keys and versions in it.
func objectSums(versions map[catalog.Key]uint64) []uint64 {
	sums := make([]uint64, buckets)
	for k, v := range versions {
		text := keyText(k)
		sums[bucketOf(text)] ^= xxhash.Sum64String(text + "@" + strconv.FormatUint(v, 10))
	}
	return sums
}

// memberSums returns, for each bucket, an order-independent hash of the members in it that are not dead.
func memberSums(members []membership.Member) []uint64 {
	sums := make([]uint64, buckets)
	for _, m := range members {
		if m.State != membership.Dead {
			sums[bucketOf(m.ID)] ^= m.Sum()
		}
	}
	return sums
}
