package streams

import (
	"time"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// copyTime is how long a copy is kept at least unless there are too many. A stream that runs is told again before.
	copyTime = 30 * time.Second
	// maxCopies bounds the copies of a copyTime.
	maxCopies = 8192
)

var _ fighollow.StreamMemory = (*Journal)(nil)

// Remember implements fighollow.StreamMemory.
func (j *Journal) Remember(now time.Time, o fighollow.StreamOrigin) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.copies.add(now, key{o.Service, o.Stream}, o.Version)
}

// Recall implements fighollow.StreamMemory.
func (j *Journal) Recall(service string, stream uint64) (version string, ok bool) {
	k := key{service, stream}
	if version, ok = j.known(k); ok {
		return version, true
	}
	return j.copied(k)
}

func (j *Journal) copied(k key) (version string, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.copies.find(k)
}

// copies are the versions of streams of other entries. The zero value is empty. It is not safe for concurrent use.
type copies struct {
	since           time.Time // of the latest ones
	latest, earlier map[key]string
}

// add adds a copy. The latest ones become the earlier ones, and these are forgotten, after copyTime or with more than maxCopies.
func (c *copies) add(now time.Time, k key, version string) {
	if c.latest == nil || now.Sub(c.since) > copyTime || len(c.latest) >= maxCopies {
		c.since, c.latest, c.earlier = now, make(map[key]string), c.latest
	}
	c.latest[k] = version
}

func (c *copies) find(k key) (version string, ok bool) {
	if version, ok = c.latest[k]; !ok {
		version, ok = c.earlier[k]
	}
	return version, ok
}
