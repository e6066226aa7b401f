package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func leavingAt(now time.Time) fighollow.Announcement {
	return fighollow.Announcement{SentAt: now, ReceivedAt: now, Leaving: true}
}

func pauseAt(now time.Time, d time.Duration) fighollow.Announcement {
	return fighollow.Announcement{SentAt: now, ReceivedAt: now, Pause: fighollow.Pause{State: fighollow.PauseAsked, Duration: d}}
}

// placePlain places a request for the plain service, and sends it if it finds an upstream.
func placePlain(f *placement.Fleet, now time.Time) (*placement.Attempt, time.Duration, error) {
	q := placement.Query{Phase: fighollow.RequestWhole}
	p := f.Pool(plain)
	c, wait, err := p.Place(now, &q, placement.SLO{Arrived: now, Deadline: now.Add(5 * time.Second)})
	if err != nil {
		return nil, wait, err
	}
	return p.Begin(now, c, q), 0, nil
}

func startedAt(id string, ms int64) fighollow.Upstream {
	u := engine(id)
	u.StartedMs = ms
	return u
}

func isUsed(f *placement.Fleet, now time.Time) bool {
	a, _, err := placePlain(f, now)
	if err == nil {
		f.Pool(plain).End(now, a, placement.Answered)
	}
	return err == nil
}

// Guards against an upstream that is taken for ready again because of what the store says of the run that is leaving.
func TestLeavingOutlastsWhatTheStoreSays(t *testing.T) {
	listed := engine("s-a-1")
	for name, change := range map[string]func(f *placement.Fleet){
		"listedAgain": func(f *placement.Fleet) { f.Put(at(10), listed, 2) },
		"otherState": func(f *placement.Fleet) {
			u := listed
			u.AcceptedOrders, u.Slots = 7, 3
			f.Put(at(10), u, 2)
		},
		"removedAndListed": func(f *placement.Fleet) {
			f.Remove(at(10), "s-a-1", 2)
			f.Put(at(20), listed, 3)
		},
		"expiredAndListed": func(f *placement.Fleet) {
			f.Remove(at(10), "s-a-1", 2)
			isUsed(f, at(5000))
			f.Put(at(60_000), listed, 3)
		},
		"missingInAList": func(f *placement.Fleet) {
			f.Retain(at(10), nil, 2)
			f.Put(at(20), listed, 3)
		},
		"olderCopy": func(f *placement.Fleet) {
			f.BeginEra(at(10))
			f.Put(at(20), listed, fighollow.NewVersion(1, 1))
		},
		"removedAndInAnOlderCopy": func(f *placement.Fleet) {
			f.Remove(at(10), "s-a-1", 2)
			f.BeginEra(at(20))
			f.Put(at(30), listed, fighollow.NewVersion(1, 1))
			f.Put(at(40), listed, fighollow.NewVersion(1, 2))
		},
		"otherServiceAndBack": func(f *placement.Fleet) {
			u := listed
			u.Service = "other"
			f.Put(at(10), u, 2)
			f.Put(at(20), listed, 3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("s-a-1")
			a, _, err := placePlain(f, start)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, f.Pool(plain).ObserveAnnouncement(a, leavingAt(at(5))).Leaving, qt.IsTrue)
			change(f)
			_, _, err = placePlain(f, at(61_000))
			qt.Assert(t, err, qt.ErrorIs, placement.ErrNoUpstream)
			f.Put(at(62_000), startedAt("s-a-1", 2), fighollow.NewVersion(1, 9))
			qt.Assert(t, isUsed(f, at(63_000)), qt.IsTrue)
		})
	}
}

// Guards against an announcement of one run of an upstream that takes the next one out of use.
func TestLateAnswerDoesNotBindTheNextRun(t *testing.T) {
	for name, next := range map[string]fighollow.Upstream{
		"restarted":    startedAt("s-a-1", 2),
		"otherAddress": func() fighollow.Upstream { u := engine("s-a-1"); u.Address = "elsewhere:1"; return u }(),
	} {
		for kind, said := range map[string]fighollow.Announcement{"leaving": leavingAt(at(30)), "pause": pauseAt(at(30), time.Second)} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				f := newFleet("s-a-1")
				a, _, err := placePlain(f, start)
				qt.Assert(t, err, qt.IsNil)
				f.Put(at(20), next, 2)
				f.Pool(plain).ObserveAnnouncement(a, said)
				f.ObserveControl(engine("s-a-1"), said)
				qt.Assert(t, isUsed(f, at(40)), qt.IsTrue)
				f.ObserveControl(next, said)
				qt.Assert(t, isUsed(f, at(50)), qt.IsFalse)
			})
		}
	}
}

// Guards against a leaving upstream that is forgotten because many others announced something before the store dropped it.
func TestLeavingIsRememberedFromTheRemovalOn(t *testing.T) {
	f := newFleet("s-a-1")
	f.ObserveControl(engine("s-a-1"), leavingAt(start))
	for i := range 5000 {
		f.ObserveControl(engine(fmt.Sprintf("s-b-%d", i)), leavingAt(start))
	}
	f.Remove(at(10), "s-a-1", 10)
	f.ObserveControl(engine("s-b-5001"), leavingAt(start))
	f.Put(at(20), engine("s-a-1"), 11)
	qt.Assert(t, isUsed(f, at(30)), qt.IsFalse)
}

// Guards against an answer that arrives after the upstream was dropped and is forgotten when the store lists the run again.
func TestLateAnswerBindsADroppedRun(t *testing.T) {
	f := newFleet("s-a-1")
	a, _, err := placePlain(f, start)
	qt.Assert(t, err, qt.IsNil)
	f.Remove(at(10), "s-a-1", 2)
	qt.Assert(t, isUsed(f, at(5000)), qt.IsFalse)
	f.Pool(plain).ObserveAnnouncement(a, leavingAt(at(5010)))
	f.Put(at(5020), engine("s-a-1"), 3)
	qt.Assert(t, isUsed(f, at(5030)), qt.IsFalse)
}

// Guards against memory that grows with each upstream that has left.
func TestRememberedAnnouncementsAreBounded(t *testing.T) {
	f := newFleet()
	const upstreams = 6000
	for i := range upstreams {
		u := engine(fmt.Sprintf("s-a-%d", i+1))
		f.ObserveControl(u, pauseAt(at(i), time.Hour))
	}
	paused := 0
	for i := range upstreams {
		if f.IsPaused(at(upstreams), engine(fmt.Sprintf("s-a-%d", i+1))) {
			paused++
		}
	}
	qt.Assert(t, paused >= 2048 && paused <= 4096, qt.IsTrue, qt.Commentf("%d", paused))
	qt.Assert(t, f.IsPaused(at(upstreams), engine(fmt.Sprintf("s-a-%d", upstreams-2047))), qt.IsTrue)
}

// Guards against a pause that is cut short by the store, by a shorter one that is asked for later, or by an answer from before it.
func TestPauseLastsUntilItsEnd(t *testing.T) {
	f := newFleet("s-a-1")
	p := f.Pool(plain)
	early, _, _ := placePlain(f, start)
	late, _, _ := placePlain(f, start)
	refused, _, _ := placePlain(f, start)
	qt.Assert(t, p.ObserveAnnouncement(refused, pauseAt(at(10), 4*time.Second)).PausedUntil, qt.Equals, at(4010))
	p.End(at(10), refused, placement.Full)
	p.End(at(20), early, placement.Answered)
	qt.Assert(t, p.ObserveAnnouncement(late, pauseAt(at(30), time.Second)), qt.Equals, placement.AnnouncementChange{})
	p.End(at(30), late, placement.Full)
	f.Remove(at(40), "s-a-1", 2)
	qt.Assert(t, isUsed(f, at(3000)), qt.IsFalse)
	f.Put(at(3010), engine("s-a-1"), 3)
	_, wait, err := placePlain(f, at(3510))
	qt.Assert(t, err, qt.ErrorIs, placement.ErrPaused)
	qt.Assert(t, wait, qt.Equals, 500*time.Millisecond)
	qt.Assert(t, isUsed(f, at(4009)), qt.IsFalse)
	qt.Assert(t, isUsed(f, at(4010)), qt.IsTrue)
}

// Guards against a pause that counts as a refusal for lack of capacity, after which the upstream is avoided for longer.
func TestPauseIsNoFailure(t *testing.T) {
	f := newFleet("s-a-1", "s-b-1")
	p := f.Pool(plain)
	for i := range 10 {
		now := at(1000 * i)
		a, _, err := placePlain(f, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.UpstreamID, qt.Equals, "s-a-1", qt.Commentf("round %d", i))
		p.ObserveAnnouncement(a, pauseAt(now, 500*time.Millisecond))
		qt.Assert(t, p.End(now, a, placement.Full), qt.Equals, time.Duration(0))
		q := placement.Query{Phase: fighollow.RequestWhole, NoRetry: true}
		c, _ := p.Choose(now.Add(600*time.Millisecond), q)
		qt.Assert(t, c.Upstream.ID, qt.Equals, "s-a-1")
	}
}

// Guards against an absurd pause that takes an upstream out of use for ever, and against more than two requests within ten minutes.
func TestLongPauseIsBounded(t *testing.T) {
	f := newFleet("s-a-1")
	p := f.Pool(plain)
	var sent []time.Time
	for s := range 1200 {
		now := start.Add(time.Duration(s) * time.Second)
		a, _, err := placePlain(f, now)
		if err != nil {
			qt.Assert(t, err, qt.ErrorIs, placement.ErrPaused)
			continue
		}
		sent = append(sent, now)
		p.ObserveAnnouncement(a, pauseAt(now, 1<<62))
		p.End(now, a, placement.Full)
	}
	qt.Assert(t, len(sent), qt.Equals, 4, qt.Commentf("%v", sent))
	qt.Assert(t, sent[3].Sub(sent[0]), qt.Equals, 15*time.Minute)
}

// Guards against a burst of attempts at the end of a pause, before it is known whether the upstream takes work again.
func TestFirstAttemptsAfterAPauseAreFew(t *testing.T) {
	f := newFleet("s-a-1")
	p := f.Pool(plain)
	first, _, _ := placePlain(f, start)
	p.ObserveAnnouncement(first, pauseAt(start, time.Second))
	p.End(start, first, placement.Full)
	burst := func(now time.Time) (sent []*placement.Attempt) {
		for range 50 {
			if a, wait, err := placePlain(f, now); err == nil {
				sent = append(sent, a)
			} else {
				qt.Assert(t, err, qt.ErrorIs, placement.ErrPaused)
				qt.Assert(t, wait > 0, qt.IsTrue)
			}
		}
		return sent
	}
	trials := burst(at(1000))
	qt.Assert(t, trials, qt.HasLen, 2)
	qt.Assert(t, burst(at(1050)), qt.HasLen, 0)
	p.End(at(1100), trials[0], placement.Failed)
	trials = append(trials, burst(at(1100))...)
	qt.Assert(t, trials, qt.HasLen, 3)
	p.Withdraw("s-a-1")
	qt.Assert(t, burst(at(1150)), qt.HasLen, 1)
	p.End(at(1200), trials[1], placement.Answered)
	qt.Assert(t, burst(at(1200)), qt.HasLen, 50)
}

// Guards against an answer to a request from before a pause that opens the upstream to all at its end.
func TestAnswerFromBeforeThePauseEndsNoTrial(t *testing.T) {
	f := newFleet("s-a-1")
	p := f.Pool(plain)
	old, _, _ := placePlain(f, start)
	refused, _, _ := placePlain(f, start)
	p.ObserveAnnouncement(refused, pauseAt(at(10), time.Second))
	p.End(at(10), refused, placement.Full)
	p.End(at(1500), old, placement.Answered)
	sent := 0
	for range 10 {
		if _, _, err := placePlain(f, at(1600)); err == nil {
			sent++
		}
	}
	qt.Assert(t, sent, qt.Equals, 2)
}

// Guards against callers that are all told to return at the same time, and not at the end of the first pause.
func TestCallersReturnAfterTheFirstPauseAtDifferentTimes(t *testing.T) {
	f := newFleet("s-a-1", "s-a-2")
	f.ObserveControl(engine("s-a-1"), pauseAt(start, 3*time.Second))
	f.ObserveControl(engine("s-a-2"), pauseAt(start, 2*time.Second))
	waits := make(map[time.Duration]bool)
	for range 100 {
		_, wait, err := placePlain(f, start)
		qt.Assert(t, err, qt.ErrorIs, placement.ErrPaused)
		qt.Assert(t, wait >= 2*time.Second && wait < 3*time.Second, qt.IsTrue)
		waits[wait] = true
	}
	qt.Assert(t, waits, qt.HasLen, 100)
}

// Guards against prompts that are computed while all engines that could decode them want no work.
func TestPromptIsRefusedWhileDecodeEnginesDoNotTakeIt(t *testing.T) {
	for want, said := range map[error]fighollow.Announcement{
		placement.ErrPaused: pauseAt(start, 2*time.Second), placement.ErrNoUpstream: leavingAt(start),
	} {
		f := newFleet("p-a-1", "d-a-1")
		f.ObserveControl(engine("d-a-1"), said)
		_, _, err := placeQuery(f, at(100), prompt(1, 2))
		qt.Assert(t, err, qt.ErrorIs, want)
	}
}
