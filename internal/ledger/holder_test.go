package ledger_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/ledger"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// newReadyWorld returns a world of n processes that have been registered for long enough to grant new keys.
func newReadyWorld(n int) *world {
	w := newWorld(n)
	w.converge(nil)
	w.nowMs += 3000
	return w
}

// claim sends a claim to the holder according to the first process's copy, and dispatches the request if granted.
func (w *world) claim(t *testing.T, key string) bool {
	m := w.newClaim(w.procs[0], key)
	qt.Assert(t, m, qt.IsNotNil)
	r, ok := w.deliver(*m)
	qt.Assert(t, ok, qt.IsTrue)
	w.receive(t, r)
	return r.granted
}

// heldBy returns a new key whose holder is the process with this id.
func (w *world) heldBy(id string) string {
	for {
		text := w.newKey(0)
		key, _ := ledger.ParseKey(text)
		if a, ok := w.latest().Lookup(workspace, key); ok && a.Holder == id {
			return text
		}
	}
}

// Guards against a delegation by an ended process that is recorded after the next process with its id has registered:
// both that process and the successor would then grant new keys.
func TestLateDelegationIsFencedByRegister(t *testing.T) {
	w := newReadyWorld(2)
	p, to := w.procs[0], w.procs[1]
	export, ok := p.holder.Stop()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, to.holder.Import(transfer(export)), qt.IsTrue)
	next, _ := w.latest().Delegate(export.From, export.StartedMs, to.id)
	late := write{len(w.history) - 1, next}

	w.start(p, p.view, 0)
	w.register(p, false)
	w.nowMs += 3000
	key := w.heldBy(p.id)
	qt.Assert(t, w.claim(t, key), qt.IsTrue)

	qt.Assert(t, w.commit(late), qt.IsFalse)
}

func transfer(x ledger.Export) ledger.TransferRequest {
	return ledger.TransferRequest{
		Region: region, From: x.From, StartedMs: x.StartedMs, CompleteFromMs: x.CompleteFromMs,
		Total: len(x.Records), Last: true, Records: x.Records,
	}
}

// Guards against the loss of records in a planned stop: the successor must refuse keys that were granted and those that
// an earlier process may have granted, and must grant new ones.
func TestSuccessorAnswersForDelegatedKeys(t *testing.T) {
	w := newReadyWorld(2)
	p, to := w.procs[0], w.procs[1]
	forgotten := w.heldBy(p.id)
	qt.Assert(t, w.claim(t, forgotten), qt.IsTrue)
	w.start(p, p.view, 0)
	w.register(p, false)
	w.nowMs += 3000
	kept := w.heldBy(p.id)
	qt.Assert(t, w.claim(t, kept), qt.IsTrue)

	export, _ := p.holder.Stop()
	qt.Assert(t, to.holder.Import(transfer(export)), qt.IsTrue)
	fresh := w.heldBy(p.id)
	qt.Assert(t, w.claim(t, fresh), qt.IsFalse, qt.Commentf("a stopped holder granted a key"))
	next, _ := w.latest().Delegate(export.From, export.StartedMs, to.id)
	w.commit(write{len(w.history) - 1, next})
	qt.Assert(t, w.claim(t, fresh), qt.IsFalse, qt.Commentf("the claiming entry has not received the delegation"))
	w.converge(nil)
	p.view = len(w.history) - 1
	qt.Assert(t, w.claim(t, forgotten), qt.IsFalse)
	qt.Assert(t, w.claim(t, kept), qt.IsFalse)
	qt.Assert(t, w.claim(t, fresh), qt.IsTrue)
}

// Guards against an incomplete transfer that is accepted: when the first part reached an earlier process, the last part
// alone must not count as a complete transfer.
func TestIncompleteTransferIsRefused(t *testing.T) {
	w := newReadyWorld(2)
	p, to := w.procs[0], w.procs[1]
	qt.Assert(t, w.claim(t, w.heldBy(p.id)), qt.IsTrue)
	export, _ := p.holder.Stop()
	part := transfer(export)
	part.Part, part.Records = 1, nil
	qt.Assert(t, to.holder.Import(part), qt.IsFalse)
}

// decision is the relevant part of a ClaimReply.
type decision struct {
	granted, answer bool
	code            fighollow.Code
}

// Guards against a wrong reply to a repeated key in each state, including a grant that is released by a late settle of
// an earlier request.
func TestRepeatedKey(t *testing.T) {
	w := newReadyWorld(1)
	h, key := w.procs[0].holder, w.newKey(0)
	claim := func(request string) decision {
		r := h.Claim(w.clock(w.procs[0]), w.latest(), ledger.ClaimRequest{
			Region: region, Workspace: workspace, Key: key, Request: request,
		})
		d := decision{granted: r.Granted, answer: r.Answer != nil}
		if r.Refusal != nil {
			d.code = r.Refusal.Code
			qt.Assert(t, r.Refusal.Outcome, qt.Equals, fighollow.OutcomeUnknown)
		}
		return d
	}
	settle := func(request string, o fighollow.Outcome, body string) bool {
		return h.Settle(w.clock(w.procs[0]), ledger.SettleRequest{
			Workspace: workspace, Key: key, Request: request, Outcome: o, Answer: &fighollow.StoredResponse{Body: []byte(body)},
		})
	}
	granted := decision{granted: true}
	qt.Assert(t, claim("a"), qt.Equals, granted)
	qt.Assert(t, claim("a"), qt.Equals, granted, qt.Commentf("repeat of a claim whose reply was lost"))
	qt.Assert(t, claim("b"), qt.Equals, decision{code: fighollow.CodeKeyInProgress})
	qt.Assert(t, settle("a", fighollow.OutcomeNotRun, ""), qt.IsTrue)
	qt.Assert(t, claim("a"), qt.Equals, decision{code: fighollow.CodeKeyUnknown}, qt.Commentf("late claim of an ended request"))
	qt.Assert(t, claim("b"), qt.Equals, granted)
	qt.Assert(t, settle("a", fighollow.OutcomeNotRun, ""), qt.IsFalse)
	qt.Assert(t, claim("c"), qt.Equals, decision{code: fighollow.CodeKeyInProgress})
	qt.Assert(t, settle("b", fighollow.OutcomeCompleted, "answer"), qt.IsTrue)
	qt.Assert(t, claim("c"), qt.Equals, decision{answer: true})
	qt.Assert(t, settle("b", fighollow.OutcomeNotRun, ""), qt.IsFalse)

	key = w.newKey(0)
	qt.Assert(t, claim("a"), qt.Equals, granted)
	qt.Assert(t, settle("a", fighollow.OutcomeCompleted, strings.Repeat("x", ledger.DefaultMaxAnswerBytes+1)), qt.IsTrue)
	qt.Assert(t, claim("b"), qt.Equals, decision{code: fighollow.CodeKeyAlreadyRun})
	key = w.newKey(0)
	qt.Assert(t, claim("a"), qt.Equals, granted)
	qt.Assert(t, settle("a", fighollow.OutcomeUnknown, ""), qt.IsTrue)
	qt.Assert(t, claim("b"), qt.Equals, decision{code: fighollow.CodeKeyUnknown})
}

// Guards against a grant of an expired key, whose record may have been removed, also after a backward clock step.
func TestExpiredKeyIsUnknown(t *testing.T) {
	w := newReadyWorld(1)
	key := w.newKey(0)
	qt.Assert(t, w.claim(t, key), qt.IsTrue)
	w.end(w.calls[0], fighollow.OutcomeNotRun, "")
	before := w.nowMs
	w.nowMs += 2 * lifetime.Milliseconds()
	w.converge(nil)
	qt.Assert(t, w.claim(t, w.newKey(0)), qt.IsTrue)
	w.nowMs = before
	qt.Assert(t, w.claim(t, key), qt.IsFalse)
}

// Guards against unbounded growth of stored answers.
func TestStoredAnswersAreBounded(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	h := ledger.NewHolder(ledger.HolderOptions{MaxAnswersBytes: 100}, "a", now.Add(-time.Minute))
	h.Register()
	w := newWorld(1)
	w.nowMs = now.UnixMilli()
	e, _ := ledger.Epochs{}.Maintain(region, []string{"a"}, w.nowMs, horizonMs, lifetime.Milliseconds())
	kept := 0
	for range 10 {
		key := w.newKey(0)
		c := ledger.ClaimRequest{Workspace: workspace, Key: key, Request: "r"}
		qt.Assert(t, h.Claim(now, e, c).Granted, qt.IsTrue)
		h.Settle(now, ledger.SettleRequest{
			Workspace: workspace, Key: key, Request: "r", Outcome: fighollow.OutcomeCompleted,
			Answer: &fighollow.StoredResponse{Body: make([]byte, 30)},
		})
	}
	for _, key := range w.keys {
		if h.Claim(now, e, ledger.ClaimRequest{Workspace: workspace, Key: key, Request: "s"}).Answer != nil {
			kept++
		}
	}
	qt.Assert(t, kept, qt.Equals, 3)
}

// Guards against accepting keys without a creation time, and against treating two spellings of one key as different
// keys.
func TestParseKey(t *testing.T) {
	for _, text := range []string{
		"", "x", "123e4567-e89b-42d3-a456-426614174000", "018bcfe575ad7a6a82c41ff120904072",
		"{018bcfe5-75ad-7a6a-82c4-1ff120904072}", "urn:uuid:018bcfe5-75ad-7a6a-82c4-1ff120904072",
		"018bcfe5-75ad-7a6a-02c4-1ff120904072",
	} {
		_, err := ledger.ParseKey(text)
		qt.Assert(t, err, qt.ErrorIs, fighollow.ErrNotRun, qt.Commentf("%q", text))
	}
	lower, err := ledger.ParseKey("018bcfe5-75ad-7a6a-82c4-1ff120904072")
	qt.Assert(t, err, qt.IsNil)
	upper, err := ledger.ParseKey("018BCFE5-75AD-7A6A-82C4-1FF120904072")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lower, qt.Equals, upper)
	qt.Assert(t, lower.CreatedMs, qt.Equals, int64(0x018bcfe575ad))
}
