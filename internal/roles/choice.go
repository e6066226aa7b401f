package roles

import "github.com/fighollow/fighollow/pkg/fighollow"

// choice follows an operator's choice of the preset in force through returns of the store from older copies.
type choice struct {
	version  uint64 // of the newest object read; 0 if none was
	era      uint64 // of the newest choice known, read or heard of
	chosenMs int64  // when the newest choice known was made, Unix milliseconds; 0 if none is known
}

// verdict is the result of reading the object.
type verdict int

const (
	choiceTaken verdict = iota
	choiceLost          // the object is that of a copy made before the newest choice
)

// ChosenMs implements lease.Choice.
func (c *choice) ChosenMs() int64 { return c.chosenMs }

// Heard implements lease.Choice: the holder of the lease applied a choice when it wrote the lease.
func (c *choice) Heard(era uint64, chosenMs int64) {
	if chosenMs > c.chosenMs && era >= c.era {
		c.era, c.chosenMs = era, chosenMs
	}
}

// read records the object at a newer version; chosenMs is 0 if there is none. Within an era a newer version is a newer choice,
// whatever the operators' clocks say. The first object of a new era is taken only if it is not older than the newest choice
// known; any later version is what an operator has written since.
func (c *choice) read(version uint64, chosenMs int64) verdict {
	first := fighollow.VersionEra(version) > max(c.era, fighollow.VersionEra(c.version))
	c.version = version
	if first && chosenMs < c.chosenMs {
		return choiceLost
	}
	c.era, c.chosenMs = fighollow.VersionEra(version), chosenMs
	return choiceTaken
}
