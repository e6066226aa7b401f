// Package streams records which software version of an engine began each stream. What two versions write does not fit together, so a stream
// that breaks off may go on only at the version that began it, whichever entry its caller turns to.
//
// An entry knows the streams that it began itself. While engines of several versions serve, it writes those that its callers may take up
// to an object of its own, all in one write and at most once in a flushInterval, so that other entries find them when it has ended.
package streams

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// flushInterval is the least pause between two writes of an entry. A stream that was begun since the last one is lost with its entry.
	flushInterval = 200 * time.Millisecond
	// flushIntervalPerEntry lengthens the pause in large deployments, which share the store's rate of writes.
	flushIntervalPerEntry = 5 * time.Millisecond
	// stepInterval is the pause between two checks for what is due while several versions serve, idleInterval the pause otherwise.
	stepInterval = 50 * time.Millisecond
	idleInterval = 250 * time.Millisecond
	// wholeTime and brokenTime are how long a stream is remembered after it ended. The end of a whole one may not have reached its caller.
	wholeTime  = time.Second
	brokenTime = 30 * time.Second
	// maxStreams bounds the streams that are remembered, and maxListed those that are read of one object.
	maxStreams = 8192
	maxListed  = 8192
	// findPause is the pause between two searches for a stream whose entry may not have written it yet, and findTries how many are made.
	findPause = 250 * time.Millisecond
	findTries = 3
	// callTimeout bounds a call of the store.
	callTimeout = time.Second
	// youngTime is how long after its start a process may not know that its service had other versions.
	youngTime = time.Minute
	// collectInterval is the pause between two searches for objects of entries that have ended, and lapseTime how long such an object
	// stays unchanged before it is deleted.
	collectInterval = time.Minute
	lapseTime       = 2 * time.Minute
)

// ErrUnknown is returned for a stream that no entry has recorded although its service has engines of several versions.
var ErrUnknown = errors.New("streams: the version that began the stream is not known")

// key identifies a stream: its service, and the hash of the id of the request that brought its first event.
type key struct {
	service string
	hash    uint64
}

func newKey(service, id string) key {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return key{service, h.Sum64()}
}

// stream is what is known of a stream.
type stream struct {
	version string
	running int       // answers that relay it
	until   time.Time // when it is forgotten, unless it runs
}

// Options configures a Journal.
type Options struct {
	Self    string                                   // unique among the entries
	Started time.Time                                // of the process
	Entries func() int                               // number of entries
	IsMixed func(now time.Time, service string) bool // whether engines of several versions serve, or did in the last youngTime
}

// Journal records the streams of one entry. It is safe for concurrent use.
type Journal struct {
	opts  Options
	store fighollow.ObjectStore
	log   zerolog.Logger

	mu      sync.Mutex
	streams map[key]stream
	mixed   map[string]bool // by service that had streams, whether several versions served at the last step
	isDue   bool            // what is to be written has changed since the last write

	// The following are used by Step only.
	version     uint64 // of this entry's object
	isSynced    bool   // version is that of the store, and the object's streams are known
	flushedAt   time.Time
	collectedAt time.Time
	seen        map[string]seenObject // by entry

	listMu  sync.Mutex
	listing listing
}

// seenObject is an entry's object as it was first seen.
type seenObject struct {
	version uint64
	at      time.Time
}

// listing is what the entries have written.
type listing struct {
	began    time.Time // when it was asked for
	err      error
	versions map[key]string
	services map[string]bool // that have several versions
}

// New returns an empty Journal; Run writes it.
func New(opts Options, store fighollow.ObjectStore, log zerolog.Logger) *Journal {
	return &Journal{
		opts: opts, store: store, log: log, streams: make(map[key]stream), mixed: make(map[string]bool), collectedAt: opts.Started,
		seen: make(map[string]seenObject),
	}
}

// Begin records that an answer relays a stream which began with the request of this id at an engine of this version. End must follow.
func (j *Journal) Begin(now time.Time, service, id, version string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := newKey(service, id)
	s, ok := j.streams[k]
	if !ok && len(j.streams) >= maxStreams {
		j.forget(now)
	}
	if !ok && len(j.streams) >= maxStreams {
		return // not known to others
	}
	s.version = version
	s.running++
	j.streams[k], j.isDue = s, true
	if _, ok := j.mixed[service]; !ok {
		j.mixed[service] = false
	}
}

// End records that the answer has ended; whole means that it was complete.
func (j *Journal) End(now time.Time, service, id string, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := newKey(service, id)
	s, ok := j.streams[k]
	if !ok {
		return
	}
	s.running--
	s.until = now.Add(brokenTime)
	if whole {
		s.until = now.Add(wholeTime)
	}
	j.streams[k], j.isDue = s, true
}

// forget removes the streams that callers don't take up any more. j.mu must be held.
func (j *Journal) forget(now time.Time) {
	for k, s := range j.streams {
		if s.running <= 0 && now.After(s.until) {
			delete(j.streams, k)
		}
	}
}

// Find returns the version that began a stream, or nothing if its service has had only one. It asks the store if this entry does not know
// the stream and several versions serve, or may have before this process started. It returns ErrUnknown, or the error of ctx or the store.
func (j *Journal) Find(ctx context.Context, now time.Time, service, id string) (version string, err error) {
	k, isMixed := newKey(service, id), j.opts.IsMixed(now, service)
	if version, ok := j.known(k); ok {
		return version, nil
	}
	if !isMixed && now.Sub(j.opts.Started) > youngTime {
		return "", nil
	}
	for try := range findTries {
		if try > 0 {
			select {
			case <-ctx.Done():
				return "", ctx.Err()
			case <-time.After(findPause):
			}
		}
		l := j.list(ctx, time.Now())
		if l.err != nil {
			err = l.err
			continue
		}
		if version, ok := l.versions[k]; ok {
			return version, nil
		}
		if !isMixed && !l.services[service] {
			return "", nil
		}
		err = ErrUnknown
	}
	return "", err
}

func (j *Journal) known(k key) (version string, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.streams[k]
	return s.version, ok
}

// list returns what the entries have written, read at now or later. Streams that are looked for at the same time share a call.
func (j *Journal) list(ctx context.Context, now time.Time) listing {
	j.listMu.Lock()
	defer j.listMu.Unlock()
	if j.listing.began.After(now) {
		return j.listing
	}
	l := listing{began: time.Now(), versions: make(map[key]string), services: make(map[string]bool)}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
		l.services[service] = true
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

// Run writes the journal until ctx is done.
func (j *Journal) Run(ctx context.Context) {
	for {
		pause := idleInterval
		if j.hasMixed() {
			pause = stepInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		j.Step(ctx, time.Now())
	}
}

// hasMixed reports whether a service had several versions at the last step.
func (j *Journal) hasMixed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, isMixed := range j.mixed {
		if isMixed {
			return true
		}
	}
	return false
}

// Step writes this entry's object if that is due at now.
func (j *Journal) Step(ctx context.Context, now time.Time) {
	if now.Sub(j.collectedAt) >= collectInterval {
		j.collect(ctx, now)
	}
	if now.Sub(j.flushedAt) < max(flushInterval, time.Duration(j.opts.Entries())*flushIntervalPerEntry) {
		return
	}
	value, due := j.encode(now)
	if !due {
		return
	}
	j.flushedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !j.isSynced && !j.sync(ctx, now) {
		return
	}
	version, err := j.store.Put(ctx, fighollow.Object{Kind: fighollow.KindStreams, Name: j.opts.Self, Value: value}, j.version)
	if err != nil {
		event.StreamsUnwritten.Log(&j.log).Err(err).Send()
		j.fail()
		return
	}
	j.version = version
}

// collect deletes the objects of entries that have ended.
func (j *Journal) collect(ctx context.Context, now time.Time) {
	j.collectedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := fighollow.ListStale(ctx, j.store, fighollow.KindStreams)
	if err != nil {
		return // the next search finds them
	}
	before := j.seen
	j.seen = make(map[string]seenObject)
	for _, o := range objects {
		old, ok := before[o.Name]
		if !ok || old.version != o.Version {
			old = seenObject{o.Version, now}
		}
		j.seen[o.Name] = old
		if now.Sub(old.at) < lapseTime {
			continue
		}
		// The delete fails if another entry was faster or the object has changed.
		if _, err := j.store.Delete(ctx, o.Kind, o.Name, o.Version); err == nil && o.Name == j.opts.Self {
			j.version = 0
		}
	}
}

// fail makes the next step read the object and write it again.
func (j *Journal) fail() {
	j.isSynced = false
	j.mu.Lock()
	defer j.mu.Unlock()
	j.isDue = true
}

// sync reads this entry's object, and remembers the streams in it: an earlier process of this entry may have begun them.
func (j *Journal) sync(ctx context.Context, now time.Time) bool {
	o, err := j.store.Get(ctx, fighollow.KindStreams, j.opts.Self)
	if err != nil && !errors.Is(err, fighollow.ErrNotFound) {
		event.StreamsUnwritten.Log(&j.log).Err(err).Send()
		j.fail()
		return false
	}
	j.version, j.isSynced = o.Version, true
	if err != nil {
		return true
	}
	old := listing{versions: make(map[key]string), services: make(map[string]bool)}
	if err := old.add(o); err != nil {
		event.StreamsInvalid.Log(&j.log).Str("entry", o.Name).Err(err).Send()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for k, version := range old.versions {
		if _, ok := j.mixed[k.service]; !ok {
			j.mixed[k.service] = false
		}
		if _, ok := j.streams[k]; !ok && len(j.streams) < maxStreams {
			j.streams[k] = stream{version: version, until: now.Add(brokenTime)}
			j.isDue = true
		}
	}
	return true
}

// encode returns the value of this entry's object, and whether to write it.
func (j *Journal) encode(now time.Time) (value []byte, due bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for service, was := range j.mixed {
		is := j.opts.IsMixed(now, service)
		j.mixed[service], j.isDue = is, j.isDue || is != was
	}
	if !j.isDue {
		return nil, false
	}
	j.isDue = false
	j.forget(now)
	s := make(stored)
	for k, stream := range j.streams {
		if !j.mixed[k.service] {
			continue
		}
		if s[k.service] == nil {
			s[k.service] = make(map[string][]string)
		}
		s[k.service][stream.version] = append(s[k.service][stream.version], strconv.FormatUint(k.hash, hashBase))
	}
	if len(s) == 0 {
		return nil, false // what is written lapses
	}
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings always encode
	}
	return value, true
}
