package streams

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/logging"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// source is where this entry has found the version of a stream.
type source string

const (
	sourceOwn         source = "own"         // it has begun the stream
	sourceCopy        source = "copy"        // another entry has told it
	sourcePeer        source = "peer"        // another entry has answered its question
	sourceOnlyVersion source = "onlyVersion" // no stream can have begun at another
	sourceJournal     source = "journal"     // another entry, or an earlier process of this one, has written it
)

// Find returns the version at which a stream must go on, which is empty if that does not matter. If this entry does not know the stream, it
// asks its peers, and the store if none of them does. It returns ErrUnknown, or the error of the store.
func (j *Journal) Find(ctx context.Context, now time.Time, service, workspace, id string) (version string, err error) {
	version, from, err := j.find(ctx, now, newKey(service, workspace, id))
	event.StreamTakenUp.Log(&j.log).Str("service", service).Str("begunBy", logging.Short(id)).Str("software", version).Str("source", string(from)).Err(err).Send()
	return version, err
}

func (j *Journal) find(ctx context.Context, now time.Time, k key) (version string, from source, err error) {
	if version, ok := j.known(k); ok {
		return version, sourceOwn, nil
	}
	if version, ok := j.copied(k); ok {
		return version, sourceCopy, nil
	}
	if j.opts.Peers != nil {
		if version, ok := j.opts.Peers.Ask(ctx, k.service, k.hash); ok {
			return version, sourcePeer, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for try := range findTries {
		if try > 0 {
			select {
			case <-ctx.Done():
				return "", "", err
			case <-time.After(findPause):
			}
		}
		if version, from, err = j.search(ctx, now, k); err == nil {
			break
		}
	}
	return version, from, err
}

func (j *Journal) known(k key) (version string, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.streams[k]
	return s.version, ok
}

// search looks for a stream in the store. If streams can have begun at one version only, it is that one's.
func (j *Journal) search(ctx context.Context, now time.Time, k key) (version string, from source, err error) {
	recorded, err := j.readVersions(ctx, k.service, time.Now())
	if err != nil {
		return "", "", err
	}
	versions := union(recorded, j.opts.Versions(now, k.service))
	switch len(versions) {
	case 0:
		return "", sourceOnlyVersion, nil
	case 1:
		return versions[0], sourceOnlyVersion, nil
	}
	l := j.list(ctx, time.Now())
	if l.err != nil {
		return "", "", l.err
	}
	if version, ok := l.versions[k]; ok {
		return version, sourceJournal, nil
	}
	return "", "", ErrUnknown
}

// reading is what the store answered to a search for the versions of a service.
type reading struct {
	mu       sync.Mutex
	began    time.Time // when it was asked for
	ended    time.Time
	versions []string
	err      error
}

// readVersions returns the versions that the store lists for a service, read at now or later. Streams that are looked for at the same time
// share a call, and those that are looked for within failurePause of a failure share that.
func (j *Journal) readVersions(ctx context.Context, service string, now time.Time) ([]string, error) {
	j.readMu.Lock()
	r := j.readings[service]
	if r == nil {
		r = &reading{}
		j.readings[service] = r
	}
	j.readMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.After(now) || r.err != nil && now.Sub(r.ended) < failurePause {
		return r.versions, r.err
	}
	r.began = time.Now()
	// The caller that asks can leave, and others wait for the same answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	var o recordValue
	o, _, r.err = j.readRecord(ctx, service)
	r.versions, r.ended = o.Versions, time.Now()
	return r.versions, r.err
}

// listing is what the entries have written.
type listing struct {
	began    time.Time // when it was asked for
	err      error
	versions map[key]string
}

// list returns what the entries have written, read at now or later. Streams that are looked for at the same time share a call.
func (j *Journal) list(ctx context.Context, now time.Time) listing {
	j.listMu.Lock()
	defer j.listMu.Unlock()
	if j.listing.began.After(now) {
		return j.listing
	}
	l := listing{began: time.Now(), versions: make(map[key]string)}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	objects, _, err := j.store.List(ctx, fighollow.KindStreams)
	l.err = err
	for _, o := range objects {
		if err := l.add(o); err != nil {
			event.StreamsInvalid.Log(&j.log).Str("entry", o.Name).Err(err).Send()
		}
	}
	j.listing = l
	return l
}

// hashBase is the base in which hashes are written.
const hashBase = 36

// stored is the value of an entry's object: by service and version, the hashes of streams.
type stored map[string]map[string][]string

// add adds the streams of an entry's object.
func (l *listing) add(o fighollow.Object) error {
	var s stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return err
	}
	n := 0
	for service, versions := range s {
		for version, hashes := range versions {
			for _, text := range hashes {
				hash, err := strconv.ParseUint(text, hashBase, 64)
				if n++; err != nil || n > maxListed {
					return fighollow.ErrInvalid
				}
				l.versions[key{service, hash}] = version
			}
		}
	}
	return nil
}
