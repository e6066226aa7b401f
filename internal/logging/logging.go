// Package logging writes structured logs without ever holding up the program: lines go through a ring buffer to the
// output, a rate bounds them, and what is dropped is counted.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"

	"github.com/fighollow/fighollow/internal/event"
)

// Defaults of Options.
const (
	// DefaultLinesPerS is several times what an entry logs at its highest load: about six lines for each request.
	DefaultLinesPerS = 3000
	// DefaultBuffer holds the lines of a second or two while the output does not take any.
	DefaultBuffer = 4096
	// dropReport is how often dropped lines are reported.
	dropReport = time.Second
)

// Options adjust a Sink.
type Options struct {
	LinesPerS int // lines kept in a second on average; warnings and errors are always kept
	Buffer    int // lines held while the output does not take any
}

// Sink is the writer behind a logger. It is safe for concurrent use.
type Sink struct {
	ring    diode.Writer
	limit   *rate.Limiter
	dropped atomic.Int64 // since the last report
	total   atomic.Int64
	report  *zerolog.Logger
	next    atomic.Int64 // Unix nanoseconds of the next report
}

var _ zerolog.LevelWriter = (*Sink)(nil)

// New returns a sink that writes to out. out may block; the sink does not.
func New(out io.Writer, opts Options) *Sink {
	if opts.LinesPerS <= 0 {
		opts.LinesPerS = DefaultLinesPerS
	}
	if opts.Buffer <= 0 {
		opts.Buffer = DefaultBuffer
	}
	s := &Sink{limit: rate.NewLimiter(rate.Limit(opts.LinesPerS), opts.LinesPerS)}
	s.ring = diode.NewWriter(out, opts.Buffer, 0, func(missed int) { s.drop(int64(missed)) })
	l := zerolog.New(s.ring).With().Timestamp().Logger()
	s.report = &l
	return s
}

// Write implements io.Writer.
func (s *Sink) Write(p []byte) (int, error) { return s.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. Lines below a warning are dropped above the rate.
func (s *Sink) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	now := time.Now()
	s.reportDropped(now)
	if level < zerolog.WarnLevel && !s.limit.AllowN(now, 1) {
		s.drop(1)
		return len(p), nil
	}
	return s.ring.Write(p)
}

// Dropped returns how many lines were dropped so far.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Close writes what is buffered. It waits for the output.
func (s *Sink) Close() error { return s.ring.Close() }

func (s *Sink) drop(n int64) {
	s.dropped.Add(n)
	s.total.Add(n)
}

// reportDropped logs how many lines were dropped, once in a while.
func (s *Sink) reportDropped(now time.Time) {
	next := s.next.Load()
	if s.dropped.Load() == 0 || now.UnixNano() < next || !s.next.CompareAndSwap(next, now.Add(dropReport).UnixNano()) {
		return
	}
	event.LinesDropped.Log(s.report).Int64("lines", s.dropped.Swap(0)).Int64("total", s.total.Load()).Send()
}
