// Package load takes the place of callers: it sends completions with bounded concurrency and measures them.
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

// Target answers completions. Implementations are safe for concurrent use.
type Target interface {
	// Complete runs one request and calls token for each piece of the answer as it arrives, with the number of tokens.
	Complete(ctx context.Context, prompt string, maxTokens int, token func(n int)) error
}

// Options adjust a run; Requests and Concurrency must be above 0.
type Options struct {
	Requests    int
	Concurrency int // requests open at once
	PromptBytes int
	MaxTokens   int
	Shared      int // bytes at the start of the prompt that all requests have in common
}

// Result is what a run measured. Times are in microseconds.
type Result struct {
	Completed, Failed int
	Tokens            int
	Elapsed           time.Duration
	FirstToken        *hdrhistogram.Histogram // from the start of the request
	Gap               *hdrhistogram.Histogram // between two pieces of an answer
	Errors            map[string]int          // by message
}

const (
	highestMicros = int64(10 * 60 * 1e6)
	figures       = 3
)

// Run sends opts.Requests requests to t and returns when all have ended.
func Run(ctx context.Context, t Target, opts Options) *Result {
	r := &Result{
		FirstToken: hdrhistogram.New(1, highestMicros, figures),
		Gap:        hdrhistogram.New(1, highestMicros, figures),
		Errors:     make(map[string]int),
	}
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		next = make(chan int)
	)
	begin := time.Now()
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
	r.Elapsed = time.Since(begin)
	return r
}

// prompt returns a text of opts.PromptBytes that begins with the shared part and differs between requests after it.
func prompt(opts Options, i int) string {
	const words = "accounts statements covenant history director filing "
	shared := strings.Repeat(words, opts.Shared/len(words)+1)[:opts.Shared]
	own := fmt.Sprintf("request %d ", i)
	if n := opts.PromptBytes - len(shared) - len(own); n > 0 {
		own += strings.Repeat(words, n/len(words)+1)[:n]
	}
	return shared + own
}

// sample is one measured request.
type sample struct {
	first  time.Duration
	gaps   []time.Duration
	tokens int
	err    error
}

func measure(ctx context.Context, t Target, prompt string, maxTokens int) sample {
	var s sample
	begin := time.Now()
	last := begin
	s.err = t.Complete(ctx, prompt, maxTokens, func(n int) {
		now := time.Now()
		if s.tokens == 0 {
			s.first = now.Sub(begin)
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
	_ = r.FirstToken.RecordValue(s.first.Microseconds()) // only fails above ten minutes
	for _, g := range s.gaps {
		_ = r.Gap.RecordValue(g.Microseconds())
	}
}
