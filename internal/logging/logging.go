// Package logging writes structured logs without blocking the program. Lines are rate-limited and wait in a queue, which is bounded in bytes, for
// the output. Lines that are dropped are counted.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/fighollow/fighollow/internal/event"
)

// Defaults of Options.
const (
	// DefaultLinesPerSecond is several times the rate of an entry at its highest load, at about six lines per request.
	DefaultLinesPerSecond = 3000
	// DefaultBuffer holds the lines of one to two seconds while the output is blocked.
	DefaultBuffer = 4096
)

const (
	// memoryDivisor is the part of an instance's memory that the lines that wait may take, and maxBufferBytes the most on an instance of any size.
	memoryDivisor  = 48
	maxBufferBytes = 4 << 20
	// longestLine is the length in bytes of the longest line that is written. The texts of callers in a line are shortened.
	longestLine = 64 << 10
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
)

// Options configures a Sink. Zero fields have defaults.
type Options struct {
	LinesPerSecond int // average rate of lines below warning; warnings and errors are not limited
	Buffer         int // number of lines that wait while the output is blocked
	MemoryMB       int // memory of the process, which bounds the bytes of these lines; 0 if it is not known
}

// Sink is the writer of a zerolog.Logger. It is safe for concurrent use.
type Sink struct {
	out        io.Writer
	limiter    *rate.Limiter
	dropped    atomic.Int64 // since the last report
	total      atomic.Int64
	reportLog  *zerolog.Logger
	nextReport atomic.Int64  // Unix nanoseconds of the next report
	done       chan struct{} // closed when all lines are written after Close
	maxLines   int
	maxBytes   int

	mu     sync.Mutex
	ready  *sync.Cond // there is a line, or the Sink is closed
	lines  [][]byte   // oldest first
	bytes  int        // in lines
	closed bool
	err    error // the first of the output
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
	s := &Sink{
		out: out, limiter: rate.NewLimiter(rate.Limit(opts.LinesPerSecond), opts.LinesPerSecond), done: make(chan struct{}),
		maxLines: opts.Buffer, maxBytes: maxBufferBytes,
	}
	if opts.MemoryMB > 0 {
		s.maxBytes = min(s.maxBytes, opts.MemoryMB<<20/memoryDivisor)
	}
	s.ready = sync.NewCond(&s.mu)
	l := zerolog.New(queueWriter{s}).With().Timestamp().Logger()
	s.reportLog = &l
	go s.run()
	return s
}

// queueWriter writes to the queue of a Sink, whatever the rate.
type queueWriter struct{ s *Sink }

func (w queueWriter) Write(p []byte) (int, error) {
	w.s.enqueue(p)
	return len(p), nil
}

// Write implements io.Writer. It writes p at the info level.
func (s *Sink) Write(p []byte) (int, error) { return s.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. Lines below the warning level that exceed the rate, and lines that are too long, are dropped without
// an error.
func (s *Sink) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	now := time.Now()
	s.reportDropped(now)
	if len(p) > longestLine || level < zerolog.WarnLevel && !s.limiter.AllowN(now, 1) {
		s.countDropped(1)
		return len(p), nil
	}
	s.enqueue(p)
	return len(p), nil
}

// enqueue adds a copy of a line, in place of the oldest ones if there is no room.
func (s *Sink) enqueue(p []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.countDropped(1)
		return
	}
	for len(s.lines) > 0 && (len(s.lines) >= s.maxLines || s.bytes+len(p) > s.maxBytes) {
		s.bytes -= len(s.lines[0])
		s.lines[0] = nil
		s.lines = s.lines[1:]
		s.countDropped(1)
	}
	s.lines = append(s.lines, append(make([]byte, 0, len(p)), p...))
	s.bytes += len(p)
	s.ready.Signal()
}

// run writes the lines to the output until the Sink is closed and none is left.
func (s *Sink) run() {
	defer close(s.done)
	for {
		line, ok := s.next()
		if !ok {
			return
		}
		if _, err := s.out.Write(line); err != nil {
			s.recordError(err)
		}
	}
}

// next waits for a line and takes it out of the queue. It returns false if there is none and the Sink is closed.
func (s *Sink) next() ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.lines) == 0 {
		if s.closed {
			return nil, false
		}
		s.ready.Wait()
	}
	line := s.lines[0]
	s.lines[0] = nil
	s.lines = s.lines[1:]
	s.bytes -= len(line)
	return line, true
}

func (s *Sink) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Close writes the lines that wait to the output, and blocks while the output does. It returns the first error of the output.
func (s *Sink) Close() error {
	s.nextReport.Store(0)
	s.reportDropped(time.Now())
	s.mu.Lock()
	s.closed = true
	s.ready.Broadcast()
	s.mu.Unlock()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

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
