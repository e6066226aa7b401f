package sidecar

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Bounds of the part of an answer that is kept.
const (
	maxChunkBytes = 32 << 10
	// maxAheadBytes bounds what is produced and not yet sent; beyond it the upstream is not read.
	maxAheadBytes = 1 << 20
	// keptBytes is how much of a plain service's answer is kept after it was sent. It exceeds what a link has in flight
	// (window and one chunk), so that whatever the entry has not received can be sent again.
	keptBytes = 2*link.DefaultWindow + maxChunkBytes
)

// attempt is one accepted attempt: what it produced so far and how it ended. Its methods are safe for concurrent use.
type attempt struct {
	call  link.Call
	since time.Time
	ctx   context.Context // of the work at the upstream; it does not depend on a link
	abort context.CancelCauseFunc
	start chan struct{} // closed when the attempt got its slot
	done  chan struct{} // closed when the work at the upstream is over

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	head    *link.Head
	base    uint64 // offset of text[0]
	text    []byte
	ends    []uint64  // for tokens: offset in bytes after each one, from the first; nil for a plain service
	sent    uint64    // highest offset given to a link
	first   time.Time // of the first token
	finish  *link.Finish
	whole   bool // a link was given the whole answer with its end
	relays  int  // grows with each relay, so that an older one stops
	expiry  *time.Timer
}

func newAttempt(call *link.Call, now time.Time) *attempt {
	ctx, abort := context.WithCancelCause(context.Background())
	a := &attempt{
		call: *call, since: now, ctx: ctx, abort: abort,
		start: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}),
	}
	if call.Generate != nil {
		a.base = uint64(call.Generate.Offset)
		a.sent = a.base
	}
	return a
}

// notify wakes whoever waits for a change. a.mu is held.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// produced returns the offset after the last token or byte. a.mu is held.
func (a *attempt) produced() uint64 {
	if a.call.Generate != nil {
		return a.base + uint64(len(a.ends))
	}
	return a.base + uint64(len(a.text))
}

// firstOffset returns the offset at which the answer of the attempt begins.
func (a *attempt) firstOffset() int {
	if a.call.Generate != nil {
		return a.call.Generate.Offset
	}
	return 0
}

// next returns the index of the next token of the engine.
func (a *attempt) next() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.produced())
}

func (a *attempt) setFirst(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.first = now
}

func (a *attempt) firstAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.first
}

func (a *attempt) addToken(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.text = append(a.text, text...)
	a.ends = append(a.ends, uint64(len(a.text)))
	a.notify()
}

func (a *attempt) setHead(status int, header map[string][]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &link.Head{Status: status, Header: header}
	a.notify()
}

// addBytes keeps a part of a plain service's answer. It blocks while too much is waiting to be sent.
func (a *attempt) addBytes(p []byte) error {
	for {
		a.mu.Lock()
		if a.produced()-a.sent < maxAheadBytes {
			break
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-a.ctx.Done():
			return context.Cause(a.ctx)
		}
	}
	defer a.mu.Unlock()
	a.text = append(a.text, p...)
	a.notify()
	return nil
}

// end sets how the attempt ended; the first call counts.
func (a *attempt) end(f link.Finish) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == nil {
		a.finish = &f
		a.notify()
	}
}

// outcome returns how the attempt ended, or nothing while it runs.
func (a *attempt) outcome() fighollow.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == nil {
		return ""
	}
	return a.finish.Outcome
}

// part is what a relay sends next.
type part struct {
	head   *link.Head
	chunk  []byte
	units  uint32
	finish *link.Finish
}

// take waits for the answer from offset on. ok is false when the answer before that offset is no longer kept, or when
// the relay with number relay was replaced by another.
func (a *attempt) take(ctx context.Context, relay int, headSent bool, offset uint64) (p part, ok bool, err error) {
	for {
		a.mu.Lock()
		p, ready := a.ready(headSent, offset)
		ok := relay == a.relays && offset >= a.base
		changed := a.changed
		a.mu.Unlock()
		if ready || !ok {
			return p, ok, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return part{}, true, context.Cause(ctx)
		}
	}
}

// ready returns what can be sent from offset on. a.mu is held.
func (a *attempt) ready(headSent bool, offset uint64) (part, bool) {
	switch {
	case offset < a.base:
		return part{}, false
	case a.head != nil && !headSent:
		return part{head: a.head}, true
	case offset < a.produced():
		chunk, units := a.chunk(offset)
		return part{chunk: chunk, units: units}, true
	case a.finish != nil:
		return part{finish: a.finish}, true
	}
	return part{}, false
}

// chunk returns the tokens or bytes from offset on, as far as one chunk holds. a.mu is held.
func (a *attempt) chunk(offset uint64) ([]byte, uint32) {
	if a.call.Generate == nil {
		p := a.text[offset-a.base:]
		if len(p) > maxChunkBytes {
			p = p[:maxChunkBytes]
		}
		return append([]byte(nil), p...), uint32(len(p))
	}
	first := int(offset - a.base)
	from := uint64(0)
	if first > 0 {
		from = a.ends[first-1]
	}
	n := sort.Search(len(a.ends)-first, func(i int) bool { return a.ends[first+i]-from > maxChunkBytes })
	n = max(n, 1)
	return append([]byte(nil), a.text[from:a.ends[first+n-1]]...), uint32(n)
}

// noteSent drops what a link can no longer ask for again.
func (a *attempt) noteSent(offset uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = max(a.sent, offset)
	if a.call.Generate == nil && a.sent > a.base+2*keptBytes {
		drop := a.sent - a.base - keptBytes
		a.text = append([]byte(nil), a.text[drop:]...)
		a.base += drop
	}
	a.notify()
}

// relay begins a new relay, which ends those before, and stops the time of a waiting attempt.
func (a *attempt) relay() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relays++
	a.whole = false
	if a.expiry != nil {
		a.expiry.Stop()
	}
	a.notify()
	return a.relays
}

// setWhole notes that a link was given the whole answer.
func (a *attempt) setWhole() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whole = true
}

func (a *attempt) relayedWhole() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole
}

// expire calls f after d unless another relay begins.
func (a *attempt) expire(relay int, d time.Duration, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if relay != a.relays {
		return
	}
	a.expiry = time.AfterFunc(d, func() {
		a.mu.Lock()
		current := relay == a.relays
		a.mu.Unlock()
		if current {
			f()
		}
	})
}

// holds reports whether the answer from offset on can still be sent.
func (a *attempt) holds(offset uint64) bool {
	offset = max(offset, uint64(a.firstOffset()))
	a.mu.Lock()
	defer a.mu.Unlock()
	return offset >= a.base && offset <= a.produced()
}
