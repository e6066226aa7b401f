package logging_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/logging"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that wait for log output, as when the reader of a pipe stops reading.
func TestReaderThatStopsReading(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	s := logging.New(w, logging.Options{LinesPerSecond: 1_000_000, Buffer: 100})
	log := zerolog.New(s)
	start := time.Now()
	for i := range 20_000 {
		log.Warn().Int("i", i).Send()
	}
	qt.Assert(t, time.Since(start) < 2*time.Second, qt.IsTrue)
	close(w.release)
	qt.Assert(t, s.Close(), qt.IsNil)
	qt.Assert(t, s.Dropped() > 10_000, qt.IsTrue, qt.Commentf("%d", s.Dropped()))
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (w *syncBuffer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *syncBuffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

// Guards against an unlimited log rate, against dropped lines that are not reported, and against dropped warnings.
func TestRateIsBoundedAndCounted(t *testing.T) {
	w := &syncBuffer{}
	s := logging.New(w, logging.Options{LinesPerSecond: 50, Buffer: 1000})
	log := zerolog.New(s)
	for range 500 {
		log.Info().Str("kind", "info").Send()
	}
	for range 100 {
		log.Warn().Str("kind", "warn").Send()
	}
	qt.Assert(t, s.Close(), qt.IsNil)
	out := w.String()
	qt.Assert(t, strings.Count(out, `"kind":"info"`) <= 60, qt.IsTrue)
	qt.Assert(t, strings.Count(out, `"kind":"warn"`), qt.Equals, 100)
	qt.Assert(t, strings.Contains(out, "linesDropped"), qt.IsTrue)
	qt.Assert(t, s.Dropped() >= 440, qt.IsTrue)
}

// BenchmarkLine measures the cost of one log line of an attempt, which is a few microseconds.
func BenchmarkLine(b *testing.B) {
	s := logging.New(io.Discard, logging.Options{LinesPerSecond: 1_000_000_000})
	log := zerolog.New(s).With().Str("request", "9c41d07be2a35f68").Logger()
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Int("event", 8001).Str("upstream", "i-7f3a91c2").Float64("costMs", 12.5).Int("tokens", 1460).Send()
	}
}

// Guards against memory that grows with the length of lines while the output is blocked, and against lines that are lost without being counted.
func TestLinesThatWaitAreBoundedInBytes(t *testing.T) {
	const memoryMB, lineBytes, lines = 48, 10_000, 2000
	w := &blockedWriter{release: make(chan struct{})}
	s := logging.New(w, logging.Options{LinesPerSecond: 1_000_000, MemoryMB: memoryMB})
	line := []byte(strings.Repeat("x", lineBytes))
	for range lines {
		_, err := s.Write(line)
		qt.Assert(t, err, qt.IsNil)
	}
	waiting := lines - s.Dropped()
	qt.Check(t, waiting*lineBytes <= memoryMB<<20/40, qt.IsTrue, qt.Commentf("%d lines wait", waiting))
	qt.Check(t, waiting > 50, qt.IsTrue, qt.Commentf("%d lines wait", waiting))
	_, err := s.Write(make([]byte, 1<<20))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, lines+1-s.Dropped() <= waiting, qt.IsTrue)
	close(w.release)
	qt.Assert(t, s.Close(), qt.IsNil)
}

// Guards against lines of the end of a process that are not written.
func TestLinesBeforeCloseAreWritten(t *testing.T) {
	for range 200 {
		w := &syncBuffer{}
		s := logging.New(w, logging.Options{LinesPerSecond: 1_000_000})
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 10 {
					_, _ = s.Write([]byte("line\n"))
				}
			})
		}
		writers.Wait()
		qt.Assert(t, s.Close(), qt.IsNil)
		qt.Assert(t, strings.Count(w.String(), "line\n"), qt.Equals, 40)
	}
}

// Guards against texts of callers that make lines long, and that cannot be told apart or found once they are cut.
func TestShort(t *testing.T) {
	long := strings.Repeat("a", 14_000)
	for _, s := range []string{"", "9c41d07be2a35f68", strings.Repeat("b", 256)} {
		qt.Check(t, logging.Short(s), qt.Equals, s)
	}
	got := logging.Short(long)
	qt.Check(t, len(got) <= 200, qt.IsTrue, qt.Commentf("%d bytes", len(got)))
	qt.Check(t, strings.HasPrefix(got, long[:100]) && strings.Contains(got, "14000 bytes"), qt.IsTrue, qt.Commentf("%s", got))
	qt.Check(t, got == logging.Short(long[1:]+"b"), qt.IsFalse)
	qt.Check(t, logging.Short(got), qt.Equals, got)
	var out bytes.Buffer
	n, err := logging.Explain(&out, strings.NewReader(`{"process":"n1","request":"`+got+`","name":"requestEnded","time":"2026-12-03T10:00:00.900Z"}`), long)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 1)
}
