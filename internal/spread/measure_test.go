package spread_test

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// warmUp is the time in which links that were needed only during start-up are closed.
const warmUp = 20 * time.Second

// sample holds the values of all counters at one time.
type sample struct {
	at       time.Time
	cpu      time.Duration
	sent     []int64
	received []int64
	calls    int64
}

func takeSample(a *api, procs []*proc) sample {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	s := sample{at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano())}
	for _, p := range procs {
		sent, received := p.node.Traffic()
		s.sent, s.received = append(s.sent, sent), append(s.received, received)
	}
	c := a.Counts()
	s.calls = c.Gets + c.Lists + c.Puts + c.Deletes + c.Watches
	return s
}

// rates are averages between two samples, per second and process unless noted.
type rates struct {
	sent, received, sentMax, receivedMax float64
	cpu                                  float64 // share of a core
	calls                                float64 // of the object API, by all processes
}

func (s sample) ratesUntil(e sample) rates {
	var r rates
	secs, n := e.at.Sub(s.at).Seconds(), float64(len(s.sent))
	for i := range s.sent {
		sent, received := float64(e.sent[i]-s.sent[i])/secs, float64(e.received[i]-s.received[i])/secs
		r.sent, r.received = r.sent+sent/n, r.received+received/n
		r.sentMax, r.receivedMax = max(r.sentMax, sent), max(r.receivedMax, received)
	}
	r.cpu = (e.cpu - s.cpu).Seconds() / secs / n
	r.calls = float64(e.calls-s.calls) / secs
	return r
}

func (r rates) String() string {
	return fmt.Sprintf("%.0f/%.0f | %.0f/%.0f | %.2f%% | %.1f", r.sent, r.received, r.sentMax, r.receivedMax, 100*r.cpu, r.calls)
}

// TestMeasure measures and prints the cost of spread. scripts/spread.sh runs it. SPREAD_MEASURE is a list of
// size:dataCentres, such as "168:1,300:2". All processes and the stand-in for the object API run in this test process, so
// CPU and memory include the stand-in.
func TestMeasure(t *testing.T) {
	list := os.Getenv("SPREAD_MEASURE")
	if list == "" {
		t.Skip("SPREAD_MEASURE is not set")
	}
	idle := duration(t, "SPREAD_IDLE", 20*time.Second)
	busy := duration(t, "SPREAD_BUSY", 20*time.Second)
	fmt.Println("bytes/s are sent/received at the link layer; busy: a plan of 136 engines every 10 s and a preset of 39 models every 2 s; lease: 4 leases renewed every 5 s")
	fmt.Println("| processes | dcs | join s | change s median/max | dead known s | state | bytes/s mean | bytes/s max | CPU of a core | API calls/s | waiting watches | MB/process |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, item := range strings.Split(list, ",") {
		var size, count int
		_, err := fmt.Sscanf(item, "%d:%d", &size, &count)
		qt.Assert(t, err, qt.IsNil)
		t.Run(item, func(t *testing.T) { measure(t, size, count, idle, busy) })
	}
}

func duration(t *testing.T, name string, def time.Duration) time.Duration {
	text := os.Getenv(name)
	if text == "" {
		return def
	}
	d, err := time.ParseDuration(text)
	qt.Assert(t, err, qt.IsNil)
	return d
}

func measure(t *testing.T, size, count int, idle, busy time.Duration) {
	debug.FreeOSMemory()
	before := heap()
	a := newAPI(t, objects.Options{})
	populate(t, a, size)
	v := a.use(t, "ordinary")
	var dcs []string
	for i := range count {
		dcs = append(dcs, "hall-"+strconv.Itoa(i))
	}
	begin := time.Now()
	procs := startFleet(t, a, size, dcs, spread.Options{})
	eventually(t, 3*stepTimeout, "everything known everywhere", func() bool {
		return allHold(procs, fighollow.KindInForce, fighollow.InForceName, v) && allSeeAlive(procs, size/count)
	})
	join := time.Since(begin)
	waitForAgreement(t, procs)
	time.Sleep(warmUp)

	s := takeSample(a, procs)
	time.Sleep(idle)
	idleRates := s.ratesUntil(takeSample(a, procs))
	waiting := a.Counts().Waiting
	s = takeSample(a, procs)
	median, longest := measureChanges(t, a, procs, busy)
	busyRates := s.ratesUntil(takeSample(a, procs))
	s = takeSample(a, procs)
	renewLeases(t, a, busy)
	leaseRates := s.ratesUntil(takeSample(a, procs))
	detection := killOne(t, procs)
	memory := float64(heap()-before) / float64(size) / (1 << 20)
	row := fmt.Sprintf("| %d | %d | %.1f | %.2f/%.2f | %.1f |", size, count, join.Seconds(), median.Seconds(), longest.Seconds(), detection.Seconds())
	fmt.Printf("%s idle | %s | %d | %.1f |\n%s lease | %s | | |\n%s busy | %s | | |\n",
		row, idleRates, waiting, memory, row, leaseRates, row, busyRates)
	qt.Check(t, longest < 18*time.Second, qt.IsTrue)
	qt.Check(t, waiting <= int64(spread.Watchers*count), qt.IsTrue, qt.Commentf("%d waiting watches", waiting))
	qt.Check(t, idleRates.sentMax < 4096 && idleRates.receivedMax < 4096, qt.IsTrue)
	qt.Check(t, idleRates.cpu < 0.013, qt.IsTrue)
}

// populate writes the objects, other than plans and the preset, that a fleet of this size has.
func populate(t *testing.T, a *api, size int) {
	for i := range size {
		id := fmt.Sprintf("%04d", i)
		a.put(t, fighollow.KindInstance, id, fighollow.Instance{ID: id, Kind: fighollow.InstanceEngine, DataCentre: "elsewhere", Leaving: true})
	}
	for i := range 100 {
		a.put(t, fighollow.KindWorkspace, fmt.Sprint(i), fighollow.Workspace{Name: fmt.Sprint(i), Key: strings.Repeat("k", 40)})
	}
}

// plan returns a plan as large as that of a data centre at target size.
func plan(i int) fighollow.Plan {
	p := fighollow.Plan{Revision: uint64(i), Preset: "ordinary", Engines: make(map[string]fighollow.Assignment), WriteID: fmt.Sprint(i)}
	for e := range 136 {
		p.Engines[fmt.Sprintf("engine-hall-0-%04d", e)] = fighollow.Assignment{
			Role: []fighollow.Role{fighollow.RolePrefill, fighollow.RoleDecode}[(e+i)%2], Model: fmt.Sprint("model-", e%39),
			ModelVersion: "2026-11", Fence: uint64(max(0, i-e%7)),
		}
	}
	return p
}

// preset returns a preset in force with as many models as the target size has.
func preset(i int) fighollow.InForce {
	f := fighollow.InForce{ChosenBy: "operator", ChosenMs: int64(i), WriteID: fmt.Sprint(i)}
	for m := range 39 {
		f.Preset.Models = append(f.Preset.Models, fighollow.PresetModel{
			Model: fmt.Sprint("model-", m), ModelVersion: "2026-11", MinEngines: 1 + m%3, PrefillShare: 0.35, Disaggregated: m%2 == 0,
		})
	}
	return f
}

// killOne kills the last process and returns the time until all processes of its data centre consider it dead.
func killOne(t *testing.T, procs []*proc) time.Duration {
	last := procs[len(procs)-1]
	last.kill()
	begin := time.Now()
	eventually(t, stepTimeout, "the dead process is detected", func() bool {
		for _, p := range procs {
			for _, m := range p.node.Members() {
				if p != last && m.ID == last.id && m.State != membership.Dead {
					return false
				}
			}
		}
		return true
	})
	return time.Since(begin)
}

// renewLeases renews four planner leases every 5 s, for the duration d.
func renewLeases(t *testing.T, a *api, d time.Duration) {
	for begin, i := time.Now(), 0; time.Since(begin) < d; i++ {
		a.put(t, fighollow.KindPlannerLease, fmt.Sprint("region-", i%4), fighollow.PlannerLease{
			Holder: "entry-hall-0-001", Renewal: uint64(i), WriteID: "0197f0c0-0000-7000-8000-000000000000",
		})
		time.Sleep(5 * time.Second / 4)
	}
}

// waitForAgreement waits until all catalogs have the same digest, so that no repairs from start-up fall into the idle
// period.
func waitForAgreement(t *testing.T, procs []*proc) {
	eventually(t, 3*stepTimeout, "digests agree", func() bool {
		for _, p := range procs {
			if p.cat.Digest() != procs[0].cat.Digest() {
				return false
			}
		}
		return true
	})
}

// measureChanges writes presets and plans for the duration busy and returns the median and the longest time until a preset
// reached every process.
func measureChanges(t *testing.T, a *api, procs []*proc, busy time.Duration) (median, longest time.Duration) {
	var durations []time.Duration
	for begin, i := time.Now(), 0; time.Since(begin) < busy; i++ {
		at := time.Now()
		if i%5 == 0 {
			a.put(t, fighollow.KindPlan, "hall-0", plan(i))
		}
		v := a.put(t, fighollow.KindInForce, fighollow.InForceName, preset(i))
		eventually(t, stepTimeout, "change everywhere", func() bool {
			return allHold(procs, fighollow.KindInForce, fighollow.InForceName, v)
		})
		durations = append(durations, time.Since(at))
		longest = max(longest, time.Since(at))
		time.Sleep(2*time.Second - time.Since(at))
	}
	slices.Sort(durations)
	return durations[len(durations)/2], longest
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
