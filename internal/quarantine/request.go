package quarantine

import (
	"encoding/binary"
	"iter"
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Request is what is known of a request by which it, or others like it, can be recognised. It is read-only.
type Request struct {
	Service      string
	own          uint64                 // last part of the prompt, which belongs to the request or its session; 0 without a prompt
	parts        []fighollow.PromptPart // the others, in the order of the prompt
	fingerprints []uint64               // see Fingerprints
}

// NewRequest returns the Request of a call to a service.
func NewRequest(service string, c *fighollow.Call) *Request {
	r := NewPrompt(service, c.Prompt)
	r.fingerprints = Fingerprints(c)
	return r
}

// NewPrompt returns a Request of which only the prompt is known. The Request refers to prompt, which must not change.
func NewPrompt(service string, prompt []fighollow.PromptPart) *Request {
	r := &Request{Service: service}
	if n := len(prompt); n > 0 {
		r.own, r.parts = prompt[n-1].ID, prompt[:n-1]
	}
	return r
}

// keys returns the keys by which a request is judged. A part that the prompt has several times is among them as often.
func (r *Request) keys() iter.Seq[Key] {
	return func(yield func(Key) bool) {
		for _, part := range r.parts {
			if !yield(Key{Service: r.Service, ID: part.ID}) {
				return
			}
		}
		for _, f := range r.fingerprints {
			if !yield(Key{Service: r.Service, ID: f, Request: true}) {
				return
			}
		}
	}
}

// partIDs returns the parts but the last, in the order of the prompt.
func (r *Request) partIDs() []uint64 {
	out := make([]uint64, 0, len(r.parts))
	for _, part := range r.parts {
		out = append(out, part.ID)
	}
	return out
}

// Fingerprints returns hashes that identify a request whenever it comes again, under whatever id and at whichever entry. The first is of
// its method, host, path and body, the next also of its query, if it has one, and the last also of its caller.
//
// The same request has the same first hash. The others tell it apart from sound ones that share it. The hash is fast, as each
// request needs it, and no protection: a caller can make a request up that has the fingerprint of another.
func Fingerprints(c *fighollow.Call) []uint64 {
	path, query, hasQuery := strings.Cut(c.Target, "?")
	h := xxhash.New()
	for _, field := range [][]byte{[]byte(c.Method), []byte(c.Host), []byte(path), c.Body} {
		add(h, field)
	}
	out := append(make([]uint64, 0, 3), h.Sum64())
	if hasQuery {
		add(h, []byte(query))
		out = append(out, h.Sum64())
	}
	if caller, _, err := net.SplitHostPort(c.Caller); err == nil {
		add(h, []byte(caller))
		out = append(out, h.Sum64())
	}
	return out
}

// add writes a field and its length to a hash.
func add(h *xxhash.Digest, field []byte) {
	_, _ = h.Write(field) // never fails
	_, _ = h.Write(binary.BigEndian.AppendUint64(make([]byte, 0, 8), uint64(len(field))))
}
