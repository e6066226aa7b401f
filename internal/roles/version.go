package roles

import (
	"maps"
	"slices"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// takeUpTime is how long after the last decode engine of a software version has gone callers may still take up streams that it
	// began, which no other version can go on with.
	takeUpTime = 30 * time.Second
	// reservedDecode is the number of decode engines that a version keeps whose engines become fewer. If one crashes, streams go on at the
	// other without waiting for a role change.
	reservedDecode = 2
)

// versionKeeper keeps decode engines of each software version at which streams may have begun, while engines of several versions serve.
// A release replaces one engine after the other without regard to their roles, so that an old version can be left with engines of one
// role.
type versionKeeper struct {
	versions map[string]*versionState
}

// versionState is what is known of a software version.
type versionState struct {
	decodedAt time.Time // when it last had a decode engine
	orderedAt time.Time // when it was last given one
	engines   int       // now
	decode    int       // decode engines now
	peak      int       // most engines so far
	short     bool      // streams wait for a decode engine
}

// observe counts the engines of each version.
func (k *versionKeeper) observe(now time.Time, prefill, decode []Engine) {
	for _, s := range k.versions {
		s.engines, s.decode = 0, 0
	}
	for _, e := range prefill {
		k.state(e.Upstream.Version).engines++
	}
	for _, e := range decode {
		s := k.state(e.Upstream.Version)
		s.engines++
		s.decode++
		s.decodedAt = now
	}
	for version, s := range k.versions {
		s.peak = max(s.peak, s.engines)
		if s.engines == 0 && now.Sub(s.decodedAt) > takeUpTime {
			delete(k.versions, version)
		}
	}
}

// setShort sets the versions for which streams wait for a decode engine.
func (k *versionKeeper) setShort(versions []string) {
	for version, s := range k.versions {
		s.short = slices.Contains(versions, version)
	}
}

func (k *versionKeeper) state(version string) *versionState {
	s := k.versions[version]
	if s == nil {
		s = &versionState{}
		k.versions[version] = s
	}
	return s
}

// serving returns the number of versions that have engines.
func (k *versionKeeper) serving() int {
	n := 0
	for _, s := range k.versions {
		if s.engines > 0 {
			n++
		}
	}
	return n
}

// wanted returns how many decode engines a version must have: none if no stream may be taken up, and all but one of its engines at most, but one
// if streams wait for it. Their prompts can be computed by engines of other versions.
func (s *versionState) wanted(now time.Time) int {
	switch {
	case s.short:
		return max(min(1, s.engines), min(reservedDecode, s.engines-1))
	case s.decodedAt.IsZero() || now.Sub(s.decodedAt) > takeUpTime:
		return 0
	case s.engines < s.peak:
		return min(reservedDecode, s.engines-1)
	}
	return min(1, s.engines-1)
}

// restore returns orders that give versions the decode engines that they want. A version gets one at a time, unless it has none and streams wait:
// then it gets all of them at once, as an engine can fail to change its role.
func (p *Planner) restore(now time.Time, prefill, decode []Engine) []Order {
	k := &p.versions
	k.observe(now, prefill, decode)
	k.setShort(p.short)
	if k.serving() < 2 && len(p.short) == 0 {
		return nil
	}
	var orders []Order
	for _, version := range slices.Sorted(maps.Keys(k.versions)) {
		s := k.versions[version]
		missing := s.wanted(now) - s.decode
		if missing <= 0 {
			continue
		}
		if !s.short || s.decode > 0 {
			if now.Sub(s.orderedAt) < p.cooldown() {
				continue
			}
			missing = 1
		}
		s.orderedAt = now
		from := slices.DeleteFunc(slices.Clone(prefill), func(e Engine) bool { return e.Upstream.Version != version || !e.takesOrders() })
		orders = append(orders, p.selectMoves(from, nil, missing, 0, fighollow.RoleDecode)...)
	}
	return orders
}

// spareDecode returns the decode engines that their versions do not need to keep.
func (p *Planner) spareDecode(now time.Time, decode []Engine) []Engine {
	if p.versions.serving() < 2 {
		return decode
	}
	kept := make(map[string]int)
	return slices.DeleteFunc(slices.Clone(decode), func(e Engine) bool {
		version := e.Upstream.Version
		if kept[version] >= p.versions.versions[version].wanted(now) {
			return false
		}
		kept[version]++
		return true
	})
}
