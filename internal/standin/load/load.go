// Package load is a load generator: it sends completions with bounded concurrency and measures latency and throughput.
package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Target runs completions. Implementations must be safe for concurrent use.
type Target interface {
	// Complete runs one request and calls onTokens for each piece of the answer as it arrives, with the number of its tokens.
	Complete(ctx context.Context, prompt string, maxTokens int, onTokens func(n int)) error
}

// Options configure a run. Requests and Concurrency must be above 0.
type Options struct {
	Requests    int
	Concurrency int // requests in flight at once
	PromptBytes int
	MaxTokens   int
	SharedBytes int // length of the prompt prefix that all requests share
}

// Result holds the measurements of a run. The histograms are in microseconds.
type Result struct {
	Completed, Failed int
	Tokens            int
	Elapsed           time.Duration
	FirstToken        *hdrhistogram.Histogram // time to first token
	InterToken        *hdrhistogram.Histogram // time between two pieces of an answer
	Errors            map[string]int          // count by message
}

const (
	maxMicros         = int64(10 * 60 * 1e6)
	significantDigits = 3
)

// Run sends opts.Requests requests to t and returns when all have ended.
func Run(ctx context.Context, t Target, opts Options) *Result {
	r := &Result{
		FirstToken: hdrhistogram.New(1, maxMicros, significantDigits),
		InterToken: hdrhistogram.New(1, maxMicros, significantDigits),
		Errors:     make(map[string]int),
	}
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		next = make(chan int)
	)
	start := time.Now()
	for range opts.Concurrency {
		wg.Go(func() {
			for i := range next {
				s := measure(ctx, t, prompt(opts, i), opts.MaxTokens)
				mu.Lock()
				r.add(s)
				mu.Unlock()
			}
		})
	}
	for i := range opts.Requests {
		next <- i
	}
	close(next)
	wg.Wait()
	r.Elapsed = time.Since(start)
	return r
}

// prompt returns a text of opts.PromptBytes that starts with the shared prefix and is unique to request i after it.
func prompt(opts Options, i int) string {
	const words = "accounts statements covenant history director filing "
	shared := strings.Repeat(words, opts.SharedBytes/len(words)+1)[:opts.SharedBytes]
	own := fmt.Sprintf("request %d ", i)
	if n := opts.PromptBytes - len(shared) - len(own); n > 0 {
		own += strings.Repeat(words, n/len(words)+1)[:n]
	}
	return shared + own
}

// sample holds the measurements of one request.
type sample struct {
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
	err        error
}

func measure(ctx context.Context, t Target, prompt string, maxTokens int) sample {
	var s sample
	start := time.Now()
	last := start
	s.err = t.Complete(ctx, prompt, maxTokens, func(n int) {
		now := time.Now()
		if s.tokens == 0 {
			s.firstToken = now.Sub(start)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		s.tokens += n
		last = now
	})
	if s.err == nil && s.tokens == 0 {
		s.err = errors.New("load: empty answer")
	}
	return s
}

func (r *Result) add(s sample) {
	r.Tokens += s.tokens
	if s.err != nil {
		r.Failed++
		r.Errors[s.err.Error()]++
		return
	}
	r.Completed++
	_ = r.FirstToken.RecordValue(s.firstToken.Microseconds()) // fails only above maxMicros, which is ten minutes
	for _, g := range s.gaps {
		_ = r.InterToken.RecordValue(g.Microseconds())
	}
}
