package answer_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/answer"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against log lines that name the wrong framing, and against a bodyless answer that counts as unframed.
func TestFramingOfResponses(t *testing.T) {
	for _, c := range []struct {
		method, response string
		want             fighollow.Framing
	}{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", fighollow.FramingLength},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", fighollow.FramingChunked},
		{"GET", "HTTP/1.1 200 OK\r\n\r\nok", fighollow.FramingConnection},
		{"GET", "HTTP/1.0 200 OK\r\n\r\nok", fighollow.FramingConnection},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", fighollow.FramingLength},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", fighollow.FramingLength},
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.response)), &http.Request{Method: c.method})
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Assert(t, answer.FramingOf(resp), qt.Equals, c.want, qt.Commentf("%s %q", c.method, c.response))
	}
}
