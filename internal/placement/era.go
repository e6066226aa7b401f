package placement

import (
	"cmp"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// defaultHeartbeat is the pause between two writes of an upstream's object where the platform does not name it.
	defaultHeartbeat = 1200 * time.Millisecond
	// lapsedHeartbeats is the number of heartbeats without a write after which the platform removes an object.
	lapsedHeartbeats = 3
	// copyMargin is how much longer an object of the store's copy can be listed: the platform counts from its return, and stale
	// reads and its removal take their time.
	copyMargin = 2400 * time.Millisecond
	// departureMemory is how long an upstream that has left is remembered. Copies are some seconds old.
	departureMemory = time.Minute
)

// departure records that an upstream has left.
type departure struct {
	at      time.Time
	era     uint64 // of the removal
	started int64  // StartedMs of the newest run that has left
	copied  uint64 // version at which the newest era first listed the upstream again; 0 if none did
}

// BeginEra records that the store came back from an older copy, which may list upstreams that have left since.
func (f *Fleet) BeginEra(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.distrustUntil = now.Add(f.CopyLifetime())
}

// CopyLifetime returns how long after the store's return from an older copy an object of an upstream that has left can still be
// listed.
func (f *Fleet) CopyLifetime() time.Duration {
	return lapsedHeartbeats*cmp.Or(f.opts.Heartbeat, defaultHeartbeat) + copyMargin
}

// depart removes an upstream and remembers it. f.mu must be held.
func (f *Fleet) depart(now time.Time, id string, era uint64) {
	for other, d := range f.departed {
		if now.Sub(d.at) > departureMemory {
			delete(f.departed, other)
		}
	}
	pool := f.pool(f.services[id])
	f.departed[id] = departure{at: now, era: era, started: pool.started(id)}
	pool.remove(now, id)
	delete(f.services, id)
	delete(f.versions, id)
}

// isRelic reports whether the object of an upstream that is not known is what an older copy of the store says of one that has
// left. An object that changes after the store's return is none. f.mu must be held.
func (f *Fleet) isRelic(now time.Time, u fighollow.Upstream, version uint64) bool {
	d, ok := f.departed[u.ID]
	if !ok || u.StartedMs > d.started || fighollow.VersionEra(version) <= d.era || !now.Before(f.distrustUntil) {
		return false
	}
	if fighollow.VersionEra(d.copied) != fighollow.VersionEra(version) {
		d.copied = version
		f.departed[u.ID] = d
	}
	return version == d.copied
}

// newerState returns the newer of what is known of an upstream and what a copy of the store says. Within one run, an upstream
// does not take back that it is draining, and the number of its orders only grows.
func newerState(known, copied fighollow.Upstream) fighollow.Upstream {
	switch {
	case copied.StartedMs < known.StartedMs:
		return known
	case copied.StartedMs > known.StartedMs:
		return copied
	}
	if known.AcceptedOrders > copied.AcceptedOrders {
		copied.Role, copied.AcceptedOrders = known.Role, known.AcceptedOrders
	}
	copied.Draining = copied.Draining || known.Draining
	return copied
}

// started returns StartedMs of an upstream, or 0 if it is not known.
func (p *Pool) started(id string) int64 {
	u, _ := p.upstream(id)
	return u.StartedMs
}

// upstream returns an upstream by its id.
func (p *Pool) upstream(id string) (fighollow.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inst := p.instances[id]; inst != nil {
		return inst.upstream, true
	}
	return fighollow.Upstream{}, false
}
