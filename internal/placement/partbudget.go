package placement

import (
	"math"
	"sync/atomic"
)

const (
	// partBytes is what a part in a mirror takes in memory, whatever number of tokens it claims.
	partBytes = 160
	// partMemoryRatio is the fraction of a process's memory that the mirrors may take together.
	partMemoryRatio = 1.0 / 24
	// maxPartMemoryMB bounds the same, also where the memory is not known.
	maxPartMemoryMB = 64
)

// partBudget bounds how many parts the mirrors of a process hold. One half is divided among the mirrors, so that no engine's prompts can use up
// what the others need. The other half is lent to those that hold more than their share of it. It is safe for concurrent use.
type partBudget struct {
	half    int64 // in parts
	mirrors atomic.Int64
	lent    atomic.Int64
}

// newPartBudget returns the budget of a process with so many megabytes of memory; 0 if that is not known.
func newPartBudget(memoryMB int) *partBudget {
	mb := float64(maxPartMemoryMB)
	if memoryMB > 0 {
		mb = math.Min(mb, partMemoryRatio*float64(memoryMB))
	}
	return &partBudget{half: int64(mb*(1<<20)) / partBytes / 2}
}

// share returns how many parts a mirror may hold in any case.
func (b *partBudget) share() int64 { return b.half / max(1, b.mirrors.Load()) }

// lend changes what is lent by n parts. It returns false, and changes nothing, if that is more than may be lent.
func (b *partBudget) lend(n int64) bool {
	if b.lent.Add(n) > b.half && n > 0 {
		b.lent.Add(-n)
		return false
	}
	return true
}
