package objectapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrTimeout is the error of a call whose response did not arrive at the Pace asked for.
var ErrTimeout = errors.New("objectapi: timed out")

// ErrTooLong is the error of a response with a longer body than the call reads.
var ErrTooLong = errors.New("objectapi: response too long")

// Pace bounds the time of a call by what arrives instead of by one duration for all sizes: a dead connection is found after Silence, and a
// long body may take as long as it keeps arriving.
type Pace struct {
	// Silence is the longest time until the head of the response has arrived, and then without a byte of the body.
	Silence time.Duration
	// MinBytesPS is the average rate, in bytes a second, below which a connection is given up; it must be above 0.
	MinBytesPS int
}

// headTime returns the time in which the head of the response must arrive for a call that sends a value of so many bytes, which the API holds
// for wait.
func (p Pace) headTime(sentBytes int, wait time.Duration) time.Duration {
	return wait + p.Silence + p.transferTime(sentBytes)
}

// bodyTime returns how much longer the next byte of a body may take to arrive after so many bytes in the time since its head.
func (p Pace) bodyTime(readBytes int, since time.Duration) time.Duration {
	return min(p.Silence, p.Silence+p.transferTime(readBytes)-since)
}

// transferTime returns the time in which n bytes pass at the lowest rate.
func (p Pace) transferTime(n int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(p.MinBytesPS)
}

const (
	minBodyBuffer = 512
	// maxRead bounds one read of a body, in bytes. A read within a chunk returns when its buffer is full, and must show progress before.
	maxRead = 4 << 10
	// maxAnnouncedBuffer is the size up to which the buffer for a body of announced length is allocated at once, in bytes.
	maxAnnouncedBuffer = 2 << 20
)

// readBody reads a body at the pace; announced is its length, or -1 if that is not known. timer ends ctx, and with it a read that takes too long.
func (p Pace) readBody(ctx context.Context, body io.Reader, announced, most int64, timer *time.Timer) ([]byte, error) {
	if announced > most {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, announced)
	}
	began := time.Now()
	buf := make([]byte, 0, min(max(announced+1, minBodyBuffer), maxAnnouncedBuffer)) // one byte more, to read the end
	for {
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		timer.Reset(max(0, p.bodyTime(len(buf), time.Since(began))))
		n, err := body.Read(buf[len(buf):min(cap(buf), len(buf)+maxRead)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > most:
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, most)
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			took := time.Since(began).Round(time.Millisecond)
			return nil, fmt.Errorf("after %d bytes of a body of %d in %s: %w", len(buf), announced, took, causeOf(ctx, err))
		}
	}
}

// causeOf returns why ctx ended, if it did, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
