package httpheader_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/httpheader"
)

// Guards against forwarded hop-by-hop fields, including those that the Connection field lists, against lost end-to-end
// fields, and against changes to the original header.
func TestHopByHopFieldsAreRemoved(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Hop", "x-other"}, "X-Hop": {"1"}, "X-Other": {"2"}, "Keep-Alive": {"timeout=4"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "X-Kept": {"a", "b"}, "Content-Type": {"text/plain"},
	}
	want := http.Header{"X-Kept": {"a", "b"}, "Content-Type": {"text/plain"}}
	qt.Assert(t, httpheader.EndToEnd(h), qt.DeepEquals, want)
	qt.Assert(t, h, qt.HasLen, 9, qt.Commentf("the original header was changed"))
}
