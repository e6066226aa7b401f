package engine_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/engine"
	"github.com/fighollow/fighollow/internal/standin/endless"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against an attempt that lasts, and memory that grows, while an engine sends bytes that are no event.
func TestGenerateEndsBytesWithoutEnd(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\n"
		token = ok + "\r\nevent: token\ndata: {\"index\":0,\"text\":\"a\"}\n\n"
	)
	for name, a := range map[string]endless.Answer{
		"statusLine":   {Begin: "HTTP/1.1 200 ", Repeat: "a"},
		"headerLines":  {Begin: ok, Repeat: "A: b\r\n"},
		"line":         {Begin: token + "data: ", Repeat: "x"},
		"eventLines":   {Begin: token + "event: token\n", Repeat: "data: {\n"},
		"commentLines": {Begin: token, Repeat: ": x\n"},
		"comments":     {Begin: token, Repeat: ": x\n\n"},
		"blankLines":   {Begin: token, Repeat: "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := endless.New("", a)
			qt.Assert(t, err, qt.IsNil)
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			start := time.Now()
			grown := endless.HeapGrowth(func() {
				var stream fighollow.TokenStream
				if stream, err = engine.New(s.Address(), nil).Generate(ctx, fighollow.GenerateRequest{ID: "1"}); err != nil {
					return
				}
				defer stream.Close()
				for err == nil {
					_, err = stream.Next()
				}
			})
			took := time.Since(start)
			for s.Open() > 0 && time.Since(start) < 2*time.Second {
				time.Sleep(time.Millisecond)
			}
			comment := qt.Commentf("%v after %v, %d bytes accepted, heap %d", err, took, s.Sent(), grown)
			t.Log(comment.String())
			qt.Check(t, err, qt.ErrorIs, fighollow.ErrUnknownOutcome, comment)
			qt.Check(t, took < time.Second, qt.IsTrue, comment)
			qt.Check(t, s.Open(), qt.Equals, int64(0), comment)
			qt.Check(t, grown <= 16<<20, qt.IsTrue, comment)
		})
	}
}
