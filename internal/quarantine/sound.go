package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSound bounds the parts, and the requests, whose last answer is remembered.
	maxSound = 4096
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
	parts, requests map[Key]soundness
	begun           []begunAnswer        // oldest first
	services        map[string]soundness // of all requests for each
}

// isCommon reports whether many of the answers that began lately have a key.
func (m *soundMemory) isCommon(now time.Time, key Key) bool {
	all := m.services[key.Service].answersAt(now)
	return all >= minAnswers && m.get(key).answersAt(now) >= commonShare*all
}

func (s soundness) answersAt(now time.Time) float64 {
	return s.answers * math.Exp2(-now.Sub(s.at).Seconds()/answersHalfLife.Seconds())
}

func newSoundMemory() *soundMemory {
	return &soundMemory{parts: make(map[Key]soundness), requests: make(map[Key]soundness), services: make(map[string]soundness)}
}

func (m *soundMemory) of(key Key) map[Key]soundness {
	if key.Request {
		return m.requests
	}
	return m.parts
}

func (m *soundMemory) get(key Key) soundness { return m.of(key)[key] }

func (m *soundMemory) set(key Key, s soundness) { m.of(key)[key] = s }

// add records that the answer of an upstream began.
func (m *soundMemory) add(now time.Time, r *Request, upstream string) {
	m.settle(now)
	m.begun = append(m.begun, begunAnswer{now, upstream, r})
	m.services[r.Service] = soundness{at: now, answers: m.services[r.Service].answersAt(now) + 1}
	for _, key := range r.keys() {
		s := m.get(key)
		s.answers = s.answersAt(now) + 1
		s.at = now
		m.set(key, s)
	}
}

// settle records the answers that cannot be revoked any more.
func (m *soundMemory) settle(now time.Time) {
	n := 0
	for ; n < len(m.begun) && now.Sub(m.begun[n].at) >= revokeTime; n++ {
		for _, key := range m.begun[n].request.keys() {
			if s, ok := m.of(key)[key]; ok && m.begun[n].at.After(s.settled) {
				s.settled = m.begun[n].at
				m.set(key, s)
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
		revoked = append(revoked, a.request.keys()...)
		return true
	})
	if len(revoked) == 0 {
		return
	}
	for _, key := range revoked {
		if s, ok := m.of(key)[key]; ok {
			s.at = s.settled
			m.set(key, s)
		}
	}
	for _, a := range m.begun {
		for _, key := range a.request.keys() {
			if s := m.get(key); a.at.After(s.at) {
				s.at = a.at
				m.set(key, s)
			}
		}
	}
}

// forget keeps the memory bounded. What few requests have is forgotten with the old.
func (m *soundMemory) forget(now time.Time) {
	for _, all := range []map[Key]soundness{m.parts, m.requests} {
		if len(all) <= maxSound {
			continue
		}
		for key, s := range all {
			if now.Sub(s.at) > evidenceTime || len(all) > maxSound*3/4 && now.Sub(s.at) > soundMargin {
				delete(all, key)
			}
		}
		for key := range all {
			if len(all) <= maxSound {
				break
			}
			delete(all, key)
		}
	}
}
