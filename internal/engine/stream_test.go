package engine

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// Guards against events that are lost, or end too early, where comments and blank lines are skipped together.
func TestCommentsAndBlankLinesBetweenEvents(t *testing.T) {
	const token = "event: token\ndata: {}\n"
	for body, tokens := range map[string]int{
		token + "\n" + token + "\n":                                    2,
		"\n\n: a\n\n" + token + ": b\n\n: c\n" + token + "\n\n\n":      2,
		token + ": b\n: c\n\n" + ":\n" + token + ":\n" + ":\n\n":       2,
		strings.ReplaceAll(token+": b\n\n\n: c\n"+token, "\n", "\r\n"): 1, // the second has not ended
		strings.ReplaceAll(token+"\n: c\n"+token+"\n", "\n", "\r\n"):   2,
		token + ": b": 0, token + ": b\n": 0, token + "data: {}": 0,
	} {
		for name, divide := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader} {
			s, n := newStream(io.NopCloser(divide(strings.NewReader(body)))), 0
			_, err := s.Next()
			for ; err == nil; _, err = s.Next() {
				n++
			}
			qt.Check(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%q: %v", body, err))
			qt.Check(t, n, qt.Equals, tokens, qt.Commentf("%q in %s", body, name))
		}
	}
}
