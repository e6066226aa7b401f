package quarantine

import "time"

// soundTable remembers keys up to a bound. It has two generations: keys that are used are in the newer one, and when that is half of the bound, it
// replaces the older one, whose keys are forgotten. So what was answered last is kept, at a cost that does not depend on the bound.
type soundTable struct {
	most         int // keys in both generations
	newer, older map[Key]*soundness
	lostAt       time.Time // when a key was last forgotten whose answer began within evidenceTime before
}

func newSoundTable(most int) *soundTable {
	return &soundTable{most: most, newer: make(map[Key]*soundness), older: make(map[Key]*soundness)}
}

// get returns what is known of a key, or nil.
func (t *soundTable) get(key Key) *soundness {
	if s := t.newer[key]; s != nil {
		return s
	}
	return t.older[key]
}

// use returns what is known of a key for a change, and remembers the key.
func (t *soundTable) use(now time.Time, key Key) *soundness {
	if s := t.newer[key]; s != nil {
		return s
	}
	if len(t.newer) >= t.most/2 {
		t.turn(now)
	}
	s := t.older[key]
	if s == nil {
		s = &soundness{}
	} else {
		delete(t.older, key)
	}
	t.newer[key] = s
	return s
}

// turn begins a new generation.
func (t *soundTable) turn(now time.Time) {
	for _, s := range t.older {
		if now.Sub(s.at) < evidenceTime {
			t.lostAt = now
			break
		}
	}
	t.older, t.newer = t.newer, make(map[Key]*soundness)
}

// size returns the number of keys that are known.
func (t *soundTable) size() int { return len(t.newer) + len(t.older) }
