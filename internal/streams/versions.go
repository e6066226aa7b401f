package streams

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// recordInterval is the least pause between two attempts to write the versions of a service.
	recordInterval = 200 * time.Millisecond
	// versionLapse is how long no upstream has a version until it is no longer listed. It is longer than an entry remembers versions of
	// upstreams, so that none writes it again, and than callers take up streams.
	versionLapse = 2 * time.Minute
)

// record is what this entry knows of the object that lists a service's versions.
type record struct {
	isRead   bool
	version  uint64 // of the object
	versions []string
	triedAt  time.Time            // when it was last read or written
	absent   map[string]time.Time // since when no upstream has a version that is listed
}

// recordValue is the value of an object of fighollow.KindVersions.
type recordValue struct {
	Versions []string `json:"versions"` // in order
}

// isMixed reports whether a service can have streams of several versions. Step alone calls it.
func (j *Journal) isMixed(now time.Time, service string) bool {
	var listed []string
	if r := j.records[service]; r != nil {
		listed = r.versions
	}
	return len(union(listed, j.opts.Versions(now, service))) > 1
}

// hasRecords reports whether the versions of all services that have upstreams have been read or written. Run alone calls it.
func (j *Journal) hasRecords(now time.Time) bool {
	services := j.opts.Services()
	for _, service := range services {
		r := j.records[service]
		if (r == nil || !r.isRead) && len(j.opts.Versions(now, service)) > 0 {
			return false
		}
	}
	return len(services) > 0
}

// recordVersions makes the store list the versions of a service's upstreams, so that streams can begin at them, and no longer those that
// have not been seen for versionLapse.
func (j *Journal) recordVersions(ctx context.Context, now time.Time, service string) {
	serving := j.opts.Versions(now, service)
	r := j.records[service]
	if r == nil {
		r = &record{absent: make(map[string]time.Time)}
		j.records[service] = r
	}
	r.observe(now, serving)
	if len(serving) == 0 || now.Sub(r.triedAt) < recordInterval || !r.isDue(now, serving, fighollow.StoreEra(j.store)) {
		return
	}
	r.triedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := j.writeRecord(ctx, now, service, r, serving)
	if errors.Is(err, fighollow.ErrConflict) {
		return // another entry was faster, and has listed the same or more
	}
	if err != nil {
		event.VersionsUnwritten.Log(&j.log).Str("service", service).Strs("versions", serving).Err(err).Send()
		return
	}
	if j.opts.Admit != nil {
		j.opts.Admit(service, r.versions)
	}
}

// observe records which of the listed versions no upstream has.
func (r *record) observe(now time.Time, serving []string) {
	for _, v := range serving {
		delete(r.absent, v)
	}
	for _, v := range r.versions {
		if _, ok := r.absent[v]; !ok && !slices.Contains(serving, v) {
			r.absent[v] = now
		}
	}
}

// hasLapsed reports whether no upstream has had a listed version for versionLapse.
func (r *record) hasLapsed(now time.Time, version string) bool {
	since, ok := r.absent[version]
	return ok && now.Sub(since) > versionLapse
}

// isDue reports whether the object is to be read and, if it still differs, written: a version that serves is missing, one has lapsed, or the
// store came back from an older copy.
func (r *record) isDue(now time.Time, serving []string, era uint64) bool {
	if !r.isRead || fighollow.VersionEra(r.version) != era {
		return true
	}
	isMissing := func(v string) bool { return !slices.Contains(r.versions, v) }
	return slices.ContainsFunc(serving, isMissing) || slices.ContainsFunc(r.versions, func(v string) bool { return r.hasLapsed(now, v) })
}

// writeRecord reads the object, and writes it if it differs from what it should list. Other entries write the same object.
func (j *Journal) writeRecord(ctx context.Context, now time.Time, service string, r *record, serving []string) error {
	old, version, err := j.readRecord(ctx, service)
	if err != nil && !errors.Is(err, fighollow.ErrInvalid) {
		return err
	}
	if slices.ContainsFunc(old.Versions, func(v string) bool { return r.hasLapsed(now, v) }) {
		// What this entry knows of the upstreams can be old.
		registered, err := j.opts.Registered(ctx, service)
		if err != nil {
			return err
		}
		r.observe(now, registered)
	}
	listed := slices.DeleteFunc(slices.Clone(old.Versions), func(v string) bool { return r.hasLapsed(now, v) })
	next := union(listed, serving)
	if err != nil || !slices.Equal(next, old.Versions) {
		value, err := json.Marshal(recordValue{next})
		if err != nil {
			panic(err) // strings always encode
		}
		if version, err = j.store.Put(ctx, fighollow.Object{Kind: fighollow.KindVersions, Name: service, Value: value}, version); err != nil {
			return err
		}
		event.VersionsRecorded.Log(&j.log).Str("service", service).Strs("versions", next).Strs("before", old.Versions).Send()
	}
	r.isRead, r.version, r.versions = true, version, next
	for v := range r.absent {
		if !slices.Contains(next, v) {
			delete(r.absent, v)
		}
	}
	return nil
}

// readRecord reads the object that lists a service's versions. There is none before its first stream. It returns fighollow.ErrInvalid, with
// the object's version, if it cannot be decoded.
func (j *Journal) readRecord(ctx context.Context, service string) (value recordValue, version uint64, err error) {
	o, err := j.store.Get(ctx, fighollow.KindVersions, service)
	if errors.Is(err, fighollow.ErrNotFound) {
		return recordValue{}, 0, nil
	}
	if err != nil {
		return recordValue{}, 0, err
	}
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return recordValue{}, o.Version, fmt.Errorf("%w: streams: versions of %s: %w", fighollow.ErrInvalid, service, err)
	}
	return value, o.Version, nil
}

// union returns the versions of two lists, in order.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
