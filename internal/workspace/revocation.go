package workspace

import "time"

// Revocation is how an entry treats its keys while it cannot confirm them.
type Revocation struct {
	Strict bool          // keys are not used unless they were confirmed within Within
	Within time.Duration // within which a removed key must be refused
}

// confirmationsPerBound is the number of confirmations in the time of Revocation.Within, so that single calls of the store may fail.
const confirmationsPerBound = 4

// Interval returns the pause between two confirmations.
func (r Revocation) Interval() time.Duration { return r.Within / confirmationsPerBound }

// MayUseKeys reports whether requests may be served with the keys of a configuration that the store confirmed at confirmed, which is zero if
// it never did.
func (r Revocation) MayUseKeys(now, confirmed time.Time) bool {
	return !r.Strict || !confirmed.IsZero() && now.Sub(confirmed) <= r.Within
}
