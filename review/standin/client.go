package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id       string
	path     string
	method   string
	body     []byte
	prompt   string // Prompt-Prefix, for routes with models
	resumes  string // id of the attempt that brought the first event
	last     string // id of the last event
	deadline time.Duration
}

// outcome is what a client has got.
type outcome struct {
	status     int // 0: no answer
	retryAfter time.Duration
	signature  string
	body       string
	events     []event
	complete   bool
	err        error
}

type event struct {
	id      string
	version string
	engine  string
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends an attempt on a new connection. It sends nothing twice.
func do(g *gateway, q request, rec *recorder) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.front+q.path, bytes.NewReader(q.body))
	if err != nil {
		return outcome{err: err}
	}
	r.Host = "ficu95.example"
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Request-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.prompt != "" {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Usage", "1460,80")
		r.Header.Set("Prompt-Prefix", q.prompt)
	}
	if q.resumes != "" {
		r.Header.Set("Resumes", q.resumes)
		r.Header.Set("Last-Event-Id", q.last)
	}
	rec.add("client sends %s to %s: %s resumes=%q last=%q", q.id, g.name, q.path, q.resumes, q.last)
	o := receive(r)
	rec.add("client got for %s from %s: status %d, %d events, complete=%t, retry-after %v, error %v", q.id, g.name, o.status, len(o.events), o.complete, o.retryAfter, o.err)
	return o
}

func receive(r *http.Request) outcome {
	resp, err := httpClient.Do(r)
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	o := outcome{status: resp.StatusCode, signature: resp.Header.Get("Server-Signature")}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		data, err := io.ReadAll(resp.Body)
		o.body, o.err, o.complete = string(data), err, err == nil
		return o
	}
	lines := bufio.NewReader(resp.Body)
	var e event
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			o.complete = err == io.EOF && e == event{}
			if !o.complete {
				o.err = err
			}
			return o
		}
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "id:"):
			e.id = strings.TrimSpace(line[len("id:"):])
		case strings.HasPrefix(line, "data:"):
			if f := strings.Fields(line[len("data:"):]); len(f) >= 2 {
				e.version, e.engine = f[0], f[1]
			}
		case line == "" && e != event{}:
			o.events = append(o.events, e)
			e = event{}
		}
	}
}
