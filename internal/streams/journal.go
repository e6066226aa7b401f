// Package streams records which software version of an engine began each stream. What two versions write does not fit together, so a stream
// that breaks off may go on only at the version that began it, whichever entry its caller turns to.
//
// An entry knows the streams that it began itself, and some of those that others told it of: each entry tells a few others of each stream,
// and asks them for one that it does not know.
//
// The versions at which streams may have begun are an object of the store for each service,
// which lists a version before the first stream begins at it. If no entry knows a stream, the one that is asked for it reads that object: what it knows of
// the upstreams itself can be old. If several versions are listed, the entries write the streams that their callers may take up to an
// object of their own, all in one write and at most once in a flushInterval, so that others find them when an entry has ended.
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
	// stepInterval is the pause between two checks for what is due while several versions serve or none has been listed yet, idleInterval
	// the pause otherwise.
	stepInterval = 50 * time.Millisecond
	idleInterval = 250 * time.Millisecond
	// wholeTime and brokenTime are how long a stream is remembered after it ended. The end of a whole one may not have reached its caller.
	wholeTime  = time.Second
	brokenTime = 30 * time.Second
	// retellInterval is the pause after which peers are told again of a stream that runs. Those that were told can have ended.
	retellInterval = 20 * time.Second
	// maxStreams bounds the streams that are remembered, and maxListed those that are read of one object.
	maxStreams = 8192
	maxListed  = 8192
	// findPause is the pause between two searches for a stream whose entry may not have written it yet, and findTries how many are made.
	findPause = 250 * time.Millisecond
	findTries = 3
	// findTimeout bounds all searches for a stream. Callers give up after some seconds without an event.
	findTimeout = time.Second
	// failurePause is how long the store is not asked again after it has failed to answer a search.
	failurePause = 500 * time.Millisecond
	// callTimeout bounds a call of the store.
	callTimeout = time.Second
	// collectInterval is the pause between two searches for objects of entries that have ended, and lapseTime how long such an object
	// stays unchanged before it is deleted.
	collectInterval = time.Minute
	lapseTime       = 2 * time.Minute
)

// ErrUnknown is returned for a stream that no entry has recorded although its service has engines of several versions.
var ErrUnknown = errors.New("streams: the version that began the stream is not known")

// key identifies a stream: its service, and the hash of the id of the request that brought its first event and of its workspace.
type key struct {
	service string
	hash    uint64
}

// newKey returns the key of a stream. The workspace is empty if the stream has none; entries that know of none have the same keys.
func newKey(service, workspace, id string) key {
	h := fnv.New64a()
	if workspace != "" {
		_, _ = h.Write([]byte(workspace + "\x00")) // never fails; no header, so no id, holds a zero byte
	}
	_, _ = h.Write([]byte(id))
	return key{service, h.Sum64()}
}

// stream is what is known of a stream.
type stream struct {
	version string
	running int       // answers that relay it
	toldAt  time.Time // when peers were last told of it
	until   time.Time // when it is forgotten, unless it runs
}

// Options configures a Journal.
type Options struct {
	Self     string          // unique among the entries
	Started  time.Time       // of the process
	Entries  func() int      // number of entries
	Services func() []string // whose streams can be taken up
	// Versions returns the software versions of a service's upstreams, now or lately, as far as this entry knows.
	Versions func(now time.Time, service string) []string
	// Registered returns the software versions of a service's upstreams that the store has now.
	Registered func(ctx context.Context, service string) ([]string, error)
	// Admit is called with the versions at which streams may begin, whenever they have been read or written; nil for none.
	Admit func(service string, versions []string)
	// Peers are the other entries, which are told of each stream; nil for none.
	Peers fighollow.StreamPeers
}

// Journal records the streams of one entry. It is safe for concurrent use.
type Journal struct {
	opts  Options
	store fighollow.ObjectStore
	log   zerolog.Logger

	mu      sync.Mutex
	streams map[key]stream
	copies  copies          // of the streams of others
	mixed   map[string]bool // by service that had streams, whether streams of several versions were possible at the last step
	isDue   bool            // what is to be written has changed since the last write

	// The following are used by Step only.
	version     uint64 // of this entry's object
	isSynced    bool   // version is that of the store, and the object's streams are known
	flushedAt   time.Time
	collectedAt time.Time
	retoldAt    time.Time
	seen        map[string]seenObject // by entry
	records     map[string]*record    // by service

	listMu  sync.Mutex
	listing listing

	readMu   sync.Mutex
	readings map[string]*reading // by service
}

// seenObject is an entry's object as it was first seen.
type seenObject struct {
	version uint64
	at      time.Time
}

// New returns an empty Journal; Run writes it.
func New(opts Options, store fighollow.ObjectStore, log zerolog.Logger) *Journal {
	return &Journal{
		opts: opts, store: store, log: log, streams: make(map[key]stream), mixed: make(map[string]bool), collectedAt: opts.Started, retoldAt: opts.Started,
		seen: make(map[string]seenObject), records: make(map[string]*record), readings: make(map[string]*reading),
	}
}

// Begin records that an answer relays a stream which began with the request of this id at an engine of this version. End must follow.
// Only the same workspace finds the stream; it is empty if keys are not required.
func (j *Journal) Begin(now time.Time, service, workspace, id, version string) {
	k := newKey(service, workspace, id)
	j.begin(now, k, version)
	j.tell(k, version)
}

func (j *Journal) begin(now time.Time, k key, version string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.streams[k]
	if !ok && len(j.streams) >= maxStreams {
		j.forget(now)
	}
	if !ok && len(j.streams) >= maxStreams {
		return // known to the peers only
	}
	s.version, s.toldAt = version, now
	s.running++
	j.streams[k], j.isDue = s, true
	if _, ok := j.mixed[k.service]; !ok {
		j.mixed[k.service] = false
	}
}

// tell tells peers of a stream.
func (j *Journal) tell(k key, version string) {
	if j.opts.Peers != nil {
		j.opts.Peers.Tell(fighollow.StreamOrigin{Service: k.service, Stream: k.hash, Version: version})
	}
}

// retell tells peers again of the streams that have run for long.
func (j *Journal) retell(now time.Time) {
	due := make(map[key]string)
	j.mu.Lock()
	for k, s := range j.streams {
		if s.running > 0 && now.Sub(s.toldAt) >= retellInterval {
			s.toldAt = now
			j.streams[k], due[k] = s, s.version
		}
	}
	j.mu.Unlock()
	for k, version := range due {
		j.tell(k, version)
	}
}

// End records that the answer has ended; whole means that it was complete.
func (j *Journal) End(now time.Time, service, workspace, id string, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := newKey(service, workspace, id)
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

// Run writes the journal until ctx is done.
func (j *Journal) Run(ctx context.Context) {
	for {
		pause := idleInterval
		if j.hasMixed() || !j.hasRecords(time.Now()) {
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

// hasMixed reports whether streams of several versions of a service were possible at the last step.
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

// Step writes the versions of the services, and this entry's object, if that is due at now.
func (j *Journal) Step(ctx context.Context, now time.Time) {
	for _, service := range j.opts.Services() {
		j.recordVersions(ctx, now, service)
	}
	if now.Sub(j.retoldAt) >= retellInterval {
		j.retoldAt = now
		j.retell(now)
	}
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
	old := listing{versions: make(map[key]string)}
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
		is := j.isMixed(now, service)
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
