package faults_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	crashPart     = "bad0c0de"
	crashEntries  = 3
	crashEngines  = 16
	crashEvents   = 30 // of each stream
	crashDelay    = 40 * time.Millisecond
	crashDown     = 2 * time.Second
	crashLapse    = 3 * time.Second
	soundPause    = 30 * time.Millisecond
	crashingPause = 120 * time.Millisecond
	crashQuiet    = 4 * time.Second // before requests that crash engines come
	crashWatched  = 10 * time.Second
	crashEnd      = 40 * time.Second
	callerRepeats = 2
	// countedCrash is the crash from which on requests with the part are counted, after stableTime. maxLate of them may reach engines.
	countedCrash = 5
	stableTime   = 3 * time.Second
	maxLate      = 3
)

// crashPlay is entries in processes of their own before engines with many long streams, some of whose prompts crash them.
type crashPlay struct {
	entries []*entryPlay
	engines []*standin.Engine
	wait    sync.WaitGroup

	mu    sync.Mutex
	sound map[time.Time]bool // whether the streams without the part that were asked for at these times began
}

// send sends a request until it is answered to its end, and reports whether the first answer began.
func (p *crashPlay) send(prefix, parts string) (began bool) {
	own := rand.Uint32()
	for i := range 1 + callerRepeats {
		e := p.entries[rand.IntN(len(p.entries))]
		req, err := http.NewRequest(http.MethodPost, "http://"+e.cfg.Ingress+"/stream/models/a", strings.NewReader(fmt.Sprint(own)))
		if err != nil {
			panic(err)
		}
		req.Host = playHost
		for name, value := range standin.PromptFields(prefix+p.entries[0].nextID(), playDeadline, fmt.Sprintf("%s,%x:250", parts, own)) {
			req.Header.Set(name, value)
		}
		n := 0
		resp, err := e.client.Do(req)
		if err == nil {
			n, _ = io.ReadAtLeast(resp.Body, make([]byte, 1), 1)
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			began = began || i == 0 && resp.StatusCode == http.StatusOK && n > 0
		}
		if err == nil && n > 0 && resp.StatusCode == http.StatusOK {
			return began
		}
		time.Sleep(rand.N(500 * time.Millisecond))
	}
	return began
}

// crashes returns the times at which engines crashed.
func (p *crashPlay) crashes() (out []time.Time) {
	for _, e := range p.engines {
		for _, c := range e.Crashes() {
			out = append(out, c.At)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// late returns the number of requests with the part that reached engines after a time.
func (p *crashPlay) late(from time.Time) (n int) {
	for _, e := range p.engines {
		for _, a := range e.Arrivals() {
			if strings.HasPrefix(a.Request, "crashing") && a.At.After(from) {
				n++
			}
		}
	}
	return n
}

// beginning returns the share of the streams of a span that began, and their number.
func (p *crashPlay) beginning(from, to time.Time) (share float64, asked int) {
	began := 0
	for at, ok := range p.sound {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		asked++
		if ok {
			began++
		}
	}
	return float64(began) / float64(max(1, asked)), asked
}

// Guards against a part that crashes engines being sent on, and sound requests being blamed for it, because many streams break off in each crash.
func TestPartThatCrashesEnginesAmongManyStreams(t *testing.T) {
	p := &crashPlay{sound: make(map[time.Time]bool)}
	for i := range crashEntries {
		e := newEntryPlay(t)
		if i > 0 {
			e.store, e.cfg.Store, e.cfg.Name = p.entries[0].store, p.entries[0].cfg.Store, fmt.Sprint("n", i+1)
		}
		p.entries = append(p.entries, e)
	}
	store := p.entries[0].store
	for i := range crashEngines {
		e := standin.NewEngine(fmt.Sprintf("d%d", i), "decode")
		e.Events = crashEvents
		e.SetFaults(standin.EngineFaults{Delay: crashDelay, CrashPart: crashPart, RefuseControl: true})
		p.engines = append(p.engines, e)
		t.Cleanup(standin.NewServer(e, store, "models", "a", crashDown, crashLapse).Close)
	}
	p.entries[0].configure(nil, []string{"models"})
	for _, e := range p.entries {
		e.start()
	}
	start := time.Now()
	var nextCrashing time.Time
	for time.Since(start) < crashEnd {
		now := time.Now()
		if all := p.crashes(); len(all) >= countedCrash && now.Sub(all[countedCrash-1]) > crashWatched {
			break
		}
		p.wait.Go(func() {
			began := p.send("sound", fmt.Sprintf("5c1e07a2:800,%x:410", 0x100+rand.IntN(200)))
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sound[now] = began
		})
		if now.Sub(start) > crashQuiet && now.After(nextCrashing) {
			nextCrashing = now.Add(crashingPause)
			p.wait.Go(func() { p.send("crashing", "5c1e07a2:800,"+crashPart+":300") })
		}
		time.Sleep(time.Until(now.Add(soundPause)))
	}
	p.wait.Wait()
	all := p.crashes()
	qt.Assert(t, len(all) > 0, qt.IsTrue)
	counted := all[min(len(all), countedCrash)-1]
	late := p.late(counted.Add(stableTime))
	before, asked := p.beginning(start, start.Add(crashQuiet))
	after, askedAfter := p.beginning(counted.Add(2*stableTime), time.Now())
	t.Logf("%d crashes, %d requests late; began %.2f of %d before and %.2f of %d after", len(all), late, before, asked, after, askedAfter)
	qt.Check(t, len(all) < countedCrash || late <= maxLate, qt.IsTrue)
	qt.Check(t, after >= before/2, qt.IsTrue)
	qt.Check(t, askedAfter > 0, qt.IsTrue)
}
