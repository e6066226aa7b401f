package sidecar

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// fate says what became of an attempt id that is no longer held as an attempt.
type fate uint8

const (
	unseen fate = iota
	barred      // never ran and never will
	ran         // may have run
)

// rememberFor is the least time that an attempt id is remembered. A late call of such an id comes over a link that the
// entry had given up, and such a link is closed within seconds.
const rememberFor = 10 * time.Minute

// fates remembers attempt ids for between one and two times rememberFor. It is not safe for concurrent use.
type fates struct {
	since    time.Time
	now, old map[[2]uint64]fate
}

func newFates(now time.Time) *fates {
	return &fates{since: now, now: make(map[[2]uint64]fate), old: make(map[[2]uint64]fate)}
}

// hashed keeps 16 bytes of an id, whatever its length.
func hashed(id string) [2]uint64 {
	return [2]uint64{xxhash.Sum64String(id), xxhash.Sum64String("/" + id)}
}

func (f *fates) get(id string) fate {
	k := hashed(id)
	if v, ok := f.now[k]; ok {
		return v
	}
	return f.old[k]
}

func (f *fates) set(now time.Time, id string, v fate) {
	if now.Sub(f.since) >= rememberFor {
		f.since, f.old, f.now = now, f.now, make(map[[2]uint64]fate)
	}
	f.now[hashed(id)] = v
}
