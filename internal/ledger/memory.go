package ledger

import "github.com/fighollow/fighollow/pkg/fighollow"

// answerQueue holds the records that have a stored answer, oldest first.
type answerQueue struct {
	records []*Record
	bytes   int // total size of the answers' bodies
}

// sweepIntervalMs is the time between two removals of expired records.
const sweepIntervalMs = 60_000

// advance moves the holder's time forward and removes expired records. The time never goes back: after a backward clock
// step, a key whose record has been removed as expired is still refused as too old.
func (h *Holder) advance(nowMs int64) {
	h.latestMs = max(h.latestMs, nowMs)
	if h.latestMs-h.sweptMs < sweepIntervalMs {
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

// storeAnswer stores an answer of at most MaxAnswerBytes and evicts the oldest answers above MaxAnswersBytes in total.
func (h *Holder) storeAnswer(r *Record, a *fighollow.StoredResponse) {
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

// Stop permanently ends claims and settles at this holder and returns its state for a successor. ok is false when the
// holder was not registered or has already stopped; there is nothing to delegate then.
func (h *Holder) Stop() (x Export, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || !h.registered {
		h.stopped = true
		return Export{}, false
	}
	h.stopped = true
	x = Export{From: h.id, StartedMs: h.startedMs, CompleteFromMs: h.startedMs + h.opts.ClockTolerance.Milliseconds()}
	for _, fromMs := range h.completeFromMs {
		x.CompleteFromMs = max(x.CompleteFromMs, fromMs)
	}
	for _, r := range h.records {
		x.Records = append(x.Records, *r)
	}
	return x, true
}

// Import adds a part of a stopped holder's state. Once the last part has completed it, the holder decides claims of the
// delegated keys as soon as it has received the delegation; imported records alone allow no grants. It returns false
// when this holder cannot take over.
func (h *Holder) Import(t TransferRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || !h.registered || len(h.records)+len(t.Records) > h.opts.MaxKeys {
		return false
	}
	id := delegationID{t.From, t.StartedMs}
	if t.Part == 0 {
		delete(h.received, id)
	}
	for i := range t.Records {
		r := t.Records[i]
		answer := r.Answer
		r.Answer = nil
		if _, ok := h.records[recordKey{r.Workspace, r.ID}]; !ok {
			h.records[recordKey{r.Workspace, r.ID}] = &r
			h.storeAnswer(&r, answer)
		}
	}
	h.received[id] += len(t.Records)
	if !t.Last {
		return true
	}
	complete := h.received[id] == t.Total
	delete(h.received, id)
	if complete {
		h.completeFromMs[id] = t.CompleteFromMs
	}
	return complete
}
