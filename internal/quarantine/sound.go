package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSound bounds the requests whose last answer is remembered.
	maxSound = 4096
	// minSoundParts, maxSoundParts and soundPartsPerMB bound the parts whose last answer is remembered, for a process with so much memory. Half of
	// the least is more than a header of 16 KB can hold.
	minSoundParts   = 8300
	maxSoundParts   = 1 << 16
	soundPartsPerMB = 100
	// soundMargin is how long before a crash an answer exonerates its parts.
	soundMargin = time.Second
	// revokeTime is how long after an answer began its engine must not crash for the answer to exonerate its parts. An answer can begin, and a
	// short one be complete, before the engine that it crashes has ended.
	revokeTime = 500 * time.Millisecond
	// commonShare is the share of the answers of a service that makes a part common. answersHalfLife is the time after which an answer counts
	// half for it, and minAnswers the number of answers that shows it.
	commonShare     = 0.25
	answersHalfLife = 20 * time.Second
	minAnswers      = 5
)

// soundness is when the last answer to a request with a key began.
type soundness struct {
	at      time.Time
	answers float64   // until at; the older count less
	settled time.Time // the same of the last answer that cannot be revoked any more
	last    uint64    // number of the last answer, as a prompt can have a part several times
	// doubtedAt is when an entry objected to a quarantine that few crashes spoke for.
	doubtedAt time.Time
}

// begunAnswer is an answer that can still be revoked.
type begunAnswer struct {
	at       time.Time
	upstream string
	request  *Request
}

// soundMemory remembers which parts, and which requests, were answered lately. Requests are remembered apart, so that many different
// ones don't displace the parts.
type soundMemory struct {
	parts, requests *soundTable
	begun           []begunAnswer        // oldest first
	services        map[string]soundness // of all requests for each
	added           uint64               // number of answers so far
}

// isCommon reports whether many of the answers that began lately have a key.
func (m *soundMemory) isCommon(now time.Time, key Key) bool {
	all := m.services[key.Service].answersAt(now)
	return all >= minAnswers && m.get(key).answersAt(now) >= commonShare*all
}

func (s soundness) answersAt(now time.Time) float64 {
	return s.answers * math.Exp2(-now.Sub(s.at).Seconds()/answersHalfLife.Seconds())
}

func newSoundMemory(memoryMB int) *soundMemory {
	parts := maxSoundParts / 4
	if memoryMB > 0 {
		parts = min(max(memoryMB*soundPartsPerMB, minSoundParts), maxSoundParts)
	}
	return &soundMemory{parts: newSoundTable(parts), requests: newSoundTable(maxSound), services: make(map[string]soundness)}
}

func (m *soundMemory) of(key Key) *soundTable {
	if key.Request {
		return m.requests
	}
	return m.parts
}

// get returns what is known of a key.
func (m *soundMemory) get(key Key) soundness {
	if s := m.of(key).get(key); s != nil {
		return *s
	}
	return soundness{}
}

// use returns what is known of a key for a change, and remembers the key.
func (m *soundMemory) use(now time.Time, key Key) *soundness { return m.of(key).use(now, key) }

// mayHaveForgotten reports whether a part of which nothing is known can have been answered in evidenceTime.
func (m *soundMemory) mayHaveForgotten(now time.Time, key Key) bool {
	if key.Request || now.Sub(m.parts.lostAt) >= evidenceTime {
		return false
	}
	return m.parts.get(key) == nil
}

// add records that the answer of an upstream began.
func (m *soundMemory) add(now time.Time, r *Request, upstream string) {
	m.settle(now)
	m.begun = append(m.begun, begunAnswer{now, upstream, r})
	m.added++
	m.services[r.Service] = soundness{at: now, answers: m.services[r.Service].answersAt(now) + 1}
	for key := range r.keys() {
		s := m.use(now, key)
		if s.last == m.added {
			continue
		}
		s.answers = s.answersAt(now) + 1
		s.at, s.last = now, m.added
	}
}

// settle records the answers that cannot be revoked any more.
func (m *soundMemory) settle(now time.Time) {
	n := 0
	for ; n < len(m.begun) && now.Sub(m.begun[n].at) >= revokeTime; n++ {
		for key := range m.begun[n].request.keys() {
			if s := m.of(key).get(key); s != nil && m.begun[n].at.After(s.settled) {
				s.settled = m.begun[n].at
			}
		}
	}
	m.begun = slices.Delete(m.begun, 0, n)
}

// revoke takes back what answers say that an upstream began just before it crashed. With a request, it takes back only the answer to that.
func (m *soundMemory) revoke(now time.Time, upstream string, r *Request) {
	m.settle(now)
	var revoked []Key
	m.begun = slices.DeleteFunc(m.begun, func(a begunAnswer) bool {
		if a.upstream != upstream || r != nil && a.request != r {
			return false
		}
		revoked = slices.AppendSeq(revoked, a.request.keys())
		return true
	})
	if len(revoked) == 0 {
		return
	}
	for _, key := range revoked {
		if s := m.of(key).get(key); s != nil {
			s.at = s.settled
		}
	}
	for _, a := range m.begun {
		for key := range a.request.keys() {
			if s := m.use(now, key); a.at.After(s.at) {
				s.at = a.at
			}
		}
	}
}
