package logging_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/logging"
)

const lines = `{"process":"n2","request":"r1","event":8003,"name":"requestEnded","outcome":"answered","time":"2026-12-03T10:00:00.900Z"}
  12.3 n1 {"process":"n1","request":"r1","event":8001,"name":"attemptPlaced","upstream":"e1","time":"2026-12-03T10:00:00.100Z"}
{"process":"n1","request":"r2","event":8001,"name":"attemptPlaced","upstream":"r1","time":"2026-12-03T10:00:00.200Z"}
no JSON with r1 {
`

func TestExplainTellsOneRequestInOrder(t *testing.T) {
	var out bytes.Buffer
	n, err := logging.Explain(&out, strings.NewReader(lines), "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 2)
	qt.Assert(t, out.String(), qt.Equals, ""+
		"2026-12-03T10:00:00.100Z n1               attemptPlaced    upstream=e1\n"+
		"2026-12-03T10:00:00.900Z n2               requestEnded     outcome=answered\n")
}
