package placement

import (
	"sync"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options adjust a Fleet.
type Options struct {
	DataCentre string        // of this entry
	Drain      time.Duration // after which an upstream that is leaving may get no new work
}

// Fleet holds the upstreams of all services, each service under its own lock. It is safe for concurrent use.
type Fleet struct {
	opts Options

	mu      sync.Mutex
	entries int // that share the upstreams' connections
	pools   map[string]*Pool
	homes   map[string]string // upstream to service
	listed  map[string]uint64 // upstream to the version of its entry
}

// New returns an empty Fleet.
func New(opts Options) *Fleet {
	return &Fleet{opts: opts, entries: 1, pools: make(map[string]*Pool), homes: make(map[string]string), listed: make(map[string]uint64)}
}

// Pool returns the upstreams of a service.
func (f *Fleet) Pool(service string) *Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(service)
}

func (f *Fleet) pool(service string) *Pool {
	p := f.pools[service]
	if p == nil {
		p = newPool(f.opts.DataCentre, f.opts.Drain)
		p.setEntries(f.entries)
		f.pools[service] = p
	}
	return p
}

// Configure takes the services of a new configuration.
func (f *Fleet) Configure(r *fighollow.Routing) {
	for _, t := range r.Services {
		f.Pool(t.Name).SetTraits(t)
	}
}

// SetEntries says how many entries send attempts to the upstreams, this one included.
func (f *Fleet) SetEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(1, n)
	for _, p := range f.pools {
		p.setEntries(f.entries)
	}
}

// Put takes an upstream's entry, unless a newer one is known.
func (f *Fleet) Put(now time.Time, u fighollow.Upstream, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.listed[u.ID] {
		return
	}
	if home, ok := f.homes[u.ID]; ok && home != u.Service {
		f.pool(home).remove(now, u.ID)
	}
	f.homes[u.ID], f.listed[u.ID] = u.Service, version
	f.pool(u.Service).put(u)
}

// Remove notes at which version an upstream's entry was removed.
func (f *Fleet) Remove(now time.Time, id string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if home, ok := f.homes[id]; ok && version >= f.listed[id] {
		f.pool(home).remove(now, id)
		delete(f.homes, id)
		delete(f.listed, id)
	}
}

// Retain removes the upstreams that are not in ids, which come from a list of the store at a version.
func (f *Fleet) Retain(now time.Time, ids map[string]bool, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, home := range f.homes {
		if !ids[id] && f.listed[id] <= version {
			f.pool(home).remove(now, id)
			delete(f.homes, id)
			delete(f.listed, id)
		}
	}
}

// Upstreams returns all upstreams of a service that have an entry.
func (f *Fleet) Upstreams(service string) []fighollow.Upstream {
	p := f.Pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fighollow.Upstream
	for _, n := range p.instances {
		if n.goneAt.IsZero() {
			out = append(out, n.up)
		}
	}
	return out
}

// CachePosition returns up to which position the changes of an engine's prefix cache are known.
func (f *Fleet) CachePosition(service, id string) uint64 {
	p := f.Pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.instances[id]; n != nil {
		return n.cache.position
	}
	return 0
}

// ReportCache takes what an engine says of its prefix cache. It reports whether what was known of it had to be forgotten.
func (f *Fleet) ReportCache(now time.Time, service, id string, ch fighollow.CacheChanges) bool {
	p := f.Pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.instances[id]
	return n != nil && n.cache.report(now, ch)
}
