//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowd is the number of callers, about half of the connections that an entry of this size accepts.
	crowd = 400
	// longID is the length in bytes of an id that leaves a header below the operator's limit of 16384.
	longID = 14 << 10
)

// playLongIDs has a crowd take up streams. With the disruption, the id of the request that began each is long, in a header of legal size.
func playLongIDs(b *bench) (bool, error) {
	for _, u := range []struct{ id, role string }{{"p1", "prefill"}, {"p2", "prefill"}, {"d1", "decode"}, {"d2", "decode"}} {
		if _, _, err := b.addEngine(u.id, u.role, nil); err != nil {
			return false, err
		}
	}
	b.configure()
	g, err := b.startGateway(1, nawafidh)
	if err != nil {
		return false, err
	}
	g.watchMemory(b.rec)
	var sent, answered, refused, failed atomic.Int64
	var failures sync.Map
	end := time.Now().Add(time.Duration(num("SECS", 90)) * time.Second)
	var wg sync.WaitGroup
	for i := range crowd {
		wg.Go(func() {
			k := caller{front: g.front}
			defer k.close()
			for n := 0; time.Now().Before(end) && !g.hasEnded(); n++ {
				sent.Add(1)
				id := fmt.Sprintf("%08x%08x", i, n)
				begunBy := id
				if b.trouble {
					begunBy = strings.Repeat("\xff", longID)
				}
				status, err := k.takeUp(id, begunBy)
				switch {
				case err != nil:
					failed.Add(1)
					failures.Store(err.Error()[strings.LastIndex(err.Error(), ": ")+1:], true)
					k.close()
					time.Sleep(50 * time.Millisecond)
				case status == http.StatusOK:
					answered.Add(1)
				default:
					refused.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	failures.Range(func(why, _ any) bool {
		b.rec.logf("some requests failed:%s", why)
		return true
	})
	b.rec.logf("requests sent %d, answered %d, refused %d, failed %d; most memory %d MB of %d MB", sent.Load(), answered.Load(), refused.Load(),
		failed.Load(), g.peakKB>>10, g.memoryMB)
	return g.killedFor || g.hasEnded(), nil
}

// caller is a caller that keeps its connection.
type caller struct {
	front string
	c     net.Conn
	r     *bufio.Reader
}

func (k *caller) close() {
	if k.c != nil {
		k.c.Close()
		k.c = nil
	}
}

// takeUp sends a request that takes up a stream which another request began, and returns the status of its answer.
func (k *caller) takeUp(id, begunBy string) (status int, err error) {
	if k.c == nil {
		if k.c, err = net.DialTimeout("tcp", k.front, time.Second); err != nil {
			k.c = nil
			return 0, err
		}
		k.r = bufio.NewReader(k.c)
	}
	_ = k.c.SetDeadline(time.Now().Add(5 * time.Second)) // fails only if the connection has ended
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /resume/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 4000\r\nModel: m\r\nToken-Usage: 1460,25\r\n"+
		"Prompt-Prefix: 5c1e07a2:350,%s:1110\r\nResumes: %s\r\nLast-Event-Id: 1\r\nContent-Length: 6\r\n\r\nprompt", callerHost, id, id, begunBy)
	if _, err := k.c.Write(text.Bytes()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		k.close()
	}
	return resp.StatusCode, nil
}
