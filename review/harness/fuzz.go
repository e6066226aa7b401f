package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["fuzz"] = fuzz }

type fz struct {
	mu   sync.Mutex
	runs map[string]int
	asked map[string]bool
	fin  map[string]string // how last answer ended
	note map[string][]string
}

const lastPiece = 8

// rawEngine serves an engine over TCP with random faults.
func rawEngine(f *fz, st *store, id, service, stage, ip string, bad float64) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		unable("%v", err)
	}
	spec := map[string]any{"service": service, "address": l.Addr().String(), "zone": "z", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 0, "born": time.Now().UnixMilli()}
	if stage != "" {
		spec["stage"] = stage
	}
	st.put("servers", id, spec)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.conn(c.(*net.TCPConn), id, stage, bad)
		}
	}()
}

func (f *fz) conn(c *net.TCPConn, id, stage string, bad float64) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 64<<10)
	var wmu sync.Mutex
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		rid := req.Header.Get("Request-Id")
		if rid == "" {
			_, _ = io.Copy(io.Discard, req.Body)
			body := `{"epoch":1,"next":0,"lost":false,"events":[]}`
			if strings.Contains(req.URL.Path, "report") {
				body = fmt.Sprintf(`{"stage":%q,"models":[],"busy":false,"sequence":0,"born":1,"queued":0,"active":1,"kvUsed":1000,"kvTotal":532628}`, stage)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		if w := req.Header.Get("Expect-Instance"); w != id {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 M\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", rid)
			continue
		}
		k := 0
		if rand.Float64() < bad {
			k = 1 + rand.IntN(16)
		}
		note := func(s string) { f.mu.Lock(); f.note[rid] = append(f.note[rid], id+":"+s); f.mu.Unlock() }
		head := "Request-Id: " + rid + "\r\n"
		late := ""
		early := false
		if req.ContentLength > 20000 && rand.Float64() < bad {
			early = true
			note("early")
		}
		if !early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if k == 1 || k == 2 {
			note("refuse")
			r := "HTTP/1.1 503 X\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, r)
			if k == 2 {
				go func() { time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond); wmu.Lock(); defer wmu.Unlock(); _, _ = io.WriteString(c, r) }()
			}
			if early {
				return
			}
			continue
		}
		f.mu.Lock()
		f.runs[rid]++
		f.mu.Unlock()
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		head += "Server-Signature: s." + id + "." + rid + "\r\n"
		var pieces []string
		if stage != "" {
			head += "Content-Type: text/event-stream\r\n"
			after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
			for n := after + 1; n <= lastPiece; n++ {
				pieces = append(pieces, fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, rid, n))
			}
		} else {
			pieces = []string{"whole ", "answer ", "to ", rid, strings.Repeat("x", rand.IntN(3)*40000)}
		}
		all := strings.Join(pieces, "")
		framing := rand.IntN(3)
		out := "HTTP/1.1 200 OK\r\n" + head
		note(fmt.Sprintf("framing%d,len%d,k%d,reqlen%d", framing, len(all), k, req.ContentLength))
		end := ""
		switch framing {
		case 0:
			out += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(all)) + all
		case 1:
			out += "Transfer-Encoding: chunked\r\n\r\n"
			for _, p := range pieces {
				if p != "" {
					out += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
				}
			}
			end = "0\r\n\r\n"
		case 2:
			out += "\r\n" + all
		}
		out += end
		switch k {
		case 3: // truncated and reset
			note("cutreset")
			_, _ = io.WriteString(c, out[:rand.IntN(len(out))])
			time.Sleep(2 * time.Millisecond)
			_ = c.SetLinger(0)
			return
		case 4: // truncated, orderly (not for unframed)
			if framing != 2 {
				note("cutfin")
				_, _ = io.WriteString(c, out[:rand.IntN(len(out))])
				return
			}
		case 5:
			note("noanswer")
			return
		case 6:
			note("noanswerreset")
			_ = c.SetLinger(0)
			return
		case 7: // a second answer at once
			if framing != 2 {
				note("extra")
				out += out
			}
		case 8:
			if framing != 2 {
				note("extralate")
				late = out
			}
		case 9:
			note("garbage")
			out = "%%%%garbage\r\n\r\n" + out
		case 10:
			if framing != 2 {
				note("garbageafter")
				late = "garbage\r\n\r\n"
			}
		case 11:
			note("500")
			out = "HTTP/1.1 500 E\r\n" + head + "Content-Length: 5\r\n\r\nerror"
			framing = 0
		case 12:
			note("wrongid")
			out = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: x\r\nContent-Length: 3\r\n\r\nbad" + out
		case 13:
			note("1xx")
			out = strings.Repeat("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", 20) + out
		case 14:
			note("endlesshead")
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			for range 3000 {
				if _, err := io.WriteString(c, "X-Y: "+strings.Repeat("y", 1000)+"\r\n"); err != nil {
					return
				}
			}
			return
		case 15:
			note("dup503")
			// refusal of the same id after the answer
			if framing != 2 {
				late = "HTTP/1.1 503 X\r\nRequest-Id: " + rid + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			}
		case 16:
			note("hang")
			time.Sleep(3 * time.Second)
			return
		}
		f.mu.Lock()
		f.fin[rid] = "whole"
		f.mu.Unlock()
		wmu.Lock()
		for len(out) > 0 {
			n := min(len(out), 1+rand.IntN(2000))
			if rand.IntN(10) == 0 {
				time.Sleep(time.Millisecond)
			}
			if _, err := io.WriteString(c, out[:n]); err != nil {
				note(fmt.Sprintf("writeerr:%v left %d", err, len(out)))
				wmu.Unlock()
				return
			}
			out = out[n:]
		}
		wmu.Unlock()
		if framing == 2 {
			return
		}
		if late != "" {
			go func() { time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond); wmu.Lock(); defer wmu.Unlock(); _, _ = io.WriteString(c, late) }()
		}
		if early {
			time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	}
}

func fuzz(r *run) bool {
	st := newStore()
	address, _ := serve("127.0.23.1", st)
	st.put("config", "main", newConfig(1))
	f := &fz{runs: map[string]int{}, asked: map[string]bool{}, fin: map[string]string{}, note: map[string][]string{}}
	bad, _ := strconv.ParseFloat(os.Getenv("BAD"), 64)
	for i := range 4 {
		rawEngine(f, st, fmt.Sprintf("i-dec%d", i), "models", "decode", "127.0.23.2", bad)
		rawEngine(f, st, fmt.Sprintf("i-por%d", i), "portal", "", "127.0.23.2", bad)
	}
	g := r.startGateway("front-z-0", "127.0.23.10", "z", address)
	if !g.awaitReady(10 * time.Second) {
		unable("not ready")
	}
	var wg sync.WaitGroup
	var total, ok, broken atomic.Int64
	fail := func(a *answer, kind, why string) {
		broken.Add(1)
		f.mu.Lock()
		n, runs := strings.Join(f.note[a.id], " "), f.runs[a.id]
		f.mu.Unlock()
		r.log("BROKEN %s %s: id %s status %d whole %t err %v runs %d notes [%s] len %d header %v body %.60q", kind, why, a.id, a.status, a.whole, a.err, runs, n, len(a.body), a.header, a.body)
	}
	end := time.Now().Add(time.Duration(60) * time.Second)
	for range 24 {
		wg.Go(func() {
			c := newClient()
			for time.Now().Before(end) {
				path := []string{"/status/x", "/fetch/x", "/memo/x"}[rand.IntN(3)]
				body := ""
				if rand.IntN(3) == 0 {
					body = strings.Repeat("b", rand.IntN(100000))
				}
				h := map[string]string{}
				if path == "/memo/x" {
					h = map[string]string{"Model": "m", "Token-Usage": "100,8", "Prompt-Prefix": "aa:50,bb:50"}
				}
				a := ask(c, g.front, "POST", "a.example", path, h, body, 1500*time.Millisecond)
				total.Add(1)
				f.mu.Lock()
				runs := f.runs[a.id]
				f.mu.Unlock()
				if path == "/status/x" && runs > 1 {
					fail(&a, path, "TWICE")
				}
				if path == "/status/x" && (a.status == 503 || a.status == 429) {
					time.Sleep(50 * time.Millisecond)
					f.mu.Lock()
					runs = f.runs[a.id]
					f.mu.Unlock()
					if runs > 0 {
						fail(&a, path, "REFUSED")
					}
				}
				if a.status == 200 && a.whole {
					ok.Add(1)
					if a.header.Get("Server-Signature") == "" || !strings.HasSuffix(a.header.Get("Server-Signature"), a.id) {
						fail(&a, path, "signature")
					}
					if path == "/memo/x" {
						want := ""
						for n := 1; n <= lastPiece; n++ {
							want += fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, a.id, n)
						}
						if a.body != want {
							fail(&a, path, "pieces")
						}
					} else if strings.TrimRight(a.body, "x") != "whole answer to "+a.id || (len(a.body)-len("whole answer to "+a.id))%40000 != 0 {
						fail(&a, path, "body")
					}
				} else if a.status == 200 && path == "/memo/x" {
					want := ""
					for n := 1; n <= lastPiece; n++ {
						want += fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, a.id, n)
					}
					if !strings.HasPrefix(want, a.body) {
						fail(&a, path, "partial pieces")
					}
				}
				if a.status != 200 && a.status != 500 && a.status != 502 && a.status != 503 && a.status != 504 && a.status != 0 {
					fail(&a, path, "status")
				}
				if !g.isRunning() {
					r.log("BROKEN the process has ended")
					broken.Add(1)
					return
				}
			}
		})
	}
	wg.Wait()
	r.log("total %d ok %d broken %d rss %.0f", total.Load(), ok.Load(), broken.Load(), g.residentMB())
	return broken.Load() > 0
}
