//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playPaths sends requests whose paths have characters that some programs escape. With the disruption, the paths begin with two slashes.
func playPaths(b *bench) (bool, error) {
	e, _, err := b.addEngine("s1", "", nil)
	if err != nil {
		return false, err
	}
	b.routes = append(b.routes, object{
		"name": "root", "host": "root.example", "pathPrefix": "/", "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2,
		"service": "plain", "maxAttempts": 1,
	})
	b.configure()
	g, err := b.startGateway(1, alfaiate)
	if err != nil {
		return false, err
	}
	slashes := "/"
	if b.trouble {
		slashes = "//"
	}
	changed := 0
	for i, rest := range []string{
		"fabrics/7", "fabrics/{7}", "fabrics/a|b", "fabrics/\"7\"", "fabrics/a^b", "fabrics/linho-de-verão", "fabrics/7?size={1}", "fabrics/%7B7%7D",
	} {
		target := slashes + rest
		status, err := post(g.front, target, fmt.Sprintf("%016x", i+1))
		if err != nil {
			b.rec.logf("sent %q: %v", target, err)
			continue
		}
		ran := ""
		for _, run := range e.Runs() {
			if run.Request == fmt.Sprintf("%016x", i+1) {
				ran = run.Target
			}
		}
		b.rec.logf("sent %q, status %d, the engine ran %q", target, status, ran)
		if ran != "" && ran != target {
			changed++
		}
	}
	b.rec.logf("requests that ran with another path: %d", changed)
	return changed > 0, nil
}

// post sends a request with this target, byte for byte.
func post(front, target, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second)) // fails only if the connection has ended
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: root.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 2000\r\nContent-Length: 5\r\n\r\norder", target, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
