package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net"
	"strings"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// maxParts bounds the parts of a prompt that are looked at.
const maxParts = 16

// Request is what is known of a request by which it, or others like it, can be recognised. It is not safe for concurrent use.
type Request struct {
	Service      string
	call         *fighollow.Call
	own          uint64   // last part of the prompt, which belongs to the request or its session; 0 without a prompt
	parts        []uint64 // the others, in the order of the prompt
	fingerprints []uint64 // see Fingerprints; nil until they are needed, because the whole body is hashed
}

// NewRequest returns the Request of a call to a service.
func NewRequest(service string, c *fighollow.Call) *Request {
	r := &Request{Service: service, call: c}
	if n := len(c.Prompt); n > 0 {
		r.own = c.Prompt[n-1].ID
		for _, p := range c.Prompt[:min(n-1, maxParts)] {
			r.parts = append(r.parts, p.ID)
		}
	}
	return r
}

// partKeys returns the keys of the parts of the prompt.
func (r *Request) partKeys() []Key {
	out := make([]Key, 0, len(r.parts)+3)
	for _, part := range r.parts {
		out = append(out, Key{Service: r.Service, ID: part})
	}
	return out
}

// keys returns the keys by which a request is judged.
func (r *Request) keys() []Key {
	if r.fingerprints == nil && r.call != nil {
		r.fingerprints = Fingerprints(r.call)
	}
	out := r.partKeys()
	for _, f := range r.fingerprints {
		out = append(out, Key{Service: r.Service, ID: f, Request: true})
	}
	return out
}

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
