package demand

import (
	"math"
	"time"
)

// Work is a rate of tokens, per second.
type Work struct {
	Prefill float64 // prompt tokens
	Decode  float64 // output tokens
}

// Estimate is what is believed of the demand for one model.
type Estimate struct {
	Fast Work // average over seconds
	Slow Work // average over minutes
	// Shift says that Fast has differed from its earlier level for longer than a role change costs. Before that a
	// difference counts as a burst.
	Shift bool
	// Lasted is how long the present difference has lasted; 0 without one.
	Lasted time.Duration
	// Remaining is how much longer a shift is expected to last: as long as it has lasted so far, or what is left of the
	// usual time when earlier ones went back.
	Remaining time.Duration
}

// Level returns the work to plan for: the fast average in a shift, otherwise the slow one, which bursts and swings
// hardly move.
func (e Estimate) Level() Work {
	if e.Shift {
		return e.Fast
	}
	return e.Slow
}

// Options adjust an Estimator; the zero value means the defaults.
type Options struct {
	// FastWindow and SlowWindow are the time constants of the averages; defaults 25 s and 180 s.
	FastWindow, SlowWindow time.Duration
	// Threshold is the relative difference that starts an excursion from the slow level; default 0.4. It ends at half.
	// With 0.2 the noise of about ten requests a second looked like shifts; smaller shifts reach the slow level anyway.
	Threshold float64
	// AdoptAfter is when a shift becomes the new slow level; default 300 s.
	AdoptAfter time.Duration
	// ForgetSwings is how long the duration of shifts that went back is remembered; default 30 min.
	ForgetSwings time.Duration
	// WarmUp is how long the demand for a model counts as unknown after its first report; default 30 s.
	WarmUp time.Duration
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		def   time.Duration
	}{
		{&o.FastWindow, 25 * time.Second},
		{&o.SlowWindow, 180 * time.Second},
		{&o.AdoptAfter, 300 * time.Second},
		{&o.ForgetSwings, 30 * time.Minute},
		{&o.WarmUp, 30 * time.Second},
	} {
		if *d.field <= 0 {
			*d.field = d.def
		}
	}
	if o.Threshold <= 0 {
		o.Threshold = 0.4
	}
	return o
}

// level follows the demand for one model.
type level struct {
	fast, slow Work
	startedAt  time.Time
	seenAt     time.Time // of the last step; zero before the first

	base  Work      // slow level at the start of the excursion
	since time.Time // start of the excursion; zero without one
	up    [2]int    // direction of prefill and decode in the excursion

	usual     time.Duration // how long excursions last that go back; 0 if none is remembered
	usualSeen time.Time
}

func (l *level) step(now time.Time, o Options, rate Work, changeTime time.Duration) Estimate {
	if l.seenAt.IsZero() {
		l.fast, l.slow, l.startedAt = rate, rate, now
	} else {
		dt, age := now.Sub(l.seenAt).Seconds(), now.Sub(l.startedAt).Seconds()
		l.fast = blend(l.fast, rate, dt/min(o.FastWindow.Seconds(), max(age, dt)))
		l.slow = blend(l.slow, rate, dt/min(o.SlowWindow.Seconds(), max(age, dt)))
	}
	l.seenAt = now
	l.follow(now, o, changeTime)
	e := Estimate{Fast: l.fast, Slow: l.slow}
	if !l.since.IsZero() {
		e.Lasted = now.Sub(l.since)
		// The newest reports must agree, because the fast average has a tail after a burst.
		d := direction(l.base, rate, o.Threshold/2)
		e.Shift = e.Lasted > changeTime && d != [2]int{} && !opposite(d, l.up)
		e.Remaining = l.remaining(e.Lasted)
	}
	return e
}

// blend moves an average by the share of its window that has passed. The window of a new average is its age, because
// the first reports come from few sidecars and would weigh on it for minutes.
func blend(old, rate Work, share float64) Work {
	a := 1 - math.Exp(-math.Max(0, share))
	return Work{Prefill: old.Prefill + a*(rate.Prefill-old.Prefill), Decode: old.Decode + a*(rate.Decode-old.Decode)}
}

// follow starts and ends excursions. One that goes back teaches how long such excursions last; one that stays becomes
// the slow level.
func (l *level) follow(now time.Time, o Options, changeTime time.Duration) {
	if now.Sub(l.usualSeen) > o.ForgetSwings {
		l.usual = 0
	}
	if l.since.IsZero() {
		if d := direction(l.slow, l.fast, o.Threshold); d != [2]int{} {
			l.base, l.since, l.up = l.slow, now, d
		}
		return
	}
	lasted := now.Sub(l.since)
	d := direction(l.base, l.fast, o.Threshold/2)
	switch {
	case d == [2]int{} || opposite(d, l.up):
		if lasted > changeTime {
			l.learn(now, lasted)
		}
		l.since = time.Time{}
	case lasted >= o.AdoptAfter:
		l.slow, l.since = l.fast, time.Time{}
	}
}

func (l *level) learn(now time.Time, lasted time.Duration) {
	if l.usual == 0 {
		l.usual = lasted
	} else {
		l.usual = (l.usual + lasted) / 2
	}
	l.usualSeen = now
}

func (l *level) remaining(lasted time.Duration) time.Duration {
	if l.usual == 0 || lasted > l.usual*3/2 {
		return lasted
	}
	return max(0, l.usual-lasted)
}

// direction returns for prefill and decode whether b is above (1) or below (-1) a by more than a share of the larger.
func direction(a, b Work, share float64) [2]int {
	return [2]int{compare(a.Prefill, b.Prefill, share), compare(a.Decode, b.Decode, share)}
}

func compare(a, b, share float64) int {
	switch limit := share * math.Max(a, b); {
	case b-a > limit:
		return 1
	case a-b > limit:
		return -1
	}
	return 0
}

func opposite(a, b [2]int) bool {
	return a[0]*b[0] < 0 || a[1]*b[1] < 0
}
