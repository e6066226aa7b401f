package sidecar

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Limits on the buffered part of an answer.
const (
	maxChunkBytes = 32 << 10
	// maxUnsentBytes bounds the bytes of a plain service's answer that are buffered and not yet sent. The upstream is not
	// read while the buffer is full.
	maxUnsentBytes = 1 << 20
	// minRetainedBytes is the least number of bytes of a plain service's answer that are retained after they were sent. It
	// exceeds what a link can have in flight (the window and one chunk), so that a resumed call can be sent every byte
	// that the entry has not received.
	minRetainedBytes = 2*link.DefaultWindow + maxChunkBytes
)

// attempt is an accepted attempt with the buffered part of its answer and its result. Its methods are safe for
// concurrent use.
type attempt struct {
	call       link.Call
	acceptedAt time.Time
	ctx        context.Context // of the upstream request; it outlives the link that the call arrived on
	cancel     context.CancelCauseFunc
	start      chan struct{} // closed when the attempt is given a slot
	done       chan struct{} // closed when the upstream request has ended

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each change of the fields below
	head         *link.Head
	baseOffset   uint64 // offset of data[0]
	data         []byte
	tokenEnds    []uint64 // index in data after each token; nil for a plain service
	sentOffset   uint64   // offset after the last token or byte sent over any link
	firstTokenAt time.Time
	finish       *link.Finish
	relayed      bool // the latest relay has sent the whole answer and its Finish
	relaySeq     int  // number of the latest relay; earlier ones stop
	expiryTimer  *time.Timer
}

func newAttempt(call *link.Call, now time.Time) *attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &attempt{
		call: *call, acceptedAt: now, ctx: ctx, cancel: cancel,
		start: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}),
	}
	if call.Generate != nil {
		a.baseOffset = uint64(call.Generate.Offset)
		a.sentOffset = a.baseOffset
	}
	return a
}

// notify wakes the goroutines that wait for a change. a.mu must be held.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// endOffset returns the offset after the last token or byte received from the upstream. a.mu must be held.
func (a *attempt) endOffset() uint64 {
	if a.call.Generate != nil {
		return a.baseOffset + uint64(len(a.tokenEnds))
	}
	return a.baseOffset + uint64(len(a.data))
}

// startOffset returns the offset at which the answer of the attempt starts.
func (a *attempt) startOffset() int {
	if a.call.Generate != nil {
		return a.call.Generate.Offset
	}
	return 0
}

// received returns the offset after the last token or byte received from the upstream.
func (a *attempt) received() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endOffset()
}

// nextToken returns the index of the next token that the engine must send.
func (a *attempt) nextToken() int { return int(a.received()) }

func (a *attempt) setFirstToken(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firstTokenAt = now
}

func (a *attempt) firstTokenTime() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.firstTokenAt
}

func (a *attempt) appendToken(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = append(a.data, text...)
	a.tokenEnds = append(a.tokenEnds, uint64(len(a.data)))
	a.notify()
}

func (a *attempt) setHead(status int, header map[string][]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &link.Head{Status: status, Header: header}
	a.notify()
}

// appendBytes buffers a part of a plain service's answer. It blocks while maxUnsentBytes or more are unsent, and
// returns the cause when the attempt is cancelled meanwhile.
func (a *attempt) appendBytes(p []byte) error {
	for {
		a.mu.Lock()
		if a.endOffset()-a.sentOffset < maxUnsentBytes {
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
	a.data = append(a.data, p...)
	a.notify()
	return nil
}

// end sets the result of the attempt. Calls after the first have no effect.
func (a *attempt) end(f link.Finish) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == nil {
		a.finish = &f
		a.notify()
	}
}

// outcome returns the outcome of the attempt, or "" while it is queued or running.
func (a *attempt) outcome() fighollow.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finish == nil {
		return ""
	}
	return a.finish.Outcome
}

// relayItem is the next item that a relay sends: exactly one of head, chunk and finish.
type relayItem struct {
	head   *link.Head
	chunk  []byte
	units  uint32
	finish *link.Finish
}

// nextItem waits for the next item from offset on. ok is false if the answer from offset on is no longer buffered, or
// if the given relay has been replaced by a later one.
func (a *attempt) nextItem(ctx context.Context, relay int, headSent bool, offset uint64) (item relayItem, ok bool, err error) {
	for {
		a.mu.Lock()
		item, available := a.available(headSent, offset)
		ok := relay == a.relaySeq && offset >= a.baseOffset
		changed := a.changed
		a.mu.Unlock()
		if available || !ok {
			return item, ok, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return relayItem{}, true, context.Cause(ctx)
		}
	}
}

// available returns the next item from offset on, and false if there is none yet. a.mu must be held.
func (a *attempt) available(headSent bool, offset uint64) (relayItem, bool) {
	switch {
	case offset < a.baseOffset:
		return relayItem{}, false
	case a.head != nil && !headSent:
		return relayItem{head: a.head}, true
	case offset < a.endOffset():
		chunk, units := a.chunk(offset)
		return relayItem{chunk: chunk, units: units}, true
	case a.finish != nil:
		return relayItem{finish: a.finish}, true
	}
	return relayItem{}, false
}

// chunk returns a copy of the tokens or bytes from offset on, up to maxChunkBytes but at least one token, and their
// number. a.mu must be held.
func (a *attempt) chunk(offset uint64) ([]byte, uint32) {
	if a.call.Generate == nil {
		p := a.data[offset-a.baseOffset:]
		if len(p) > maxChunkBytes {
			p = p[:maxChunkBytes]
		}
		return append([]byte(nil), p...), uint32(len(p))
	}
	first := int(offset - a.baseOffset)
	start := uint64(0)
	if first > 0 {
		start = a.tokenEnds[first-1]
	}
	n := sort.Search(len(a.tokenEnds)-first, func(i int) bool { return a.tokenEnds[first+i]-start > maxChunkBytes })
	n = max(n, 1)
	return append([]byte(nil), a.data[start:a.tokenEnds[first+n-1]]...), uint32(n)
}

// advanceSent records that the answer was sent up to offset. Of a plain service's answer it drops the bytes that no
// resume can request any more.
func (a *attempt) advanceSent(offset uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentOffset = max(a.sentOffset, offset)
	if a.call.Generate == nil && a.sentOffset > a.baseOffset+2*minRetainedBytes {
		drop := a.sentOffset - a.baseOffset - minRetainedBytes
		a.data = append([]byte(nil), a.data[drop:]...)
		a.baseOffset += drop
	}
	a.notify()
}

// beginRelay starts a new relay and returns its number. Earlier relays stop, and so does the expiry timer.
func (a *attempt) beginRelay() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relaySeq++
	a.relayed = false
	if a.expiryTimer != nil {
		a.expiryTimer.Stop()
	}
	a.notify()
	return a.relaySeq
}

// setRelayed records that the whole answer was sent over a link.
func (a *attempt) setRelayed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relayed = true
}

func (a *attempt) isRelayed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.relayed
}

// expireAfter calls f after d, unless a later relay has begun by then.
func (a *attempt) expireAfter(relay int, d time.Duration, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if relay != a.relaySeq {
		return
	}
	a.expiryTimer = time.AfterFunc(d, func() {
		a.mu.Lock()
		current := relay == a.relaySeq
		a.mu.Unlock()
		if current {
			f()
		}
	})
}

// canResumeAt reports whether the answer from offset on is still buffered.
func (a *attempt) canResumeAt(offset uint64) bool {
	offset = max(offset, uint64(a.startOffset()))
	a.mu.Lock()
	defer a.mu.Unlock()
	return offset >= a.baseOffset && offset <= a.endOffset()
}
