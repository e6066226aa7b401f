// Package catalog caches the objects of the object API in memory. The cached version of an object never decreases.
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

// ErrNotFound is returned for an object that the catalog does not have or that is deleted.
var ErrNotFound = errors.New("catalog: object not found")

// Key identifies an object.
type Key struct {
	Kind fighollow.Kind `msgpack:"kind"`
	Name string         `msgpack:"name"`
}

// Digest summarises a catalog. Two catalogs with equal digests hold the same objects, apart from hash collisions.
type Digest struct {
	Highest uint64 `msgpack:"highest"` // highest version held
	Sum     uint64 `msgpack:"sum"`     // order-independent hash of all keys and versions
}

// Catalog holds objects by key, each at the highest version seen. Deleted objects are kept as tombstones, so that an
// outdated copy from a peer cannot restore them. All methods are safe for concurrent use.
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

// Apply stores the objects that are newer than the cached version and returns them.
func (c *Catalog) Apply(objects ...fighollow.Object) []fighollow.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied []fighollow.Object
	for _, o := range objects {
		k := Key{Kind: o.Kind, Name: o.Name}
		old, ok := c.objects[k]
		if ok && o.Version <= old.Version {
			continue
		}
		if ok {
			c.digest.Sum ^= versionHash(k, old.Version)
		}
		c.objects[k] = o
		c.digest.Sum ^= versionHash(k, o.Version)
		c.digest.Highest = max(c.digest.Highest, o.Version)
		applied = append(applied, o)
	}
	if len(applied) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return applied
}

func versionHash(k Key, version uint64) uint64 {
	return xxhash.Sum64String(string(k.Kind) + "/" + k.Name + "@" + strconv.FormatUint(version, 10))
}

// Get returns the object with this kind and name; ok is false if it is unknown or deleted.
func (c *Catalog) Get(kind fighollow.Kind, name string) (o fighollow.Object, ok bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	o, ok = c.objects[Key{Kind: kind, Name: name}]
	return o, ok && !o.Deleted
}

// Decode unmarshals the JSON value of an object into v and returns the object's version. The error wraps ErrNotFound if
// the object is unknown or deleted, otherwise the error of the decoding.
func (c *Catalog) Decode(kind fighollow.Kind, name string, v any) (uint64, error) {
	o, ok := c.Get(kind, name)
	if !ok {
		return 0, fmt.Errorf("%w: %s/%s", ErrNotFound, kind, name)
	}
	if err := json.Unmarshal(o.Value, v); err != nil {
		return 0, fmt.Errorf("catalog: decode %s/%s: %w", kind, name, err)
	}
	return o.Version, nil
}

// List returns the objects of a kind sorted by name, without tombstones.
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

// NewerThan returns the objects, tombstones included, whose version is above that in versions, sorted by version.
func (c *Catalog) NewerThan(versions map[Key]uint64) []fighollow.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []fighollow.Object
	for k, o := range c.objects {
		if o.Version > versions[k] {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// Digest returns the digest of the catalog, tombstones included.
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

// InForce returns the object that names the preset in force, and its version. Errors are those of Decode.
func (c *Catalog) InForce() (fighollow.InForce, uint64, error) {
	var f fighollow.InForce
	v, err := c.Decode(fighollow.KindInForce, fighollow.InForceName, &f)
	return f, v, err
}
