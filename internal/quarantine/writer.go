package quarantine

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// writeInterval is the pause between two checks for writes that are due.
const writeInterval = 100 * time.Millisecond

// Writer writes what this entry concludes to the store, and applies what the others do.
type Writer struct {
	tracker *Tracker
	store   fighollow.ObjectStore
	log     zerolog.Logger
}

// NewWriter returns a Writer. Run starts it.
func NewWriter(t *Tracker, store fighollow.ObjectStore, log zerolog.Logger) *Writer {
	return &Writer{tracker: t, store: store, log: log}
}

// Run writes until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(writeInterval):
		}
		w.Step(ctx, time.Now())
	}
}

// Step makes the writes that are due at now.
func (w *Writer) Step(ctx context.Context, now time.Time) {
	w.logQuarantined(w.tracker.Judge(now), "attempts")
	for _, due := range w.tracker.Writes(now) {
		var version uint64
		var err error
		if due.Object.Value == nil {
			version, err = w.store.Delete(ctx, due.Object.Kind, due.Object.Name, due.Expected)
		} else {
			version, err = w.store.Put(ctx, due.Object, due.Expected)
		}
		w.tracker.Written(due, version, err)
		if err != nil {
			event.QuarantineUnwritten.Log(&w.log).Str("object", due.Object.Name).Err(err).Send()
		}
	}
}

// Apply applies objects that were listed or have changed; see Tracker.Apply.
func (w *Writer) Apply(now time.Time, objects []fighollow.Object, snapshot bool) {
	added, ended, errs := w.tracker.Apply(now, objects, snapshot)
	w.logQuarantined(added, "store")
	for _, key := range ended {
		key.log(event.PartReleased.Log(&w.log)).Send()
	}
	for _, err := range errs {
		event.QuarantineInvalid.Log(&w.log).Err(err).Send()
	}
}

// ApplyReports applies objects that were listed or have changed; see Tracker.ApplyReports.
func (w *Writer) ApplyReports(now time.Time, objects []fighollow.Object, snapshot bool) {
	for _, err := range w.tracker.ApplyReports(now, objects, snapshot) {
		event.QuarantineInvalid.Log(&w.log).Err(err).Send()
	}
}

// logQuarantined logs keys that are newly in quarantine, and where this entry knows it from.
func (w *Writer) logQuarantined(keys []Key, source string) {
	for _, key := range keys {
		key.log(event.PartQuarantined.Log(&w.log)).Str("source", source).Send()
	}
}

// log adds the key to a line.
func (k Key) log(line *zerolog.Event) *zerolog.Event {
	name := "part"
	if k.Request {
		name = "fingerprint"
	}
	return line.Str("service", k.Service).Hex(name, k.bytes())
}
