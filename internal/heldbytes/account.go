// Package heldbytes bounds the bytes of requests and answers that a process holds for connections whose peer does not read, or does not
// send the rest.
package heldbytes

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
)

// UncountedAnswer is the part of an answer that does not count, in bytes, so that answers with short events are relayed whole while long ones
// use up the bound.
const UncountedAnswer = 8 << 10

// UncountedHeader is the same for parsed headers.
const UncountedHeader = 16 << 10

const (
	// uncountedRequest is the same for requests, so that short ones are served.
	uncountedRequest = 16 << 10
	// unreadAfter is for how long a write blocks before its caller counts as one that does not read.
	unreadAfter = time.Second
	// lineInterval bounds the log lines about the bounds.
	lineInterval = 10 * time.Second
)

// Kind is what a connection holds bytes of.
type Kind int

// Kinds. Each has its own bound, so that answers that are not read do not keep requests out.
const (
	Request Kind = iota
	Answer
	Header // parsed, until its request has ended
	kinds
)

func (k Kind) String() string {
	return [...]string{Request: "request", Answer: "answer", Header: "header"}[k]
}

// bounds of each kind: the bytes of a connection that do not count, the most bytes on an instance of any size, and the divisor of an
// instance's memory. The heap has to stay below a third of the memory: of 48 MB, 600 connections whose callers do not read take 20 MB
// beside what counts, and garbage the rest.
var bounds = [kinds]struct{ uncounted, most, divisor int64 }{
	Request: {uncountedRequest, 96 << 20, 12},
	Answer:  {UncountedAnswer, 32 << 20, 36},
	Header:  {UncountedHeader, 96 << 20, 12},
}

// ErrFull is returned for bytes beyond the bound.
var ErrFull = errors.New("heldbytes: too many bytes are held")

// Account counts the bytes that the connections of a process hold. It is safe for concurrent use.
type Account struct {
	log  zerolog.Logger
	full [kinds]metrics.Counter // connections that were to hold bytes beyond the bound

	mu       sync.Mutex
	max      [kinds]int64
	used     [kinds]int64
	holders  map[*Holder]struct{}
	nextLine time.Time
}

// New returns an Account for an instance with so many megabytes of memory; 0 if that is not known. Its metrics are registered in r.
func New(memoryMB int, r metrics.Registry, log zerolog.Logger) *Account {
	a := &Account{log: log, holders: make(map[*Holder]struct{})}
	// A failure to register means that another Account uses the registry, as in tests of several processes in one.
	for k := range kinds {
		a.max[k] = bounds[k].most
		if memoryMB > 0 {
			a.max[k] = min(a.max[k], int64(memoryMB)<<20/bounds[k].divisor)
		}
		a.full[k] = metrics.GetOrRegisterCounter("held."+k.String()+"Full", r)
		_ = r.Register("held."+k.String()+"Bytes", metrics.NewFunctionalGauge(func() int64 { return a.Used(k) }))
	}
	_ = r.Register("held.unreadCallers", metrics.NewFunctionalGauge(func() int64 { return int64(a.Unread(time.Now())) }))
	return a
}

// Used returns the number of bytes of a kind that count.
func (a *Account) Used(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[k]
}

// Unread returns the number of connections whose caller does not read.
func (a *Account) Unread(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unread(now)
}

func (a *Account) unread(now time.Time) int {
	n := 0
	for h := range a.holders {
		if from := h.writeFrom.Load(); from != 0 && now.UnixNano()-from >= int64(unreadAfter) {
			n++
		}
	}
	return n
}

// Holder is the account of one connection's request, or of its answer. Its methods may be called by one goroutine at a time.
type Holder struct {
	account   *Account
	kind      Kind
	held      int64        // bytes that count; under the lock of account
	writeFrom atomic.Int64 // Unix time in nanoseconds at which the write in progress began; 0 for none
}

// Open returns a Holder that holds nothing. It must be closed.
func (a *Account) Open(k Kind) *Holder {
	h := &Holder{account: a, kind: k}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Close frees the bytes of h.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.holders, h)
	a.used[h.kind] -= h.held
	h.held = 0
}

// Hold sets the number of bytes that h holds. It returns ErrFull, and changes nothing, if that is more than before and beyond the bound.
func (h *Holder) Hold(now time.Time, n int) error {
	counted := max(0, int64(n)-bounds[h.kind].uncounted)
	a := h.account
	a.mu.Lock()
	if more := counted - h.held; more <= 0 || a.used[h.kind]+more <= a.max[h.kind] {
		a.used[h.kind] += more
		h.held = counted
		a.mu.Unlock()
		return nil
	}
	a.full[h.kind].Inc(1)
	due := !now.Before(a.nextLine)
	if due {
		a.nextLine = now.Add(lineInterval)
	}
	used, bound, unread := a.used[h.kind], a.max[h.kind], a.unread(now)
	a.mu.Unlock()
	if due {
		event.HeldBytesFull.Log(&a.log).Str("kind", h.kind.String()).Int64("bytes", used).Int64("bound", bound).Int("unread", unread).
			Int64("requests", a.full[Request].Count()).Int64("answers", a.full[Answer].Count()).Int64("headers", a.full[Header].Count()).Send()
	}
	return ErrFull
}

// BeginWrite records that a write to the caller begins.
func (h *Holder) BeginWrite(now time.Time) { h.writeFrom.Store(now.UnixNano()) }

// EndWrite records that the write has ended.
func (h *Holder) EndWrite() { h.writeFrom.Store(0) }
