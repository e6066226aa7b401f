package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["parts"] = manyParts }

const (
	// partsOfRequest fit into a header of 16,384 bytes, the operator's limit.
	partsOfRequest = 1750
	hostileClients = 20
	observedTime   = 25 * time.Second
	// endsThatBreak is how often processes end on each machine of two for the rule to be broken.
	endsThatBreak = 3
)

// manyParts has clients send requests of legal size whose prompts have many short parts. The platform kills a process that exceeds
// the memory of its machine, and starts it again.
func manyParts(r *run) bool {
	st := newStore()
	address := serve("127.0.21.1", st)
	st.put("config", "main", newConfig(1))
	for i := range 6 {
		startEngine(st, fmt.Sprintf("i-pre%d", i), "models", "prefill", "127.0.21.2", 128)
		startEngine(st, fmt.Sprintf("i-dec%d", i), "models", "decode", "127.0.21.2", 128)
	}
	startEngine(st, "i-portal", "portal", "", "127.0.21.2", 6)
	var gateways []*gateway
	for i := range 2 {
		gateways = append(gateways, r.startGateway(fmt.Sprintf("front-z-%d", i), fmt.Sprintf("127.0.21.%d", 10+i), address))
	}
	for _, g := range gateways {
		if !g.awaitReady() {
			unable("%s is not ready", g.name)
		}
	}
	end := make(chan struct{})
	var watched, clients sync.WaitGroup
	var sent, served, ordinary, ordinaryServed atomic.Int64
	ends := make([]int, len(gateways))
	for i, g := range gateways {
		watched.Go(func() { ends[i] = g.holdToMemory(end) })
	}
	for i := range hostileClients {
		clients.Go(func() {
			c, g := newClient(), gateways[i%len(gateways)]
			for n := 0; r.trouble; n++ {
				select {
				case <-end:
					return
				default:
				}
				sent.Add(1)
				a := ask(c, g.front, "/memo/x", map[string]string{
					"Model": "m", "Token-Usage": fmt.Sprintf("%d,3", partsOfRequest), "Prompt-Prefix": promptOfParts(i, n),
				}, "", 8*time.Second)
				if a.status == 200 {
					served.Add(1)
				} else {
					time.Sleep(200 * time.Millisecond)
				}
				if n == 0 {
					a.log(fmt.Sprintf("first of client %d", i))
				}
			}
		})
	}
	for i := range 4 {
		clients.Go(func() {
			c, g := newClient(), gateways[i%len(gateways)]
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := ask(c, g.front, "/memo/x", map[string]string{
					"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:410,e4%04x%02x:250", n, i),
				}, "", 4*time.Second)
				ordinary.Add(1)
				if a.status == 200 && a.whole {
					ordinaryServed.Add(1)
				}
			}
		})
	}
	time.Sleep(observedTime)
	close(end)
	clients.Wait()
	watched.Wait()
	r.log("requests of many parts: %d sent, %d served; ordinary requests: %d sent, %d served", sent.Load(), served.Load(), ordinary.Load(), ordinaryServed.Load())
	broken := true
	for i, g := range gateways {
		r.log("%s: %d ends for want of memory", g.name, ends[i])
		broken = broken && ends[i] >= endsThatBreak
	}
	return broken
}

// promptOfParts returns a prompt of distinct parts without tokens.
func promptOfParts(client, n int) string {
	var b strings.Builder
	first := (client<<16|n)*partsOfRequest + 1
	for i := range partsOfRequest {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:0", uint32(first+i)*2654435761>>8|1) // six digits at most
	}
	return b.String()
}

// holdToMemory kills the process when it exceeds the memory of its machine, as the platform does, and starts it again. It returns how often
// that was.
func (g *gateway) holdToMemory(end <-chan struct{}) int {
	ends, most := 0, 0.0
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-end:
			g.r.log("%s: resident memory at its peak: %.0f MB", g.name, most)
			return ends
		case <-tick.C:
		}
		mb := g.residentMB()
		most = max(most, mb)
		if n%100 == 0 {
			g.r.log("%s: %.0f MB resident", g.name, mb)
		}
		if mb <= float64(g.memoryMB) {
			continue
		}
		ends++
		g.r.log("%s: %.0f MB resident, above the %d MB of its machine: killed", g.name, mb, g.memoryMB)
		g.kill()
		time.Sleep(500 * time.Millisecond)
		g.start()
	}
}
