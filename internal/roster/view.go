package roster

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// view tracks the other entries as one entry observes them. The zero value is an empty view. It is not safe for
// concurrent use.
type view struct {
	observations map[string]observation
}

// observation records when an entry's object last changed and was last listed, by the local clock. It never depends
// on the clocks of other machines.
type observation struct {
	version   uint64
	changedAt time.Time
	listedAt  time.Time // when the object was last in a list
}

// observe updates the view from a list of all entries' objects. It returns the number of entries, which includes self
// and those that left within departedCountTime, and the objects of entries that have lapsed.
func (v *view) observe(now time.Time, self string, objects []fighollow.Object) (entries int, lapsed []fighollow.Object) {
	if v.observations == nil {
		v.observations = make(map[string]observation)
	}
	for _, o := range objects {
		if o.Name == self {
			continue
		}
		obs, known := v.observations[o.Name]
		if !known || o.Version > obs.version {
			obs.version, obs.changedAt = o.Version, now
		}
		obs.listedAt = now
		v.observations[o.Name] = obs
		if now.Sub(obs.changedAt) > lapseTimeout {
			lapsed = append(lapsed, o)
		}
	}
	for name, obs := range v.observations {
		if now.Sub(obs.listedAt) > departedCountTime || now.Sub(obs.changedAt) > lapseTimeout+departedCountTime {
			delete(v.observations, name)
		}
	}
	return len(v.observations) + 1, lapsed
}
