// Package logging writes structured logs without blocking the program. Lines are rate-limited and pass through a ring
// buffer to the output. Lines that are dropped are counted.
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
	// DefaultLinesPerSecond is several times the rate of an entry at its highest load, at about six lines per request.
	DefaultLinesPerSecond = 3000
	// DefaultBuffer holds the lines of one to two seconds while the output is blocked.
	DefaultBuffer = 4096
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
)

// Options configures a Sink. Zero fields have defaults.
type Options struct {
	LinesPerSecond int // average rate of lines below warning; warnings and errors are not limited
	Buffer         int // number of lines buffered while the output is blocked
}

// Sink is the writer of a zerolog.Logger. It is safe for concurrent use.
type Sink struct {
	ring       diode.Writer
	limiter    *rate.Limiter
	dropped    atomic.Int64 // since the last report
	total      atomic.Int64
	reportLog  *zerolog.Logger
	nextReport atomic.Int64 // Unix nanoseconds of the next report
}

var _ zerolog.LevelWriter = (*Sink)(nil)

// New returns a sink that writes to out. Writes to the sink do not block if out does.
func New(out io.Writer, opts Options) *Sink {
	if opts.LinesPerSecond <= 0 {
		opts.LinesPerSecond = DefaultLinesPerSecond
	}
	if opts.Buffer <= 0 {
		opts.Buffer = DefaultBuffer
	}
	s := &Sink{limiter: rate.NewLimiter(rate.Limit(opts.LinesPerSecond), opts.LinesPerSecond)}
	s.ring = diode.NewWriter(out, opts.Buffer, 0, func(missed int) { s.countDropped(int64(missed)) })
	l := zerolog.New(s.ring).With().Timestamp().Logger()
	s.reportLog = &l
	return s
}

// Write implements io.Writer. It writes p at the info level.
func (s *Sink) Write(p []byte) (int, error) { return s.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. Lines below the warning level that exceed the rate are dropped, without an
// error.
func (s *Sink) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	now := time.Now()
	s.reportDropped(now)
	if level < zerolog.WarnLevel && !s.limiter.AllowN(now, 1) {
		s.countDropped(1)
		return len(p), nil
	}
	return s.ring.Write(p)
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Close writes the buffered lines to the output, and blocks while the output does.
func (s *Sink) Close() error { return s.ring.Close() }

func (s *Sink) countDropped(n int64) {
	s.dropped.Add(n)
	s.total.Add(n)
}

// reportDropped logs the number of lines dropped since the last report, at most once per dropReportInterval.
func (s *Sink) reportDropped(now time.Time) {
	next := s.nextReport.Load()
	if s.dropped.Load() == 0 || now.UnixNano() < next || !s.nextReport.CompareAndSwap(next, now.Add(dropReportInterval).UnixNano()) {
		return
	}
	event.LinesDropped.Log(s.reportLog).Int64("lines", s.dropped.Swap(0)).Int64("total", s.total.Load()).Send()
}
