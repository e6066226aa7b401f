//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	// versionEngines are the engines of the old version, a third of which decode, and versionEntries the entries.
	versionEngines = 18
	versionEntries = 3
	versionEvents  = 30
	// versionPlay is how long new streams are sent, streamsPerSecond of them.
	versionPlay      = 30 * time.Second
	streamsPerSecond = 20
	// releaseFrom is when the release begins; two engines at a time are replaced, each releaseGap.
	releaseFrom = 5 * time.Second
	releaseGap  = time.Second
	// crashDelay is the time from the end of the release to the crash, and newStreams how long after it new streams are counted.
	crashDelay   = 3 * time.Second
	newStreams   = 8 * time.Second
	drainTime    = 2 * time.Second // drainMs of alfaiate-comum
	streamsDue   = 8 * time.Second // deadline of a client
	minTakenUp   = 12              // streams that the rule asks for
	newFirstTime = 400 * time.Millisecond
)

// replaced are the engines that the release replaces, by number: 8 of 18, four of the six that decode among them.
var replaced = []int{0, 3, 6, 9, 1, 2, 4, 5}

// streams counts what the clients see.
type streams struct {
	b        *bench
	entries  []*gatewayProcess
	client   *http.Client
	crashAt  atomic.Int64 // Unix nanoseconds; 0 before
	sent     atomic.Int64
	whole    atomic.Int64
	takenUp  atomic.Int64
	wentOn   atomic.Int64
	newSent  atomic.Int64 // after the crash
	newBegan atomic.Int64
}

// playVersions has the last two engines that decode for the old version crash at the same moment, after a release has replaced a part of them.
func playVersions(b *bench) (bool, error) {
	var engines []*engine
	for i := range versionEngines {
		role := "prefill"
		if i%3 == 0 {
			role = "decode"
		}
		e, err := b.startEngine(fmt.Sprintf("%02d", i), role, "v1", versionEvents, noCrash)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	b.configure()
	s := &streams{b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	for i := range versionEntries {
		g, err := b.startGateway(i+1, alfaiate)
		if err != nil {
			return false, err
		}
		s.entries = append(s.entries, g)
	}
	time.Sleep(3 * time.Second)
	released := make(chan error, 1)
	go func() { released <- s.release(engines) }()
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / streamsPerSecond)
	defer tick.Stop()
	start := time.Now()
	for n := 1; time.Since(start) < versionPlay; n++ {
		<-tick.C
		wg.Go(func() { s.play(n) })
	}
	wg.Wait()
	if err := <-released; err != nil {
		return false, err
	}
	b.rec.logf("streams %d, whole at the first entry %d; taken up %d, of which %d went on; new ones in %s after the crash %d, of which %d began",
		s.sent.Load(), s.whole.Load(), s.takenUp.Load(), s.wentOn.Load(), newStreams, s.newSent.Load(), s.newBegan.Load())
	if s.takenUp.Load() < minTakenUp || s.newSent.Load() == 0 {
		return false, nil
	}
	goOn, begin := float64(s.wentOn.Load())/float64(s.takenUp.Load()), float64(s.newBegan.Load())/float64(s.newSent.Load())
	b.rec.logf("share that goes on: %.2f; share of new ones that begin: %.2f", goOn, begin)
	return goOn < begin/2, nil
}

// release replaces engines by those of a new version, the new ones first, and then has the decode engines of the old version crash.
func (s *streams) release(engines []*engine) error {
	time.Sleep(releaseFrom)
	for i, n := range replaced {
		old := engines[n]
		if _, err := s.b.startEngine(fmt.Sprintf("n%02d", n), old.stage(), "v2", versionEvents, noCrash); err != nil {
			return err
		}
		time.Sleep(newFirstTime)
		old.drain(drainTime)
		if i%2 == 1 {
			time.Sleep(releaseGap)
		}
	}
	time.Sleep(crashDelay)
	if !s.b.trouble {
		return nil
	}
	s.crashAt.Store(time.Now().UnixNano())
	crashed, serve := 0, 0
	for _, e := range engines {
		switch {
		case !e.serves():
		case e.stage() == "decode":
			crashed++
			e.mu.Lock()
			e.gone = true
			s.b.rec.logf("engine %s of version v1 crashes", e.id)
			e.mu.Unlock()
			e.crash()
		default:
			serve++
		}
	}
	s.b.rec.logf("engines that crash: %d of %d; engines of v1 that serve on: %d", crashed, versionEngines, serve)
	return nil
}

// play sends a request for a stream, and takes the stream up at another entry if it breaks off: once, and once more if the client is told
// when to come back and that is within a third of the time that it has left.
func (s *streams) play(n int) {
	s.sent.Add(1)
	id, sentAt := fmt.Sprintf("%016x", n), time.Now()
	deadline := sentAt.Add(streamsDue)
	last, err := s.follow(n, id, "", 0, deadline)
	crashAt := s.crashAt.Load()
	if crashAt > 0 && sentAt.UnixNano() > crashAt && sentAt.UnixNano() < crashAt+int64(newStreams) {
		s.newSent.Add(1)
		if last > 0 {
			s.newBegan.Add(1)
		}
	}
	switch {
	case err == nil:
		s.whole.Add(1)
		return
	case last == 0 || crashAt == 0:
		s.b.rec.logf("stream %s: %d events, %v", id, last, err)
		return
	}
	s.takenUp.Add(1)
	for try := 1; try <= 2; try++ {
		next, err := s.follow(n+try, fmt.Sprintf("%08x%08x", try, n), id, last, deadline)
		s.b.rec.logf("stream %s broke off after event %d; taken up, try %d: event %d, %v", id, last, try, next, err)
		if next > last {
			s.wentOn.Add(1)
			return
		}
		var wait retryAfter
		if !errors.As(err, &wait) || time.Duration(wait) > time.Until(deadline)/3 {
			return
		}
		time.Sleep(time.Duration(wait))
	}
}

// retryAfter is the error of a request that was refused as not run, with the time after which its client may come back.
type retryAfter time.Duration

func (r retryAfter) Error() string {
	return fmt.Sprintf("status 503, come back after %s", time.Duration(r))
}

// follow reads a stream to its end at an entry, from the beginning or after an event of the stream that another request began. It returns the
// last event.
func (s *streams) follow(entry int, id, begunBy string, after int, deadline time.Time) (last int, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	url := "http://" + s.entries[entry%len(s.entries)].front + "/resume/a"
	own := id[8:]
	if begunBy != "" {
		own = begunBy[8:]
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt "+own))
	if err != nil {
		return after, err
	}
	req.Host = callerHost
	for name, value := range standin.PromptFields(id, time.Until(deadline), "5eed:350,a"+own+":1110") {
		req.Header[name] = []string{value}
	}
	if begunBy != "" {
		req.Header[standin.HeaderResumes], req.Header[standin.HeaderLastEvent] = []string{begunBy}, []string{strconv.Itoa(after)}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return after, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode == http.StatusServiceUnavailable && err == nil {
			return after, retryAfter(seconds * float64(time.Second))
		}
		return after, fmt.Errorf("status %d", resp.StatusCode)
	}
	last = after
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text) // the engines write numbers
		}
	}
	if err := lines.Err(); err != nil {
		return last, err
	}
	if last < versionEvents {
		return last, io.ErrUnexpectedEOF
	}
	return last, nil
}
