package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

var epoch = time.Unix(1_767_225_600, 0)

// datagram is a message on its way.
type datagram struct {
	due      time.Time
	from, to int
	data     []byte
}

// fleet is entries in front of engines. Each entry knows the backlog of each engine.
type fleet struct {
	now        time.Time
	random     *rand.Rand
	entries    []*testEntry
	names      map[string]int
	workspaces []string
	travelling []datagram
	datagrams  int
	delay      time.Duration
	lost       func(d datagram) bool
	forge      func(d datagram, m *message) // changes a message on its way
	free       []time.Time                  // when engines end what they have
	states     map[int]float64              // by which factor workspaces state other engine time than they need
	ranked     bool                         // a third of the requests are more urgent than the others
	computed   []computed                   // prompts whose results are on their way
}

// testEntry is the Transport of an entry.
type testEntry struct {
	f      *fleet
	number int
	policy *Policy
}

func (e *testEntry) Subscribe(peers.Topic, func(string, []byte)) {}

func (e *testEntry) Send(_ peers.Topic, data []byte, names ...string) {
	for _, name := range names {
		e.f.datagrams++
		e.f.travelling = append(e.f.travelling, datagram{e.f.now.Add(e.f.delay), e.number, e.f.names[name], data})
	}
}

func (e *testEntry) DataCentres() map[string]string {
	out := make(map[string]string)
	for name, number := range e.f.names {
		if number != e.number {
			out[name] = string(rune('a' + number%3))
		}
	}
	return out
}

func newFleet(entries, engines, workspaces int) *fleet {
	f := &fleet{now: epoch, random: rand.New(rand.NewPCG(1, 2)), names: make(map[string]int), delay: 2 * time.Millisecond}
	for i := range workspaces {
		f.workspaces = append(f.workspaces, fmt.Sprintf("workspace-%02d", i))
	}
	for range engines {
		f.free = append(f.free, epoch)
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%02d", i)
		f.names[name] = i
		e := &testEntry{f: f, number: i}
		opts := Options{Self: name, DataCentre: string(rune('a' + i%3)), Workspaces: func() []string { return f.workspaces }, Services: func() []string { return []string{"hule"} }}
		e.policy = New(epoch, opts, e, zerolog.Nop())
		e.policy.round = uint32(1000 * i)
		f.entries = append(f.entries, e)
	}
	return f
}

// deliver hands over what has arrived.
func (f *fleet) deliver() {
	var later []datagram
	for _, d := range f.travelling {
		if d.due.After(f.now) {
			later = append(later, d)
			continue
		}
		if f.lost != nil && f.lost(d) {
			continue
		}
		if f.forge != nil {
			if m, err := decodeMessage(d.data); err == nil {
				f.forge(d, m)
				d.data = m.encode()
			}
		}
		f.entries[d.to].policy.receive(f.now, fmt.Sprintf("entry-%02d", d.from), d.data)
	}
	f.travelling = later
	f.computed = slices.DeleteFunc(f.computed, func(c computed) bool {
		ended := !c.end.After(f.now)
		if ended {
			f.entries[c.entry].policy.Computed(f.now, c.request, f.now.Sub(c.sent))
		}
		return ended
	})
}

const (
	testTarget   = time.Second
	testDeadline = 4 * time.Second
)

// outcome is what the callers of a workspace got, in milliseconds of engine time.
type outcome struct {
	offered, admitted, onTime float64
	ranks                     [2]fraction          // admitted
	slots                     [worstSlots]fraction // on time, by two seconds
}

// fraction is what some requests got of what they asked for.
type fraction struct{ got, asked float64 }

// computed is a prompt that an engine computes.
type computed struct {
	entry   int
	request fighollow.ShareRequest
	sent    time.Time
	end     time.Time
}

// worstSlots is the number of intervals of two seconds that are told apart.
const worstSlots = 15

// serve serves a request, with or without the policy.
func (f *fleet) serve(entry, workspace int, id string, work time.Duration, shares bool, o *outcome) {
	engine := 0
	for i, t := range f.free {
		if t.Before(f.free[engine]) {
			engine = i
		}
	}
	start := f.now
	if f.free[engine].After(start) {
		start = f.free[engine]
	}
	stated, rank := work, 0
	if by, ok := f.states[workspace]; ok {
		stated = time.Duration(by * float64(work))
	}
	if f.ranked && drawOf(id+"/rank") > 1./3 {
		rank = 1
	}
	expected := start.Add(work).Sub(f.now)
	ms := float64(work) / float64(time.Millisecond)
	slot := &o.slots[int(f.now.Sub(epoch)/(2*time.Second))%worstSlots]
	o.offered += ms
	o.ranks[rank].asked += ms
	slot.asked += ms
	refused := expected > testDeadline
	if shares {
		r := fighollow.ShareRequest{
			Service: "hule", Workspace: f.workspaces[workspace], ID: id, Rank: rank, Work: stated, Late: expected > 2*testTarget,
			Wait: float64(start.Sub(f.now)) / float64(testTarget), Refused: refused,
		}
		refused = !f.entries[entry].policy.Decide(f.now, r).Admitted || refused
		if !refused {
			f.computed = append(f.computed, computed{entry, r, f.now, start.Add(work)})
		}
	}
	if refused {
		return
	}
	f.free[engine] = start.Add(work)
	o.admitted += ms
	o.ranks[rank].got += ms
	if expected <= testTarget {
		o.onTime += ms
		slot.got += ms
	}
}

// play offers demand (milliseconds of engine time a second, by workspace) for a while. It returns what each workspace got, the first third
// aside.
func (f *fleet) play(d time.Duration, demand []float64, entryOf func(workspace int) int, shares bool) []outcome {
	const step = 10 * time.Millisecond
	const meanMs = 0.8*40 + 0.2*300
	out := make([]outcome, len(demand))
	began, requests := f.now, 0
	for ; f.now.Sub(began) < d; f.now = f.now.Add(step) {
		f.deliver()
		for i, e := range f.entries {
			if shares && (f.now.Sub(epoch)/step)%25 == time.Duration(i%25) {
				e.policy.Tick(f.now)
			}
		}
		for w, rate := range demand {
			for n := f.poisson(rate * step.Seconds() / meanMs); n > 0; n-- {
				requests++
				work := 40 * time.Millisecond
				if f.random.IntN(5) == 0 {
					work = 300 * time.Millisecond
				}
				o := &out[w]
				if f.now.Sub(began) < d/3 {
					o = &outcome{}
				}
				f.serve(entryOf(w), w, fmt.Sprintf("request-%d", requests), work, shares, o)
			}
		}
	}
	return out
}

// poisson draws a number of arrivals.
func (f *fleet) poisson(mean float64) int {
	n, product := 0, f.random.Float64()
	for limit := math.Exp(-mean); product > limit; n++ {
		product *= f.random.Float64()
	}
	return n
}

// Guards against a workspace that takes the engine time of the others, against shares that are wrong when messages are late, lost or false,
// and against engine time that is left unused. The baseline has no shares: who comes first is served first.
func TestLoad(t *testing.T) {
	const entries, engines, workspaces, heavy = 26, 20, 80, 7
	const capacity = 1000.0 * engines
	sum := float64(workspaces - 1 + 10)
	first := newFleet(entries, engines, workspaces).entries[0].policy.collectors(newFleet(entries, engines, workspaces).entries[0].DataCentres())[0]
	type variant struct {
		name    string
		one     bool // the heavy workspace uses one entry only
		shares  bool
		load    float64 // relative to the capacity
		disturb func(f *fleet)
		small   int // workspaces that send a fifth; the columns of the others have only these
	}
	isLiar := func(d datagram) bool { return fmt.Sprintf("entry-%02d", d.from) == "entry-11" }
	variants := []variant{
		{"first come, first served; all entries", false, false, 2, nil, 0},
		{"shares; all entries", false, true, 2, nil, 0},
		{"first come, first served; one entry", true, false, 2, nil, 0},
		{"shares; one entry", true, true, 2, nil, 0},
		{"shares; messages take 3 s", false, true, 2, func(f *fleet) { f.delay = 3 * time.Second }, 0},
		{"shares; messages take 6 s", false, true, 2, func(f *fleet) { f.delay = 6 * time.Second }, 0},
		{"shares; a third of the messages is lost", false, true, 2, func(f *fleet) {
			f.lost = func(datagram) bool { return f.random.IntN(3) == 0 }
		}, 0},
		{"shares; no message arrives", false, true, 2, func(f *fleet) { f.lost = func(datagram) bool { return true } }, 0},
		{"shares; first collector fails", false, true, 2, func(f *fleet) {
			f.lost = func(d datagram) bool {
				return f.now.Sub(epoch) > 20*time.Second && (d.from == f.names[first] || d.to == f.names[first])
			}
		}, 0},
		{"shares; an entry reports 1,000 s a second of each", false, true, 2, func(f *fleet) {
			f.forge = func(d datagram, m *message) {
				if !isLiar(d) || m.Kind != kindReport || len(m.Services) == 0 {
					return
				}
				s := &m.Services[0]
				s.Late, s.Workspaces = maxTenths, nil
				for _, w := range f.workspaces[:20] { // what fits into a datagram
					s.Workspaces = append(s.Workspaces, workspaceMessage{Name: w, Offered: maxTenths, Ranks: []byte{255}})
				}
			}
		}, 0},
		{"shares; the collector says that nobody has a share", false, true, 2, func(f *fleet) {
			f.forge = func(d datagram, m *message) {
				if fmt.Sprintf("entry-%02d", d.from) != first || m.Kind != kindSummary {
					return
				}
				for i := range m.Services {
					m.Services[i].State, m.Services[i].Fair, m.Services[i].Floor, m.Services[i].Workspaces = stateScarce, 0, 0, nil
				}
			}
		}, 0},
		{"first come, first served; 40 that send a fifth", false, false, 2, nil, 40},
		{"shares; 40 that send a fifth", false, true, 2, nil, 40},
		{"first come, first served; not scarce", false, false, 0.8, nil, 0},
		{"shares; not scarce", false, true, 0.8, nil, 0},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-52s %7s %24s %7s %24s %7s %10s\n", "", "heavy", "others admitted", "all", "others' on-time share", "engines", "datagrams")
	fmt.Fprintf(&b, "%-52s %7s %24s %7s %24s %7s %10s\n", "", "", "least  mean  most", "", "", "used", "a second")
	rows := make([]string, len(variants))
	var plays sync.WaitGroup
	play := func(i int) {
		v := &variants[i]
		f := newFleet(entries, engines, workspaces)
		if v.disturb != nil {
			v.disturb(f)
		}
		demand := make([]float64, workspaces)
		for w := range demand {
			demand[w] = v.load * capacity / (sum - 0.8*float64(v.small))
			if w >= workspaces-v.small {
				demand[w] /= 5
			}
		}
		demand[heavy] *= 10
		const length = 45 * time.Second
		got := f.play(length, demand, func(w int) int {
			if v.one && w == heavy {
				return 3
			}
			return f.random.IntN(entries)
		}, v.shares)
		var all, others outcome
		least, most := 1.0, 0.0
		for w, o := range got {
			all.offered, all.admitted = all.offered+o.offered, all.admitted+o.admitted
			if w != heavy && (v.small == 0 || w >= workspaces-v.small) {
				others.offered, others.admitted, others.onTime = others.offered+o.offered, others.admitted+o.admitted, others.onTime+o.onTime
				least, most = min(least, o.admitted/o.offered), max(most, o.admitted/o.offered)
			}
		}
		for w, o := range got {
			if v.shares && o.admitted/o.offered < 0.25*all.admitted/all.offered {
				t.Errorf("%s: workspace %d gets less than a quarter of what is admitted over all", v.name, w)
			}
		}
		rows[i] = fmt.Sprintf("%-52s %7.2f %12.2f %5.2f %5.2f %7.2f %24.2f %7.2f %10.0f\n", v.name, got[heavy].admitted/got[heavy].offered,
			least, others.admitted/others.offered, most, all.admitted/all.offered, others.onTime/others.offered,
			all.admitted/capacity/length.Seconds()*1.5, float64(f.datagrams)/length.Seconds())
	}
	for i := range variants {
		plays.Go(func() { play(i) })
	}
	plays.Wait()
	b.WriteString(strings.Join(rows, ""))
	goldie.New(t).Assert(t, "load", []byte(b.String()))
}

// Guards against messages whose number or size grows beyond what docs/design/fair-shares.md states, while a service is scarce.
func TestCost(t *testing.T) {
	const headers = 28 + 8 // of IP, UDP and peers, in bytes
	for _, c := range []struct {
		entries, engines, workspaces int
		perEntry, perCollector       float64 // bounds in bytes a second
	}{{31, 10, 87, 4000, 300_000}, {350, 90, 270, 4000, 1_200_000}} {
		f := newFleet(c.entries, c.engines, c.workspaces)
		demand := make([]float64, c.workspaces)
		for w := range demand {
			demand[w] = 2 * 1000 * float64(c.engines) / float64(c.workspaces) // mean prompts of 92 ms
		}
		counting := false
		sent, received := make([]float64, c.entries), make([]float64, c.entries)
		datagrams := make([]float64, c.entries)
		f.lost = func(d datagram) bool {
			if counting {
				sent[d.from] += float64(len(d.data) + headers)
				received[d.to] += float64(len(d.data) + headers)
				datagrams[d.from]++
			}
			return false
		}
		anywhere := func(int) int { return f.random.IntN(c.entries) }
		f.play(5*time.Second, demand, anywhere, true)
		counting = true
		const seconds = 4
		f.play(seconds*time.Second, demand, anywhere, true)
		first := f.entries[0].policy.collectors(f.entries[0].DataCentres())[0]
		isCollector := make(map[int]bool)
		for _, name := range f.entries[0].policy.collectors(f.entries[0].DataCentres()) {
			isCollector[f.names[name]] = true
		}
		var most, mostReceived, mostDatagrams, collectorReceived float64
		for i := range sent {
			if isCollector[i] {
				collectorReceived = max(collectorReceived, received[i])
				continue
			}
			most, mostReceived, mostDatagrams = max(most, sent[i]), max(mostReceived, received[i]), max(mostDatagrams, datagrams[i])
		}
		sender := f.names[first]
		t.Logf("%d entries: an entry sends %.1f datagrams/s, %.0f B/s and receives %.0f B/s; a collector receives %.0f B/s; the first sends %.0f datagrams/s, %.0f B/s",
			c.entries, mostDatagrams/seconds, most/seconds, mostReceived/seconds, collectorReceived/seconds, datagrams[sender]/seconds, sent[sender]/seconds)
		if most > c.perEntry*seconds || mostReceived > c.perEntry*seconds || sent[sender] > c.perCollector*seconds || sent[sender] == 0 {
			t.Errorf("%d entries: too much, or nothing, is sent", c.entries)
		}
	}
}
