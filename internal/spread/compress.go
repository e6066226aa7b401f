package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// Values are JSON with many repeated names. A plan of 136 engines shrinks to about a tenth, so compression decides
// whether a change of plans stays within the bytes that a process may send.
const minCompressed = 512 // bytes; below it the gain is not worth the work

var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the only error is an invalid level
	return w
}}

// compress returns a shorter form of data, or data itself and false when there is none.
func compress(data []byte) ([]byte, bool) {
	if len(data) < minCompressed {
		return data, false
	}
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil || w.Close() != nil || b.Len() >= len(data) {
		return data, false
	}
	return b.Bytes(), true
}

// decompress reverses compress. It returns errReply when the result would exceed limit bytes.
func decompress(data []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil || len(out) > limit {
		return nil, errReply
	}
	return out, nil
}
