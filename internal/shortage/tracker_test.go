package shortage_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/shortage"
)

// fleet is several entries whose messages wait until deliver is called.
type fleet struct {
	holder  string
	entries map[string]*shortage.Tracker
	queue   []datagram
	now     time.Time
}

// datagram is a message on its way.
type datagram struct {
	from, to string
	data     []byte
}

func newFleet(names ...string) *fleet {
	f := &fleet{holder: names[0], entries: make(map[string]*shortage.Tracker), now: start}
	for _, name := range names {
		send := func(data []byte, to ...string) {
			for _, other := range to {
				if other != name {
					f.queue = append(f.queue, datagram{name, other, data})
				}
			}
		}
		f.entries[name] = shortage.New(shortage.Options{
			Self: name, Holder: func() string { return f.holder }, Send: send, SendAll: func(data []byte) { send(data, names...) },
		}, zerolog.Nop())
	}
	return f
}

// deliver delivers all messages, and those that are sent because of them.
func (f *fleet) deliver() {
	for len(f.queue) > 0 {
		m := f.queue[0]
		f.queue = f.queue[1:]
		if e := f.entries[m.to]; e != nil {
			e.Receive(f.now, m.from, m.data)
		}
	}
}

func woken(t *shortage.Tracker) bool {
	select {
	case <-t.Wake():
		return true
	default:
		return false
	}
}

// Guards against a holder that hears of a shortage only in its next round, and against entries that don't hear when an engine will be ready:
// those that reported it and those to which callers come later.
func TestShortageIsReportedAndAnswered(t *testing.T) {
	key := shortage.Key{Service: "models", Version: "v1"}
	f := newFleet("a", "b", "c")
	a, b, c := f.entries["a"], f.entries["b"], f.entries["c"]
	qt.Assert(t, b.Report(f.now, key).State, qt.Equals, shortage.Unknown)
	f.deliver()
	qt.Assert(t, woken(a), qt.IsTrue)
	qt.Assert(t, a.Reported(f.now, "models"), qt.DeepEquals, []string{"v1"})
	qt.Assert(t, a.Reported(f.now, "other"), qt.HasLen, 0)
	readyAt := f.now.Add(3 * time.Second)
	a.Answer(f.now, key, shortage.Forecast{State: shortage.Changing, ReadyAt: readyAt})
	f.deliver()
	got := b.Report(f.now, key)
	qt.Assert(t, got.State, qt.Equals, shortage.Changing)
	qt.Assert(t, got.ReadyAt.Equal(readyAt), qt.IsTrue)
	for name, e := range f.entries {
		at, ok := e.Announced(f.now, key)
		qt.Assert(t, ok && at.Equal(readyAt), qt.IsTrue, qt.Commentf("entry %s", name))
	}
	// Another entry is answered without another reading of the engines' reports.
	qt.Assert(t, c.Report(f.now, key).State, qt.Equals, shortage.Unknown)
	f.deliver()
	qt.Assert(t, c.Report(f.now, key).State, qt.Equals, shortage.Changing)
	qt.Assert(t, woken(a), qt.IsFalse)
	f.now = readyAt
	_, ok := c.Announced(f.now, key)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, a.Reported(f.now, "models"), qt.HasLen, 0)
}

// Guards against rounds of the holder as fast as streams arrive while there is no engine to be had.
func TestShortageWithoutAnEngineWakesTheHolderOnceASecond(t *testing.T) {
	key := shortage.Key{Service: "models", Version: "v1"}
	f := newFleet("a", "b")
	rounds := 0
	for range 100 {
		f.entries["b"].Report(f.now, key)
		f.deliver()
		if woken(f.entries["a"]) {
			rounds++
			f.entries["a"].Answer(f.now, key, shortage.Forecast{State: shortage.None})
		}
		f.now = f.now.Add(50 * time.Millisecond)
	}
	qt.Assert(t, rounds >= 4 && rounds <= 5, qt.IsTrue, qt.Commentf("%d rounds in 5 s", rounds))
}

// Guards against an entry that holds the lease itself and waits for a message, and against one that goes by what an entry says that does not
// hold it.
func TestOnlyTheHolderAnswers(t *testing.T) {
	key := shortage.Key{Service: "models", Version: "v1"}
	f := newFleet("a", "b")
	a, b := f.entries["a"], f.entries["b"]
	a.Report(f.now, key)
	qt.Assert(t, woken(a), qt.IsTrue)
	a.Answer(f.now, key, shortage.Forecast{State: shortage.None})
	qt.Assert(t, a.Report(f.now, key).State, qt.Equals, shortage.None)
	f.holder = "c"
	b.Report(f.now, key)
	a.Answer(f.now, key, shortage.Forecast{State: shortage.Changing, ReadyAt: f.now.Add(time.Second)})
	f.deliver()
	qt.Assert(t, b.Report(f.now, key).State, qt.Equals, shortage.Unknown)
	_, ok := b.Announced(f.now, key)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against memory without bound by messages about versions that don't exist, and against malformed messages that end the process or change
// what is known.
func TestMessagesAreBounded(t *testing.T) {
	f := newFleet("a", "b")
	a := f.entries["a"]
	for i := range 10_000 {
		f.entries["b"].Report(f.now, shortage.Key{Service: "models", Version: fmt.Sprint(i)})
		report, err := msgpack.Marshal([]any{"models", fmt.Sprint(i), 0, 0})
		qt.Assert(t, err, qt.IsNil)
		a.Receive(f.now, fmt.Sprint("entry-", i), report)
	}
	qt.Assert(t, len(a.Reported(f.now, "models")) <= 64, qt.IsTrue)
	for _, m := range []any{"text", 7, []any{"models"}, []any{"models", "v1", 9, 0}, []any{"models", "v1", 2, -1}, []any{"models", "v1", 2, int64(1) << 60}} {
		data, err := msgpack.Marshal(m)
		qt.Assert(t, err, qt.IsNil)
		f.entries["b"].Receive(f.now, "a", data)
		f.entries["b"].Receive(f.now, "a", data[:len(data)/2])
	}
	_, ok := f.entries["b"].Announced(f.now, shortage.Key{Service: "models", Version: "v1"})
	qt.Assert(t, ok, qt.IsFalse)
}
