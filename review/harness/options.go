package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["options"] = requestForNoPath }

// signature is the header that each success of an engine bears.
const signature = "Server-Signature"

// requestForNoPath has clients send requests at paths without a route, one of them for the server as a whole, beside ordinary requests. No
// success may come from anyone but an engine.
func requestForNoPath(r *run) bool {
	st := newStore()
	address := serve("127.0.25.1", st)
	st.put("config", "main", newConfig(1))
	for i := range 2 {
		startEngine(st, fmt.Sprintf("i-dec%d", i), "models", "decode", "127.0.25.2", 128)
		startEngine(st, fmt.Sprintf("i-portal%d", i), "portal", "", "127.0.25.2", 6)
	}
	g := r.startGateway("front-z-0", "127.0.25.10", address)
	if !g.awaitReady() {
		unable("not ready")
	}
	paths := []string{"GET /fetch/x", "OPTIONS /fetch/x"}
	if r.trouble {
		paths = append(paths, "GET /none/x", "GET /api/readyz", "OPTIONS /none/x", "OPTIONS *", "HEAD /none/x", "CONNECT a.example:80")
	}
	broken := false
	for range 20 {
		for _, path := range paths {
			id := newID()
			resp, err := raw(g.front, fmt.Sprintf("%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 1500\r\n\r\n", path, id), path[:4]) //nolint:bodyclose // raw closes its connection
			if err != nil {
				r.log("request %s: %s: %v", id, path, err)
				continue
			}
			isForged := resp.StatusCode/100 == 2 && resp.Header.Get(signature) == ""
			broken = broken || isForged
			r.log("request %s: %s: status %d, signature %q, success of no engine %t", id, path, resp.StatusCode, resp.Header.Get(signature), isForged)
		}
	}
	return broken
}

// raw sends bytes on a connection of its own and returns the first response.
func raw(address, text, method string) (*http.Response, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte(text)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
}
