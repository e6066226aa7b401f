package quarantine

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// writeInterval is the pause between two checks for writes that are due.
	writeInterval = 100 * time.Millisecond
	// failurePause is the pause after a write that the store did not answer.
	failurePause = time.Second
)

// Writer writes what this entry concludes to the store, and applies what the others do.
type Writer struct {
	tracker *Tracker
	store   fighollow.ObjectStore
	log     zerolog.Logger

	pausedUntil time.Time // because a write was not answered
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
	if now.Before(w.pausedUntil) {
		return
	}
	w.tracker.SetEra(fighollow.StoreEra(w.store))
	for _, due := range w.tracker.Writes(now) {
		var version uint64
		var err error
		if due.Object.Value == nil {
			version, err = w.store.Delete(ctx, due.Object.Kind, due.Object.Name, due.Expected)
		} else {
			version, err = w.store.Put(ctx, due.Object, due.Expected)
		}
		w.tracker.Written(due, version, err)
		if err == nil {
			continue
		}
		event.QuarantineUnwritten.Log(&w.log).Str("object", due.Object.Name).Err(err).Send()
		switch {
		case !errors.Is(err, fighollow.ErrConflict) && !errors.Is(err, fighollow.ErrNotFound):
			w.pausedUntil = now.Add(failurePause)
		case due.Object.Kind == fighollow.KindCrashReports && due.Object.Name == w.tracker.self:
			w.readOwnReports(ctx, now)
		}
	}
}

// readOwnReports reads this entry's reports, which are not as it expected: an earlier process wrote them, or the store has lost them.
func (w *Writer) readOwnReports(ctx context.Context, now time.Time) {
	o, err := w.store.Get(ctx, fighollow.KindCrashReports, w.tracker.self)
	if err != nil && !errors.Is(err, fighollow.ErrNotFound) {
		return
	}
	w.logInvalid(w.tracker.applyOwn(now, o, err == nil))
}

// Apply applies objects that were listed or have changed; see Tracker.Apply.
func (w *Writer) Apply(now time.Time, objects []fighollow.Object, snapshot bool) {
	added, ended, errs := w.tracker.Apply(now, objects, snapshot)
	w.logQuarantined(added, "store")
	for _, key := range ended {
		key.log(event.PartReleased.Log(&w.log)).Send()
	}
	w.logInvalid(errs)
}

// ApplyReports applies objects that were listed or have changed; see Tracker.ApplyReports.
func (w *Writer) ApplyReports(now time.Time, objects []fighollow.Object, snapshot bool) {
	w.logInvalid(w.tracker.ApplyReports(now, objects, snapshot))
}

// StopObserving forgets the reports of other entries.
func (w *Writer) StopObserving() { w.tracker.StopObserving() }

func (w *Writer) logInvalid(errs []error) {
	for _, err := range errs {
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
