package entry_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// fakeLedger is an in-memory ledger of idempotency keys.
type fakeLedger struct {
	mu       sync.Mutex
	answers  map[string]*fighollow.StoredResponse
	outcomes map[string]fighollow.Outcome // empty while the request runs
}

func (l *fakeLedger) Claim(_ context.Context, _ time.Time, w fighollow.Workspace, key, _ string) (*fighollow.StoredResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome, ok := l.outcomes[w.Name+"/"+key]
	switch {
	case !ok || outcome == fighollow.OutcomeNotRun:
		l.outcomes[w.Name+"/"+key] = ""
		return nil, nil
	case l.answers[w.Name+"/"+key] != nil:
		return l.answers[w.Name+"/"+key], nil
	case outcome == "":
		return nil, &fighollow.Refusal{Code: fighollow.CodeKeyInProgress, Outcome: fighollow.OutcomeUnknown}
	}
	return nil, &fighollow.Refusal{Code: fighollow.CodeKeyAlreadyRun, Outcome: fighollow.OutcomeUnknown}
}

func (l *fakeLedger) Settle(_ context.Context, _ time.Time, w fighollow.Workspace, key, _ string, o fighollow.Outcome, a *fighollow.StoredResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[w.Name+"/"+key] = o
	l.answers[w.Name+"/"+key] = a
}

func (l *fakeLedger) outcome(key string) fighollow.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes["acme/"+key]
}

// Guards against a second run of a request with the same key, and against a repeat whose answer differs from the first.
func TestRepeatedKeyGetsTheStoredAnswer(t *testing.T) {
	f := startFleet(t)
	s := f.add("engine-1", "m", serveWords(4))
	for _, stream := range []bool{false, true} {
		key := map[bool]string{false: "plain", true: "streamed"}[stream]
		first := f.chat("m", stream, "Idempotency-Key", key)
		again := f.chat("m", stream, "Idempotency-Key", key)
		qt.Assert(t, first.content(t), qt.Equals, wordText(4))
		qt.Assert(t, again.content(t), qt.Equals, wordText(4))
		qt.Assert(t, again.header.Get("Content-Type"), qt.Equals, first.header.Get("Content-Type"))
	}
	qt.Assert(t, s.received(), qt.HasLen, 2)
	qt.Assert(t, s.received()[0].Idempotent, qt.IsFalse)

	s.setServe(serveWords(20_000)) // more than 64 KiB of text
	qt.Assert(t, f.chat("m", false, "Idempotency-Key", "large").status, qt.Equals, 200)
	a := f.chat("m", false, "Idempotency-Key", "large")
	code, _ := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 409)
	qt.Assert(t, code, qt.Equals, "keyAlreadyRun")
}

// Guards against a key that stays claimed after a request that never ran, or becomes free after one that may have run.
func TestKeyIsSettledByTheOutcome(t *testing.T) {
	f := startFleet(t)
	s := f.add("engine-1", "m", refuseOverloaded)
	qt.Assert(t, f.chat("m", false, "Idempotency-Key", "k").status, qt.Equals, 503)
	qt.Assert(t, f.keys.outcome("k"), qt.Equals, fighollow.OutcomeNotRun)
	s.setServe(func(_ context.Context, _ *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{})
		_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown})
	})
	qt.Assert(t, f.chat("m", false, "Idempotency-Key", "k").status, qt.Equals, 504)
	qt.Assert(t, f.keys.outcome("k"), qt.Equals, fighollow.OutcomeUnknown)
	qt.Assert(t, f.chat("m", false, "Idempotency-Key", "k").status, qt.Equals, 409)
	qt.Assert(t, s.received(), qt.HasLen, 2)
}

// Guards against requests with a key that run although no ledger can detect a repeat.
func TestKeysWithoutLedgerAreRefused(t *testing.T) {
	f := startFleet(t)
	s := f.add("engine-1", "m", serveWords(1))
	f.entry.SetKeyLedger(nil)
	a := f.chat("m", false, "Idempotency-Key", "k")
	code, notRun := a.refusal(t)
	qt.Assert(t, a.status, qt.Equals, 504)
	qt.Assert(t, code, qt.Equals, "keyUnknown")
	qt.Assert(t, notRun, qt.IsFalse)
	qt.Assert(t, s.received(), qt.HasLen, 0)
}

// Guards against a repeat that does not get the stored answer of a service, and against retries of calls that are not
// idempotent or whose answer has been partly sent.
func TestServiceKeysAndMethods(t *testing.T) {
	f := startFleet(t)
	serve := func(_ context.Context, _ *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{})
		_ = st.Head(202, map[string][]string{"Content-Type": {"text/plain"}})
		_ = st.Chunk(0, 4, []byte("done"))
		_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeCompleted})
	}
	in := fighollow.Instance{Kind: fighollow.InstanceService, Service: "orders", DataCentre: "dc"}
	s := f.addInstance("orders-1", in, "", serve)
	for range 2 {
		a := f.send("POST", "/services/orders/new", "x", "Idempotency-Key", "k")
		qt.Assert(t, a.status, qt.Equals, 202)
		qt.Assert(t, a.body, qt.Equals, "done")
		qt.Assert(t, a.header.Get("Content-Type"), qt.Equals, "text/plain")
	}
	qt.Assert(t, s.received(), qt.HasLen, 1)

	fail := func(_ context.Context, _ *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{})
		_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown})
	}
	s.setServe(fail)
	two := f.addInstance("orders-2", in, "", fail)
	for method, runs := range map[string]int{"POST": 1, "PATCH": 1, "GET": 2, "PUT": 2} {
		before := len(initialCalls(s, two))
		qt.Assert(t, f.send(method, "/services/orders/x", "").status, qt.Equals, 504)
		qt.Assert(t, len(initialCalls(s, two))-before, qt.Equals, runs, qt.Commentf(method))
	}
	s.setServe(func(_ context.Context, _ *link.Call, st *link.ServerStream) {
		_ = st.Accept(fighollow.Load{})
		_ = st.Head(200, nil)
		_ = st.Chunk(0, 4, []byte("half"))
		_ = st.Finish(link.Finish{Outcome: fighollow.OutcomeUnknown})
	})
	two.setServe(refuseOverloaded)
	before := len(initialCalls(s, two))
	a := f.send("GET", "/services/orders/x", "")
	qt.Assert(t, a.body, qt.Equals, "half\nBROKEN OFF")
	qt.Assert(t, len(initialCalls(s, two))-before <= 2, qt.IsTrue)
}
