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
		tr.Broke(now, fmt.Sprint("e", i%10), prompt(uint64(1000+i), 1, uint64(10+i%5), uint64(100+i)), tookTime)
		now = now.Add(10 * time.Millisecond)
		tr.Judge(now)
	}
	tr.Judge(now.Add(2 * time.Second))
	for part := range uint64(300) {
		qt.Assert(t, tr.Admit(now.Add(2*time.Second), prompt(1, part)).Withheld, qt.IsFalse, qt.Commentf("%d", part))
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
				tr.Completed(now, engine, prompt(2000+i, bad))
				now = now.Add(test.after)
				tr.Broke(now, engine, prompt(1000+i, bad, 10+i), tookTime)
				now = now.Add(time.Second)
			}
			now = now.Add(settleTime)
			tr.Judge(now)
			qt.Assert(t, tr.Admit(now, prompt(1, bad)).Withheld, qt.Equals, test.want)
		})
	}
}

// Guards against more than one probe at a time, against a preview that uses up the probe or differs from the decision, and against a wait that does not grow with the probes that crash engines.
func TestProbes(t *testing.T) {
	tr, now := concluded(t)
	write(tr, now, 7)
	for i, wait := range []time.Duration{minHold, 2 * minHold, 4 * minHold, maxHold} {
		preview := tr.Preview(now.Add(wait-time.Second), prompt(1, bad))
		a := tr.Admit(now.Add(wait-time.Second), prompt(1, bad))
		qt.Assert(t, preview, qt.Equals, a)
		qt.Assert(t, a.Withheld, qt.IsTrue)
		qt.Assert(t, a.RetryIn, qt.Equals, time.Second)
		now = now.Add(wait)
		for range 3 {
			qt.Assert(t, tr.Preview(now, prompt(1, bad)).Probe, qt.IsTrue)
		}
		qt.Assert(t, tr.Admit(now, prompt(1, bad)).Probe, qt.IsTrue)
		for range 100 {
			qt.Assert(t, tr.Admit(now.Add(time.Second), prompt(2, bad)).Withheld, qt.IsTrue)
		}
		now = now.Add(2 * time.Second)
		tr.Broke(now, "y", prompt(1, bad), tookTime)
		qt.Assert(t, write(tr, now, uint64(8+i)), qt.Equals, 1)
	}
	now = now.Add(maxHold)
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Probe, qt.IsTrue)
	tr.Completed(now, "x", prompt(1, bad))
	now = now.Add(revokeTime)
	due := caseWrites(tr, now)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].Object.Value, qt.IsNil)
	qt.Assert(t, tr.Admit(now, prompt(3, bad)), qt.Equals, Admission{})
}

// Guards against an entry that withholds a part of another entry's quarantine after it was lifted there.
func TestLiftedPartIsNotResurrected(t *testing.T) {
	tr, now := concluded(t)
	write(tr, now, 7)
	tr.Apply(now, []fighollow.Object{{Name: "models-29a", Version: 8, Deleted: true}}, false)
	now = now.Add(time.Second)
	qt.Assert(t, tr.Judge(now), qt.HasLen, 0)
	qt.Assert(t, tr.Judge(now), qt.HasLen, 0)
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Withheld, qt.IsFalse)
	qt.Assert(t, caseWrites(tr, now), qt.HasLen, 0)
}

// Guards against a part that other entries need five crashes for because an entry that had blamed another part let it go.
func TestReleasedPartNeedsNoMoreCrashesThanAnother(t *testing.T) {
	tr, now := concluded(t)
	write(tr, now, 7)
	tr.Apply(now, []fighollow.Object{{Name: "models-29a", Version: 8, Deleted: true}}, false)
	now = now.Add(soundMargin + time.Second)
	for i := range uint64(3) {
		tr.Broke(now, fmt.Sprint("e", i), prompt(3000+i, bad, 30+i), tookTime)
		now = now.Add(time.Second)
	}
	now = now.Add(settleTime)
	qt.Assert(t, tr.Judge(now), qt.DeepEquals, []Key{{Service: "models", ID: bad}})
}

// Guards against memory that grows with the number of different parts.
func TestManyPartsKeepMemoryBounded(t *testing.T) {
	tr := New("a")
	now := start
	for i := range uint64(100_000) {
		now = now.Add(time.Millisecond)
		parts := []uint64{3*i + 1, 3*i + 2}
		tr.Completed(now, "x", prompt(i, parts...))
		if i%10 == 0 {
			tr.Broke(now, fmt.Sprint("e", i%7), prompt(i, 3*i+3, 3*i+4), tookTime)
		}
		if i%1000 == 0 {
			tr.Apply(now, []fighollow.Object{{
				Name: fmt.Sprintf("models-%x", 1_000_000+i), Version: i + 1,
				Value: fmt.Appendf(nil, `{"service":"models","part":"%x","entry":"b","crashes":5}`, 1_000_000+i),
			}}, false)
			tr.Judge(now)
		}
	}
	for i := range uint64(2 * maxCases) {
		tr.Apply(now, []fighollow.Object{{
			Name: fmt.Sprintf("models-%x", 2_000_000+i), Version: 200_000 + i,
			Value: fmt.Appendf(nil, `{"service":"models","part":"%x","entry":"b","crashes":5}`, 2_000_000+i),
		}}, false)
	}
	for i := range uint64(100_000) {
		now = now.Add(time.Millisecond)
		tr.Completed(now, "x", &Request{Service: "models", fingerprints: []uint64{2 * i, 2*i + 1}})
		if i%100 == 0 {
			tr.Broke(now, fmt.Sprint("e", i), &Request{Service: "models", fingerprints: []uint64{1 << 40 * i}}, tookTime)
		}
	}
	for i := range 2 * maxReporters {
		tr.ApplyReports(now, []fighollow.Object{{Name: fmt.Sprint("entry", i), Version: 300_000 + uint64(i), Value: []byte(`[{"service":"models","upstream":"e"}]`)}}, false)
	}
	qt.Assert(t, len(tr.sound.requests) <= maxSound, qt.IsTrue, qt.Commentf("%d", len(tr.sound.requests)))
	qt.Assert(t, len(tr.reports.byEntry) <= maxReporters, qt.IsTrue, qt.Commentf("%d", len(tr.reports.byEntry)))
	qt.Assert(t, len(tr.sound.parts) <= maxSound, qt.IsTrue, qt.Commentf("%d", len(tr.sound.parts)))
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
			tr.Broke(at, upstream, prompt(uint64(100+i), 7), tookTime)
			if goesOn {
				tr.Replied(at.Add(aliveMargin+time.Millisecond), upstream)
			}
		}
		now := start.Add(10 * time.Second)
		tr.Judge(now)
		qt.Assert(t, tr.Admit(now, prompt(9, 7)).Withheld, qt.Equals, !goesOn)
	}
}

// Guards against engines that are down and reset connections, so that each request that is sent to them seems to crash them.
func TestBreaksAtEnginesThatAreDownAreNoEvidence(t *testing.T) {
	tr := New("e")
	for i := range 3 {
		upstream := string(rune('a' + i))
		tr.Broke(start, upstream, &Request{Service: "s", fingerprints: []uint64{uint64(i)}}, tookTime)
		tr.Broke(start.Add(time.Second), upstream, &Request{Service: "s", fingerprints: []uint64{9}}, tookTime)
	}
	now := start.Add(2 * time.Second)
	tr.Judge(now)
	qt.Assert(t, tr.Admit(now, &Request{Service: "s", fingerprints: []uint64{9}}).Withheld, qt.IsFalse)
}

// Guards against a request in quarantine that comes only to entries that don't probe it, so that it stays there when it is sound again.
func TestAnotherEntryTakesTheProbeOver(t *testing.T) {
	tr := New("a")
	tr.Apply(start, []fighollow.Object{object(7, storedBad)}, false)
	now := start.Add(minHold)
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Withheld, qt.IsTrue)
	qt.Assert(t, caseWrites(tr, now), qt.HasLen, 0) // it is the other's turn
	now = now.Add(claimTime)
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Withheld, qt.IsTrue)
	qt.Assert(t, write(tr, now, 8), qt.Equals, 1)
	qt.Assert(t, tr.Admit(now, prompt(1, bad)).Probe, qt.IsTrue)
}

// Guards against what an entry knew of crashes being lost when it starts again.
func TestRestartedEntryKeepsItsReports(t *testing.T) {
	tr := New("a")
	tr.ApplyReports(start, []fighollow.Object{{
		Name: "a", Version: 7, Value: []byte(`[{"service":"s","upstream":"x","fingerprints":[9],"ageMs":100},{"service":"s","upstream":"y","fingerprints":[9],"ageMs":50}]`),
	}}, true)
	r := &Request{Service: "s", fingerprints: []uint64{9}}
	qt.Assert(t, tr.MayRepeat(start, r), qt.IsFalse)
	tr.Broke(start, "z", r, tookTime)
	now := start.Add(time.Second)
	qt.Assert(t, tr.Judge(now), qt.HasLen, 1)
	qt.Assert(t, tr.Writes(now)[0].Expected, qt.Equals, uint64(7))
}

// Guards against a sound request that comes often being blamed for the crashes of engines that were running it.
func TestRequestThatIsAnsweredOftenIsNotBlamed(t *testing.T) {
	for _, ago := range []time.Duration{200 * time.Millisecond, 10 * time.Second} { // from its last answer to the first crash
		tr := New("a")
		often := func() *Request {
			return NewRequest("s", &fighollow.Call{Method: "GET", Host: "h", Target: "/home", Caller: "10.0.0.1:5000"})
		}
		tr.Completed(start.Add(-ago), "x", often())
		for i := range 4 {
			at, upstream := start.Add(time.Duration(i)*70*time.Millisecond), fmt.Sprint("e", i)
			tr.Broke(at, upstream, often(), tookTime)
			tr.Broke(at, upstream, &Request{Service: "s", fingerprints: []uint64{bad}}, tookTime)
		}
		now := start.Add(2 * time.Second)
		tr.Judge(now)
		qt.Check(t, tr.Admit(now, &Request{Service: "s", fingerprints: []uint64{bad}}).Withheld, qt.IsTrue)
		qt.Check(t, tr.Admit(now, often()).Withheld, qt.IsFalse, qt.Commentf("answered %v before", ago))
	}
}
