package policy_test

import (
	"math"
	"math/rand/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// user is one of the two users at their current size of 18 engines and two models, with their weight of role changes.
type user struct {
	name        string
	dataCentres []string
	weight      float64
	worth       [3]float64 // of reading and writing requests of the first model, and of the second model's
}

var users = []user{
	{"tenterbrook", []string{"hall-a", "hall-b", "hall-c"}, 0.5, [3]float64{2, 3, 1}},
	{"consorcio", []string{"sala-boa-vista", "sala-afogados", "sala-olinda", "sala-jaboatao"}, 3, [3]float64{1, 2, 1}},
}

// Names of the two models, the number of all engines and that of the large model.
const (
	large, small              = "large", "small"
	engineCount, largeEngines = 18, 12
)

// Times of a run, in seconds. Goodput and changes count from measureFrom.
const (
	measureFrom = 200.0
	shiftAt     = 500.0
	runEnd      = 1500.0
)

// workload returns by time the share of the prefill-heavy reading requests in the large model's work, and the load of both
// models in engines.
type workload struct {
	name string
	at   func(t float64) (reading, large, small float64)
}

const (
	baseReadingShare, shiftedReadingShare = 0.30, 0.70
	largeLoad, smallLoad                  = 11.6, 5.0
)

func readingShare(f func(t float64) float64) func(t float64) (float64, float64, float64) {
	return func(t float64) (float64, float64, float64) {
		return baseReadingShare + (shiftedReadingShare-baseReadingShare)*f(t), largeLoad, smallLoad
	}
}

func pulse(t, from, to float64) float64 {
	if t >= from && t < to {
		return 1
	}
	return 0
}

var workloads = []workload{
	{"calm", readingShare(func(float64) float64 { return 0 })},
	{"step", readingShare(func(t float64) float64 { return pulse(t, shiftAt, runEnd+1) })},
	{"ramp", readingShare(func(t float64) float64 { return min(1, max(0, (t-shiftAt)/400)) })},
	{"swing", readingShare(func(t float64) float64 { return pulse(math.Mod(t, 240), 0, 120) })},
	{"burst", readingShare(func(t float64) float64 { return pulse(math.Mod(t, 150), 0, 12) })},
	{"shift back", readingShare(func(t float64) float64 { return pulse(math.Mod(t, 400), 100, 160) })},
	{"models", func(t float64) (float64, float64, float64) {
		d := 2.5 * pulse(t, shiftAt, runEnd+1)
		return baseReadingShare, largeLoad - d, smallLoad + d
	}},
}

// requestClass is a class of requests with its mean token counts.
type requestClass struct{ prompt, output float64 }

var (
	reading = requestClass{8000, 150}
	writing = requestClass{1500, 800}
)

// work returns the mean engine-seconds of a request for prefill and decode, with a prefix cache that is 80% warm.
func (c requestClass) work() (prefill, decode float64) {
	return c.prompt * (1 - 0.8*cacheHit) / prefillRate, c.output / decodeRate
}

// meanLoad returns the mean load of both models at time t, in engines.
func (w workload) meanLoad(t float64) (largePrefill, largeDecode, smallPrefill, smallDecode float64) {
	r, l, sm := w.at(t)
	splitLoad := func(load, share float64) (float64, float64) {
		rp, rd := reading.work()
		wp, wd := writing.work()
		a, b := load*share/(rp+rd), load*(1-share)/(wp+wd)
		return a*rp + b*wp, a*rd + b*wd
	}
	largePrefill, largeDecode = splitLoad(l, r)
	smallPrefill, smallDecode = splitLoad(sm, 0.5)
	return
}

// arrivals generates the requests of a simulation: Poisson arrivals with token counts between half and one and a half of
// the mean of their class.
func (w workload) arrivals(u user, rnd *rand.Rand) []*request {
	var out []*request
	for i := range int(runEnd / tick) {
		t := float64(i) * tick
		r, l, sm := w.at(t)
		for _, part := range []struct {
			model       string
			c           requestClass
			load, worth float64
		}{
			{large, reading, l * r, u.worth[0]},
			{large, writing, l * (1 - r), u.worth[1]},
			{small, reading, sm / 2, u.worth[2]},
			{small, writing, sm / 2, u.worth[2]},
		} {
			p, d := part.c.work()
			for range poisson(rnd, part.load/(p+d)*tick) {
				out = append(out, &request{model: part.model, arrival: t, deadline: t + 30, worth: part.worth,
					prompt: part.c.prompt * jitter(rnd), output: part.c.output * jitter(rnd)})
			}
		}
	}
	return out
}

func jitter(rnd *rand.Rand) float64 { return 0.5 + rnd.Float64() }

func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for p := rnd.Float64(); p > math.Exp(-mean); p *= rnd.Float64() {
		n++
	}
	return n
}

func (u user) preset() fighollow.Preset {
	return fighollow.Preset{Name: "ordinary",
		Models: []fighollow.PresetModel{
			{Model: large, ModelVersion: "1", MinEngines: 3, Disaggregated: true, PrefillShare: 0.35},
			{Model: small, ModelVersion: "1", MinEngines: 2, Disaggregated: true, PrefillShare: 0.5},
		},
		Policy: fighollow.Policy{RoleChangeWeight: u.weight, MaxChangesPerDataCentre: 1, MaxChangesPerModel: 2},
	}
}
