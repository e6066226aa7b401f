//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fighollow/fighollow/platform/standin"
)

const (
	// crashEntries and crashEngines are the sizes of the plays with engines that crash; a third of the engines decode.
	crashEntries = 2
	crashEngines = 18
	// perSecond is the rate of requests, and crashPlay how long they are sent.
	perSecond = 30
	crashPlay = 50 * time.Second
	// deadlyFrom is when the first request comes that crashes engines. From then on one of deadlyEach does.
	deadlyFrom = 5 * time.Second
	deadlyEach = 30
	// commonFrom is when a part that was sound begins to crash engines, and firstParts how many such parts there are.
	commonFrom = 20 * time.Second
	firstParts = 3

	deadlyPart  = "dead0bad"
	deadlyBody  = "the deadly prompt"
	sharedParts = 20
)

// stable is stableWindowMs of alfaiate-comum.
const stable = 3 * time.Second

// playDeepPart has a part of a prompt crash each engine that begins to write an answer on it. It is the 18th of 21 parts.
func playDeepPart(b *bench) (bool, error) {
	crashes := func(prompt, _ string) (int, bool) { return 0, strings.Contains(prompt, deadlyPart+":") }
	depth := num("DEPTH", 17)
	request := func(n int, at time.Duration) (parts, body string, deadly bool) {
		deadly = n%deadlyEach == 0 && at > deadlyFrom && b.trouble
		var list []string
		for i := range sharedParts {
			id := fmt.Sprintf("5eed%02x", i)
			if deadly && i == depth {
				id = deadlyPart
			}
			list = append(list, id+":64")
		}
		own := fmt.Sprintf("a%07x", n) // no two are alike
		return strings.Join(append(list, own+":180"), ","), "prompt " + own, deadly
	}
	engines, err := b.playCrashes(5, crashes, request)
	if err != nil {
		return false, err
	}
	return b.judgeCrashes(engines, 5, func(a arrival) bool { return strings.Contains(a.prompt, deadlyPart+":") }), nil
}

// playLateCrash has a request crash each engine that runs it, 0.8 s after the first event of its answer.
func playLateCrash(b *bench) (bool, error) {
	crashes := func(_, body string) (int, bool) { return num("EVENTS", 8), body == deadlyBody }
	request := func(n int, at time.Duration) (parts, body string, deadly bool) {
		if n%deadlyEach == 0 && at > deadlyFrom && b.trouble {
			return "5eed:350,dead:1110", deadlyBody, true // it comes again
		}
		return fmt.Sprintf("5eed:350,a%x:1110", n), fmt.Sprintf("prompt %d", n), false
	}
	engines, err := b.playCrashes(16, crashes, request)
	if err != nil {
		return false, err
	}
	return b.judgeCrashes(engines, 3, func(a arrival) bool { return strings.HasSuffix(a.fingerprint, deadlyBody) }), nil
}

// playCommonPart has one of three parts, with which all prompts begin, crash each engine that begins to write an answer on it. Until then it was
// sound.
func playCommonPart(b *bench) (bool, error) {
	var crashing atomic.Bool
	crashes := func(prompt, _ string) (int, bool) {
		return 0, crashing.Load() && strings.HasPrefix(prompt, deadlyPart+":")
	}
	request := func(n int, at time.Duration) (parts, body string, deadly bool) {
		if b.trouble && at > commonFrom {
			crashing.Store(true)
		}
		first := fmt.Sprintf("5eed%04x", n%firstParts)
		if n%firstParts == 0 {
			first = deadlyPart
		}
		own := fmt.Sprintf("a%07x", n) // no two are alike
		return first + ":2520," + own + ":2890", "prompt " + own, n%firstParts == 0 && crashing.Load()
	}
	engines, err := b.playCrashes(5, crashes, request)
	if err != nil {
		return false, err
	}
	return b.judgeCrashes(engines, 5, func(a arrival) bool { return strings.HasPrefix(a.prompt, deadlyPart+":") }), nil
}

// judgeCrashes reports whether more than three requests that match reached engines later than the stable window after the n-th crash.
func (b *bench) judgeCrashes(engines []*engine, n int, matches func(arrival) bool) bool {
	crashes := allCrashes(engines)
	b.rec.logf("crashes: %d", len(crashes))
	if len(crashes) < n {
		return false
	}
	late := arrivedAfter(engines, crashes[n-1].Add(stable), matches)
	b.rec.logf("requests that crash engines and reached one later than %s after crash %d: %d", stable, n, late)
	return late > 3
}

// requestFunc returns the parts and the body of the n-th request, which is sent at a time after the first, and whether it crashes engines.
type requestFunc func(n int, at time.Duration) (parts, body string, deadly bool)

// playCrashes sends requests to several entries, of which some crash engines.
func (b *bench) playCrashes(events int, crashes func(prompt, body string) (int, bool), request requestFunc) ([]*engine, error) {
	var engines []*engine
	for i := range crashEngines {
		role := "prefill"
		if i%3 == 0 {
			role = "decode"
		}
		e, err := b.startEngine(fmt.Sprintf("%02d", i), role, "v1", events, crashes)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	b.configure()
	var entries []*gatewayProcess
	for i := range crashEntries {
		g, err := b.startGateway(i+1, alfaiate)
		if err != nil {
			return nil, err
		}
		entries = append(entries, g)
	}
	time.Sleep(3 * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	var wg sync.WaitGroup
	var sound, answered, deadlySent atomic.Int64
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	start := time.Now()
	for n := 1; time.Since(start) < crashPlay; n++ {
		<-tick.C
		parts, body, deadly := request(n, time.Since(start))
		front := entries[n/perSecond%len(entries)].front // by turns, for a second each
		wg.Go(func() {
			outcome, ok := ask(client, front, fmt.Sprintf("%016x", n), parts, body)
			switch {
			case deadly:
				deadlySent.Add(1)
			case ok:
				answered.Add(1)
				fallthrough
			default:
				sound.Add(1)
			}
			if deadly || !ok {
				b.rec.logf("request %016x, crashes engines %t: %s", n, deadly, outcome)
			}
		})
	}
	wg.Wait()
	b.rec.logf("sound requests: %d, of which %d have a whole answer; requests that crash engines: %d", sound.Load(), answered.Load(), deadlySent.Load())
	return engines, nil
}

// ask sends a request for a stream. ok means that it has a whole answer.
func ask(client *http.Client, front, id, parts, body string) (outcome string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/stream/a", strings.NewReader(body))
	if err != nil {
		return err.Error(), false
	}
	req.Host = callerHost
	for name, value := range standin.PromptFields(id, 6*time.Second, parts) {
		req.Header[name] = []string{value}
	}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error(), false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d %.80q", resp.StatusCode, answer), false
	}
	if err != nil {
		return fmt.Sprintf("status 200, broken off after %d bytes: %v", len(answer), err), false
	}
	return "whole", true
}
