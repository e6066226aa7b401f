package link_test

import (
	"context"
	"testing"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// BenchmarkChunks measures the cost of one token-sized chunk sent from a sidecar to an entry over loopback, with both
// ends in this process.
func BenchmarkChunks(b *testing.B) {
	h := &testHandler{serve: func(_ context.Context, _ *link.Call, s *link.ServerStream) {
		for i := range b.N {
			if s.Chunk(uint64(i), 1, []byte("token ")) != nil {
				return
			}
		}
		_ = s.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted})
	}}
	l, err := link.Listen("127.0.0.1:0", link.Hello{}, h, link.Options{}, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	c, err := link.Dial(context.Background(), l.Addr(), link.Hello{}, &testHandler{}, link.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	b.ReportAllocs()
	b.ResetTimer()
	s, err := c.Open(link.Call{})
	if err != nil {
		b.Fatal(err)
	}
	for {
		m, err := s.Recv(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := m.(*link.Finish); ok {
			return
		}
	}
}
