package placement

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Options configures a Fleet.
type Options struct {
	DataCentre string        // data centre of this entry
	DrainTime  time.Duration // drain period of the platform; an upstream that has been leaving for longer gets no new work
	// Heartbeat is the pause between two writes of an upstream's object; 0 selects the default of 1.2 s.
	Heartbeat time.Duration
	// Shares divides the upstreams' request limits among the entries; nil if they are all this entry's.
	Shares fighollow.LimitShares
	// AdmitVersions keeps answers from beginning at engines of software versions that Pool.Admit was not given, while there are others and
	// for 2 s after such an engine is first known.
	AdmitVersions bool
	// ShareWork lets the entries tell each other what they place, where there are enough of them; see Fleet.OnWork and Fleet.AddWork.
	ShareWork bool
	// MemoryMB is the memory of the process, in megabytes, which bounds what is kept of prompts; 0 if it is not known.
	MemoryMB int
}

// Fleet holds the upstreams of all services. Each service has its own lock. It is safe for concurrent use.
type Fleet struct {
	opts Options

	mu       sync.Mutex
	entries  int  // number of entries that share the upstreams' connections
	sharing  bool // the entries share what they place
	pools    map[string]*Pool
	services map[string]string // service by upstream id
	versions map[string]uint64 // store version of the upstream's object, by upstream id
	departed map[string]departure
	// announcements outlive the pools' instances.
	announcements *announcements
	parts         *partBudget
	// distrustUntil is when the store's objects of upstreams that have left are believed again after its return from a copy.
	distrustUntil time.Time

	onWork         func(now time.Time, w Work)
	placedPrompts  atomic.Uint32 // numbers the prompts that are reported
	senders        senderBudgets
	promptEngines  int // that compute prompts, as of enginesCounted
	enginesCounted time.Time
}

// New returns an empty Fleet that assumes a single entry.
func New(opts Options) *Fleet {
	return &Fleet{
		opts: opts, entries: 1, pools: make(map[string]*Pool), services: make(map[string]string), versions: make(map[string]uint64),
		departed: make(map[string]departure), announcements: newAnnouncements(),
		parts: newPartBudget(opts.MemoryMB), senders: make(senderBudgets),
	}
}

// Pool returns the pool of a service's upstreams. It creates an empty one for an unknown service.
func (f *Fleet) Pool(service string) *Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(service)
}

func (f *Fleet) pool(service string) *Pool {
	p := f.pools[service]
	if p == nil {
		p = newPool(f.opts, f.announcements, f.parts, &f.placedPrompts)
		p.setEntries(f.entries)
		p.setSharing(f.sharing)
		p.setOnWork(f.onWork)
		f.pools[service] = p
	}
	return p
}

// Configure applies the service traits of a new routing configuration.
func (f *Fleet) Configure(r *fighollow.Routing) {
	for _, t := range r.Services {
		f.Pool(t.Name).SetTraits(t)
	}
}

// SetEntries sets how many entries send attempts to the upstreams, this one included. Values below 1 count as 1.
func (f *Fleet) SetEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(1, n)
	f.sharing = f.opts.ShareWork && sharesWork(f.entries, f.sharing)
	for _, p := range f.pools {
		p.setEntries(f.entries)
		p.setSharing(f.sharing)
	}
}

// SharesWork reports whether the entries tell each other what they place, as their number says.
func (f *Fleet) SharesWork() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sharing
}

// Put adds or updates an upstream. It ignores a version that is not newer than the one already stored, and what an older copy
// of the store says of an upstream that has changed or left since.
func (f *Fleet) Put(now time.Time, u fighollow.Upstream, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	service, known := f.services[u.ID]
	if known && version <= f.versions[u.ID] || !known && f.isRelic(now, u, version) {
		return
	}
	if known && fighollow.VersionEra(version) > fighollow.VersionEra(f.versions[u.ID]) {
		if old, ok := f.pool(service).upstream(u.ID); ok {
			u = newerState(old, u)
		}
	}
	if known && service != u.Service {
		f.pool(service).remove(now, u.ID)
	}
	delete(f.departed, u.ID)
	f.services[u.ID], f.versions[u.ID] = u.Service, version
	f.pool(u.Service).put(now, u)
}

// Remove removes an upstream whose object was deleted at version. It ignores a version older than the stored one.
func (f *Fleet) Remove(now time.Time, id string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.services[id]; ok && version >= f.versions[id] {
		f.depart(now, id, fighollow.VersionEra(version))
	}
}

// Retain removes the upstreams that are absent from ids, the content of a store listing at version, and returns their number.
// Upstreams with a newer version stay.
func (f *Fleet) Retain(now time.Time, ids map[string]bool, version uint64) (removed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.services {
		if !ids[id] && f.versions[id] <= version {
			f.depart(now, id, fighollow.VersionEra(version))
			removed++
		}
	}
	return removed
}

// Upstreams returns all upstreams of a service that are present in the store, in no particular order. Those that have announced
// that they leave are Draining.
func (f *Fleet) Upstreams(service string) []fighollow.Upstream {
	p := f.Pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fighollow.Upstream
	for _, inst := range p.instances {
		if inst.removedAt.IsZero() {
			u := inst.upstream
			u.Draining = inst.isLeaving()
			out = append(out, u)
		}
	}
	return out
}

// CachePosition returns the position up to which an engine's prefix cache changes were applied; 0 if there are none.
func (f *Fleet) CachePosition(service, id string) uint64 {
	p := f.Pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if inst := p.instances[id]; inst != nil {
		return inst.cache.position
	}
	return 0
}

// MirroredParts returns how many prompt parts the mirrors of all engines hold, and the most that they may hold.
func (f *Fleet) MirroredParts() (held, most int64) {
	f.mu.Lock()
	pools := slices.Collect(maps.Values(f.pools))
	f.mu.Unlock()
	for _, p := range pools {
		p.mu.Lock()
		for _, inst := range p.instances {
			held += int64(inst.cache.lru.Len())
		}
		p.mu.Unlock()
	}
	return held, 2 * f.parts.half
}

// ApplyCacheChanges applies changes that an engine reported for its prefix cache. It reports whether the previous state of
// the mirror had to be discarded.
func (f *Fleet) ApplyCacheChanges(now time.Time, service, id string, ch fighollow.CacheChanges) bool {
	p := f.Pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.instances[id]
	return inst != nil && inst.cache.apply(now, ch)
}
