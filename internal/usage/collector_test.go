package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/internal/roster"
)

const collectedWindow = 5 * time.Second

// datagram is a message on its way.
type datagram struct {
	from, to string
	data     []byte
}

// network is a Transport for each of its entries.
type network struct {
	now     time.Time
	mu      sync.Mutex
	entries map[string]*process // running ones; nil for one that was killed
	sent    []datagram
	unread  string         // process that has not read yet which other entries there are
	deliver func(datagram) // instead of sent, if it is set
}

// process is the process of an entry.
type process struct {
	net       *network
	name      string
	clock     *Clock
	counter   *Counter
	collector *Collector
	handle    func(from string, data []byte)
	registry  metrics.Registry
}

func (p *process) Subscribe(_ peers.Topic, handle func(from string, data []byte)) { p.handle = handle }

func (p *process) Send(_ peers.Topic, data []byte, names ...string) {
	for _, to := range names {
		d := datagram{p.name, to, data}
		if p.net.deliver != nil {
			p.net.deliver(d)
			continue
		}
		p.net.sent = append(p.net.sent, d)
	}
}

func (p *process) Known() bool {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return p.net.unread != p.name
}

func (p *process) DataCentres() map[string]string {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	out := make(map[string]string)
	if p.net.unread == p.name {
		return out
	}
	for name := range p.net.entries {
		if name != p.name {
			out[name] = "dc"
		}
	}
	return out
}

// start starts an entry, or starts it again.
func (n *network) start(name string, off time.Duration, holder func() string) *process {
	p := &process{net: n, name: name, clock: NewClock((&testClocks{now: &n.now, off: off}).read), registry: metrics.NewRegistry()}
	p.counter = NewCounter(collectedWindow, p.clock)
	opts := CollectorOptions{Self: name, DataCentre: "dc", Window: collectedWindow, Holder: holder, Registry: p.registry}
	p.collector = NewCollector(opts, p.clock, p.counter, p, zerolog.Nop())
	n.entries[name] = p
	return p
}

// receive hands a datagram over.
func (n *network) receive(d datagram) {
	if p := n.entries[d.to]; p != nil {
		p.collector.receive(n.now, d.from, d.data)
	}
}

// counted is the truth about a process.
type counted struct {
	sure, unsure, fresh map[counterKey]int64 // in messages that arrive; only in a lost message; in none
	lostLast            bool                 // its last message was lost
}

// Guards against reports that are too high, or too low by more than what a killed process had counted since its last message that arrived,
// when messages are lost (never two successive ones of a process), repeated and reordered, and processes are killed and restarted with
// clocks that are off by seconds.
func TestCountsSurvive(t *testing.T) {
	const holder = "entry-0"
	rapid.Check(t, func(t *rapid.T) {
		net := &network{now: epoch, entries: make(map[string]*process)}
		begin := func(name string) *process {
			off := time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "off ms")) * time.Millisecond
			return net.start(name, off, func() string { return holder })
		}
		var names []string
		truth := make(map[*process]*counted)
		add := func(p *process) {
			truth[p] = &counted{make(map[counterKey]int64), make(map[counterKey]int64), make(map[counterKey]int64), false}
		}
		for i := range 7 {
			names = append(names, fmt.Sprintf("entry-%d", i))
			add(begin(names[i]))
		}
		move := func(from, to map[counterKey]int64) {
			for k, n := range from {
				to[k] += n
			}
			clear(from)
		}
		tick := func(p *process, lose bool) {
			kept := len(net.sent)
			p.collector.Tick(net.now)
			c := truth[p]
			lose = lose && !c.lostLast
			if lose {
				net.sent = net.sent[:kept]
				move(c.fresh, c.unsure)
			} else {
				move(c.fresh, c.sure)
				move(c.unsure, c.sure)
			}
			c.lostLast = lose
		}
		var killed []*process
		t.Repeat(map[string]func(*rapid.T){
			"begun": func(t *rapid.T) {
				p := net.entries[rapid.SampledFrom(names).Draw(t, "entry")]
				name := rapid.SampledFrom([]string{"fida11", "hule930", "x"}).Draw(t, "workspace")
				now, _ := p.clock.read()
				truth[p].fresh[counterKey{windowContaining(p.clock.Now(now), collectedWindow), name}]++
				p.counter.Begun(now, name)
			},
			"tick": func(t *rapid.T) {
				tick(net.entries[rapid.SampledFrom(names).Draw(t, "entry")], rapid.Bool().Draw(t, "lose"))
			},
			"deliver": func(t *rapid.T) {
				rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0)).Shuffle(len(net.sent), func(i, j int) {
					net.sent[i], net.sent[j] = net.sent[j], net.sent[i]
				})
				n := rapid.IntRange(0, len(net.sent)).Draw(t, "n")
				for _, d := range net.sent[:n] {
					net.receive(d)
				}
				again := rapid.IntRange(0, n).Draw(t, "again")
				net.sent = slices.Concat(net.sent[:again], net.sent[n:])
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(names[1:]).Draw(t, "entry")
				killed = append(killed, net.entries[name])
				add(begin(name))
			},
			"wait": func(t *rapid.T) {
				net.now = net.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, p := range net.entries {
					for k, n := range p.collector.counts.sumAll() {
						if n > total(truth, k) {
							t.Fatalf("%s has %d of %v, %d were counted", p.name, n, k, total(truth, k))
						}
					}
				}
			},
		})
		for range 3 {
			for _, name := range names {
				tick(net.entries[name], false)
			}
			for _, d := range net.sent {
				net.receive(d)
			}
			net.sent = nil
		}
		got := net.entries[holder].collector.counts.sumAll()
		for p, c := range truth {
			for k, n := range c.sure {
				lost := int64(0) // by killed processes
				for _, q := range killed {
					lost += truth[q].fresh[k] + truth[q].unsure[k]
				}
				if all := total(truth, k); got[k] < all-lost {
					t.Fatalf("%d of %v, %d were counted, of which %d may be lost; %s has %d", got[k], k, all, lost, p.name, n)
				}
			}
		}
	})
}

// total returns what was counted at all processes.
func total(truth map[*process]*counted, k counterKey) (n int64) {
	for _, c := range truth {
		n += c.sure[k] + c.unsure[k] + c.fresh[k]
	}
	return n
}

// sumAll returns the counts of all windows.
func (m *merged) sumAll() map[counterKey]int64 {
	out := make(map[counterKey]int64)
	for w := range m.windows {
		for name, n := range m.sum(w) {
			out[counterKey{w, name}] = n
		}
	}
	return out
}

// differences returns the counts that differ.
func differences(got, want map[string]int64) string {
	var b strings.Builder
	for name := range want {
		if got[name] != want[name] {
			fmt.Fprintf(&b, "%s: %d of %d; ", name, got[name], want[name])
		}
	}
	if len(got) > len(want) {
		fmt.Fprintf(&b, "%d workspaces of %d", len(got), len(want))
	}
	return b.String()
}

// Guards against a new holder that lacks what others counted: at a process that was killed since, before this one took over, and afterwards
// by entries that have not read yet who holds the lease. One collector is down, and every eleventh datagram between two entries is lost.
func TestNewHolderGetsAllCounters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &network{entries: make(map[string]*process)}
		sent := make(map[[2]string]int)
		net.deliver = func(d datagram) {
			net.mu.Lock()
			defer net.mu.Unlock()
			pair := [2]string{d.from, d.to}
			if sent[pair]++; sent[pair]%11 == 0 {
				return
			}
			if p := net.entries[d.to]; p != nil {
				go p.handle(d.from, d.data)
			}
		}
		var names []string
		window := windowContaining(time.Now(), collectedWindow)
		want := make(map[string]int64)
		begun := func(name, workspace string) {
			net.entries[name].counter.Begun(time.Now(), workspace)
			want[workspace]++
		}
		for i := range 9 {
			name := fmt.Sprintf("entry-%d", i)
			names = append(names, name)
			p := &process{net: net, name: name, registry: metrics.NewRegistry()}
			start := time.Now()
			p.clock = NewClock(func() (time.Time, time.Duration) { return time.Now(), time.Since(start) })
			p.counter = NewCounter(collectedWindow, p.clock)
			p.collector = NewCollector(CollectorOptions{Self: name, DataCentre: "dc", Window: collectedWindow}, p.clock, p.counter, p, zerolog.Nop())
			net.entries[name] = p
		}
		collectors := net.entries[names[0]].collector.collectors(net.entries[names[0]].DataCentres())
		net.entries[collectors[0]] = nil // killed
		var others []string
		for _, name := range names {
			if p := net.entries[name]; p != nil {
				go p.collector.Run(t.Context())
			}
			if !slices.Contains(collectors, name) {
				others = append(others, name)
			}
		}
		for i, name := range names {
			if net.entries[name] == nil {
				continue
			}
			for j := range 200 { // more than a datagram holds
				begun(name, fmt.Sprintf("workspace-%d-%d", i, j))
				begun(name, "all")
			}
		}
		time.Sleep(time.Second)
		net.mu.Lock()
		net.entries[others[0]] = nil
		net.mu.Unlock()
		holder := net.entries[others[1]].collector
		qt.Assert(t, len(holder.Counts(window)), qt.Equals, 201)
		holder.Sync(t.Context(), window)
		qt.Assert(t, differences(holder.Counts(window), want), qt.Equals, "")
		begun(others[2], "all")
		begun(collectors[1], "late")
		time.Sleep(600 * time.Millisecond)
		qt.Assert(t, differences(holder.Counts(window), want), qt.Equals, "")
	})
}

// Guards against a holder that was restarted, acquires the lease again at once and freezes windows with its own counts only: because it has
// not read yet which other entries there are, or by its time of day, which is 5 s ahead and which the collectors' answers correct.
func TestRestartedHolderAsksBeforeItFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dataCentres := make(map[string]string)
		for i := range 5 {
			dataCentres[fmt.Sprintf("entry-%d", i)] = "dc"
		}
		self := "" // the only entry that is no collector
		for name := range dataCentres {
			if !slices.Contains(roster.Observers(dataCentres), name) {
				self = name
			}
		}
		net := &network{entries: make(map[string]*process), unread: self}
		net.deliver = func(d datagram) {
			if p := net.entries[d.to]; p != nil {
				go p.handle(d.from, d.data)
			}
		}
		start := time.Now()
		for name := range dataCentres {
			p := &process{net: net, name: name, registry: metrics.NewRegistry()}
			off := time.Duration(0)
			if name == self {
				off = 5 * time.Second
			}
			p.clock = NewClock(func() (time.Time, time.Duration) { return time.Now().Add(off), time.Since(start) })
			p.counter = NewCounter(collectedWindow, p.clock)
			p.collector = NewCollector(CollectorOptions{Self: p.name, DataCentre: "dc", Window: collectedWindow}, p.clock, p.counter, p, zerolog.Nop())
			net.entries[p.name] = p
		}
		for name, p := range net.entries {
			if name != self {
				p.counter.Begun(time.Now(), "w")
				go p.collector.Run(t.Context())
			}
		}
		known := make(chan struct{})
		go func() {
			defer close(known)
			time.Sleep(1700 * time.Millisecond) // one failed poll of the entries' objects
			net.mu.Lock()
			defer net.mu.Unlock()
			net.unread = ""
		}()
		time.Sleep(500 * time.Millisecond)
		window := windowContaining(time.Now(), collectedWindow)
		holder := net.entries[self]
		holder.collector.Sync(t.Context(), window)
		qt.Check(t, holder.collector.Counts(window), qt.DeepEquals, map[string]int64{"w": 4})
		<-known
		now := time.Now()
		qt.Check(t, holder.clock.Now(now.Add(5*time.Second)).Sub(now).Abs() < minCorrection, qt.IsTrue)

		net.mu.Lock()
		net.unread = self
		net.mu.Unlock()
		began := time.Now()
		holder.collector.Sync(t.Context(), window)
		qt.Check(t, time.Since(began), qt.Equals, peersWait, qt.Commentf("if the entries cannot be read"))
	})
}

// Guards against a collector that lacks what was counted before it was restarted, and against a holder that gets only what is counted after
// the entries have read that it is one.
func TestNewTargetsGetAllCounters(t *testing.T) {
	net := &network{now: epoch, entries: make(map[string]*process)}
	holder := ""
	for i := range 8 {
		net.start(fmt.Sprintf("entry-%d", i), 0, func() string { return holder })
	}
	run := func(d time.Duration) {
		for end := net.now.Add(d); net.now.Before(end); net.now = net.now.Add(minSendInterval) {
			for _, p := range net.entries {
				p.collector.Tick(net.now)
			}
			for _, d := range net.sent {
				net.receive(d)
			}
			net.sent = nil
		}
	}
	names := net.entries["entry-0"].collector.collectors(net.entries["entry-0"].DataCentres())
	var others []string
	for name, p := range net.entries {
		if !slices.Contains(names, name) {
			others = append(others, name)
			p.counter.Begun(net.now, "w")
		}
	}
	run(time.Second)
	window := windowContaining(epoch, collectedWindow)
	restarted := net.start(names[0], 0, func() string { return holder })
	qt.Assert(t, restarted.collector.Counts(window)["w"], qt.Equals, int64(0))
	run(clockInterval + 4*minSendInterval)
	qt.Assert(t, restarted.collector.Counts(window)["w"], qt.Equals, int64(4))
	holder = others[0]
	run(minSendInterval)
	qt.Assert(t, net.entries[holder].collector.Counts(window)["w"], qt.Equals, int64(4))
}

// Guards against memory that a faulty peer can fill, counts that are absurd or of other processes, and peers that shut out the counters of
// others; and against a message that makes the receiver fail.
func TestUnusableMessages(t *testing.T) {
	net := &network{now: epoch, entries: make(map[string]*process)}
	p := net.start("entry-0", 0, nil)
	window := windowContaining(epoch, collectedWindow)
	groups := func(g ...group) *message { return &message{Kind: kindCounts, Incarnation: 7, Groups: g} }
	of := func(window int64, workspace string, n int64) *message {
		return groups(group{Window: window, Counts: []count{{Workspace: workspace, N: n}}})
	}
	answer := of(window, "w", 1)
	answer.Kind, answer.Parts, answer.Question = kindAnswer, 1, p.collector.question+1
	noKind, noProcess, badTime, badPart, own := of(window, "w", 1), of(window, "w", 1), of(window, "w", 1), of(window, "w", 1), of(window, "w", 1)
	noKind.Kind, noProcess.Incarnation, badTime.TrueMicros, badPart.Part, own.Incarnation = 9, 0, -1, -1, p.collector.incarnation
	valid := of(window, "w", 1).encode()
	for name, data := range map[string][]byte{
		"empty": nil, "noise": []byte("\xdd\xff\xff\xff\xff\x01"), "truncated": valid[:len(valid)-1], "oversized": make([]byte, peers.MaxData+1),
		"negative": of(window, "w", -1).encode(), "zero": of(window, "w", 0).encode(), "too many": of(window, "w", maxCount+1).encode(),
		"no workspace": of(window, "", 1).encode(), "long workspace": of(window, strings.Repeat("w", maxWorkspaceBytes+1), 1).encode(),
		"far future": of(window+maxWindowsAhead+1, "w", 1).encode(), "far past": of(window-200, "w", 1).encode(),
		"kind": noKind.encode(), "process": noProcess.encode(), "time": badTime.encode(), "part": badPart.encode(), "own process": own.encode(),
	} {
		before := p.collector.ignored.Count()
		p.collector.receive(net.now, "entry-1", data)
		qt.Check(t, p.collector.ignored.Count(), qt.Equals, before+1, qt.Commentf(name))
	}
	p.collector.receive(net.now, "entry-1", answer.encode()) // nobody has asked
	qt.Assert(t, p.collector.counts.counters, qt.Equals, 0)

	p.collector.receive(net.now, "entry-2", valid)
	for i := range 40_000 {
		m := of(window+int64(i%4), fmt.Sprint("workspace", i), 1)
		m.Incarnation = 100 + uint64(i%3)*1000
		p.collector.receive(net.now, "entry-1", m.encode()) // of a few processes
	}
	for i := range 2000 {
		m := of(window, "w", 1)
		m.Incarnation = uint64(10_000 + i)
		p.collector.receive(net.now, "entry-1", m.encode()) // of many processes
	}
	qt.Check(t, len(p.collector.counts.workspaces), qt.Equals, 1+3*maxIncarnationWorkspaces)
	qt.Check(t, len(p.collector.counts.incarnations), qt.Equals, 1+maxPeerIncarnations)
	qt.Check(t, p.collector.lost > 0, qt.IsTrue)
	p.collector.receive(net.now, "entry-2", of(window, "another", 3).encode())
	p.counter.Begun(net.now, "own")
	qt.Check(t, p.collector.Counts(window)["another"], qt.Equals, int64(3))
	qt.Check(t, p.collector.Counts(window)["own"], qt.Equals, int64(1))

	// All is dropped a minute after its windows.
	net.now = net.now.Add(countersLifetime + 5*collectedWindow)
	p.collector.Tick(net.now)
	m := p.collector.counts
	qt.Check(t, []int{len(m.windows), len(m.incarnations), len(m.workspaces), m.counters}, qt.DeepEquals, []int{0, 0, 0, 0})
	p.counter.Begun(epoch, "own") // too late
	qt.Check(t, p.collector.Counts(window), qt.HasLen, 0)
}

// Guards against datagrams that are too long to be sent, and counters that are left out of them.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var groups []group
		for w := range rapid.IntRange(0, 5).Draw(t, "windows") {
			g := group{Incarnation: 1<<64 - 1, Window: 1<<62 + int64(w)}
			for i := range rapid.IntRange(1, 40).Draw(t, "counts") {
				g.Counts = append(g.Counts, count{Workspace: fmt.Sprint(i, strings.Repeat("w", rapid.IntRange(0, maxWorkspaceBytes-2).Draw(t, "length"))), N: maxCount})
			}
			groups = append(groups, g)
		}
		want, got := make(map[string]bool), make(map[string]bool)
		for _, g := range groups {
			for _, c := range g.Counts {
				want[fmt.Sprint(g.Window, c)] = true
			}
		}
		for _, part := range split(groups) {
			m := message{Kind: kindAnswer, Incarnation: 1<<64 - 1, TrueMicros: maxStatedMicros, Groups: part, Question: 1<<64 - 1, Part: maxAnswerParts - 1, Parts: maxAnswerParts}
			back, err := decodeMessage(m.encode())
			if err != nil {
				t.Fatal(err)
			}
			for _, g := range back.Groups {
				for _, c := range g.Counts {
					got[fmt.Sprint(g.Window, c)] = true
				}
			}
		}
		if !maps.Equal(got, want) {
			t.Fatalf("%d of %d counters", len(got), len(want))
		}
	})
}

// Guards against messages that cost much more than docs/design/usage.md says, which has what this logs.
func TestCost(t *testing.T) {
	for _, c := range []struct {
		entries, workspaces int
		perSecond           float64 // requests at all entries
		maxEntry, maxPeer   float64 // bytes a second that an entry sends and a collector receives, with headers
	}{{26, 87, 230, 3500, 16_000}, {350, 270, 2200, 1500, 75_000}} {
		net := &network{now: epoch, entries: make(map[string]*process)}
		for i := range c.entries {
			net.entries[fmt.Sprintf("entry-%d", i)] = nil
		}
		p := net.start("entry-0", 0, func() string { return "entry-1" })
		collectors := p.collector.collectors(p.DataCentres())
		for i := 0; slices.Contains(collectors, p.name); i++ { // an entry that collects nothing
			net.entries[p.name] = nil
			p = net.start(fmt.Sprintf("entry-%d", i), 0, func() string { return "entry-1" })
		}
		random := rand.New(rand.NewPCG(1, 2))
		const seconds = 60
		began := net.now
		next := net.now
		for net.now.Sub(began) < seconds*time.Second {
			for ; next.Before(net.now); next = next.Add(time.Duration(random.ExpFloat64() * float64(c.entries) / c.perSecond * 1e9)) {
				p.counter.Begun(next, fmt.Sprintf("name%d", random.IntN(c.workspaces)))
			}
			p.collector.Tick(net.now)
			net.now = net.now.Add(p.collector.interval())
		}
		bytes := 0
		for _, d := range net.sent {
			bytes += len(d.data) + 8 + 28 // topic; IP and UDP
		}
		targets := make(map[string]bool)
		for _, d := range net.sent {
			targets[d.to] = true
		}
		entry, messages := float64(bytes)/seconds, float64(len(net.sent))/seconds
		collector := float64(c.entries-1) / float64(len(targets))
		t.Logf("%d entries: an entry sends %.1f messages/s, %.0f B/s to %d; a collector receives %.0f messages/s, %.0f B/s", c.entries, messages, entry,
			len(targets), messages*collector, entry*collector)
		qt.Check(t, entry < c.maxEntry, qt.IsTrue)
		qt.Check(t, entry*collector < c.maxPeer, qt.IsTrue)
	}
}

// BenchmarkBegun measures what a request costs.
func BenchmarkBegun(b *testing.B) {
	c := NewCounter(collectedWindow, NewClock(ReadClocks))
	names := make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprintf("hule%d", i)
	}
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			c.Begun(now, names[i%len(names)])
		}
	})
}

// BenchmarkReceive measures what a message of the target size costs a collector.
func BenchmarkReceive(b *testing.B) {
	net := &network{now: epoch, entries: make(map[string]*process)}
	p := net.start("entry-0", 0, nil)
	var all [][]byte
	for i := range 350 {
		g := group{Window: windowContaining(epoch, collectedWindow)}
		for j := range 17 {
			g.Counts = append(g.Counts, count{Workspace: fmt.Sprintf("hule%d", (i+j*13)%270), N: int64(i + j + 1)})
		}
		m := message{Kind: kindCounts, Incarnation: uint64(i + 1), TrueMicros: epoch.UnixMicro(), Groups: []group{g}}
		all = append(all, m.encode())
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.collector.receive(net.now, fmt.Sprint(i%350), all[i%350])
	}
}
