package roster

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// view is what one entry knows of the others. Its zero value knows none. It is not safe for concurrent use.
type view struct {
	seen map[string]sighting
}

// sighting is when an entry's object was last seen to change. Times of other machines are not compared with the own ones.
type sighting struct {
	version uint64
	changed time.Time
	present time.Time // last time that the object was there
}

// look takes all objects of a list. It returns how many entries there are, itself and those that left lately included, and
// the objects of entries that are gone.
func (v *view) look(now time.Time, self string, objects []fighollow.Object) (entries int, lapsed []fighollow.Object) {
	if v.seen == nil {
		v.seen = make(map[string]sighting)
	}
	for _, o := range objects {
		if o.Name == self {
			continue
		}
		s, known := v.seen[o.Name]
		if !known || o.Version > s.version {
			s.version, s.changed = o.Version, now
		}
		s.present = now
		v.seen[o.Name] = s
		if now.Sub(s.changed) > lapseAfter {
			lapsed = append(lapsed, o)
		}
	}
	for name, s := range v.seen {
		if now.Sub(s.present) > countFor || now.Sub(s.changed) > lapseAfter+countFor {
			delete(v.seen, name)
		}
	}
	return len(v.seen) + 1, lapsed
}
