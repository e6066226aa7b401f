package faults_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	stopCallers = 150
	stopGrace   = 5 * time.Second
	// stopWork is the longest time of an answer, so that a request of the first seconds can outlast the grace period.
	stopWork = 4 * time.Second
	stopBody = 256 << 10
)

// slowReader pauses before each part of a body.
type slowReader struct {
	r     io.Reader
	pause time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.r.Read(p[:min(len(p), stopBody/8)])
}

// Guards against requests that may not be repeated being passed on in a planned stop and cut at its end. They come on connections that are idle,
// unused or new, at any moment, some with bodies that are still coming; signals come in series.
func TestPlannedStopCutsNothingThatMayNotBeRepeated(t *testing.T) {
	p := newEntryPlay(t)
	p.cfg.Grace = stopGrace
	works := []time.Duration{50 * time.Millisecond, time.Second, stopWork}
	var engines []*standin.Engine
	var services []string
	for _, work := range works {
		id := fmt.Sprint("s-", work.Milliseconds())
		engines = append(engines, p.addUpstream(id, "", id, 0, standin.EngineFaults{Delay: work}))
		services = append(services, id)
	}
	p.configure(services, nil)
	p.start()
	var mu sync.Mutex
	answered := make(map[string]bool)
	var callers sync.WaitGroup
	start := time.Now().Add(2 * time.Second)
	for i := range stopCallers {
		service, at := services[i%len(services)], start.Add(rand.N(stopGrace+1500*time.Millisecond)-time.Second)
		deadline := works[i%len(works)] + 500*time.Millisecond + rand.N(playDeadline)
		callers.Go(func() {
			client := http.Client{Transport: &http.Transport{}}
			id := p.nextID()
			if i%3 > 0 { // leaves an idle connection
				if resp, err := client.Get("http://" + p.cfg.Ingress + "/none"); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
			time.Sleep(time.Until(at))
			body := io.Reader(strings.NewReader("x"))
			if i%5 == 0 {
				body = &slowReader{strings.NewReader(strings.Repeat("x", stopBody)), 40 * time.Millisecond}
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+p.cfg.Ingress+"/once/"+service+"/a", body)
			if err != nil {
				panic(err)
			}
			req.Host = playHost
			req.Header.Set(standin.HeaderRequest, id)
			req.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			mu.Lock()
			defer mu.Unlock()
			answered[id] = err == nil && resp.StatusCode == http.StatusOK
		})
	}
	time.Sleep(time.Until(start))
	for range 3 {
		qt.Assert(t, p.entry.Process.Signal(syscall.SIGTERM), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
	}
	_ = p.entry.Wait()
	callers.Wait()
	arrived, cut := 0, 0
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			arrived++
			if !answered[a.Request] {
				cut++
			}
		}
	}
	t.Logf("%d of %d requests reached upstreams, %d of them were cut", arrived, stopCallers, cut)
	qt.Check(t, arrived > 0, qt.IsTrue)
	qt.Check(t, cut, qt.Equals, 0)
}
