package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["versions"] = restartedVersions }

const (
	piecesOfStream = 25
	pieceInterval  = 80 * time.Millisecond
	// downTime is how long a crashed engine is down, and registerDelay how long after its start it writes its entry: engines write one
	// approximately each 1,200 ms.
	downTime      = 400 * time.Millisecond
	registerDelay = 1100 * time.Millisecond
	crashInterval = 900 * time.Millisecond
	// mixedStreams is how many streams may hold events of two versions.
	mixedStreams = 2
	// releases is how often each decode engine gets a new version.
	releases = 2
)

// restartedVersions has decode engines crash one after the other and start again, under their ids and at their addresses, with the next
// version of their software.
func restartedVersions(r *run) bool {
	st := newStore()
	address := serve("127.0.22.1", st)
	st.put("config", "main", newConfig(1))
	for i := range 8 {
		e := startEngine(st, fmt.Sprintf("i-pre%d", i), "models", "prefill", "127.0.22.2", 128)
		e.handle = e.slowStream // it may be ordered to decode
	}
	startEngine(st, "i-portal", "portal", "", "127.0.22.2", 6)
	var decode []*engine
	var runs []*process
	for i := range 4 {
		e := &engine{
			id: fmt.Sprintf("i-dec%d", i), service: "models", stage: "decode", slots: 128, version: "v1", born: time.Now().UnixMilli(),
			st: st, address: freePort("127.0.22.2"),
		}
		e.handle = e.slowStream
		decode, runs = append(decode, e), append(runs, e.run())
		e.register()
	}
	g := r.startGateway("front-z-0", "127.0.22.10", address)
	if !g.awaitReady() {
		unable("not ready")
	}
	time.Sleep(3 * time.Second)
	end := make(chan struct{})
	var clients sync.WaitGroup
	var streams, whole, mixed atomic.Int64
	for i := range 40 {
		clients.Go(func() {
			c := newClient()
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				a := ask(c, g.front, "/memo/x", map[string]string{
					"Model": "m", "Token-Usage": "1460,25", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e4%04x%02x:250", n, i),
				}, "", 8*time.Second)
				if a.status != http.StatusOK {
					a.log("not served")
					time.Sleep(300 * time.Millisecond)
					continue
				}
				streams.Add(1)
				if a.whole {
					whole.Add(1)
				}
				if by, isMixed := order(a.body); isMixed {
					mixed.Add(1)
					a.log("events of two versions: " + by)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		var back sync.WaitGroup
		for release := range releases {
			for i, e := range decode {
				runs[i].crash()
				r.log("%s crashes", e.id)
				back.Go(func() {
					time.Sleep(downTime)
					e.mu.Lock()
					e.version, e.born = fmt.Sprintf("v%d", release+2), time.Now().UnixMilli()
					e.mu.Unlock()
					runs[i] = e.run()
					r.log("%s is back as v%d", e.id, release+2)
					time.Sleep(registerDelay)
					e.register()
					r.log("%s has written its entry", e.id)
				})
				time.Sleep(crashInterval)
			}
			back.Wait()
			time.Sleep(time.Second)
		}
	}
	time.Sleep(6 * time.Second)
	close(end)
	clients.Wait()
	r.log("streams: %d, whole: %d, with events of two versions: %d", streams.Load(), whole.Load(), mixed.Load())
	return mixed.Load() > mixedStreams
}

// slowStream answers with a stream whose events name the version of the engine's software.
func (e *engine) slowStream(w http.ResponseWriter, r *http.Request) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= piecesOfStream; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s %s %s\n\n", n, n, r.Header.Get("Request-Id"), e.id, version); err != nil {
			return true
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return true
		case <-time.After(pieceInterval):
		}
	}
	return true
}

// order returns by which engines the events of a stream were made, in order, and whether these were of several versions.
func order(body string) (by string, isMixed bool) {
	var out []string
	last, versions := "", map[string]bool{}
	for line := range strings.Lines(body) {
		fields := strings.Fields(line)
		if len(fields) != 7 || fields[0] != "data:" {
			continue
		}
		versions[fields[6]] = true
		if by := fields[5] + " " + fields[6]; by != last {
			out, last = append(out, by+" from piece "+fields[2]), by
		}
	}
	return strings.Join(out, ", "), len(versions) > 1
}
