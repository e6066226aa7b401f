package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against sound parts that are blamed while all attempts of an entry break off because its machine fails.
func TestFailingMachineBlamesNothing(t *testing.T) {
	tr := New("a")
	now := start
	for i := range 200 {
		tr.Broke(now, "models", fmt.Sprint("e", i%10), prompt(uint64(1000+i), 1, uint64(10+i%5), uint64(100+i)))
		now = now.Add(10 * time.Millisecond)
		tr.Judge(now)
	}
	tr.Observe(now.Add(2*time.Second), nil)
	for part := range uint64(300) {
		qt.Assert(t, tr.Admit(now.Add(2*time.Second), "models", prompt(1, part)).Withheld, qt.IsFalse, qt.Commentf("%d", part))
	}
}

// Guards against a part that is taken for sound because a short answer was complete before its engine ended.
func TestAnswerJustBeforeTheCrashIsRevoked(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration // from the answer to the end of its engine
		want  bool          // withheld
	}{{"at once", 100 * time.Millisecond, true}, {"much later", 2 * time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			tr := New("a")
			now := start
			for i := range uint64(3) {
				engine := fmt.Sprint("e", i)
				tr.Completed(now, "models", engine, prompt(2000+i, bad))
				now = now.Add(test.after)
				tr.Broke(now, "models", engine, prompt(1000+i, bad, 10+i))
				now = now.Add(time.Second)
			}
			now = now.Add(settleTime)
			tr.Observe(now, nil)
			qt.Assert(t, tr.Admit(now, "models", prompt(1, bad)).Withheld, qt.Equals, test.want)
		})
	}
}

// Guards against more than one probe at a time, and against a wait that does not grow with the probes that crash engines.
func TestProbes(t *testing.T) {
	tr, now := concluded(t)
	write(tr, now, 7)
	for i, wait := range []time.Duration{minHold, 2 * minHold, 4 * minHold, maxHold} {
		a := tr.Admit(now.Add(wait-time.Second), "models", prompt(1, bad))
		qt.Assert(t, a.Withheld, qt.IsTrue)
		qt.Assert(t, a.RetryIn, qt.Equals, time.Second)
		now = now.Add(wait)
		qt.Assert(t, tr.Admit(now, "models", prompt(1, bad)).Probe, qt.IsTrue)
		for range 100 {
			qt.Assert(t, tr.Admit(now.Add(time.Second), "models", prompt(2, bad)).Withheld, qt.IsTrue)
		}
		now = now.Add(2 * time.Second)
		tr.Broke(now, "models", "y", prompt(1, bad))
		qt.Assert(t, write(tr, now, uint64(8+i)), qt.Equals, 1)
	}
	now = now.Add(maxHold)
	qt.Assert(t, tr.Admit(now, "models", prompt(1, bad)).Probe, qt.IsTrue)
	tr.Completed(now, "models", "x", prompt(1, bad))
	now = now.Add(revokeTime)
	due := tr.Writes(now)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].Object.Value, qt.IsNil)
	qt.Assert(t, tr.Admit(now, "models", prompt(3, bad)), qt.Equals, Admission{})
}

// Guards against an entry that withholds a part of another entry's quarantine after it was lifted there.
func TestLiftedPartIsNotResurrected(t *testing.T) {
	tr, now := concluded(t)
	write(tr, now, 7)
	tr.Apply(now, []fighollow.Object{{Name: "models-29a", Version: 8, Deleted: true}}, false)
	now = now.Add(time.Second)
	qt.Assert(t, tr.Judge(now), qt.HasLen, 0)
	qt.Assert(t, tr.Observe(now, nil), qt.HasLen, 0)
	qt.Assert(t, tr.Admit(now, "models", prompt(1, bad)).Withheld, qt.IsFalse)
	qt.Assert(t, tr.Writes(now), qt.HasLen, 0)
}

// Guards against a part that other entries need five crashes for because an entry that had blamed another part let it go.
func TestReleasedPartNeedsNoMoreCrashesThanAnother(t *testing.T) {
	tr, now := concluded(t)
	write(tr, now, 7)
	tr.Apply(now, []fighollow.Object{{Name: "models-29a", Version: 8, Deleted: true}}, false)
	now = now.Add(soundMargin + time.Second)
	for i := range uint64(3) {
		tr.Broke(now, "models", fmt.Sprint("e", i), prompt(3000+i, bad, 30+i))
		now = now.Add(time.Second)
	}
	now = now.Add(settleTime)
	qt.Assert(t, tr.Observe(now, nil), qt.DeepEquals, []Key{{"models", bad}})
}

// Guards against memory that grows with the number of different parts.
func TestManyPartsKeepMemoryBounded(t *testing.T) {
	tr := New("a")
	now := start
	for i := range uint64(100_000) {
		now = now.Add(time.Millisecond)
		parts := []uint64{3*i + 1, 3*i + 2}
		tr.Completed(now, "models", "x", prompt(i, parts...))
		if i%10 == 0 {
			tr.Broke(now, "models", fmt.Sprint("e", i%7), prompt(i, 3*i+3, 3*i+4))
		}
		if i%1000 == 0 {
			tr.Apply(now, []fighollow.Object{{
				Name: fmt.Sprintf("models-%x", 1_000_000+i), Version: i + 1,
				Value: fmt.Appendf(nil, `{"service":"models","part":"%x","entry":"b","crashes":5}`, 1_000_000+i),
			}}, false)
			tr.Observe(now, nil)
		}
	}
	for i := range uint64(2 * maxCases) {
		tr.Apply(now, []fighollow.Object{{
			Name: fmt.Sprintf("models-%x", 2_000_000+i), Version: 200_000 + i,
			Value: fmt.Appendf(nil, `{"service":"models","part":"%x","entry":"b","crashes":5}`, 2_000_000+i),
		}}, false)
	}
	qt.Assert(t, len(tr.sound) <= maxSound, qt.IsTrue, qt.Commentf("%d", len(tr.sound)))
	qt.Assert(t, len(tr.breaks) <= maxBreaks, qt.IsTrue, qt.Commentf("%d", len(tr.breaks)))
	qt.Assert(t, len(tr.cases) <= maxCases, qt.IsTrue, qt.Commentf("%d", len(tr.cases)))
	qt.Assert(t, len(tr.lifts) <= 2*maxCases, qt.IsTrue, qt.Commentf("%d", len(tr.lifts)))
	qt.Assert(t, len(tr.Evidence(now)) <= maxPublished, qt.IsTrue)
}

// Guards against parts that are blamed because answers are lost at engines that go on working.
func TestBreaksAtEnginesThatGoOnAreNoEvidence(t *testing.T) {
	for _, goesOn := range []bool{false, true} {
		start := time.Unix(1000, 0)
		tr := New("e")
		for i := range 6 {
			at := start.Add(time.Duration(i) * 400 * time.Millisecond)
			upstream := string(rune('a' + i))
			tr.Broke(at, "s", upstream, []fighollow.PromptPart{{ID: 7}, {ID: uint64(100 + i)}})
			if goesOn {
				tr.Replied(at.Add(aliveMargin+time.Millisecond), upstream)
			}
		}
		now := start.Add(10 * time.Second)
		tr.Observe(now, nil)
		qt.Assert(t, tr.Admit(now, "s", []fighollow.PromptPart{{ID: 7}, {ID: 9}}).Withheld, qt.Equals, !goesOn)
	}
}
