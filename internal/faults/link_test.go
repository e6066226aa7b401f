package faults_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	// linkBytesPS is what a link of 10 Mbit/s carries beside the heads of its packets, in bytes a second.
	linkBytesPS = 10_000_000 / 8 * 94 / 100
	// longConfigBytes is the least size of the configuration; an object of the store has 1 MiB at most.
	longConfigBytes = 1_000_000
	linkKey         = "key-north"
)

// linkPlay is an entry whose store is behind a small link, with a configuration as long as the store allows.
type linkPlay struct {
	*entryPlay
	link     *proxy
	transfer time.Duration // that the configuration takes on the link
}

func newLinkPlay(t *testing.T) *linkPlay {
	p := &linkPlay{entryPlay: newEntryPlay(t)}
	p.link = newProxy(t, p.cfg.Store)
	p.link.setRate(linkBytesPS)
	p.cfg.Store = p.link.addr()
	p.cfg.Revocation = &standin.RevocationSettings{Strict: true, Within: 4 * time.Second}
	p.addUpstream("s-plain", "", "plain", 0, standin.EngineFaults{})
	p.putLongConfig(1)
	return p
}

// putLongConfig writes a version of the configuration.
func (p *linkPlay) putLongConfig(version int) {
	routes := []object{{"name": "first", "host": playHost, "pathPrefix": "/any/", "kind": "idempotent", "timeoutMs": 2000, "service": "plain", "maxAttempts": 2}}
	for size := 0; size < longConfigBytes; {
		n := len(routes)
		route := object{
			"name": fmt.Sprintf("route-%d", n), "host": fmt.Sprintf("host%d.example", n), "pathPrefix": fmt.Sprintf("/p%d/", n),
			"kind": "idempotent", "timeoutMs": 2000, "service": "plain", "maxAttempts": 2,
		}
		text, err := json.Marshal(route)
		qt.Assert(p.t, err, qt.IsNil)
		routes, size = append(routes, route), size+len(text)
	}
	configuration := object{
		"version": version, "routes": routes, "services": []object{{"name": "plain", "maxConnections": 200}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": longBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	standin.SetWorkspaces(configuration, []standin.Workspace{{Name: "north", Keys: []string{linkKey}}})
	p.store.Put("config", "main", configuration)
	p.transfer = longConfigBytes * time.Second / linkBytesPS
}

// awaitVersion waits until a version is in force; within is the bound without the transfer.
func (p *linkPlay) awaitVersion(version int, within time.Duration) {
	p.t.Helper()
	began := time.Now()
	for p.sample("fighollow_routing_version") != int64(version) {
		qt.Assert(p.t, time.Since(began) < within+p.transfer, qt.IsTrue, qt.Commentf("version %d is not in force; the entry's is %d", version, p.sample("fighollow_routing_version")))
		time.Sleep(20 * time.Millisecond)
	}
	p.t.Logf("version %d after %s", version, time.Since(began).Round(time.Millisecond))
}

// Guards against an entry that never reads a long configuration, because a call of the store is given up while its answer still arrives.
func TestLongConfigurationOnASmallLink(t *testing.T) {
	for name, play := range map[string]func(p *linkPlay){
		"silentStore": func(p *linkPlay) {
			p.link.setCut(true, true)
			time.Sleep(4 * time.Second)
			p.putLongConfig(2)
			p.link.reset()
			p.link.setCut(false, false)
			p.awaitVersion(2, p.cfg.Config)
		},
		"lostHistory": func(p *linkPlay) {
			p.store.SetFaults(standin.StoreFaults{DeafWatches: true})
			p.putLongConfig(2)
			p.store.Compact()
			p.store.SetFaults(standin.StoreFaults{})
			p.awaitVersion(2, p.cfg.Stable)
		},
		"storeRestarts": func(p *linkPlay) {
			p.putLongConfig(2)
			for range 3 { // each breaks off a call whose answer arrives
				time.Sleep(p.transfer / 2)
				p.link.reset()
			}
			p.awaitVersion(2, p.cfg.Config)
		},
		// Keys are confirmed by calls that read each change too.
		"changesInSeries": func(p *linkPlay) {
			for version := 2; version <= 4; version++ {
				p.putLongConfig(version)
				p.awaitVersion(version, p.cfg.Config)
			}
		},
		"kill": func(p *linkPlay) {
			p.end()
			p.startWithin(p.cfg.Config + p.transfer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newLinkPlay(t)
			p.startWithin(p.cfg.Config + p.transfer)
			p.awaitVersion(1, p.cfg.Config)
			played := make(chan struct{})
			var refused int
			var callers sync.WaitGroup
			if name == "changesInSeries" { // the others may leave keys unconfirmed
				callers.Go(func() { refused = p.countRefused(played) })
			}
			play(p)
			close(played)
			callers.Wait()
			qt.Check(t, refused, qt.Equals, 0)
			qt.Assert(t, p.entry.Process.Signal(syscall.Signal(0)), qt.IsNil)
		})
	}
}

// countRefused makes requests with a key until done is closed, and returns how many were not answered.
func (p *linkPlay) countRefused(done <-chan struct{}) (refused int) {
	for {
		select {
		case <-done:
			return refused
		case <-time.After(20 * time.Millisecond):
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+p.cfg.Ingress+"/any/a", nil)
		if err != nil {
			panic(err)
		}
		req.Host = playHost
		req.Header.Set(standin.HeaderRequest, p.nextID())
		req.Header.Set(standin.HeaderDeadline, "2000")
		req.Header.Set(standin.HeaderKey, linkKey)
		resp, err := p.client.Do(req)
		if err != nil {
			refused++
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			refused++
		}
	}
}

// startWithin starts the entry, which must be ready within a time.
func (p *linkPlay) startWithin(d time.Duration) {
	p.t.Helper()
	began := time.Now()
	p.start()
	took := time.Since(began)
	p.t.Logf("ready after %s", took.Round(time.Millisecond))
	qt.Assert(p.t, took < d, qt.IsTrue, qt.Commentf("ready after %s", took))
}
