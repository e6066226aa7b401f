package ledger_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/ledger"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// alone returns a world of n processes that have worked long enough to vouch for new keys.
func alone(n int) *world {
	w := newWorld(n)
	w.keepUp(nil)
	w.nowMs += 3000
	return w
}

// claim lets the holder named by the first process's copy decide, and dispatches what is granted.
func (w *world) claim(t *testing.T, key string) bool {
	m := w.ask(w.procs[0], key)
	qt.Assert(t, m, qt.IsNotNil)
	r, ok := w.deliver(*m)
	qt.Assert(t, ok, qt.IsTrue)
	w.receive(t, r)
	return r.granted
}

// heldBy returns a new key whose holder is the process with an id.
func (w *world) heldBy(id string) string {
	for {
		text := w.newKey(0)
		key, _ := ledger.ParseKey(text)
		if p, ok := w.latest().Holder(workspace, key); ok && p.Holder == id {
			return text
		}
	}
}

// Guards against a delegation of an ended process that is recorded after the next process with its id has begun to
// vouch: then both it and the successor would grant new keys.
func TestLateDelegationIsFencedByRegister(t *testing.T) {
	w := alone(2)
	p, to := w.procs[0], w.procs[1]
	x, ok := p.holder.Stop()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, to.holder.Import(transfer(x)), qt.IsTrue)
	next, _ := w.latest().Delegate(x.From, x.StartedMs, to.id)
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
		Region: region, From: x.From, StartedMs: x.StartedMs, VouchFromMs: x.VouchFromMs,
		Total: len(x.Records), Last: true, Records: x.Records,
	}
}

// Guards against lost memory in a planned stop: the successor must know granted keys and keep granting new ones, but not
// those that an earlier process may have granted.
func TestSuccessorAnswersForDelegatedKeys(t *testing.T) {
	w := alone(2)
	p, to := w.procs[0], w.procs[1]
	lost := w.heldBy(p.id)
	qt.Assert(t, w.claim(t, lost), qt.IsTrue)
	w.start(p, p.view, 0)
	w.register(p, false)
	w.nowMs += 3000
	kept := w.heldBy(p.id)
	qt.Assert(t, w.claim(t, kept), qt.IsTrue)

	x, _ := p.holder.Stop()
	qt.Assert(t, to.holder.Import(transfer(x)), qt.IsTrue)
	fresh := w.heldBy(p.id)
	qt.Assert(t, w.claim(t, fresh), qt.IsFalse, qt.Commentf("a stopped holder granted"))
	next, _ := w.latest().Delegate(x.From, x.StartedMs, to.id)
	w.commit(write{len(w.history) - 1, next})
	qt.Assert(t, w.claim(t, fresh), qt.IsFalse, qt.Commentf("the asker does not know the delegation"))
	w.keepUp(nil)
	p.view = len(w.history) - 1
	qt.Assert(t, w.claim(t, lost), qt.IsFalse)
	qt.Assert(t, w.claim(t, kept), qt.IsFalse)
	qt.Assert(t, w.claim(t, fresh), qt.IsTrue)
}

// Guards against a transfer whose first part reached an earlier process, which would look whole.
func TestIncompleteTransferIsRefused(t *testing.T) {
	w := alone(2)
	p, to := w.procs[0], w.procs[1]
	qt.Assert(t, w.claim(t, w.heldBy(p.id)), qt.IsTrue)
	x, _ := p.holder.Stop()
	part := transfer(x)
	part.Part, part.Records = 1, nil
	qt.Assert(t, to.holder.Import(part), qt.IsFalse)
}

type decision struct {
	granted, answer bool
	code            fighollow.Code
}

// Guards against a wrong reply to a repeated key in each state, among them a grant that a late settle of an earlier
// request frees.
func TestRepeatedKey(t *testing.T) {
	w := alone(1)
	h, key := w.procs[0].holder, w.newKey(0)
	claim := func(request string) decision {
		r := h.Claim(w.clock(w.procs[0]), w.latest(), ledger.ClaimRequest{
			Region: region, Workspace: workspace, Key: key, Request: request,
		})
		d := decision{granted: r.Granted, answer: r.Answer != nil}
		if r.Refusal != nil {
			d.code = r.Refusal.Code
			qt.Assert(t, r.Refusal.Outcome, qt.Equals, fighollow.Unknown)
		}
		return d
	}
	settle := func(request string, o fighollow.Outcome, body string) bool {
		return h.Settle(w.clock(w.procs[0]), ledger.SettleRequest{
			Workspace: workspace, Key: key, Request: request, Outcome: o, Answer: &fighollow.StoredAnswer{Body: []byte(body)},
		})
	}
	granted := decision{granted: true}
	qt.Assert(t, claim("a"), qt.Equals, granted)
	qt.Assert(t, claim("a"), qt.Equals, granted, qt.Commentf("repeat of a claim whose reply was lost"))
	qt.Assert(t, claim("b"), qt.Equals, decision{code: fighollow.CodeKeyInProgress})
	qt.Assert(t, settle("a", fighollow.NotRun, ""), qt.IsTrue)
	qt.Assert(t, claim("a"), qt.Equals, decision{code: fighollow.CodeKeyUnknown}, qt.Commentf("late claim of an ended request"))
	qt.Assert(t, claim("b"), qt.Equals, granted)
	qt.Assert(t, settle("a", fighollow.NotRun, ""), qt.IsFalse)
	qt.Assert(t, claim("c"), qt.Equals, decision{code: fighollow.CodeKeyInProgress})
	qt.Assert(t, settle("b", fighollow.Completed, "answer"), qt.IsTrue)
	qt.Assert(t, claim("c"), qt.Equals, decision{answer: true})
	qt.Assert(t, settle("b", fighollow.NotRun, ""), qt.IsFalse)

	key = w.newKey(0)
	qt.Assert(t, claim("a"), qt.Equals, granted)
	qt.Assert(t, settle("a", fighollow.Completed, strings.Repeat("x", ledger.DefaultMaxAnswerBytes+1)), qt.IsTrue)
	qt.Assert(t, claim("b"), qt.Equals, decision{code: fighollow.CodeKeyAlreadyRun})
	key = w.newKey(0)
	qt.Assert(t, claim("a"), qt.Equals, granted)
	qt.Assert(t, settle("a", fighollow.Unknown, ""), qt.IsTrue)
	qt.Assert(t, claim("b"), qt.Equals, decision{code: fighollow.CodeKeyUnknown})
}

// Guards against a grant of an expired key, whose record may be gone, also after the clock was set back.
func TestExpiredKeyIsUnknown(t *testing.T) {
	w := alone(1)
	key := w.newKey(0)
	qt.Assert(t, w.claim(t, key), qt.IsTrue)
	w.end(w.calls[0], fighollow.NotRun, "")
	before := w.nowMs
	w.nowMs += 2 * lifetime.Milliseconds()
	w.keepUp(nil)
	qt.Assert(t, w.claim(t, w.newKey(0)), qt.IsTrue)
	w.nowMs = before
	qt.Assert(t, w.claim(t, key), qt.IsFalse)
}

// Guards against stored answers that grow without bound.
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
			Workspace: workspace, Key: key, Request: "r", Outcome: fighollow.Completed,
			Answer: &fighollow.StoredAnswer{Body: make([]byte, 30)},
		})
	}
	for _, key := range w.keys {
		if h.Claim(now, e, ledger.ClaimRequest{Workspace: workspace, Key: key, Request: "s"}).Answer != nil {
			kept++
		}
	}
	qt.Assert(t, kept, qt.Equals, 3)
}

// Guards against keys that carry no creation time, and against two texts of one key that count as two.
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
