package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/settings"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// servePaced returns a handler that answers with n tokens, one per gap.
func servePaced(n int, gap time.Duration) func(context.Context, *link.Call, *link.ServerStream) {
	return func(ctx context.Context, _ *link.Call, s *link.ServerStream) {
		if s.Accept(fighollow.Load{Slots: 1000}) != nil {
			return
		}
		next := time.Now()
		for i := range n {
			if s.Chunk(uint64(i), 1, []byte("token ")) != nil {
				return
			}
			next = next.Add(gap)
			time.Sleep(time.Until(next))
		}
		finishCompleted(s, n)
	}
}

// countTextEvents reads a streamed answer to its end and returns the number of events with text.
func countTextEvents(r io.Reader) int {
	br := bufio.NewReader(r)
	n := 0
	for {
		line, err := br.ReadSlice('\n')
		if bytes.Contains(line, []byte(`"finish_reason":null`)) {
			n++
		}
		if err != nil {
			return n
		}
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLoad sends 320 requests/s of 270 tokens each for 6 s, which is 50 times one entry's share of the target load.
// Callers and sidecars run in the same process, so the CPU time includes theirs.
func BenchmarkLoad(b *testing.B) {
	const rate, tokens, seconds = 320, 270, 6
	f := startFleet(b, func(s *settings.Entry) { s.MaxOpenRequests = 5000 })
	for i := range 16 {
		f.add(fmt.Sprintf("engine-%d", i), "m", servePaced(tokens, 10*time.Millisecond))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}
	var tokensReceived, failed atomic.Int64
	for b.Loop() {
		var wg sync.WaitGroup
		before, began := cpuTime(), time.Now()
		tick := time.NewTicker(time.Second / rate)
		for range rate * seconds {
			<-tick.C
			wg.Go(func() {
				body := `{"model":"m","prompt":"hi","stream":true}`
				req, err := http.NewRequest(http.MethodPost, f.url+"/v1/completions", bytes.NewReader([]byte(body)))
				if err != nil {
					failed.Add(1)
					return
				}
				req.Header.Set("X-Workspace-Key", workspaceKey)
				res, err := client.Do(req)
				if err != nil {
					failed.Add(1)
					return
				}
				defer res.Body.Close()
				tokensReceived.Add(int64(countTextEvents(res.Body)))
			})
		}
		tick.Stop()
		wg.Wait()
		took := time.Since(began)
		b.ReportMetric(float64(tokensReceived.Load())/took.Seconds(), "tokens/s")
		b.ReportMetric((cpuTime()-before).Seconds()/took.Seconds(), "cores")
		b.ReportMetric(float64(failed.Load()), "failed")
	}
	b.Log(f.get(f.admin + "/metrics"))
}

// BenchmarkTokens streams tokens at full speed and reports the time per token, including that of callers and sidecars.
func BenchmarkTokens(b *testing.B) {
	f := startFleet(b)
	const tokens = 1000
	for i := range 4 {
		f.add(fmt.Sprintf("engine-%d", i), "m", serveWords(tokens))
	}
	b.ReportAllocs()
	for b.Loop() {
		res := f.open(context.Background(), "POST", "/v1/completions", `{"model":"m","prompt":"hi","stream":true}`)
		if n := countTextEvents(res.Body); n != tokens {
			b.Fatalf("%d tokens", n)
		}
		res.Body.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}

// BenchmarkView reports the CPU time per change of an object that routing does not use, such as a lease, in a fleet of the
// target size. Such changes occur every few seconds, and control work may take 1.3% of a core.
func BenchmarkView(b *testing.B) {
	f := startFleet(b)
	plans := make(map[string]fighollow.Plan)
	for i := range 1500 {
		dc, id := fmt.Sprintf("dc-%d", i%11), fmt.Sprintf("engine-%d", i)
		f.store.put(fighollow.KindInstance, id, fighollow.Instance{
			ID: id, Kind: fighollow.InstanceEngine, DataCentre: dc, Region: "r", Link: fmt.Sprintf("127.0.0.1:%d", 20000+i),
		})
		if plans[dc].Engines == nil {
			plans[dc] = fighollow.Plan{Engines: make(map[string]fighollow.Assignment)}
		}
		plans[dc].Engines[id] = fighollow.Assignment{Role: fighollow.RoleBoth, Model: fmt.Sprintf("m%d", i%39), ModelVersion: "v1"}
	}
	for dc, p := range plans {
		f.store.put(fighollow.KindPlan, dc, p)
	}
	for i := range 39 {
		f.store.put(fighollow.KindModel, fmt.Sprintf("m%d", i), fighollow.Model{})
	}
	for i := range 270 {
		f.store.put(fighollow.KindWorkspace, fmt.Sprintf("w%d", i), fighollow.Workspace{Key: fmt.Sprint("key", i)})
	}
	f.waitRouted()
	before, n := cpuTime(), 0
	for b.Loop() {
		n++
		f.store.put(fighollow.KindPlannerLease, "r", fighollow.PlannerLease{Renewal: uint64(n)})
		f.waitRouted()
	}
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(n), "cpu-us/change")
}
