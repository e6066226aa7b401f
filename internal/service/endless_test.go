package service_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/service"
	"github.com/fighollow/fighollow/internal/standin/endless"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against memory that grows while a plain service sends a head without end.
func TestHeadWithoutEnd(t *testing.T) {
	for name, a := range map[string]endless.Answer{
		"statusLine":    {Begin: "HTTP/1.1 200 ", Repeat: "a"},
		"headerLine":    {Begin: "HTTP/1.1 200 OK\r\nA: ", Repeat: "a"},
		"headerLines":   {Begin: "HTTP/1.1 200 OK\r\n", Repeat: "A: b\r\n"},
		"informational": {Repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := endless.New("", a)
			qt.Assert(t, err, qt.IsNil)
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			start := time.Now()
			grown := endless.HeapGrowth(func() {
				var resp *fighollow.ServiceResponse
				if resp, err = service.New(s.Address(), nil).Do(ctx, fighollow.ServiceRequest{Method: http.MethodGet, Path: "/"}); err == nil {
					resp.Body.Close()
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
			qt.Check(t, grown <= 8<<20, qt.IsTrue, comment)
		})
	}
}
