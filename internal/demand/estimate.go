package demand

import (
	"math"
	"time"
)

// Rate is an amount of work in tokens per second.
type Rate struct {
	Prefill float64 // prompt tokens
	Decode  float64 // output tokens
}

// Estimate is the estimated demand for one model.
type Estimate struct {
	Fast Rate // average over seconds
	Slow Rate // average over minutes
	// Shift is set once Fast has differed from its earlier level for longer than a role change takes. A shorter
	// difference counts as a burst.
	Shift bool
	// Lasted is how long the current difference has lasted; 0 without one.
	Lasted time.Duration
	// Remaining is how much longer a shift is expected to last: as long as it has lasted so far or, if earlier shifts
	// reverted, the rest of their typical duration.
	Remaining time.Duration
}

// Level returns the demand to plan for: the fast average during a shift, otherwise the slow one, which bursts and swings
// hardly affect.
func (e Estimate) Level() Rate {
	if e.Shift {
		return e.Fast
	}
	return e.Slow
}

// Options configures an Estimator. The zero value of a field selects its default.
type Options struct {
	// FastWindow and SlowWindow are the time constants of the averages; defaults 25 s and 180 s.
	FastWindow, SlowWindow time.Duration
	// Threshold is the relative difference from the slow average at which an excursion starts; default 0.4. It ends at
	// half of it. With 0.2 the noise of about ten requests a second counted as shifts; the slow average follows smaller
	// shifts anyway.
	Threshold float64
	// AdoptAfter is how long a shift lasts before the slow average is set to the fast one; default 300 s.
	AdoptAfter time.Duration
	// SwingMemory is how long the typical duration of reverted shifts is kept; default 30 min.
	SwingMemory time.Duration
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
		{&o.SwingMemory, 30 * time.Minute},
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

// tracker holds the averages and the current excursion of the demand for one model.
type tracker struct {
	fast, slow Rate
	startedAt  time.Time
	updatedAt  time.Time // of the last step; zero before the first

	baseline       Rate      // slow average at the start of the excursion
	excursionStart time.Time // start of the excursion; zero without one
	direction      [2]int    // direction of prefill and decode in the excursion

	typical   time.Duration // mean duration of excursions that reverted; 0 if none is kept
	typicalAt time.Time
}

func (t *tracker) update(now time.Time, o Options, rate Rate, changeTime time.Duration) Estimate {
	if t.updatedAt.IsZero() {
		t.fast, t.slow, t.startedAt = rate, rate, now
	} else {
		dt, age := now.Sub(t.updatedAt).Seconds(), now.Sub(t.startedAt).Seconds()
		t.fast = movingAverage(t.fast, rate, dt/min(o.FastWindow.Seconds(), max(age, dt)))
		t.slow = movingAverage(t.slow, rate, dt/min(o.SlowWindow.Seconds(), max(age, dt)))
	}
	t.updatedAt = now
	t.trackExcursion(now, o, changeTime)
	e := Estimate{Fast: t.fast, Slow: t.slow}
	if !t.excursionStart.IsZero() {
		e.Lasted = now.Sub(t.excursionStart)
		// The latest rate must show the difference too, because the fast average decays slowly after a burst.
		d := direction(t.baseline, rate, o.Threshold/2)
		e.Shift = e.Lasted > changeTime && d != [2]int{} && !opposite(d, t.direction)
		e.Remaining = t.remaining(e.Lasted)
	}
	return e
}

// movingAverage updates an exponential moving average; share is the elapsed time divided by the window. Callers limit the
// window to the age of the average, because the first reports come from few sidecars and would distort it for minutes.
func movingAverage(old, rate Rate, share float64) Rate {
	a := 1 - math.Exp(-math.Max(0, share))
	return Rate{Prefill: old.Prefill + a*(rate.Prefill-old.Prefill), Decode: old.Decode + a*(rate.Decode-old.Decode)}
}

// trackExcursion starts and ends excursions. The duration of one that reverts is recorded; one that lasts becomes the slow
// average.
func (t *tracker) trackExcursion(now time.Time, o Options, changeTime time.Duration) {
	if now.Sub(t.typicalAt) > o.SwingMemory {
		t.typical = 0
	}
	if t.excursionStart.IsZero() {
		if d := direction(t.slow, t.fast, o.Threshold); d != [2]int{} {
			t.baseline, t.excursionStart, t.direction = t.slow, now, d
		}
		return
	}
	lasted := now.Sub(t.excursionStart)
	d := direction(t.baseline, t.fast, o.Threshold/2)
	switch {
	case d == [2]int{} || opposite(d, t.direction):
		if lasted > changeTime {
			t.recordDuration(now, lasted)
		}
		t.excursionStart = time.Time{}
	case lasted >= o.AdoptAfter:
		t.slow, t.excursionStart = t.fast, time.Time{}
	}
}

func (t *tracker) recordDuration(now time.Time, lasted time.Duration) {
	if t.typical == 0 {
		t.typical = lasted
	} else {
		t.typical = (t.typical + lasted) / 2
	}
	t.typicalAt = now
}

func (t *tracker) remaining(lasted time.Duration) time.Duration {
	if t.typical == 0 || lasted > t.typical*3/2 {
		return lasted
	}
	return max(0, t.typical-lasted)
}

// direction returns for prefill and decode 1 if b exceeds a, and -1 if a exceeds b, by more than share of the larger one,
// otherwise 0.
func direction(a, b Rate, share float64) [2]int {
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
