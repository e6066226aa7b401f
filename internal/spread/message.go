package spread

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Topics on links. topicHeartbeat and topicUpdate are told, the others are asked.
const (
	topicHeartbeat = Topic + "heartbeat"
	topicUpdate    = Topic + "update"
	topicMembers   = Topic + "members"
	topicDigest    = Topic + "digest"
	topicObjects   = Topic + "objects"
)

// Bounds of one message. With names and texts of at most 256 bytes they keep it below the smallest frame bound, 64 KiB.
const (
	maxUpdateMembers = 16
	maxUpdateRefs    = 64
	maxWants         = 128
	buckets          = 64
	refBytes         = 32 // of a ref besides its texts, as an upper estimate
	memberBytes      = 512
)

// heartbeat tells that the sender lives and what it holds.
type heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Highest  uint64
	Sum      uint64
	Members  uint64
}

// ref names a version of an object.
type ref struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Kind     fighollow.Kind
	Name     string
	Version  uint64
}

// update tells of new members and of objects that the sender now holds. Values are fetched by those who lack them, each
// from one neighbour only: a plan has some 20 KB and would otherwise arrive on every link.
type update struct {
	Members []membership.Member `msgpack:"members,omitempty"`
	Refs    []ref               `msgpack:"refs,omitempty"`
}

// membersAsk asks for the members in buckets whose sums differ.
type membersAsk struct {
	Self membership.Member `msgpack:"self"`
	Sums []uint64          `msgpack:"sums"`
}

type membersReply struct {
	Members []membership.Member `msgpack:"members"`
}

// digestAsk asks for the digest and, with Sums, for the versions in buckets whose sums differ.
type digestAsk struct {
	Sums []uint64 `msgpack:"sums,omitempty"`
}

type digestReply struct {
	Digest catalog.Digest `msgpack:"digest"`
	Refs   []ref          `msgpack:"refs,omitempty"`
}

// want asks for an object's value from Offset on.
type want struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Kind     fighollow.Kind
	Name     string
	Offset   int
}

type objectsAsk struct {
	Wants []want `msgpack:"wants"`
}

// part is a piece of an object; a value larger than a reply's budget comes in several.
type part struct {
	Kind    fighollow.Kind `msgpack:"kind"`
	Name    string         `msgpack:"name"`
	Version uint64         `msgpack:"version"`
	Deleted bool           `msgpack:"deleted,omitempty"`
	Total   int            `msgpack:"total"` // bytes of the whole value
	Offset  int            `msgpack:"offset"`
	Data    []byte         `msgpack:"data"`
	Flate   bool           `msgpack:"flate,omitempty"` // Data is compressed; Offset and Total count plain bytes
}

type objectsReply struct {
	Parts []part `msgpack:"parts"`
}

func bucketOf(text string) int { return int(xxhash.Sum64String(text) % buckets) }

func keyText(k catalog.Key) string { return string(k.Kind) + "/" + k.Name }

// objectSums returns an order-independent hash of keys and versions for each bucket of keys.
func objectSums(versions map[catalog.Key]uint64) []uint64 {
	sums := make([]uint64, buckets)
	for k, v := range versions {
		text := keyText(k)
		sums[bucketOf(text)] ^= xxhash.Sum64String(text + "@" + strconv.FormatUint(v, 10))
	}
	return sums
}

// memberSums does the same for the members that are not dead.
func memberSums(members []membership.Member) []uint64 {
	sums := make([]uint64, buckets)
	for _, m := range members {
		if m.State != membership.Dead {
			sums[bucketOf(m.ID)] ^= m.Sum()
		}
	}
	return sums
}
