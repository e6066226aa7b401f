package faults_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/fighollow/fighollow/platform"
	"github.com/fighollow/fighollow/platform/standin"
)

const (
	// crowdTime is how long a crowd stays.
	crowdTime = 4 * time.Second
	// crowdDeadline is the deadline that the requests of a crowd name.
	crowdDeadline = 10 * time.Minute
	// ordinaryTime bounds the time until an ordinary request is answered, also on a slow machine.
	ordinaryTime = 60 * time.Second
	// ordinaryBytes is the length of a body that an ordinary caller sends, of a tenth of what the entry may hold of them.
	ordinaryBytes = 100 << 10
	// reservedFiles is the part of an instance's descriptors that is not for sockets.
	reservedFiles = 200
	// callersHeaderBytes fills the limit of the play's configuration, and leaves some bytes for the request line.
	callersHeaderBytes = 16000
	// playKey is the key of ordinary callers.
	playKey = "ordinary-key"
)

// crowd is a number of callers that send what ordinary ones do not. Each has one connection at a time.
type crowd struct {
	name        string
	callers     int
	descriptors int                             // of the entry's settings and its process
	address     func(p *entryPlay) string       // nil for that of callers
	send        func(p *entryPlay, c io.Writer) // ends early if the connection does
	unread      bool                            // no answer is read
	memoryMB    int                             // of the instance; 0 for smallMemoryMB
	faults      standin.EngineFaults            // of the engines
	keyed       bool                            // requests need a key
}

func readinessAddress(p *entryPlay) string { return p.cfg.Readiness }
func metricsAddress(p *entryPlay) string   { return p.metrics }

// head returns the header of a request without the blank line that ends it.
func (p *entryPlay) head(path, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s%s", path, playHost, standin.RequestFields(p.nextID(), crowdDeadline), fields)
}

// shortFields returns header fields of so many bytes, each with another name and no value.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

var manyFields, legalFields = shortFields(1 << 20), shortFields(callersHeaderBytes - 200)

// endlessHeader sends a header of short fields that does not end.
func endlessHeader(path string) func(p *entryPlay, c io.Writer) {
	return func(p *entryPlay, c io.Writer) {
		_, err := io.WriteString(c, p.head(path, ""))
		for err == nil {
			_, err = io.WriteString(c, manyFields)
		}
	}
}

// bodyBytes are shared by all callers of a crowd, whose bodies would take gigabytes.
var bodyBytes = make([]byte, longBody)

// unfinishedBody sends a body of n bytes that has a length and stops before its last byte, in writes of size bytes.
func unfinishedBody(path string, n, size int) func(p *entryPlay, c io.Writer) {
	return func(p *entryPlay, c io.Writer) {
		_, err := io.WriteString(c, p.head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", n)))
		for sent := 0; err == nil && sent < n-1; sent += size {
			_, err = c.Write(bodyBytes[:min(size, n-1-sent)])
		}
	}
}

// chunkedBody sends a body of n bytes in chunks of size bytes and leaves out the chunk that ends it.
func chunkedBody(path string, n, size int) func(p *entryPlay, c io.Writer) {
	return func(p *entryPlay, c io.Writer) {
		_, err := io.WriteString(c, p.head(path, "Transfer-Encoding: chunked\r\n\r\n"))
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
		for sent := 0; err == nil && sent < n; sent += size {
			_, err = c.Write(chunk)
		}
	}
}

// pipelined sends requests ahead without an end.
func pipelined(path string) func(p *entryPlay, c io.Writer) {
	return func(p *entryPlay, c io.Writer) {
		var err error
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat(p.head(path, "\r\n"), 10)) // without a body
		}
	}
}

// ownParts sends prompts of so many parts of their own, each of which claims the same number of tokens, one request after the other.
func ownParts(path string, n, tokens int) func(p *entryPlay, c io.Writer) {
	return func(p *entryPlay, c io.Writer) {
		var err error
		for err == nil {
			first := p.seq.Add(int64(n))
			parts := make([]string, n)
			for i := range parts {
				parts[i] = fmt.Sprintf("%x:%d", 1<<24+first+int64(i), tokens)
			}
			_, err = io.WriteString(c, p.head(path, standin.PromptLines(strings.Join(parts, ","))+"\r\n"))
		}
	}
}

// ownNames sends requests that name hosts, paths, models, keys and streams of their own.
func ownNames(p *entryPlay, c io.Writer) {
	var err error
	for err == nil {
		id := p.nextID()
		_, err = fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: %s\r\n%s\r\n", id, id, standin.RequestFields(id, crowdDeadline)) // without a route
		if err == nil {
			fields := strings.ReplaceAll(standin.PromptLines(id+":100,1:1"), ": m\r\n", ": "+id+"\r\n")
			_, err = io.WriteString(c, p.head(streamPath+id, fields+standin.HeaderKey+": "+id+"\r\n\r\n"))
		}
		if err == nil {
			_, err = io.WriteString(c, p.head(streamPath, standin.PromptLines("a:100")+standin.TakeUpLines(id, 2)+"\r\n"))
		}
	}
}

// longID is an id of a caller that leaves its header below the operator's limit. The log writes each of its bytes as six.
var longID = strings.Repeat("\xff", callersHeaderBytes-2000)

// longIDs sends requests one after the other that take up streams, with a long id of the stream, of its last event or of the request itself.
func longIDs(p *entryPlay, c io.Writer) {
	var err error
	for n := 0; err == nil; n++ {
		fields := standin.PromptLines("a:100")
		switch n % 4 {
		default:
			fields += standin.TakeUpLines(longID, 1)
		case 1:
			fields += fmt.Sprintf("%s%s: %s\r\n", standin.TakeUpLines(p.nextID(), 1), standin.HeaderLastEvent, longID)
		case 2:
			fields += fmt.Sprintf("%s: %s\r\n", standin.HeaderRequest, longID)
		}
		_, err = io.WriteString(c, p.head(streamPath, fields+"\r\n"))
	}
}

const (
	plainPath   = "/once/plain/x"
	streamPath  = "/stream/models/x"
	slowPath    = "/once/slow/x"
	longPath    = "/once/long/x"
	nowherePath = "/nowhere/x"
)

var crowds = []crowd{
	{name: "endlessHeader", callers: 200, send: endlessHeader(plainPath)},
	{name: "endlessHeaderForReadiness", callers: 200, address: readinessAddress, send: endlessHeader(platform.ReadinessPath)},
	{name: "endlessHeaderForMetrics", callers: 200, address: metricsAddress, send: endlessHeader("/metrics")},
	{name: "manyFields", callers: 1000, send: func(p *entryPlay, c io.Writer) {
		var err error
		for err == nil {
			_, err = io.WriteString(c, p.head(slowPath, legalFields+"\r\n"))
			time.Sleep(300 * time.Millisecond)
		}
	}},
	{name: "manyFieldsUnfinished", callers: 1000, send: func(p *entryPlay, c io.Writer) {
		_, _ = io.WriteString(c, p.head(slowPath, legalFields))
	}},
	{name: "unfinishedBody", callers: 1000, descriptors: 4096, send: unfinishedBody(plainPath, longBody, longBody)},
	{name: "unfinishedBodiesBeyondTheBacklog", callers: 3000, descriptors: 4096, send: unfinishedBody(plainPath, longBody, longBody)},
	{name: "unfinishedBodyInPieces", callers: 300, send: unfinishedBody(plainPath, longBody, 1000)},
	{name: "unfinishedChunks", callers: 300, send: chunkedBody(plainPath, longBody, 8<<10)},
	{name: "unfinishedSmallChunks", callers: 300, send: chunkedBody(plainPath, 1<<20, 1)},
	{name: "unfinishedBodyWithoutRoute", callers: 300, send: unfinishedBody(nowherePath, longBody, longBody)},
	{name: "unfinishedChunksWithoutRoute", callers: 300, send: chunkedBody(nowherePath, longBody, 8<<10)},
	{name: "unfinishedBodyForReadiness", callers: 300, address: readinessAddress, send: unfinishedBody(platform.ReadinessPath, longBody, longBody)},
	{name: "endlessChunks", callers: 300, send: chunkedBody(plainPath, 1<<40, 64<<10)},
	{name: "hugeBody", callers: 300, send: unfinishedBody(plainPath, 1<<40, 1<<20)},
	{name: "pipelined", callers: 300, send: pipelined(plainPath), unread: true},
	{name: "pipelinedWithoutRoute", callers: 300, send: pipelined(nowherePath), unread: true},
	{name: "pipelinedForReadiness", callers: 300, address: readinessAddress, send: pipelined(platform.ReadinessPath), unread: true},
	{name: "pipelinedLongAnswers", callers: 1000, descriptors: 4096, send: pipelined(longPath), unread: true},
	{name: "fewUnfinishedBodies", callers: 30, send: unfinishedBody(plainPath, longBody, longBody)},
	{name: "slowBody", callers: 600, descriptors: 512, send: func(p *entryPlay, c io.Writer) {
		_, err := io.WriteString(c, p.head(plainPath, "Content-Length: 100000\r\n\r\n"))
		for err == nil {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(c, "a")
		}
	}},
	{name: "silent", callers: 600, descriptors: 512, send: func(*entryPlay, io.Writer) {}},
	{name: "silentForReadiness", callers: 600, descriptors: 512, address: readinessAddress, send: func(*entryPlay, io.Writer) {}},
	{name: "lastByteMissing", callers: 600, descriptors: 512, send: unfinishedBody(plainPath, 10, 9)},
	{name: "lastByteMissingForReadiness", callers: 600, descriptors: 512, address: readinessAddress, send: unfinishedBody(platform.ReadinessPath, 10, 9)},
	{name: "partsWithoutTokens", callers: 40, send: ownParts(streamPath, 1250, 0)},
	{name: "partsWithoutTokensAt48MB", callers: 40, send: ownParts(streamPath, 1250, 0), memoryMB: 48},
	{name: "partsOfOneTokenAt48MB", callers: 40, send: ownParts(streamPath, 1250, 1), memoryMB: 48},
	{name: "partsForPlainServiceAt48MB", callers: 40, send: ownParts(plainPath, 1250, 0), memoryMB: 48},
	{name: "partsOfBrokenAnswers", callers: 40, send: ownParts(streamPath, 1250, 1), faults: standin.EngineFaults{CutAfter: 1}},
	{name: "partsOfBrokenAnswersAt48MB", callers: 40, send: ownParts(streamPath, 1250, 1), faults: standin.EngineFaults{CutAfter: 1}, memoryMB: 48},
	{name: "ownKeysAt48MB", callers: 40, send: ownNames, memoryMB: 48, keyed: true},
	{name: "ownRequestsAt48MB", callers: 40, send: ownParts(streamPath, 2, 100), memoryMB: 48},
	{name: "ownNamesAt48MB", callers: 40, send: ownNames, memoryMB: 48},
	{name: "longIDs", callers: 400, send: longIDs},
	{name: "manyLongIDsAt48MB", callers: 400, send: longIDs, memoryMB: 48},
	{name: "longIDsAt48MB", callers: 100, send: longIDs, memoryMB: 48},
	{name: "slowHeader", callers: 600, descriptors: 512, send: func(p *entryPlay, c io.Writer) {
		_, err := io.WriteString(c, p.head(plainPath, ""))
		for err == nil {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(c, "a")
		}
	}},
}

// join keeps one caller of the crowd connected until ctx ends, with a new connection whenever one is closed.
func (k *crowd) join(ctx context.Context, p *entryPlay) {
	address := p.cfg.Ingress
	if k.address != nil {
		address = k.address(p)
	}
	for ctx.Err() == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			wait(ctx.Done(), 50*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		if !k.unread {
			go func() {
				_, _ = io.Copy(io.Discard, c) // until the entry closes the connection
				c.Close()
			}()
		}
		k.send(p, c)
		if !k.unread {
			_, _ = c.Read(make([]byte, 1)) // until either side closes the connection
		}
		stop()
		c.Close()
		wait(ctx.Done(), 5*time.Millisecond)
	}
}

// resources are what the entry has of its instance.
type resources struct {
	resident, queued int64 // bytes; queued are those of its sockets in the kernel
	descriptors      int
}

// States of sockets in /proc/net/tcp whose queues hold no bytes of a connection: a listening socket counts connections there. For a
// connecting one the kernel can list a random number of 32 bits, and it takes no bytes for it, as TestConnectingSocketTakesNoBytes shows.
const (
	connecting = "02"
	listening  = "0A"
)

// resources reads what the entry has now. It fails the test if the entry has ended.
func (p *entryPlay) resources() resources {
	pid := p.entry.Process.Pid
	r := resources{resident: p.memory("VmRSS")}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	qt.Assert(p.t, err, qt.IsNil)
	r.descriptors = len(files)
	sockets, err := os.ReadFile("/proc/net/tcp")
	qt.Assert(p.t, err, qt.IsNil)
	local, remote := ports(p.cfg.Ingress, p.cfg.Readiness, p.metrics), ports(p.upstreams...)
	for line := range strings.Lines(string(sockets)) {
		f := strings.Fields(line) // number, local address, remote address, state, bytes to send:bytes to read, ...
		if !local[f[1]] && !remote[f[2]] || f[3] == listening || f[3] == connecting {
			continue
		}
		for queue := range strings.SplitSeq(f[4], ":") {
			n, _ := strconv.ParseInt(queue, 16, 64)
			r.queued += n
		}
	}
	return r
}

// ports returns loopback addresses as the kernel writes them.
func ports(addresses ...string) map[string]bool {
	out := make(map[string]bool)
	for _, a := range addresses {
		_, port, _ := net.SplitHostPort(a)
		n, _ := strconv.Atoi(port)
		out[fmt.Sprintf("0100007F:%04X", n)] = true
	}
	return out
}

// memory returns a value of the entry's status in bytes. It fails the test if the entry has ended.
func (p *entryPlay) memory(name string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.entry.Process.Pid))
	qt.Assert(p.t, err, qt.IsNil)
	_, value, ok := strings.Cut(string(status), name+":")
	qt.Assert(p.t, ok, qt.IsTrue, qt.Commentf("the entry has ended: %s", p.log.String()))
	kB, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
	qt.Assert(p.t, err, qt.IsNil)
	return kB << 10
}

// assertOrdinary makes ordinary requests on new connections until a short and a longer one are answered.
func (p *entryPlay) assertOrdinary(when string) {
	p.assertAnswered(when, "ordinary")
	p.assertAnswered(when, strings.Repeat("ordinary", ordinaryBytes/len("ordinary")))
}

func (p *entryPlay) assertAnswered(when, body string) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(ordinaryTime); ; time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.cfg.Ingress+plainPath, strings.NewReader(body))
		qt.Assert(p.t, err, qt.IsNil)
		req.Host = playHost
		req.Header.Set(standin.HeaderRequest, p.nextID())
		req.Header.Set(standin.HeaderDeadline, "5000")
		req.Header.Set(standin.HeaderKey, playKey)
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				return
			}
		}
		qt.Assert(p.t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no ordinary request of %d bytes is answered %s: %v", len(body), when, err))
	}
}

// Guards against bytes in the kernel that resources leaves out: sockets that are connecting can hold none.
func TestConnectingSocketTakesNoBytes(t *testing.T) {
	l, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = unix.Close(l) }()
	qt.Assert(t, unix.Bind(l, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	qt.Assert(t, unix.Listen(l, 0), qt.IsNil)
	to, err := unix.Getsockname(l)
	qt.Assert(t, err, qt.IsNil)
	remote := ports(fmt.Sprintf("127.0.0.1:%d", to.(*unix.SockaddrInet4).Port))
	// The queue of connections that nobody accepts is soon full, and the next socket goes on connecting.
	for range 8 {
		s, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = unix.Close(s) }()
		qt.Assert(t, unix.Connect(s, to), qt.ErrorIs, unix.EINPROGRESS)
		time.Sleep(20 * time.Millisecond)
		from, err := unix.Getsockname(s)
		qt.Assert(t, err, qt.IsNil)
		if socketState(t, ports(fmt.Sprintf("127.0.0.1:%d", from.(*unix.SockaddrInet4).Port)), remote) != connecting {
			continue
		}
		n, err := unix.SendmsgN(s, make([]byte, 4<<10), nil, nil, unix.MSG_DONTWAIT)
		qt.Assert(t, err, qt.ErrorIs, unix.EAGAIN)
		qt.Assert(t, n, qt.Equals, 0)
		return
	}
	t.Fatal("no socket went on connecting")
}

// socketState returns the state of the socket between two addresses in /proc/net/tcp.
func socketState(t *testing.T, local, remote map[string]bool) string {
	sockets, err := os.ReadFile("/proc/net/tcp")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(sockets)) {
		if f := strings.Fields(line); local[f[1]] && remote[f[2]] {
			return f[3]
		}
	}
	return ""
}

// Guards against an entry that exceeds the memory or the descriptors of its instance, ends, or stops to serve, because of callers that do not
// keep within the limits, or use them up. Only one crowd plays at a time.
func TestCrowds(t *testing.T) {
	for _, k := range crowds {
		t.Run(k.name, func(t *testing.T) { k.play(t) })
	}
}

func (k crowd) play(t *testing.T) {
	if k.descriptors == 0 {
		k.descriptors = 2048
	}
	p := newEntryPlay(t)
	if k.memoryMB == 0 {
		k.memoryMB = smallMemoryMB
	}
	p.cfg.Descriptors, p.cfg.MemoryMB = k.descriptors, k.memoryMB
	p.addUpstream("s-plain", "", "plain", 0, standin.EngineFaults{})
	p.addUpstream("s-slow", "", "slow", 0, standin.EngineFaults{Delay: time.Second})
	p.addUpstream("s-long", "", "long", 0, standin.EngineFaults{PartBytes: longAnswer})
	for i := range 4 {
		p.addUpstream(fmt.Sprintf("p-%d", i), "prefill", "models", 0, k.faults)
		p.addUpstream(fmt.Sprintf("d-%d", i), "decode", "models", 2, k.faults)
	}
	var workspaces []standin.Workspace
	if k.keyed {
		workspaces = []standin.Workspace{{Name: "w", Keys: []string{playKey}}}
	}
	p.configure([]string{"plain", "slow", "long"}, []string{"models"}, workspaces...)
	p.start()
	limit := unix.Rlimit{Cur: uint64(k.descriptors), Max: uint64(k.descriptors)} //nolint:gosec // positive
	qt.Assert(t, unix.Prlimit(p.entry.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil), qt.IsNil)
	p.assertOrdinary("before the crowd")

	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for range k.callers {
		callers.Go(func() { k.join(ctx, p) })
	}
	var peak resources
	var most int64
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r := p.resources()
		most = max(most, r.resident+r.queued)
		peak = resources{max(peak.resident, r.resident), max(peak.queued, r.queued), max(peak.descriptors, r.descriptors)}
	}
	p.assertOrdinary("beside the crowd")
	cancel()
	callers.Wait()
	p.assertOrdinary("after the crowd")
	for end := time.Now().Add(ordinaryTime); !p.isReady(); time.Sleep(100 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the entry is not ready after the crowd"))
	}
	most = max(most, p.memory("VmHWM"))
	t.Logf("at most %d MB, %d resident and %d in the kernel at a time; %d descriptors", most>>20, peak.resident>>20, peak.queued>>20, peak.descriptors)
	qt.Check(t, most <= int64(k.memoryMB)<<20, qt.IsTrue, qt.Commentf("%d MB of %d", most>>20, k.memoryMB))
	qt.Check(t, peak.descriptors <= k.descriptors-reservedFiles, qt.IsTrue, qt.Commentf("%d of %d", peak.descriptors, k.descriptors-reservedFiles))
}

// Guards against a bound on connections that ordinary callers meet: each has a connection that is idle for less than the idle timeout, and
// must be able to use it again.
func TestManyIdleConnectionsAreReused(t *testing.T) {
	const callers = 1200
	p := newEntryPlay(t)
	p.cfg.Descriptors = 3075
	p.addUpstream("s-plain", "", "plain", 0, standin.EngineFaults{})
	p.configure([]string{"plain"}, nil)
	p.start()
	conns := make([]net.Conn, callers)
	for round := range 2 {
		answered := 0
		for i := range conns {
			if round == 0 {
				c, err := net.Dial("tcp", p.cfg.Ingress)
				qt.Assert(t, err, qt.IsNil)
				defer c.Close()
				conns[i] = c
			}
			if p.isAnswered(conns[i]) {
				answered++
			}
		}
		qt.Check(t, answered, qt.Equals, callers, qt.Commentf("requests on connections in round %d", round))
	}
}

// isAnswered makes a request on an open connection.
func (p *entryPlay) isAnswered(c net.Conn) bool {
	if _, err := io.WriteString(c, p.head(plainPath, "\r\n")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
