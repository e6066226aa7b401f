package shortage

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/event"
)

const (
	// reportInterval is the pause between two reports of a shortage.
	reportInterval = 300 * time.Millisecond
	// answerInterval is the pause between two readings of the engines' reports because of the same shortage, while no engine is on its way.
	answerInterval = time.Second
	// episodeGap is the pause between two reports after which they are of different shortages.
	episodeGap = 2 * time.Second
	// maxKeys bounds the versions of which shortages are known, and the entries that have reported one. A fleet has a few versions at a time.
	maxKeys      = 64
	maxReporters = 1024
	// maxForecast bounds what is believed of a forecast.
	maxForecast = time.Minute
)

// Options configures a Tracker.
type Options struct {
	Self   string
	Holder func() string                      // name of the holder of the role lease; empty if it is not known
	Send   func(data []byte, names ...string) // sends a message to the entries with these names
	// SendAll sends a message to all other entries.
	SendAll func(data []byte)
}

// Tracker knows the shortages that this entry reports and, while it holds the role lease, those that the others report. It is safe for
// concurrent use.
type Tracker struct {
	opts Options
	log  zerolog.Logger
	wake chan struct{}

	mu        sync.Mutex
	changed   chan struct{} // closed at the next change of a forecast
	own       map[Key]*episode
	announced map[Key]Forecast // of engines that become decode engines, as the holder has told all entries
	reported  map[Key]*report
}

// episode is a shortage that this entry reports.
type episode struct {
	forecast Forecast
	lastAt   time.Time // when a stream last waited
	sentAt   time.Time
	sentTo   string // holder at that time
}

// report is a shortage that entries have reported to the holder.
type report struct {
	lastAt    time.Time
	reporters map[string]time.Time // time of the last report, by entry
	forecast  Forecast             // last one sent
	sentAt    time.Time
}

// message is a datagram: a report if State is Unknown, and otherwise the holder's answer.
type message struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service   string
	Version   string
	State     State
	ReadyInMs int64 // if State is Changing
}

// New returns a Tracker.
func New(opts Options, log zerolog.Logger) *Tracker {
	return &Tracker{
		opts: opts, log: log, wake: make(chan struct{}, 1), changed: make(chan struct{}), own: make(map[Key]*episode),
		announced: make(map[Key]Forecast), reported: make(map[Key]*report),
	}
}

// Wake returns the channel that has an element when an entry has reported a shortage for which the holder has no engine yet.
func (t *Tracker) Wake() <-chan struct{} { return t.wake }

// Report reports that a stream waits for a decode engine of a version, and returns what is known of it.
func (t *Tracker) Report(now time.Time, key Key) Forecast {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.own[key]
	if e == nil || now.Sub(e.lastAt) > episodeGap {
		if e == nil && len(t.own) >= maxKeys {
			t.forgetEpisodes(now)
		}
		if e == nil && len(t.own) >= maxKeys {
			return Forecast{State: None, ReportedAt: now}
		}
		e = &episode{forecast: Forecast{ReportedAt: now}}
		t.own[key] = e
	}
	e.lastAt = now
	if now.Sub(e.sentAt) >= reportInterval {
		t.send(now, key, e)
	}
	return e.forecast
}

// Announced returns when an engine of a version is ready that the holder has ordered because of a shortage; false if there is none.
func (t *Tracker) Announced(now time.Time, key Key) (readyAt time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.announced[key]
	return f.ReadyAt, ok && now.Before(f.ReadyAt)
}

// announce records that engines of a version become decode engines. t.mu must be held.
func (t *Tracker) announce(now time.Time, key Key, f Forecast) {
	for k, old := range t.announced {
		if !now.Before(old.ReadyAt) {
			delete(t.announced, k)
		}
	}
	if _, known := t.announced[key]; known || len(t.announced) < maxKeys {
		t.announced[key] = f
	}
}

// forgetEpisodes forgets the shortages that have ended. t.mu must be held.
func (t *Tracker) forgetEpisodes(now time.Time) {
	for key, e := range t.own {
		if now.Sub(e.lastAt) > episodeGap {
			delete(t.own, key)
		}
	}
}

// send sends a report to the holder. t.mu must be held.
func (t *Tracker) send(now time.Time, key Key, e *episode) {
	holder := t.opts.Holder()
	if e.sentAt.IsZero() {
		event.ShortageReported.Log(&t.log).Str("service", key.Service).Str("software", key.Version).Str("holder", holder).Send()
	}
	e.sentAt, e.sentTo = now, holder
	switch holder {
	case "":
	case t.opts.Self:
		t.receiveReport(now, t.opts.Self, key)
	default:
		t.opts.Send(encode(now, key, Forecast{}), holder)
	}
}

// Receive handles a message of another entry.
func (t *Tracker) Receive(now time.Time, from string, data []byte) {
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil || m.State > None || m.ReadyInMs < 0 || m.ReadyInMs > maxForecast.Milliseconds() {
		event.ShortageMessageIgnored.Log(&t.log).Str("entry", from).Err(err).Send()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := Key{m.Service, m.Version}
	if m.State == Unknown {
		t.receiveReport(now, from, key)
		return
	}
	f := Forecast{State: m.State, ReadyAt: now.Add(time.Duration(m.ReadyInMs) * time.Millisecond)}
	if e := t.own[key]; e != nil && e.sentTo == from {
		t.setForecast(now, key, e, f)
	}
	if m.State == Changing && from == t.opts.Holder() {
		t.announce(now, key, f)
	}
}

// setForecast records what the holder says of a shortage that this entry has reported. t.mu must be held.
func (t *Tracker) setForecast(now time.Time, key Key, e *episode, f Forecast) {
	f.ReportedAt, f.HeardAt = e.forecast.ReportedAt, e.forecast.HeardAt
	if e.forecast.State != f.State {
		f.HeardAt = now
		event.ShortageForecast.Log(&t.log).Str("service", key.Service).Str("software", key.Version).Stringer("state", f.State).
			Int64("sinceMs", now.Sub(f.ReportedAt).Milliseconds()).Send()
	}
	if f != e.forecast {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	e.forecast = f
}

// Changed returns a channel that is closed when the holder says something new of a shortage that this entry has reported.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// receiveReport records that an entry reports a shortage, and answers it if an engine is on its way. t.mu must be held.
func (t *Tracker) receiveReport(now time.Time, from string, key Key) {
	if t.opts.Holder() != t.opts.Self {
		return // the lease has changed hands, which the entry has not read yet
	}
	r := t.reported[key]
	if r == nil {
		if len(t.reported) >= maxKeys {
			t.forgetReports(now)
		}
		if len(t.reported) >= maxKeys {
			return
		}
		r = &report{reporters: make(map[string]time.Time)}
		t.reported[key] = r
	}
	r.lastAt = now
	if _, known := r.reporters[from]; known || len(r.reporters) < maxReporters {
		r.reporters[from] = now
	}
	if r.isFresh(now) {
		t.answer(now, key, r.forecast, from)
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// isFresh reports whether the last forecast answers another report too. One that names no engine holds until the reports of the engines are read
// again.
func (r *report) isFresh(now time.Time) bool {
	if r.forecast.State == Changing {
		return r.forecast.ReadyAt.After(now)
	}
	return now.Sub(r.sentAt) < answerInterval
}

// forgetReports forgets the shortages that nobody reports any more. t.mu must be held.
func (t *Tracker) forgetReports(now time.Time) {
	for key, r := range t.reported {
		if now.Sub(r.lastAt) > episodeGap {
			delete(t.reported, key)
		}
	}
}

// Reported returns, in order, the versions of a service of which entries report a shortage.
func (t *Tracker) Reported(now time.Time, service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetReports(now)
	var out []string
	for key := range t.reported {
		if key.Service == service {
			out = append(out, key.Version)
		}
	}
	slices.Sort(out)
	return out
}

// Answer tells the entries that report a shortage what to expect, and all entries once that an engine is on its way: callers of streams that
// broke off come to any of them.
func (t *Tracker) Answer(now time.Time, key Key, f Forecast) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reported[key]
	if r == nil {
		return
	}
	isNews := f.State == Changing && (r.forecast.State != Changing || !r.forecast.ReadyAt.After(now))
	r.forecast, r.sentAt = f, now
	if isNews {
		t.announce(now, key, f)
		t.opts.SendAll(encode(now, key, f))
	}
	var to []string
	for name, at := range r.reporters {
		if now.Sub(at) > episodeGap {
			delete(r.reporters, name)
			continue
		}
		to = append(to, name)
	}
	t.answer(now, key, f, to...)
}

// answer sends a forecast to entries. t.mu must be held.
func (t *Tracker) answer(now time.Time, key Key, f Forecast, to ...string) {
	others := to[:0:0]
	for _, name := range to {
		if name != t.opts.Self {
			others = append(others, name)
			continue
		}
		if e := t.own[key]; e != nil {
			t.setForecast(now, key, e, f)
		}
	}
	if len(others) > 0 {
		t.opts.Send(encode(now, key, f), others...)
	}
}

// encode returns the message that tells a forecast. With the zero Forecast it is a report.
func encode(now time.Time, key Key, f Forecast) []byte {
	m := message{Service: key.Service, Version: key.Version, State: f.State}
	if f.State == Changing {
		m.ReadyInMs = max(0, f.ReadyAt.Sub(now).Milliseconds())
	}
	data, err := msgpack.Marshal(&m)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}
