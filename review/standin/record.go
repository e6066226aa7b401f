package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line each, with the seconds since the start of the case.
type recorder struct {
	start time.Time

	mu sync.Mutex
	f  *os.File
	w  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

// since returns the time since the start of the case.
func (r *recorder) since() time.Duration { return time.Since(r.start) }

// add writes a line.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", r.since().Seconds())
	fmt.Fprintf(r.w, format, args...)
	fmt.Fprintln(r.w)
}

// say writes a line, to the standard output too.
func (r *recorder) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{r.since().Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
