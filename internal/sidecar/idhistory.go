package sidecar

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// idState is the state of an attempt id for which no attempt is held.
type idState uint8

const (
	unseen  idState = iota // no state is kept
	blocked                // has not run and never will: its calls are refused
	mayHaveRun
)

// minIDRetention is the minimum time for which the state of an attempt id is kept. A delayed call of such an id can
// only arrive over a link that the entry has given up, and such a link is closed within seconds.
const minIDRetention = 10 * time.Minute

// idHistory keeps the states of attempt ids in two generations, each for one to two times minIDRetention. It is not
// safe for concurrent use.
type idHistory struct {
	rotated           time.Time
	current, previous map[[2]uint64]idState
}

func newIDHistory(now time.Time) *idHistory {
	return &idHistory{rotated: now, current: make(map[[2]uint64]idState), previous: make(map[[2]uint64]idState)}
}

// hashID returns a 128-bit hash of an id, so that the memory per id does not depend on its length.
func hashID(id string) [2]uint64 {
	return [2]uint64{xxhash.Sum64String(id), xxhash.Sum64String("/" + id)}
}

func (h *idHistory) get(id string) idState {
	key := hashID(id)
	if state, ok := h.current[key]; ok {
		return state
	}
	return h.previous[key]
}

func (h *idHistory) set(now time.Time, id string, state idState) {
	if now.Sub(h.rotated) >= minIDRetention {
		h.rotated, h.previous, h.current = now, h.current, make(map[[2]uint64]idState)
	}
	h.current[hashID(id)] = state
}
