package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net"
	"strings"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Fingerprints returns hashes that identify a request whenever it comes again, under whatever id and at whichever entry. The first is of
// its method, host, path and body, the next also of its query, if it has one, and the last also of its caller.
//
// The same request has the same first hash. The others tell it apart from sound ones that share it.
func Fingerprints(c *fighollow.Call) []uint64 {
	path, query, hasQuery := strings.Cut(c.Target, "?")
	h := sha256.New()
	add(h, []byte(c.Method), []byte(c.Host), []byte(path), c.Body)
	out := []uint64{sum(h)}
	if hasQuery {
		add(h, []byte(query))
		out = append(out, sum(h))
	}
	if caller, _, err := net.SplitHostPort(c.Caller); err == nil {
		add(h, []byte(caller))
		out = append(out, sum(h))
	}
	return out
}

// add writes fields to a hash, each with its length.
func add(h hash.Hash, fields ...[]byte) {
	for _, f := range fields {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(f))))
		h.Write(f)
	}
}

func sum(h hash.Hash) uint64 { return binary.BigEndian.Uint64(h.Sum(nil)) }
