// Package catalog keeps in-memory copies of the object API's objects. A copy never goes back to a lower version.
package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// ErrNotKnown says that the catalog has no such object.
var ErrNotKnown = errors.New("catalog: object not known")

// Key names an object.
type Key struct {
	Kind fighollow.Kind `msgpack:"kind"`
	Name string         `msgpack:"name"`
}

// Digest summarises a catalog. Two catalogs with equal digests hold the same objects.
type Digest struct {
	Highest uint64 `msgpack:"highest"` // highest version held
	Sum     uint64 `msgpack:"sum"`     // order-independent hash of all keys and versions
}

// Catalog is a set of objects by key, each at the highest version seen. Deleted objects stay as tombstones, so that an
// old copy from a peer cannot bring them back. All methods are safe for concurrent use.
type Catalog struct {
	mu      sync.RWMutex
	objects map[Key]fighollow.Object
	digest  Digest
	changed chan struct{} // closed and replaced at each change
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{objects: make(map[Key]fighollow.Object), changed: make(chan struct{})}
}

// Apply takes those objects whose version is above the one held and returns them.
func (c *Catalog) Apply(objects ...fighollow.Object) []fighollow.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var taken []fighollow.Object
	for _, o := range objects {
		k := Key{Kind: o.Kind, Name: o.Name}
		old, ok := c.objects[k]
		if ok && o.Version <= old.Version {
			continue
		}
		if ok {
			c.digest.Sum ^= sum(k, old.Version)
		}
		c.objects[k] = o
		c.digest.Sum ^= sum(k, o.Version)
		c.digest.Highest = max(c.digest.Highest, o.Version)
		taken = append(taken, o)
	}
	if len(taken) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return taken
}

func sum(k Key, version uint64) uint64 {
	return xxhash.Sum64String(string(k.Kind) + "/" + k.Name + "@" + strconv.FormatUint(version, 10))
}

// Get returns an object that exists; ok is false for unknown and deleted ones.
func (c *Catalog) Get(kind fighollow.Kind, name string) (o fighollow.Object, ok bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	o, ok = c.objects[Key{Kind: kind, Name: name}]
	return o, ok && !o.Deleted
}

// Decode unmarshals the value of an object into v and returns its version. Errors: ErrNotKnown, or that of the decoding.
func (c *Catalog) Decode(kind fighollow.Kind, name string, v any) (uint64, error) {
	o, ok := c.Get(kind, name)
	if !ok {
		return 0, fmt.Errorf("%w: %s/%s", ErrNotKnown, kind, name)
	}
	if err := json.Unmarshal(o.Value, v); err != nil {
		return 0, fmt.Errorf("catalog: decode %s/%s: %w", kind, name, err)
	}
	return o.Version, nil
}

// List returns the objects of a kind that exist, in the order of their names.
func (c *Catalog) List(kind fighollow.Kind) []fighollow.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []fighollow.Object
	for k, o := range c.objects {
		if k.Kind == kind && !o.Deleted {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Versions returns the version of every object, tombstones included.
func (c *Catalog) Versions() map[Key]uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[Key]uint64, len(c.objects))
	for k, o := range c.objects {
		out[k] = o.Version
	}
	return out
}

// NewerThan returns the objects, tombstones included, whose version is above the one in have.
func (c *Catalog) NewerThan(have map[Key]uint64) []fighollow.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []fighollow.Object
	for k, o := range c.objects {
		if o.Version > have[k] {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// Digest returns a summary of what the catalog holds.
func (c *Catalog) Digest() Digest {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.digest
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// InForce returns the preset in force and the version of its object. Errors as for Decode.
func (c *Catalog) InForce() (fighollow.InForce, uint64, error) {
	var f fighollow.InForce
	v, err := c.Decode(fighollow.KindInForce, fighollow.InForceName, &f)
	return f, v, err
}
