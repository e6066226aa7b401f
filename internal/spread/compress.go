package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// minCompressed is the size in bytes below which compression saves too little for its cost. Compression as such is needed:
// values are JSON with many repeated names, and a plan of 136 engines shrinks to about a tenth, without which a change of
// plans would exceed the traffic limit of a process.
const minCompressed = 512

var flateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // fails only for an invalid level
	return w
}}

// compress returns data compressed and true, or data itself and false if compression does not make it smaller.
func compress(data []byte) ([]byte, bool) {
	if len(data) < minCompressed {
		return data, false
	}
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil || w.Close() != nil || b.Len() >= len(data) {
		return data, false
	}
	return b.Bytes(), true
}

// decompress reverses compress. It returns errBadReply if data is invalid or the result would exceed limit bytes.
func decompress(data []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil || len(out) > limit {
		return nil, errBadReply
	}
	return out, nil
}
