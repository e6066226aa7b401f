package ledger

import "github.com/fighollow/fighollow/pkg/fighollow"

// answerQueue holds the records with a stored answer, oldest first.
type answerQueue struct {
	records []*Record
	bytes   int
}

// sweepMs is the time between two removals of expired records.
const sweepMs = 60_000

// advance moves the holder's time forward and removes expired records. A clock that is set back does not bring expired
// keys back, whose records are gone.
func (h *Holder) advance(nowMs int64) {
	h.latestMs = max(h.latestMs, nowMs)
	if h.latestMs-h.sweptMs < sweepMs {
		return
	}
	h.sweptMs = h.latestMs
	expired := h.latestMs - h.opts.KeyLifetime.Milliseconds()
	for k, r := range h.records {
		if r.CreatedMs < expired {
			delete(h.records, k)
		}
	}
	kept := h.answers.records[:0]
	h.answers.bytes = 0
	for _, r := range h.answers.records {
		if r.CreatedMs >= expired {
			kept = append(kept, r)
			h.answers.bytes += len(r.Answer.Body)
		}
	}
	clear(h.answers.records[len(kept):])
	h.answers.records = kept
}

// keepAnswer stores an answer that is small enough and drops the oldest ones above the bound.
func (h *Holder) keepAnswer(r *Record, a *fighollow.StoredAnswer) {
	if a == nil || len(a.Body) > h.opts.MaxAnswerBytes {
		return
	}
	r.Answer = a
	h.answers.records = append(h.answers.records, r)
	h.answers.bytes += len(a.Body)
	for h.answers.bytes > h.opts.MaxAnswersBytes {
		oldest := h.answers.records[0]
		h.answers.bytes -= len(oldest.Answer.Body)
		oldest.Answer = nil
		h.answers.records[0] = nil
		h.answers.records = h.answers.records[1:]
	}
}

// Stop ends vouching for ever and returns the state for a successor. ok is false when the holder was not registered or
// had stopped before; then there is nothing to delegate.
func (h *Holder) Stop() (x Export, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || !h.registered {
		h.stopped = true
		return Export{}, false
	}
	h.stopped = true
	x = Export{From: h.id, StartedMs: h.startedMs, VouchFromMs: h.startedMs + h.opts.ClockTolerance.Milliseconds()}
	for _, from := range h.vouchFrom {
		x.VouchFromMs = max(x.VouchFromMs, from)
	}
	for _, r := range h.records {
		x.Records = append(x.Records, *r)
	}
	return x, true
}

// Import takes a part of a stopped holder's state. After a last part that completes it, the holder vouches for the
// delegated keys as soon as it knows the delegation. Imported records alone grant nothing. It returns false when the
// holder cannot take over.
func (h *Holder) Import(t TransferRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || !h.registered || len(h.records)+len(t.Records) > h.opts.MaxKeys {
		return false
	}
	s := share{t.From, t.StartedMs}
	if t.Part == 0 {
		delete(h.staged, s)
	}
	for i := range t.Records {
		r := t.Records[i]
		answer := r.Answer
		r.Answer = nil
		if _, ok := h.records[recordKey{r.Workspace, r.ID}]; !ok {
			h.records[recordKey{r.Workspace, r.ID}] = &r
			h.keepAnswer(&r, answer)
		}
	}
	h.staged[s] += len(t.Records)
	if !t.Last {
		return true
	}
	whole := h.staged[s] == t.Total
	delete(h.staged, s)
	if whole {
		h.vouchFrom[s] = t.VouchFromMs
	}
	return whole
}
