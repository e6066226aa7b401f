package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/fighollow/fighollow/internal/standin/answers"
	"github.com/fighollow/fighollow/pkg/fighollow"
	"github.com/fighollow/fighollow/platform/standin"
)

// Routes of the soak's configuration. A route's path prefix is its name between slashes.
const (
	routeOnce   = "once"   // plain, must not be repeated
	routeAny    = "any"    // plain, may be repeated
	routeStream = "stream" // must not be repeated
	routeResume = "resume" // may be resumed
	soakHost    = "callers.example"
	// Routes of runs with workspaces that need no key.
	routeOpen       = "open"       // plain, may be repeated
	routeOpenStream = "openstream" // must not be repeated
)

var soakRoutes = []string{routeOnce, routeAny, routeStream, routeResume}

// Parts of the prompts. crashPart crashes engines while its fault lasts; it is never the last of a prompt.
const (
	firstPart  = "5c1e07a2"
	middlePart = "91bd3f06"
	crashPart  = "bad0c0de"
)

// crashRequests is the share of the streams that have crashPart: one in so many.
const crashRequests = 12

// drawPrompt draws the parts of a request's prompt.
func drawPrompt(r *rand.Rand, request string) string {
	parts := []string{firstPart + ":800", middlePart + ":410"}
	if r.IntN(crashRequests) == 0 {
		parts = slices.Insert(parts, r.IntN(len(parts)+1), crashPart+":300")
	}
	return fmt.Sprintf("%s,%x:250", strings.Join(parts, ","), 1+size(request, 1<<40))
}

// partOf returns crashPart if a prompt holds it, and nothing otherwise.
func partOf(prompt string) string {
	if strings.Contains(prompt, crashPart+":") {
		return crashPart
	}
	return ""
}

func isStream(route string) bool {
	return route == routeStream || route == routeResume || route == routeOpenStream
}

func isPublic(route string) bool { return route == routeOpen || route == routeOpenStream }

// routeOf returns the route of a target.
func routeOf(target string) string { return strings.SplitN(strings.TrimPrefix(target, "/"), "/", 2)[0] }

// size returns a number below n that depends on the request only.
func size(request string, n uint64) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request)) // never fails
	return int(h.Sum64() % n)
}

// streamEvents returns the events of a stream after the first ones.
func streamEvents(request string, after int) []string {
	var out []string
	for i := after + 1; i <= 2+size(request, 12); i++ {
		out = append(out, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, request, i))
	}
	return out
}

// expectedBody returns the whole body of the answer to a request.
func expectedBody(route, request string) string {
	if isStream(route) {
		return strings.Join(streamEvents(request, 0), "")
	}
	n := 1 + size(request, 40)
	if n > 36 {
		n *= 200 // above what is buffered
	}
	return strings.Repeat("answer to "+request+"\n", n)
}

// atomicBytes is the size up to which a socket takes a body at once, so that the death of its sender does not cut it.
const atomicBytes = 8 << 10

// delivery is how an upstream sends one answer.
type delivery struct {
	answer answers.Answer
	cut    int
	reset  bool
	late   string // bytes after the answer
}

// drawDelivery draws how to send a body. A body without framing that is cut in an orderly way is cut where the cut shows: the
// end of such a connection between two events, or within a plain body, is the end of the answer.
func drawDelivery(r *rand.Rand, faulty float64, header http.Header, body string, stream bool) delivery {
	framings := []fighollow.Framing{fighollow.FramingLength, fighollow.FramingChunked, fighollow.FramingChunked, fighollow.FramingConnection}
	d := delivery{
		answer: answers.Answer{Header: header, Body: body, Framing: framings[r.IntN(len(framings))], ChunkBytes: 1 + r.IntN(4000)},
		cut:    answers.Whole,
	}
	if !stream && len(body) > atomicBytes && d.answer.Framing == fighollow.FramingConnection {
		d.answer.Framing = fighollow.FramingChunked // the end of a killed process would look like that of the answer
	}
	if r.Float64() >= faulty {
		return d
	}
	if r.IntN(4) == 0 && d.answer.Framing != fighollow.FramingConnection {
		d.late = "HTTP/1.1 200 OK\r\n" + standin.HeaderRequest + ": other\r\nContent-Length: 1\r\n\r\nx"
		return d
	}
	d.cut = r.IntN(max(1, len(d.answer.Encoded())))
	d.reset = r.IntN(2) == 0
	if d.answer.Framing == fighollow.FramingConnection && !d.reset {
		if !stream {
			d.reset = true
		} else if strings.HasSuffix(body[:d.cut], "\n\n") {
			d.cut++
		}
	}
	return d
}
