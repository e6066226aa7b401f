package ledger_test

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/fighollow/fighollow/internal/ledger"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	region    = "north"
	workspace = "w"
	horizonMs = 20_000
	lifetime  = 30 * time.Second
	// Two clocks differ by less than the tolerance of 2 s that the ledger assumes.
	maxSkewMs = 999
)

// process is one process id with its current holder, its copy of the ledger object and its clock.
type process struct {
	id        string
	holder    *ledger.Holder
	view      int // version of the process's copy, as an index into world.history
	skewMs    int64
	paused    bool
	export    *ledger.Export // set while the process stops
	successor string         // successor that has imported the whole export
}

// call is the claim of one request as its entry sees it.
type call struct {
	key, request string
	waiting      bool // the entry is still waiting for the reply
	running      bool // granted and dispatched
}

// message is a claim or settle in flight to a holder.
type message struct {
	to     string
	call   *call
	settle *fighollow.Outcome // nil for a claim
}

// testingT is a *rapid.T or *testing.T.
type testingT interface {
	Fatalf(format string, args ...any)
}

// reply is a holder's reply in flight to an entry.
type reply struct {
	call    *call
	granted bool
}

// write is a conditional write of the ledger object.
type write struct {
	expected int
	value    ledger.Epochs
}

// world simulates a region: the object API, the processes, and all messages and writes in flight. The oracle is runs,
// which counts how often the work of each key may have run.
type world struct {
	nowMs    int64
	history  []ledger.Epochs // every version of the ledger object
	writes   []write
	procs    []*process
	keys     []string
	calls    []*call
	messages []message
	replies  []reply
	runs     map[string]int // by key
	granted  int            // dispatched requests
	requests int            // claims by new requests
}

func newWorld(n int) *world {
	w := &world{nowMs: 1_700_000_000_000, history: []ledger.Epochs{{}}, runs: make(map[string]int)}
	for i := range n {
		p := &process{id: fmt.Sprintf("entry-%d", i)}
		w.procs = append(w.procs, p)
		w.start(p, 0, 0)
	}
	return w
}

func (w *world) clock(p *process) time.Time { return time.UnixMilli(w.nowMs + p.skewMs) }

// start replaces the process with an id by a new one that has no records, a possibly stale copy of the ledger object,
// and another clock.
func (w *world) start(p *process, view int, skewMs int64) {
	p.skewMs = skewMs
	p.view, p.paused, p.export, p.successor = view, false, nil, ""
	p.holder = ledger.NewHolder(ledger.HolderOptions{KeyLifetime: lifetime}, p.id, w.clock(p))
}

func (w *world) latest() ledger.Epochs { return w.history[len(w.history)-1] }

// commit applies a write as the object API does: only when the object still has the expected version.
func (w *world) commit(update write) bool {
	if update.expected != len(w.history)-1 {
		return false
	}
	w.history = append(w.history, update.value)
	return true
}

// register does what Holder.Register requires of its caller. The reply to the write can be lost.
func (w *world) register(p *process, replyLost bool) {
	if p.export != nil || p.holder.Registered() {
		return
	}
	if w.latest().Contains(p.id) {
		w.commit(write{len(w.history) - 1, w.latest()})
		if replyLost {
			return
		}
	}
	p.view = len(w.history) - 1
	p.holder.Register()
}

func (w *world) newKey(offsetMs int64) string {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	binary.BigEndian.PutUint32(id[12:], uint32(len(w.keys)))
	ms := w.nowMs + offsetMs
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	w.keys = append(w.keys, id.String())
	return id.String()
}

// newClaim returns a claim of a key by a new request, addressed to the holder according to one process's copy; nil when
// that copy has no epoch for the key.
func (w *world) newClaim(from *process, text string) *message {
	key, err := ledger.ParseKey(text)
	if err != nil {
		panic(err)
	}
	assigned, ok := w.history[from.view].Lookup(workspace, key)
	if !ok {
		return nil
	}
	w.requests++
	c := &call{key: text, request: fmt.Sprint("request-", w.requests), waiting: true}
	w.calls = append(w.calls, c)
	return &message{to: assigned.Holder, call: c}
}

func (w *world) proc(id string) *process {
	for _, p := range w.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

// deliver lets the receiver process a message. ok is false while the receiver is paused.
func (w *world) deliver(m message) (r reply, ok bool) {
	p := w.proc(m.to)
	if p == nil || p.paused {
		return reply{}, false
	}
	if m.settle != nil {
		p.holder.Settle(w.clock(p), ledger.SettleRequest{
			Region: region, Workspace: workspace, Key: m.call.key, Request: m.call.request, Outcome: *m.settle,
			Answer: &fighollow.StoredResponse{Status: 200, Body: []byte("answer")},
		})
		return reply{call: m.call}, true
	}
	got := p.holder.Claim(w.clock(p), w.history[p.view], ledger.ClaimRequest{
		Region: region, Workspace: workspace, Key: m.call.key, Request: m.call.request,
	})
	return reply{call: m.call, granted: got.Granted}, true
}

// receive handles a reply at the entry: a grant that it is still waiting for is dispatched at once.
func (w *world) receive(t testingT, r reply) {
	if !r.call.waiting {
		return
	}
	r.call.waiting = false
	if !r.granted {
		return
	}
	r.call.running = true
	w.granted++
	w.runs[r.call.key]++
	if n := w.runs[r.call.key]; n > 1 {
		t.Fatalf("key %s was dispatched %d times, last by %s", r.call.key, n, r.call.request)
	}
}

// end finishes a dispatched request and returns the settle of its key.
func (w *world) end(c *call, outcome fighollow.Outcome, holder string) message {
	c.running = false
	if outcome == fighollow.OutcomeNotRun {
		w.runs[c.key]--
	}
	return message{to: holder, call: c, settle: &outcome}
}
