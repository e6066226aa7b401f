package fairshare

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Guards against a refusal of a workspace at or below the fair rate, against a workspace that gets less than a quarter of what is admitted
// over all, against refusals when the capacity suffices, and against a division of more or less than the capacity.
func TestDivisionIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offered := rapid.SliceOfN(rapid.Float64Range(0.1, 1e5), 1, 100).Draw(t, "offered")
		sum := 0.0
		measured := make(map[string]rates)
		for i, r := range offered {
			sum += r
			shares := rankShares{rapid.Float64Range(0, 1).Draw(t, "urgent"), 0, 1}
			measured[fmt.Sprint(i)] = rates{offered: r, ranks: shares.normalized()}
		}
		capacity := rapid.Float64Range(0, 1.5).Draw(t, "capacity") * sum
		v := &verdict{allocate(measured, capacity, capacity)}
		total := 0.0
		for name, r := range measured {
			p := probability(v.shares[name].rate, v.fair, v.floor)
			total += p * r.offered
			if r.offered <= v.fair || capacity >= sum {
				if p != 1 {
					t.Fatalf("%v of a workspace that offers %v, fair rate %v", p, r.offered, v.fair)
				}
			}
			if p < 0.25*min(1, capacity/sum) {
				t.Fatalf("%v of a workspace, %v over all", p, capacity/sum)
			}
			// What is admitted over all ranks is p, and a less urgent rank gets something only if the more urgent gets all.
			const draws = 200
			var admitted [maxRanks]float64
			for rank := range admitted {
				for i := range draws {
					if v.admits(name, rates{}, rank, (float64(i)+0.5)/draws) {
						admitted[rank] += 1.0 / draws
					}
				}
			}
			got := 0.0
			for rank, f := range r.ranks {
				got += f * admitted[rank]
			}
			if got-p > 0.01 || p-got > 0.01 {
				t.Fatalf("%v is admitted of %v, ranks %v", got, p, r.ranks)
			}
			if p < 1 && r.ranks[0] > 0 && admitted[2] > 0 && admitted[0] < 0.99 {
				t.Fatalf("rank 2 gets %v, rank 0 %v", admitted[2], admitted[0])
			}
		}
		if expected := min(capacity, sum); total < expected-1e-6*sum || total > expected+1e-6*sum {
			t.Fatalf("%v is divided, of %v", total, expected)
		}
	})
}

// Guards against refusals, messages and log events while nothing is late, against refusals of requests without a workspace or in a
// configuration without workspaces, and against state that stays after scarcity has ended.
func TestNothingHappensWithoutScarcity(t *testing.T) {
	f := newFleet(3, 1, 4)
	demand := []float64{500, 10, 10, 10}
	anywhere := func(int) int { return f.random.IntN(3) }
	f.play(10*time.Second, demand, anywhere, true)
	qt.Assert(t, f.datagrams, qt.Equals, 0)

	demand[0] = 5000
	f.play(20*time.Second, demand, anywhere, true)
	p := f.entries[0].policy
	qt.Assert(t, f.datagrams > 0, qt.IsTrue)
	qt.Assert(t, p.refused.Count() > 0, qt.IsTrue)
	r := fighollow.ShareRequest{Service: "hule", Work: time.Second, ID: "r"}
	for range 1000 {
		qt.Assert(t, p.Decide(f.now, r).Admitted, qt.IsTrue) // without a workspace
	}

	demand[0] = 300
	f.play(60*time.Second, demand, anywhere, true)
	sent := f.datagrams
	refused := p.refused.Count()
	f.play(5*time.Second, demand, anywhere, true)
	qt.Assert(t, f.datagrams, qt.Equals, sent)
	qt.Assert(t, p.refused.Count(), qt.Equals, refused)
	qt.Assert(t, len(p.reports)+len(p.summaries), qt.Equals, 0)

	demand[0] = 5000
	got := newFleet(3, 1, 4)
	for _, e := range got.entries {
		e.policy.opts.Workspaces = func() []string { return nil }
	}
	got.play(10*time.Second, demand, anywhere, true)
	qt.Assert(t, got.datagrams, qt.Equals, 0)
	for _, e := range got.entries {
		qt.Assert(t, e.policy.refused.Count(), qt.Equals, int64(0))
	}
}

// Guards against a panic or unbounded state when messages are damaged, and against statements that are absurd.
func TestDamagedMessagesAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFleet(3, 1, 1).entries[0].policy
		m := message{Kind: kindSummary, Parts: 1, Services: []serviceMessage{{Name: "hule", State: stateScarce, Fair: 3, Floor: 0.5,
			Workspaces: []workspaceMessage{{Name: "w", Offered: 10, Ranks: []byte{200, 55}}}}}}
		data := m.encode()
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		p.receive(epoch, "entry-01", data[:rapid.IntRange(0, len(data)).Draw(t, "length")])
		p.Tick(epoch)
		p.Decide(epoch, fighollow.ShareRequest{Service: "hule", Workspace: "w", ID: "r", Rank: 9, Work: time.Hour})
	})
	bad := []message{
		{Kind: kindReport, Parts: 1, Services: []serviceMessage{{Name: "s", Workspaces: []workspaceMessage{{Name: "w", Offered: 1, Admitted: 2}}}}},
		{Kind: kindReport, Parts: maxReportParts + 1},
		{Kind: kindSummary, Parts: 1, Services: []serviceMessage{{Name: "s", State: stateScarce, Floor: 2}}},
		{Kind: kindSummary, Parts: 1, Services: []serviceMessage{{Name: "s", State: stateScarce, Fair: maxTenths + 1}}},
	}
	for _, m := range bad {
		_, err := decodeMessage(m.encode())
		qt.Assert(t, err, qt.ErrorIs, errMessage)
	}
}

// Guards against datagrams that are too long, and against a division that is lost when it needs several.
func TestSummariesOfManyWorkspacesArrive(t *testing.T) {
	measured := make(map[string]rates)
	for i := range 1000 {
		measured[fmt.Sprintf("workspace-with-a-long-name-%d", i)] = rates{offered: 1000 + float64(i), ranks: rankShares{0.2, 0.2, 0.2, 0.2, 0.2}}
	}
	a := allocate(measured, 1000, 1000)
	p := newFleet(2, 1, 1).entries[0].policy
	parts := split(kindSummary, 7, []serviceMessage{a.message("hule", 3)})
	for i := range parts {
		data := parts[i].encode()
		qt.Assert(t, len(data) <= peers.MaxData, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
		p.receive(epoch, "entry-01", data)
	}
	_, got := p.summaries["entry-01"].service(epoch, "hule")
	qt.Assert(t, len(got.shares), qt.Equals, 1000)
	late := split(kindSummary, 8, []serviceMessage{a.message("hule", 3)})
	p.receive(epoch, "entry-01", late[0].encode()) // the others are lost
	_, got = p.summaries["entry-01"].service(epoch, "hule")
	qt.Assert(t, len(got.shares), qt.Equals, 1000)
}

// Guards against memory that grows with the names that callers or other entries use.
func TestMemoryIsBounded(t *testing.T) {
	f := newFleet(1, 1, 1)
	p := f.entries[0].policy
	for i := range 3 * maxCells {
		p.Decide(epoch, fighollow.ShareRequest{Service: fmt.Sprint("s", i%100), Workspace: fmt.Sprint("w", i), ID: "r", Work: time.Second})
	}
	cells := 0
	for i := range p.rates.shards {
		cells += len(p.rates.shards[i].cells)
	}
	qt.Assert(t, cells <= maxCells, qt.IsTrue)
	qt.Assert(t, len(*p.services.Load()), qt.Equals, maxServices)
	f.now = epoch.Add(time.Minute)
	p.Tick(f.now)
	for i := range p.rates.shards {
		qt.Assert(t, len(p.rates.shards[i].cells), qt.Equals, 0)
	}
}

// Guards against callers that come back at the same time, or before the rate can have fallen.
func TestRetriesAreSpread(t *testing.T) {
	var all []time.Duration
	for i := range 1000 {
		all = append(all, retryAfter(drawOf(fmt.Sprintf("r-%d/retry", i)), minSendInterval))
	}
	slices.Sort(all)
	qt.Assert(t, all[0] >= retryAfterMin && all[999] <= 3*time.Second, qt.IsTrue)
	for i := 100; i < 1000; i += 100 {
		qt.Assert(t, all[i]-all[i-100] < 400*time.Millisecond, qt.IsTrue)
	}
}

func BenchmarkDecide(b *testing.B) {
	const workspaces = 270
	f := newFleet(1, 1, workspaces)
	p := f.entries[0].policy
	measured := make(map[string]rates)
	for i, name := range f.workspaces {
		measured[name] = rates{offered: float64(1 + i), ranks: rankShares{0.5, 0.5}}
	}
	p.service("hule").verdict.Store(&verdict{allocate(measured, 1000, 1000)})
	ids := make([]string, 1024)
	for i := range ids {
		ids[i] = fmt.Sprintf("0192f0c4-7b1e-7e3a-9d3e-%012d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Decide(epoch, fighollow.ShareRequest{Service: "hule", Workspace: f.workspaces[i%workspaces], ID: ids[i%1024], Work: time.Millisecond, Late: true, Wait: 1})
	}
}

// Guards against scarcity that begins and ends again and again where the demand is close to what the engines can do.
func TestScarcityDoesNotFlap(t *testing.T) {
	for _, load := range []float64{0.95, 1, 1.1} {
		f := newFleet(5, 10, 20)
		var log bytes.Buffer
		for _, e := range f.entries {
			e.policy.log = zerolog.New(&log)
		}
		demand := make([]float64, len(f.workspaces))
		for w := range demand {
			demand[w] = load * 10_000 / float64(len(demand))
		}
		f.play(time.Minute, demand, func(int) int { return f.random.IntN(5) }, true)
		began := strings.Count(log.String(), event.ScarcityBegan.Name) / len(f.entries)
		qt.Assert(t, began <= 1, qt.IsTrue, qt.Commentf("began %d times in a minute at load %v", began, load))
		t.Logf("load %v: began %d times at each entry", load, began)
	}
}

// countedTransport counts the questions for peers, one of which each step asks that is not idle.
type countedTransport struct{ asked atomic.Int64 }

func (*countedTransport) Subscribe(peers.Topic, func(string, []byte)) {}
func (*countedTransport) Send(peers.Topic, []byte, ...string)         {}

func (t *countedTransport) DataCentres() map[string]string {
	t.asked.Add(1)
	return map[string]string{"other": "a"}
}

// Guards against wake-ups and work of a deployment without workspaces, or without late requests.
func TestIdlePolicyDoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		transport := &countedTransport{}
		p := New(time.Now(), Options{
			Self: "self", DataCentre: "a", Workspaces: func() []string { return []string{"w"} }, Services: func() []string { return []string{"s"} },
		}, transport, zerolog.Nop())
		go p.Run(ctx)
		// Steps that are due at the same moment as the check are run before it.
		sleep := func(d time.Duration) {
			time.Sleep(d)
			synctest.Wait()
		}
		sleep(time.Hour)
		qt.Check(t, transport.asked.Load(), qt.Equals, int64(0))
		decide := func(late bool) {
			p.Decide(time.Now(), fighollow.ShareRequest{Service: "s", Workspace: "w", ID: "r", Work: time.Millisecond, Late: late})
		}
		decide(false)
		sleep(time.Hour)
		qt.Check(t, transport.asked.Load(), qt.Equals, int64(1), qt.Commentf("the first step"))
		decide(true)
		sleep(2 * time.Second)
		asked := transport.asked.Load()
		qt.Check(t, asked >= 7, qt.IsTrue, qt.Commentf("%d steps", asked))
		cancel()
		synctest.Wait()
	})
}
