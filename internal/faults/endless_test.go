package faults_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/standin/endless"
	"github.com/fighollow/fighollow/platform/standin"
)

const (
	endlessCallers = 24
	endlessTime    = 2 * time.Second
)

// Guards against a process that runs out of memory because a faulty upstream sends bytes without end, in a head or in a body.
func TestBytesWithoutEndStayInTheMemoryOfTheProcess(t *testing.T) {
	const (
		answer  = "HTTP/1.1 200 OK\r\n" + standin.HeaderRequest + ": " + endless.IDPlaceholder + "\r\n"
		chunked = answer + "Transfer-Encoding: chunked\r\n\r\n"
		stream  = answer + "Content-Type: text/event-stream\r\n\r\n"
	)
	for name, bytes := range map[string]endless.Answer{
		"noAnswer":       {Repeat: "a"},
		"headerLine":     {Begin: answer + "A: ", Repeat: "a"},
		"headerLines":    {Begin: answer, Repeat: "A: b\r\n"},
		"informational":  {Repeat: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"foreignBody":    {Begin: "HTTP/1.1 200 OK\r\n" + standin.HeaderRequest + ": other\r\n\r\n", Repeat: "x"},
		"body":           {Begin: answer + "\r\n", Repeat: "x"},
		"chunks":         {Begin: chunked, Repeat: "5\r\nhello\r\n"},
		"chunkExtension": {Begin: chunked + "1;a=", Repeat: "b"},
		"trailers":       {Begin: chunked + "1\r\nx\r\n0\r\n", Repeat: "A: b\r\n"},
		"event":          {Begin: stream + "data: ", Repeat: "x"},
		"comments":       {Begin: stream, Repeat: ": x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newEntryPlay(t)
			p.addUpstream("s-plain", "", "plain", 0, standin.EngineFaults{})
			s, err := endless.New(standin.HeaderRequest, bytes)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(s.Close)
			p.store.Put("servers", "s-bad", standin.NewEngine("s-bad", "").Spec("bad", s.Address(), "a"))
			p.store.Put("servers", "d-bad", standin.NewEngine("d-bad", "decode").Spec("models", s.Address(), "a"))
			p.upstreams = append(p.upstreams, s.Address())
			p.configure([]string{"plain", "bad"}, []string{"models"})
			p.start()
			p.assertOrdinary("before the bytes")
			var callers sync.WaitGroup
			end := time.Now().Add(endlessTime)
			for i := range endlessCallers {
				path := []string{"/once/bad/a", "/stream/models/a"}[i%2]
				callers.Go(func() {
					for time.Now().Before(end) {
						p.readFor(path, time.Until(end))
					}
				})
			}
			var most int64
			for time.Now().Before(end) {
				r := p.resources()
				most = max(most, r.resident+r.queued)
				time.Sleep(20 * time.Millisecond)
			}
			p.assertOrdinary("beside the bytes")
			callers.Wait()
			most = max(most, p.memory("VmHWM"))
			t.Logf("at most %d MB; the upstream sent %d MB to %d requests", most>>20, s.Sent()>>20, s.Requests())
			qt.Check(t, s.Requests() > 0, qt.IsTrue)
			qt.Check(t, most <= smallMemoryMB<<20, qt.IsTrue, qt.Commentf("%d MB of %d", most>>20, smallMemoryMB))
		})
	}
}

// readFor makes a request and reads its answer for a time.
func (p *entryPlay) readFor(path string, d time.Duration) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.cfg.Ingress+path, strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	req.Host = playHost
	for name, value := range standin.PromptFields(p.nextID(), playDeadline, "1:300,2:250") {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: max(d, time.Millisecond), Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // ends with the time-out
	time.Sleep(10 * time.Millisecond)
}
