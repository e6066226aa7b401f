package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// sharedParts returns n ids of parts.
func sharedParts(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = 1<<20 + uint64(i)
	}
	return out
}

// Guards against a part that crashes engines and is never withheld because it stands far back in a prompt, whose earlier parts sound requests
// exonerate.
func TestPartIsFoundAtAnyPlaceOfAPrompt(t *testing.T) {
	for _, c := range []struct{ parts, place int }{{20, 3}, {20, 15}, {20, 16}, {20, 17}, {20, 19}, {600, 599}, {4000, 3999}} {
		t.Run(fmt.Sprint(c.parts, "/", c.place), func(t *testing.T) {
			tr, now := New("a", 48), start
			sound := sharedParts(c.parts)
			deadly := sharedParts(c.parts)
			deadly[c.place] = bad
			own := uint64(1 << 40)
			next := func() uint64 {
				own++
				return own
			}
			serve := func(d time.Duration) {
				for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
					tr.Answered(now, "sound", prompt(next(), sound...))
					tr.Judge(now)
				}
			}
			serve(5 * time.Second)
			for crash := range minCrashes {
				engine := fmt.Sprint("e", crash)
				tr.Broke(now, engine, prompt(next(), deadly...), tookTime)
				for range 3 { // sound requests that the engine was to answer too
					tr.Broke(now, engine, prompt(next(), sound...), tookTime)
				}
				serve(time.Second)
			}
			qt.Assert(t, tr.Admit(now, prompt(next(), deadly...)).Withheld, qt.IsTrue)
			qt.Assert(t, tr.Admit(now, prompt(next(), sound...)).Withheld, qt.IsFalse)
		})
	}
}

// Guards against a part that is found only by an entry at which all its crashes happened, because the others don't publish it.
func TestPublishedPartsAreThoseThatMayCrashEngines(t *testing.T) {
	const parts = 600
	sound := sharedParts(parts)
	deadly := sharedParts(parts)
	deadly[parts-1] = bad
	tr, now := New("a", 48), start
	for i := range 40 {
		now = now.Add(50 * time.Millisecond)
		tr.Answered(now, "sound", prompt(uint64(1<<40+i), sound...))
	}
	now = now.Add(time.Second)
	tr.Answered(now, "sound", prompt(1<<41, sound...))
	tr.Broke(now.Add(100*time.Millisecond), "e1", prompt(1<<42, deadly...), tookTime)
	now = now.Add(time.Second)
	evidence := tr.Evidence(now)
	qt.Assert(t, evidence, qt.HasLen, 1)
	qt.Assert(t, evidence[0].Parts, qt.DeepEquals, []uint64{bad})
}

// Guards against memory and objects of the store that grow with the parts of prompts of which nothing is known, as after the start of a process, and
// against a part that such prompts share and that is cut from what is published.
func TestUnknownPartsAreBounded(t *testing.T) {
	const parts = 4000
	tr, now := New("a", 48), start
	unknown := uint64(1 << 41)
	for i := range 60 {
		now = now.Add(10 * time.Millisecond)
		ids := make([]uint64, parts)
		for j := range ids {
			unknown++
			ids[j] = unknown
		}
		ids[parts/2] = bad
		tr.Broke(now, fmt.Sprint("e", i), prompt(unknown+1<<50, ids...), tookTime)
		qt.Assert(t, countParts(tr.breaks) <= maxBreakParts, qt.IsTrue)
	}
	evidence := tr.Evidence(now)
	qt.Assert(t, countParts(evidence) <= maxPublishedParts, qt.IsTrue, qt.Commentf("%d", countParts(evidence)))
	for _, b := range evidence {
		qt.Check(t, b.has(Key{Service: "models", ID: bad}), qt.IsTrue)
	}
	value, err := json.Marshal(Reports(now, evidence))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(value) < 64<<10, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
	qt.Assert(t, ReadReports(now, Reports(now, evidence)), qt.HasLen, len(evidence))
}

// Guards against memory that grows with the parts of answered prompts, against sound parts that few crashes put into quarantine because what
// answers said of them was forgotten, and against parts that a prompt repeats and that so seem common.
func TestManyAnsweredParts(t *testing.T) {
	tr, now := New("a", 48), start
	id := uint64(1 << 41)
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		ids := make([]uint64, 600)
		for j := range ids {
			id++
			ids[j] = id
		}
		tr.Answered(now, "sound", prompt(id+1<<50, ids...))
	}
	qt.Assert(t, tr.sound.parts.size() <= minSoundParts, qt.IsTrue, qt.Commentf("%d", tr.sound.parts.size()))
	v := view{tr, now}
	qt.Assert(t, v.crashesNeeded(Key{Service: "models", ID: 1<<41 + 1}), qt.Equals, minCrashesSound)
	qt.Assert(t, v.crashesNeeded(Key{Service: "models", ID: 1, Request: true}), qt.Equals, minCrashes)

	repeated := make([]uint64, 4000)
	for i := range repeated {
		repeated[i] = bad
	}
	tr = New("a", 48)
	for i := range 20 {
		now = now.Add(20 * time.Millisecond)
		parts := []uint64{5}
		if i == 0 {
			parts = repeated
		}
		tr.Answered(now, "sound", prompt(uint64(1<<40+i), parts...))
	}
	qt.Assert(t, view{tr, now}.isCommon(Key{Service: "models", ID: bad}), qt.IsFalse)
	qt.Assert(t, view{tr, now}.isCommon(Key{Service: "models", ID: 5}), qt.IsTrue)
}

// Guards against judgements that take so long with long prompts that requests wait for them.
func BenchmarkJudgeManyParts(b *testing.B) {
	tr, now := New("a", 48), start
	for i := range 30 {
		ids := make([]uint64, 2000)
		for j := range ids {
			ids[j] = uint64(i*2000 + j)
		}
		tr.Broke(now, fmt.Sprint("e", i), prompt(uint64(1<<40+i), ids...), tookTime)
	}
	r := NewPrompt("models", make([]fighollow.PromptPart, 600))
	for b.Loop() {
		tr.judge(now.Add(time.Second))
		tr.MayRepeat(now.Add(time.Second), r)
	}
}
