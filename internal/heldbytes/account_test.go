package heldbytes_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/heldbytes"
)

// Guards against a bound that is exceeded, against answers that keep requests out, and against bytes that stay counted.
func TestBoundsOfEachKind(t *testing.T) {
	var logs bytes.Buffer
	a := heldbytes.New(144, metrics.NewRegistry(), zerolog.New(&logs))
	now := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		kind heldbytes.Kind
		fits int // connections that may hold 1 MiB each
	}{{heldbytes.Answer, 4}, {heldbytes.Request, 12}} {
		var holders []*heldbytes.Holder
		for i := range c.fits + 2 {
			h := a.Open(c.kind)
			holders = append(holders, h)
			qt.Assert(t, h.Hold(now, 8<<10), qt.IsNil) // always allowed
			if err := h.Hold(now, 1<<20); i < c.fits {
				qt.Assert(t, err, qt.IsNil)
			} else {
				qt.Assert(t, err, qt.ErrorIs, heldbytes.ErrFull)
			}
		}
		last := holders[c.fits]
		qt.Assert(t, holders[0].Hold(now, 100<<10), qt.IsNil)
		qt.Assert(t, last.Hold(now, 900<<10), qt.IsNil) // of what the first has freed
		if c.kind == heldbytes.Answer {
			continue // stays held
		}
		for _, h := range holders {
			h.Close()
		}
		qt.Assert(t, a.Used(c.kind), qt.Equals, int64(0))
	}
	qt.Assert(t, a.Used(heldbytes.Answer) > 3<<20, qt.IsTrue)
	qt.Assert(t, strings.Count(logs.String(), "heldBytesFull"), qt.Equals, 1) // one each 10 s
}

// Guards against callers that count as unread while they read, or after they have left.
func TestUnreadCallers(t *testing.T) {
	a := heldbytes.New(0, metrics.NewRegistry(), zerolog.Nop())
	now := time.Unix(1_800_000_000, 0)
	h, left := a.Open(heldbytes.Answer), a.Open(heldbytes.Answer)
	h.BeginWrite(now)
	left.BeginWrite(now)
	left.Close()
	qt.Assert(t, a.Unread(now.Add(999*time.Millisecond)), qt.Equals, 0)
	qt.Assert(t, a.Unread(now.Add(time.Second)), qt.Equals, 1)
	h.EndWrite()
	qt.Assert(t, a.Unread(now.Add(time.Hour)), qt.Equals, 0)
}

// Guards against a buffer that is as long as its sender has named before anything has arrived, or that never ends to grow.
func TestBuffersGrowWithWhatArrives(t *testing.T) {
	for _, c := range []struct{ size, most, next int }{
		{0, 4 << 20, 4 << 10}, {0, 100, 100}, {0, -1, 4 << 10}, {4 << 10, 4 << 20, 8 << 10}, {3 << 20, 4 << 20, 4 << 20}, {4 << 20, -1, 8 << 20},
	} {
		qt.Check(t, heldbytes.NextSize(c.size, c.most), qt.Equals, c.next, qt.Commentf("%+v", c))
	}
}
