package quarantine

import "time"

const (
	// maxSound bounds the parts, and the requests, whose last completed answer is remembered.
	maxSound = 4096
	// soundMargin is how long before a crash a completed answer exonerates its parts.
	soundMargin = time.Second
	// revokeTime is how long after an answer its engine must not crash for the answer to exonerate its parts. A short answer can
	// be complete before the engine that it crashes has ended.
	revokeTime = 500 * time.Millisecond
)

// soundness is when an answer to a request with a key was last completed.
type soundness struct {
	at       time.Time
	upstream string
	before   time.Time // the same of the answer before, for when at is revoked
	// doubtedAt is when an entry objected to a quarantine that few crashes spoke for.
	doubtedAt time.Time
}

// soundMemory remembers which parts, and which requests, were answered lately. Requests are remembered apart, so that many different
// ones don't displace the parts.
type soundMemory struct{ parts, requests map[Key]soundness }

func newSoundMemory() soundMemory {
	return soundMemory{make(map[Key]soundness), make(map[Key]soundness)}
}

func (m soundMemory) of(key Key) map[Key]soundness {
	if key.Request {
		return m.requests
	}
	return m.parts
}

func (m soundMemory) get(key Key) soundness { return m.of(key)[key] }

func (m soundMemory) set(key Key, s soundness) { m.of(key)[key] = s }

// add records an answer of an upstream.
func (m soundMemory) add(now time.Time, key Key, upstream string) soundness {
	old := m.get(key)
	s := soundness{at: now, upstream: upstream, before: old.at, doubtedAt: old.doubtedAt}
	m.set(key, s)
	return s
}

// revoke takes back what answers say that an upstream completed just before it crashed.
func (m soundMemory) revoke(now time.Time, upstream string) {
	for _, all := range []map[Key]soundness{m.parts, m.requests} {
		for key, s := range all {
			if s.isRevoked(now, upstream) {
				all[key] = soundness{at: s.before, doubtedAt: s.doubtedAt}
			}
		}
	}
}

// isRevoked reports whether the crash of an upstream at now shows that the answer is none.
func (s soundness) isRevoked(now time.Time, upstream string) bool {
	return s.upstream == upstream && now.Sub(s.at) < revokeTime
}

// forget keeps the memory bounded. What few requests have is forgotten with the old.
func (m soundMemory) forget(now time.Time) {
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
