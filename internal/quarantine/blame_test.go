package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fixedJudge is a judge without knowledge of its own: all crashes until now are settled.
type fixedJudge struct {
	sound   map[uint64]bool // completed after all breaks
	history map[uint64]bool // completed lately
}

func (j fixedJudge) isSound(key Key, _ time.Time) bool { return j.sound[key.ID] }

func (j fixedJudge) crashesNeeded(key Key) int {
	if j.history[key.ID] {
		return minCrashesSound
	}
	return minCrashes
}

func (fixedJudge) isCommon(Key) bool { return false }

func (fixedJudge) isSettled(Key, time.Time) bool { return true }

// crash returns the breaks of prompts at an engine after some milliseconds.
func crash(ms int, engine string, prompts ...[]uint64) (out []Break) {
	for i, parts := range prompts {
		out = append(out, Break{
			At: start.Add(time.Duration(ms) * time.Millisecond), Service: "models", Upstream: engine,
			Prompt: uint64(1000*ms + 100*len(engine) + i), Parts: parts,
		})
	}
	return out
}

// request returns the break of a request with these fingerprints at an engine after some milliseconds.
func request(ms int, engine string, fingerprints ...uint64) []Break {
	return []Break{{At: start.Add(time.Duration(ms) * time.Millisecond), Service: "models", Upstream: engine, Parts: []uint64{other}, Fingerprints: fingerprints}}
}

// repeated returns the breaks of the same prompts at another engine after some milliseconds.
func repeated(breaks []Break, ms int, engine string) []Break {
	for i := range breaks {
		breaks[i].At, breaks[i].Upstream = start.Add(time.Duration(ms)*time.Millisecond), engine
	}
	return breaks
}

// join joins the breaks of several crashes.
func join(crashes ...[]Break) (out []Break) {
	for _, c := range crashes {
		out = append(out, c...)
	}
	return out
}

const (
	bad   = 666
	bad2  = 667
	other = 1 // in other prompts
)

// Guards against sound parts that are blamed for failures with another cause, and against crashing parts that are not blamed.
func TestBlame(t *testing.T) {
	var oneAt, shared []Break
	for i := range uint64(30) {
		oneAt = append(oneAt, crash(0, "e0", []uint64{i % 3, 10 + i})...)
	}
	for e := range uint64(6) { // each breaks off four prompts that share a part, one of them with the crashing part
		shared = append(shared, crash(400*int(e), fmt.Sprint("e", e),
			[]uint64{other, 20 + e}, []uint64{other, 30 + e}, []uint64{other, 40 + e}, []uint64{other, bad, 50 + e})...)
	}
	var atOnce []Break
	for e := range 6 {
		atOnce = append(atOnce, crash(5*e, fmt.Sprint("e", e), []uint64{other, uint64(10 + e)})...)
	}
	for _, test := range []struct {
		name   string
		breaks []Break
		known  []Key
		judge  fixedJudge
		want   []uint64
	}{
		{name: "an engine with many requests ends", breaks: oneAt},
		{name: "several engines are lost at one moment", breaks: atOnce},
		{
			name:   "two crashes",
			breaks: join(crash(0, "e0", []uint64{bad}), crash(1000, "e1", []uint64{bad})),
		},
		{
			name:   "three crashes",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), crash(1000, "e1", []uint64{bad, 3}), crash(2000, "e2", []uint64{bad, 4})),
			want:   []uint64{bad},
		},
		{
			name:   "three crashes of one engine",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), crash(1000, "e0", []uint64{bad, 3}), crash(2000, "e0", []uint64{bad, 4})),
		},
		{
			name:   "three crashes in rapid succession",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), crash(60, "e1", []uint64{bad, 3}), crash(120, "e2", []uint64{bad, 4})),
		},
		{
			name: "four crashes in rapid succession",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), crash(60, "e1", []uint64{bad, 3}), crash(120, "e2", []uint64{bad, 4}),
				crash(180, "e3", []uint64{bad, 5})),
			want: []uint64{bad},
		},
		{
			name: "four crashes in rapid succession under a part that was answered lately",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), crash(60, "e1", []uint64{bad, 3}), crash(120, "e2", []uint64{bad, 4}),
				crash(180, "e3", []uint64{bad, 5})),
			judge: fixedJudge{history: map[uint64]bool{bad: true}},
		},
		{
			name: "four rapid crashes, two under a prompt that was repeated",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), repeated(crash(0, "e0", []uint64{bad, 2}), 120, "e1"),
				crash(180, "e2", []uint64{bad, 4}), crash(240, "e3", []uint64{bad, 5})),
			want: []uint64{bad},
		},
		{
			name: "four rapid crashes under two prompts",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), repeated(crash(0, "e0", []uint64{bad, 2}), 60, "e1"),
				crash(120, "e2", []uint64{bad, 4}), repeated(crash(120, "e2", []uint64{bad, 4}), 180, "e3")),
		},
		{
			name: "a part that was answered lately, in the crashes of two parts",
			breaks: join(crash(0, "e0", []uint64{bad, 50}), crash(1000, "e1", []uint64{bad2, 50}), crash(2000, "e2", []uint64{bad, 50}),
				crash(3000, "e3", []uint64{bad2, 50}), crash(4000, "e4", []uint64{bad, 50})),
			judge: fixedJudge{history: map[uint64]bool{50: true}},
			want:  []uint64{bad},
		},
		{name: "a part that all prompts share", breaks: shared, want: []uint64{bad}},
		{name: "a part that was answered since", breaks: shared, judge: fixedJudge{sound: map[uint64]bool{bad: true}}},
		{
			name:   "the first place",
			breaks: join(crash(0, "e0", []uint64{bad, 2, 3}), crash(1000, "e1", []uint64{bad, 4, 5}), crash(2000, "e2", []uint64{bad, 6, 7})),
			want:   []uint64{bad},
		},
		{
			name:   "the last place behind a part that all prompts share",
			breaks: join(crash(0, "e0", []uint64{other, 3, bad}), crash(1000, "e1", []uint64{other, 5, bad}), crash(2000, "e2", []uint64{other, 7, bad})),
			want:   []uint64{bad},
		},
		{
			name: "two parts at once",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), crash(400, "e5", []uint64{bad2, 2}), crash(2000, "e1", []uint64{bad, 3}),
				crash(2400, "e6", []uint64{bad2, 3}), crash(4000, "e2", []uint64{bad, 4}), crash(4400, "e7", []uint64{bad2, 4})),
			judge: fixedJudge{sound: map[uint64]bool{2: true, 3: true, 4: true}},
			want:  []uint64{bad, bad2},
		},
		{
			name:   "a request at three engines at once",
			breaks: join(request(0, "e0", bad), request(5, "e1", bad), request(10, "e2", bad)),
			want:   []uint64{bad},
		},
		{name: "a request at two engines", breaks: join(request(0, "e0", bad), request(5, "e1", bad), request(900, "e1", bad))},
		{
			name:   "a request that was answered lately, at three engines at once",
			breaks: join(request(0, "e0", bad), request(5, "e1", bad), request(10, "e2", bad)),
			judge:  fixedJudge{history: map[uint64]bool{bad: true}},
		},
		{
			name:   "a request that was answered lately, in three crashes",
			breaks: join(request(0, "e0", bad), request(400, "e1", bad), request(800, "e2", bad)),
			judge:  fixedJudge{history: map[uint64]bool{bad: true}},
			want:   []uint64{bad},
		},
		{
			name:   "a request of one caller",
			breaks: join(request(0, "e0", bad, 50), request(5, "e1", bad, 50), request(10, "e2", bad, 50)),
			want:   []uint64{50},
		},
		{
			name:   "a request of several callers",
			breaks: join(request(0, "e0", bad, 50), request(5, "e1", bad, 51), request(10, "e2", bad, 52)),
			want:   []uint64{bad},
		},
		{
			name:   "three requests with a part in common",
			breaks: join(request(0, "e0", 50), request(400, "e1", 50), request(800, "e2", 50), request(1200, "e3", 51), request(1600, "e4", 51), request(2000, "e5", 51)),
			want:   []uint64{50, 51},
		},
		{
			name:   "what a part in quarantine explains",
			breaks: join(crash(0, "e0", []uint64{bad, 2}), crash(1000, "e1", []uint64{bad, 2}), crash(2000, "e2", []uint64{bad, 2})),
			known:  []Key{{Service: "models", ID: bad}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []uint64
			for _, key := range blame(test.breaks, test.known, test.judge) {
				qt.Check(t, key.Service, qt.Equals, "models")
				got = append(got, key.ID)
			}
			qt.Assert(t, got, qt.ContentEquals, test.want)
		})
	}
}
