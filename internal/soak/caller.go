package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fighollow/fighollow/platform"
	"github.com/fighollow/fighollow/platform/standin"
)

// Entry names the addresses of one entry.
type Entry struct {
	Name      string
	Ingress   string // of the proxy in front of it
	Readiness string
}

// Callers sends requests to the entries that report themselves ready, over connections that each worker keeps open until the
// entry closes them.
type Callers struct {
	Name    string
	Entries []Entry
	Workers int
	Resting int // workers that rest between two requests on a connection for up to four fifths of the operator's idle timeout
	Seed    uint64
	Rude    bool // some callers cut their requests, read slowly, speak HTTP/1.0 or rest for as long as the idle timeout
	// CrashPart lets some streams have a part that can crash engines.
	CrashPart bool
	// Workspaces lets requests have keys, or lack them, and some go to public routes.
	Workspaces bool
	Recorder   *Recorder

	mu     sync.Mutex
	misses []int // consecutive failed readiness checks of each entry
}

// Run sends requests until ctx is done, and waits for the answers.
func (c *Callers) Run(ctx context.Context) {
	c.misses = make([]int, len(c.Entries))
	var wg sync.WaitGroup
	wg.Go(func() { c.checkReadiness(ctx) })
	for i := range c.Workers + c.Resting {
		wg.Go(func() {
			w := &worker{
				c: c, name: fmt.Sprintf("%s-%d", c.Name, i), rnd: rand.New(rand.NewPCG(c.Seed, uint64(i))),
				prompts: rand.New(rand.NewPCG(c.Seed, uint64(i)<<32+1)), keys: rand.New(rand.NewPCG(c.Seed, uint64(i)<<32+2)),
			}
			for ctx.Err() == nil {
				w.request()
				sleep(ctx, w.rest(i))
			}
			w.hangUp()
		})
	}
	wg.Wait()
}

// checkReadiness asks each entry once a second, as the platform's load balancer does.
func (c *Callers) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for i, e := range c.Entries {
			resp, err := client.Get("http://" + e.Readiness + platform.ReadinessPath)
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				resp.Body.Close()
			}
			c.mu.Lock()
			if c.misses[i]++; ok {
				c.misses[i] = 0
			}
			c.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// pick returns an entry in rotation, or any if none is.
func (c *Callers) pick(r *rand.Rand) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []Entry
	for i, e := range c.Entries {
		if c.misses[i] < 2 {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		ready = c.Entries
	}
	return ready[r.IntN(len(ready))]
}

// worker sends one request at a time.
type worker struct {
	c    *Callers
	name string
	rnd  *rand.Rand
	n    int
	// prompts draws the prompts, so that the other draws do not depend on CrashPart.
	prompts *rand.Rand
	keys    *rand.Rand // draws the credentials, for the same reason
	nc      net.Conn
	br      *bufio.Reader
	to      string // name of the entry at the other end of nc
}

// rest returns for how long the worker of this number waits before its next request. Of the callers that rest long, every other
// rude one sends at about the time at which the entry closes the connection, which is what the platform's callers never do.
func (w *worker) rest(number int) time.Duration {
	const margin = 3 * time.Millisecond
	switch {
	case number < w.c.Workers:
		return time.Duration(w.rnd.ExpFloat64() * float64(40*time.Millisecond))
	case w.c.Rude && number%2 == 0:
		return idleTimeout - margin + time.Duration(w.rnd.Int64N(int64(2*margin)))
	}
	return idleTimeout/2 + time.Duration(w.rnd.Int64N(int64(idleTimeout*3/10)))
}

func (w *worker) hangUp() {
	if w.nc != nil {
		w.nc.Close()
		w.nc = nil
	}
}

const requestDeadline = 3 * time.Second

// request sends one request and records what came of it.
func (w *worker) request() {
	w.n++
	id := fmt.Sprintf("%s-%d", w.name, w.n)
	route := soakRoutes[w.rnd.IntN(len(soakRoutes))]
	var who credentials
	if w.c.Workspaces {
		who = drawCredentials(w.keys)
		if w.keys.IntN(8) == 0 {
			route = []string{routeOpen, routeOpenStream}[w.keys.IntN(2)]
		}
	}
	got := Record{Kind: KindGot, Request: id, Route: route}
	if w.nc == nil {
		entry := w.c.pick(w.rnd)
		nc, err := net.DialTimeout("tcp", entry.Ingress, time.Second)
		if err != nil {
			got.NotSent, got.Text = true, err.Error()
			w.c.Recorder.Add(got)
			return
		}
		w.nc, w.br, w.to = nc, bufio.NewReader(nc), entry.Name
	}
	got.Entry = w.to
	prompt := firstPart + ":800," + middlePart + ":410,e4402b7d:250"
	if w.c.CrashPart {
		prompt = drawPrompt(w.prompts, id)
	}
	if !isStream(route) {
		prompt = ""
	}
	text, proto, cut := w.message(id, route, prompt, who)
	w.c.Recorder.Add(Record{Kind: KindSent, Request: id, Route: route, NotSent: cut, Part: partOf(prompt), Key: who.key, Text: who.form})
	// The caller waits longer than its deadline, to see what the entry does at it.
	_ = w.nc.SetDeadline(time.Now().Add(requestDeadline + time.Second))
	_, err := io.WriteString(w.nc, text)
	if cut {
		w.hangUp()
		return
	}
	if err == nil {
		err = w.read(&got, proto)
	}
	if err != nil {
		got.Text = err.Error()
	}
	if err != nil || proto == "HTTP/1.0" {
		w.hangUp()
	}
	w.c.Recorder.Add(got)
}

// message returns a request as it is sent. cut reports that its end is left out.
func (w *worker) message(id, route, prompt string, who credentials) (text, proto string, cut bool) {
	proto = "HTTP/1.1"
	if w.c.Rude && w.rnd.IntN(10) == 0 {
		proto = "HTTP/1.0"
	}
	method := http.MethodPost
	if w.rnd.IntN(2) == 0 {
		method = http.MethodGet // has no body, whose loss would keep the request from being passed on
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/x %s\r\nHost: %s\r\n%s", method, route, proto, soakHost, standin.RequestFields(id, requestDeadline))
	b.WriteString(who.header)
	if prompt != "" {
		b.WriteString(standin.PromptLines(prompt))
	}
	body := strings.Repeat("b", 1+w.rnd.IntN(20_000))
	switch {
	case method == http.MethodGet:
		b.WriteString("\r\n")
	case w.rnd.IntN(2) == 0 || proto == "HTTP/1.0":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	text = b.String()
	if w.c.Rude && w.rnd.IntN(25) == 0 {
		return text[:w.rnd.IntN(len(text)-5)], proto, true
	}
	return text, proto, false
}

// read reads the answer. An error means that it did not look complete.
func (w *worker) read(got *Record, proto string) error {
	resp, err := http.ReadResponse(w.br, &http.Request{Method: http.MethodPost, Proto: proto})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got.Status = resp.StatusCode
	got.Instance = strings.TrimPrefix(resp.Header.Get(standin.HeaderSignature), "sig-")
	if w.c.Rude && w.rnd.IntN(20) == 0 {
		time.Sleep(200 * time.Millisecond)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	got.Complete = true
	got.Whole = string(body) == expectedBody(got.Route, got.Request) && resp.Header.Get(standin.HeaderRequest) == got.Request
	if !got.Whole && got.Status == http.StatusOK {
		got.Text = fmt.Sprintf("%d bytes for %q", len(body), resp.Header.Get(standin.HeaderRequest))
	}
	if resp.Close {
		w.hangUp()
	}
	return nil
}
