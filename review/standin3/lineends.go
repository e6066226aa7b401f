//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	streamEvents = 10
	// cutAfter is the number of events after which the connection of a new stream breaks.
	cutAfter = 5
)

// playLineEnds breaks the connections of streams between two events. The engines end the lines of their events by CR, as the format of
// event streams allows.
func playLineEnds(b *bench) (bool, error) {
	for i := range 6 {
		id, role := fmt.Sprintf("e%02d", i), []string{"prefill", "decode"}[i%2]
		wrap := func(h http.Handler) http.Handler {
			if role == "prefill" {
				return h
			}
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/api/") || r.Header.Get(standin.HeaderExpectID) != id {
					h.ServeHTTP(w, r)
					return
				}
				b.stream(w, r, id)
			})
		}
		if _, _, err := b.addEngine(id, role, wrap); err != nil {
			return false, err
		}
	}
	b.configure()
	g, err := b.startGateway(1, alfaiate)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	wrong := 0
	for n := range 10 {
		ids, err := readStream(g.front, n)
		b.rec.logf("request %016x: the caller got the events %v; error %v", n, ids, err)
		for i, id := range ids {
			if id != i+1 {
				wrong++
				break
			}
		}
	}
	b.rec.logf("streams with events that are missing or come twice: %d", wrong)
	return wrong > 0, nil
}

// stream answers a request as an engine. The connection of a stream that is not resumed breaks, with the disruption.
func (b *bench) stream(w http.ResponseWriter, r *http.Request, engine string) {
	last := r.Header.Get(standin.HeaderLastEvent)
	b.rec.logf("engine %s runs request %s after event %q", engine, r.Header.Get(standin.HeaderRequest), last)
	_, _ = io.Copy(io.Discard, r.Body) // an error means that the caller has left
	first := 1
	if n, err := strconv.Atoi(last); err == nil {
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(standin.HeaderRequest, r.Header.Get(standin.HeaderRequest))
	w.Header().Set(standin.HeaderSignature, "sig-"+engine)
	for i := first; i <= streamEvents; i++ {
		fmt.Fprintf(w, "id: %d\rdata: piece %d\r\r", i, i)
		_ = http.NewResponseController(w).Flush() // fails if the caller has left
		time.Sleep(20 * time.Millisecond)
		if b.trouble && last == "" && i == cutAfter {
			panic(http.ErrAbortHandler)
		}
	}
}

// readStream sends a request and returns the ids of the events of its answer.
func readStream(front string, n int) (ids []int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/resume/a", strings.NewReader(fmt.Sprintf("prompt %d", n)))
	if err != nil {
		return nil, err
	}
	req.Host = callerHost
	for k, v := range standin.PromptFields(fmt.Sprintf("%016x", n), 6*time.Second, fmt.Sprintf("5eed%x:350,a%x:1110", n, n)) {
		req.Header[k] = []string{v}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	for line := range strings.SplitSeq(string(body), "\r") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ := strconv.Atoi(text) // 0 is never expected
			ids = append(ids, id)
		}
	}
	return slices.Clip(ids), err
}
