package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against sound parts that are blamed while all attempts of an entry break off because its machine fails.
func TestFailingMachineBlamesNothing(t *testing.T) {
	tr := New("a", 48)
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
			tr := New("a", 48)
			now := start
			for i := range uint64(3) {
				engine := fmt.Sprint("e", i)
				tr.Answered(now, engine, prompt(2000+i, bad))
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
	tr.Answered(now, "x", prompt(1, bad))
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
	tr := New("a", 48)
	now := start
	for i := range uint64(100_000) {
		now = now.Add(time.Millisecond)
		parts := []uint64{3*i + 1, 3*i + 2}
		tr.Answered(now, "x", prompt(i, parts...))
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
		tr.Answered(now, "x", &Request{Service: "models", fingerprints: []uint64{2 * i, 2*i + 1}})
		if i%100 == 0 {
			tr.Broke(now, fmt.Sprint("e", i), &Request{Service: "models", fingerprints: []uint64{1 << 40 * i}}, tookTime)
		}
	}
	for i := range 2 * maxReporters {
		tr.ApplyReports(now, []fighollow.Object{{Name: fmt.Sprint("entry", i), Version: 300_000 + uint64(i), Value: []byte(`[{"service":"models","upstream":"e"}]`)}}, false)
	}
	qt.Assert(t, tr.sound.requests.size() <= maxSound, qt.IsTrue, qt.Commentf("%d", tr.sound.requests.size()))
	qt.Assert(t, len(tr.reports.byEntry) <= maxReporters, qt.IsTrue, qt.Commentf("%d", len(tr.reports.byEntry)))
	qt.Assert(t, tr.sound.parts.size() <= minSoundParts, qt.IsTrue, qt.Commentf("%d", tr.sound.parts.size()))
	qt.Assert(t, len(tr.breaks) <= maxBreaks, qt.IsTrue, qt.Commentf("%d", len(tr.breaks)))
	qt.Assert(t, len(tr.cases) <= maxCases, qt.IsTrue, qt.Commentf("%d", len(tr.cases)))
	qt.Assert(t, len(tr.lifts) <= 2*maxCases, qt.IsTrue, qt.Commentf("%d", len(tr.lifts)))
	qt.Assert(t, len(tr.Evidence(now)) <= maxPublished, qt.IsTrue)
}

// Guards against parts that are blamed because answers are lost at engines that go on working.
func TestBreaksAtEnginesThatGoOnAreNoEvidence(t *testing.T) {
	for _, goesOn := range []bool{false, true} {
		start := time.Unix(1000, 0)
		tr := New("e", 48)
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
	tr := New("e", 48)
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
	tr := New("a", 48)
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
	tr := New("a", 48)
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
		tr := New("a", 48)
		often := func() *Request {
			return NewRequest("s", &fighollow.Call{Method: "GET", Host: "h", Target: "/home", Caller: "10.0.0.1:5000"})
		}
		tr.Answered(start.Add(-ago), "x", often())
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

// fromAddress returns a request that has the same method, host, path and body whatever address it comes from.
func fromAddress(ip string) *Request {
	return NewRequest("s", &fighollow.Call{Method: "POST", Host: "h", Target: "/p", Body: []byte("body"), Caller: ip + ":5000"})
}

// Guards against a request that crashes further engines from another address because its first three crashes came from one, also where the entry
// restarts between them, where reports of them come late and where the store is away.
func TestRequestThatCrashedEnginesIsWithheldFromAnyAddress(t *testing.T) {
	for _, test := range []struct {
		name  string
		crash func(tr *Tracker, upstream string)
	}{
		{"here", func(tr *Tracker, upstream string) { tr.Broke(start, upstream, fromAddress("10.0.0.1"), tookTime) }},
		{"before a restart", func(tr *Tracker, upstream string) {
			tr.ApplyReports(start, []fighollow.Object{reportOf(tr.self, upstream, fromAddress("10.0.0.1"))}, false)
		}},
		{"reported late", func(tr *Tracker, upstream string) {
			tr.ApplyReports(start.Add(settleTimeRequest), []fighollow.Object{reportOf("b", upstream, fromAddress("10.0.0.1"))}, false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			tr := New("a", 48)
			test.crash(tr, "x")
			tr.Broke(start, "y", fromAddress("10.0.0.1"), tookTime)
			tr.Broke(start, "z", fromAddress("10.0.0.1"), tookTime)
			now := start.Add(2 * settleTimeRequest) // nothing is written meanwhile
			qt.Assert(t, tr.Judge(now), qt.HasLen, 2)
			qt.Assert(t, tr.Admit(now, fromAddress("10.0.0.1")).Withheld, qt.IsTrue)
			qt.Assert(t, tr.Admit(now, fromAddress("10.0.0.2")).Withheld, qt.IsTrue)
		})
	}
}

// Guards against sound requests that are withheld because they differ by the address alone from those that crash engines, after one of them was
// answered, and against a probe for each fingerprint of a request.
func TestAnswerToAnotherAddressReleasesOnlyWhatItShares(t *testing.T) {
	for _, test := range []struct {
		name string
		at   time.Duration // of the answer, from the first crash
		held bool          // the other address is withheld until the answer
	}{
		{"a minute before", -evidenceTime, true},
		{"lately", -evidenceTime / 2, false},
		{"after the judgement", 2 * settleTimeRequest, true},
		{"by a probe", minHold + 2*settleTimeRequest, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			tr := New("a", 48)
			answer := func() { tr.Answered(start.Add(test.at), "w", fromAddress("10.0.0.2")) }
			if test.at < 0 {
				answer()
			}
			for _, upstream := range []string{"x", "y", "z"} {
				tr.Broke(start, upstream, fromAddress("10.0.0.1"), tookTime)
			}
			now := start.Add(settleTimeRequest)
			tr.Judge(now)
			qt.Assert(t, tr.Admit(now, fromAddress("10.0.0.1")).Withheld, qt.IsTrue)
			qt.Assert(t, tr.Admit(now, fromAddress("10.0.0.2")).Withheld, qt.Equals, test.held)
			if test.at < 0 {
				return
			}
			if test.at > minHold {
				qt.Assert(t, tr.Admit(start.Add(test.at), fromAddress("10.0.0.2")).Probe, qt.IsTrue)
				qt.Assert(t, tr.Admit(start.Add(test.at), fromAddress("10.0.0.1")).Withheld, qt.IsTrue)
			}
			answer()
			now = start.Add(test.at + revokeTime)
			tr.Writes(now)
			tr.Judge(now.Add(judgeInterval))
			qt.Assert(t, tr.Admit(now, fromAddress("10.0.0.2")).Withheld, qt.IsFalse)
			a := tr.Admit(now, fromAddress("10.0.0.1"))
			qt.Assert(t, a.Withheld || a.Probe, qt.IsTrue)
		})
	}
}

// reportOf returns the reports of an entry on the break of a request at start.
func reportOf(entry, upstream string, r *Request) fighollow.Object {
	value, err := json.Marshal(Reports(start, []Break{{At: start, SentAt: start, Service: r.Service, Upstream: upstream, Fingerprints: r.fingerprints}}))
	if err != nil {
		panic(err)
	}
	return fighollow.Object{Name: entry, Version: 7, Value: value}
}

// Guards against sound requests that are blamed because their streams broke off with engines that others crashed.
func TestStreamsThatHadGoneOnAreNoEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		begun time.Duration // before the break
		want  int
	}{
		"longBefore":  {2 * time.Second, 0},
		"justBefore":  {100 * time.Millisecond, 1},
		"revocable":   {revokeTime - time.Millisecond, 1},
		"irrevocable": {revokeTime, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New("e", 48)
			for i := range 3 {
				tr.Interrupted(start.Add(time.Duration(i)*time.Second), fmt.Sprint("e", i), prompt(uint64(i), bad), 3*time.Second, c.begun)
			}
			qt.Assert(t, tr.Judge(start.Add(5*time.Second)), qt.HasLen, c.want)
		})
	}
}

// Guards against a part that is taken for sound because another engine that it crashes had just begun to answer.
func TestEachAnswerIsRevokedByTheCrashOfItsEngine(t *testing.T) {
	tr := New("e", 48)
	for i := range 3 {
		at, engine := start.Add(time.Duration(i)*400*time.Millisecond), fmt.Sprint("e", i)
		tr.Answered(at, engine, prompt(uint64(i), bad))
		if i > 0 {
			tr.Interrupted(at.Add(10*time.Millisecond), fmt.Sprint("e", i-1), prompt(uint64(i-1), bad), time.Second, 410*time.Millisecond)
		}
	}
	tr.Interrupted(start.Add(1210*time.Millisecond), "e2", prompt(2, bad), time.Second, 410*time.Millisecond)
	qt.Assert(t, tr.Judge(start.Add(2*time.Second)), qt.DeepEquals, []Key{{Service: "models", ID: bad}})
}

// Guards against most requests being withheld for a part that they share, while all engines are down and nothing shows that it is sound.
func TestCommonPartIsNotBlamed(t *testing.T) {
	const common = 5
	tr := New("e", 48)
	for i := range 10 {
		tr.Answered(start.Add(-time.Duration(20-i)*time.Second), "x", prompt(uint64(100+i), common))
	}
	for i := range 6 {
		tr.Broke(start.Add(time.Duration(i)*400*time.Millisecond), fmt.Sprint("e", i), prompt(uint64(i), common), tookTime)
	}
	qt.Assert(t, tr.Judge(start.Add(4*time.Second)), qt.HasLen, 0)
}

// Guards against a part that is taken for sound because callers left just after an engine that it crashes had begun to answer.
func TestAbandonedAnswerExoneratesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration // after the answer began
		want int
	}{"atOnce": {100 * time.Millisecond, 1}, "later": {revokeTime, 0}} {
		t.Run(name, func(t *testing.T) {
			tr := New("e", 48)
			for i := range 3 {
				tr.Broke(start.Add(time.Duration(i)*time.Second), fmt.Sprint("e", i), prompt(uint64(i), bad), tookTime)
			}
			r, at := prompt(9, bad), start.Add(2100*time.Millisecond)
			tr.Answered(at, "e3", r)
			tr.Abandoned(at.Add(c.left), "e3", r)
			qt.Assert(t, tr.Judge(start.Add(4*time.Second)), qt.HasLen, c.want)
		})
	}
}
