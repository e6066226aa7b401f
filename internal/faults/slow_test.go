package faults_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	playHost = "callers.example"
	// segmentBytes is the segment size of sockets in the play. With the 64 KB of the loopback device, the kernel buffers more than a
	// megabyte for each connection.
	segmentBytes  = 1448
	slowCallers   = 600
	longAnswer    = 1_000_000 // bytes
	longBody      = 4 << 20   // bytes
	shortEvents   = longAnswer / 4000
	bodySenders   = 40
	playDeadline  = 8 * time.Second
	smallMemoryMB = 144
)

// watch samples the entry until ctx is done.
func (p *entryPlay) watch(ctx context.Context) {
	for ctx.Err() == nil {
		p.peak.Store(max(p.peak.Load(), p.sample("fighollow_process_heap_bytes")))
		p.unread.Store(max(p.unread.Load(), p.sample("fighollow_held_unread_callers")))
		for i, kind := range []string{"request", "answer"} {
			p.held[i].Store(max(p.held[i].Load(), p.sample("fighollow_held_"+kind+"_bytes")))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// header returns the header of a request for path.
func (p *entryPlay) header(path string, bodyBytes int) string {
	h := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n",
		path, playHost, standin.RequestFields(p.nextID(), playDeadline), bodyBytes)
	if strings.HasPrefix(path, "/stream/") {
		h += standin.HeaderModel + ": m\r\n" + standin.HeaderTokens + ": 1460,80\r\n"
	}
	return h + "\r\n"
}

// dial opens a connection to the entry that holds little for a caller that does not read.
func (p *entryPlay) dial() net.Conn {
	c, err := (&net.Dialer{Control: smallSegments}).DialContext(p.t.Context(), "tcp", p.cfg.Ingress)
	qt.Assert(p.t, err, qt.IsNil)
	return c
}

// request makes a request of a normal caller, again if it is refused, as by a machine that is short of processor time. It returns how long
// that took until the end of the answer, and whether the answer is complete.
func (p *entryPlay) request(path string) (time.Duration, bool) {
	start := time.Now()
	for {
		complete, refused := p.attempt(path)
		if took := time.Since(start); !refused || took > playDeadline {
			return took, complete
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// attempt makes a request. It reports whether its answer is complete, and whether it was refused as not run.
func (p *entryPlay) attempt(path string) (complete, refused bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.cfg.Ingress+path, nil)
	if err != nil {
		return false, false
	}
	req.Host = playHost
	req.Header.Set(standin.HeaderRequest, p.nextID())
	req.Header.Set(standin.HeaderDeadline, strconv.FormatInt(playDeadline.Milliseconds(), 10))
	if strings.HasPrefix(path, "/stream/") {
		req.Header.Set(standin.HeaderModel, "m")
		req.Header.Set(standin.HeaderTokens, "1460,80")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		p.t.Logf("%s: %v", path, err)
		return false, false
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	complete = err == nil && resp.StatusCode == http.StatusOK && (path == normalPaths[0] || n >= longAnswer)
	if !complete {
		p.t.Logf("%s: status %d, %d bytes, %v", path, resp.StatusCode, n, err)
	}
	return complete, resp.StatusCode == http.StatusServiceUnavailable
}

// normalPaths are those of normal callers' requests: a stream of short events, a stream of one long event, and a long plain answer.
var normalPaths = []string{"/stream/normal/x", "/stream/normal/x", "/stream/long/x", "/once/plain/x"}

// normal makes the requests of normal callers for a time. It returns the median and the 90th percentile of their durations, and how many had no complete answer.
func (p *entryPlay) normal(d time.Duration) (median, p90 time.Duration, incomplete int) {
	var mu sync.Mutex
	var took []time.Duration
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for k, end := i, time.Now().Add(d); time.Now().Before(end); k++ {
				t, ok := p.request(normalPaths[k%len(normalPaths)])
				mu.Lock()
				if took = append(took, t); !ok {
					incomplete++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*9/10], incomplete
}

// sendSlowly sends a long body in parts with pauses and reads the status of the answer.
func (p *entryPlay) sendSlowly() string {
	c := p.dial()
	defer c.Close()
	go func() {
		_, err := io.WriteString(c, p.header("/once/slow/x", longBody))
		for sent := 0; err == nil && sent < longBody; sent += 64 << 10 {
			time.Sleep(30 * time.Millisecond)
			_, err = c.Write(make([]byte, 64<<10))
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 30))
	return resp.Status + " " + string(text)
}

// unreadPaths are those of requests whose callers read nothing: a stream of short events, a stream of one long event, and a plain answer.
var unreadPaths = []string{"/stream/unread/x", "/stream/unreadLong/x", "/once/plain/x"}

// openUnread opens connections of callers that request long answers and read nothing.
func (p *entryPlay) openUnread(n int) []net.Conn {
	var conns []net.Conn
	for i := range n {
		c := p.dial()
		p.t.Cleanup(func() { c.Close() })
		qt.Assert(p.t, c.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
		_, err := io.WriteString(c, p.header(unreadPaths[i%len(unreadPaths)], 0))
		qt.Assert(p.t, err, qt.IsNil)
		conns = append(conns, c)
	}
	return conns
}

// readLate reads the answer of a caller that has read nothing so far, and returns how many events it has; -1 if it is incomplete.
func readLate(c net.Conn) int {
	if err := c.(*net.TCPConn).SetReadBuffer(1 << 20); err != nil {
		return -1
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 64<<10), nil)
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1
	}
	return bytes.Count(body, []byte("\n\n"))
}

// Guards against an entry that is killed for its memory, or delays all callers, because some do not read their answers and some engines do
// not read long requests.
func TestSlowReadersAreBounded(t *testing.T) {
	p := newEntryPlay(t)
	const unreadLimit = 3 * time.Second
	plain := []string{"plain", "slow"}
	models := []string{"normal", "unread", "long", "unreadLong"}
	for _, s := range models {
		p.addUpstream("p-"+s, "prefill", s, 1, standin.EngineFaults{Delay: 20 * time.Millisecond})
	}
	p.addUpstream("d-normal", "decode", "normal", 10, standin.EngineFaults{Delay: 20 * time.Millisecond})
	p.addUpstream("d-long", "decode", "long", 1, standin.EngineFaults{PartBytes: longAnswer, Delay: 100 * time.Millisecond})
	p.addUpstream("d-unread1", "decode", "unread", shortEvents, standin.EngineFaults{PartBytes: 4000, UnreadLimit: unreadLimit})
	p.addUpstream("d-unread2", "decode", "unread", shortEvents, standin.EngineFaults{PartBytes: 4000, UnreadLimit: unreadLimit})
	p.addUpstream("d-unreadLong", "decode", "unreadLong", 1, standin.EngineFaults{PartBytes: longAnswer, UnreadLimit: unreadLimit})
	p.addUpstream("s-plain", "", "plain", 0, standin.EngineFaults{PartBytes: longAnswer, Delay: 100 * time.Millisecond, UnreadLimit: unreadLimit})
	p.addUpstream("s-slow", "", "slow", 0, standin.EngineFaults{ReadPause: 30 * time.Millisecond})
	p.configure(plain, models)
	p.start()

	p.normal(500 * time.Millisecond)
	median, p90, incomplete := p.normal(2 * time.Second)
	qt.Assert(t, incomplete, qt.Equals, 0)
	before := p.sample("fighollow_process_heap_bytes")

	ctx, cancel := context.WithCancel(t.Context())
	var watch, senders sync.WaitGroup
	watch.Go(func() { p.watch(ctx) })
	opened := time.Now()
	conns := p.openUnread(slowCallers)
	late := make([]int, 4) // events of streams that their engine has aborted before their callers read
	var readers sync.WaitGroup
	for i := range late {
		readers.Go(func() {
			time.Sleep(time.Until(opened.Add(unreadLimit + 2*time.Second)))
			late[i] = readLate(conns[i*len(unreadPaths)])
		})
	}
	var mu sync.Mutex
	statuses := map[string]int{}
	for range bodySenders {
		senders.Go(func() {
			s := p.sendSlowly()
			mu.Lock()
			defer mu.Unlock()
			statuses[s]++
		})
	}
	slowMedian, slowP90, slowIncomplete := p.normal(5 * time.Second)
	senders.Wait()
	cancel()
	watch.Wait()
	readers.Wait()
	for _, c := range conns[100:] {
		c.Close()
	}
	for end := time.Now().Add(5 * time.Second); p.sample("fighollow_held_request_bytes") != 0 || p.sample("fighollow_held_unread_callers") != 0; time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("what is held is not freed within 5 s"))
	}
	after := p.sample("fighollow_process_heap_bytes")
	for end := time.Now().Add(5 * time.Second); after > smallMemoryMB<<20/10 && time.Now().Before(end); after = p.sample("fighollow_process_heap_bytes") {
		p.normal(200 * time.Millisecond) // garbage is collected as requests allocate
	}
	p.end()
	t.Logf("median %v, with slow callers %v; 90th percentile %v and %v; incomplete %d", median, slowMedian, p90, slowP90, slowIncomplete)
	t.Logf("heap %d MB before, peak %d MB; held at most %d bytes of requests and %d of answers, unread at most %d callers; bodies: %v",
		before>>20, p.peak.Load()>>20, p.held[0].Load(), p.held[1].Load(), p.unread.Load(), statuses)
	t.Logf("heap %d MB afterwards", after>>20)
	qt.Check(t, late, qt.DeepEquals, []int{shortEvents, shortEvents, shortEvents, shortEvents})
	qt.Check(t, bytes.Count(p.log.Bytes(), []byte(`"result":"failed"`)), qt.Equals, 0)
	qt.Check(t, bytes.Count(p.log.Bytes(), []byte(`"outcome":"unread"`)) > 0, qt.IsTrue)
	qt.Check(t, p.unread.Load() >= slowCallers*9/10, qt.IsTrue)
	qt.Check(t, after <= smallMemoryMB<<20/10, qt.IsTrue, qt.Commentf("%d bytes", after))
	qt.Check(t, slowIncomplete, qt.Equals, 0)
	qt.Check(t, slowMedian <= 2*median, qt.IsTrue) // the 90th percentile depends on what else the machine does, and is logged
	qt.Check(t, p.peak.Load() <= smallMemoryMB<<20/3, qt.IsTrue, qt.Commentf("%d bytes", p.peak.Load()))
}
