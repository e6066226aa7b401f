package policy_test

import (
	"math"
	"math/rand/v2"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// user is one of the two users at today's size: 18 engines, two models, and the weight of role changes.
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

// Names of the two models, and the engines that they have by the preset.
const (
	large, small       = "large", "small"
	engines, largeOnes = 18, 12
)

// Times of a run, in seconds. Goodput and changes count from measureFrom.
const (
	measureFrom = 200.0
	shiftAt     = 500.0
	runEnd      = 1500.0
)

// shape gives the share of reading (prefill) in the large model's work, and the load of both models in engines.
type shape struct {
	name string
	at   func(t float64) (reading, large, small float64)
}

const (
	calmReading, shiftedReading = 0.30, 0.70
	largeLoad, smallLoad        = 11.6, 5.0
)

func share(f func(t float64) float64) func(t float64) (float64, float64, float64) {
	return func(t float64) (float64, float64, float64) {
		return calmReading + (shiftedReading-calmReading)*f(t), largeLoad, smallLoad
	}
}

func between(t, from, to float64) float64 {
	if t >= from && t < to {
		return 1
	}
	return 0
}

var shapes = []shape{
	{"calm", share(func(float64) float64 { return 0 })},
	{"step", share(func(t float64) float64 { return between(t, shiftAt, runEnd+1) })},
	{"ramp", share(func(t float64) float64 { return min(1, max(0, (t-shiftAt)/400)) })},
	{"swing", share(func(t float64) float64 { return between(math.Mod(t, 240), 0, 120) })},
	{"burst", share(func(t float64) float64 { return between(math.Mod(t, 150), 0, 12) })},
	{"shift back", share(func(t float64) float64 { return between(math.Mod(t, 400), 100, 160) })},
	{"models", func(t float64) (float64, float64, float64) {
		d := 2.5 * between(t, shiftAt, runEnd+1)
		return calmReading, largeLoad - d, smallLoad + d
	}},
}

// class is a kind of request with its mean token counts.
type class struct{ prompt, output float64 }

var (
	reading = class{8000, 150}
	writing = class{1500, 800}
)

// work returns the engine-seconds of a request for prompt and output, with a usual share of cached prompts.
func (c class) work() (prefill, decode float64) {
	return c.prompt * (1 - 0.8*cacheHit) / prefillRate, c.output / decodeRate
}

// fluid returns the mean work of both models at t in engines.
func (s shape) fluid(t float64) (largePrefill, largeDecode, smallPrefill, smallDecode float64) {
	r, l, sm := s.at(t)
	split := func(load, share float64) (float64, float64) {
		rp, rd := reading.work()
		wp, wd := writing.work()
		a, b := load*share/(rp+rd), load*(1-share)/(wp+wd)
		return a*rp + b*wp, a*rd + b*wd
	}
	largePrefill, largeDecode = split(l, r)
	smallPrefill, smallDecode = split(sm, 0.5)
	return
}

// arrivals draws the requests of a run: Poisson arrivals with token counts that vary by a factor of about two.
func (s shape) arrivals(u user, rnd *rand.Rand) []*request {
	var out []*request
	for i := range int(runEnd / tick) {
		t := float64(i) * tick
		r, l, sm := s.at(t)
		for _, part := range []struct {
			model       string
			c           class
			load, worth float64
		}{
			{large, reading, l * r, u.worth[0]},
			{large, writing, l * (1 - r), u.worth[1]},
			{small, reading, sm / 2, u.worth[2]},
			{small, writing, sm / 2, u.worth[2]},
		} {
			p, d := part.c.work()
			for range poisson(rnd, part.load/(p+d)*tick) {
				out = append(out, &request{model: part.model, at: t, deadline: t + 30, worth: part.worth,
					prompt: part.c.prompt * spread(rnd), output: part.c.output * spread(rnd)})
			}
		}
	}
	return out
}

func spread(rnd *rand.Rand) float64 { return 0.5 + rnd.Float64() }

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
