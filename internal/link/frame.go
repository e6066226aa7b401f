package link

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// DefaultMaxFrame is the default limit on the size of a frame's body, in bytes.
const DefaultMaxFrame = 4 << 20

// maxPooledBytes limits the capacity of buffers that are kept for reuse, so that one large frame does not retain its
// memory indefinitely.
const maxPooledBytes = 64 << 10

// Errors of the framing, for use with errors.Is.
var (
	// ErrTooLarge is returned when the body of a frame exceeds Options.MaxFrame.
	ErrTooLarge = errors.New("link: frame too large")
	// ErrMalformed is returned when a frame cannot be decoded as a known message or the message violates the protocol.
	ErrMalformed = errors.New("link: malformed frame")
)

const headerBytes = 4

var encoders = sync.Pool{New: func() any { return &frameEncoder{enc: msgpack.NewEncoder(nil)} }}

type frameEncoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

// appendFrame encodes m as a frame and appends it to dst. It returns ErrTooLarge if the body exceeds maxFrame bytes.
func appendFrame(dst []byte, m Message, maxFrame int) ([]byte, error) {
	e := encoders.Get().(*frameEncoder)
	defer func() {
		if e.buf.Cap() <= maxPooledBytes {
			encoders.Put(e)
		}
	}()
	e.buf.Reset()
	e.enc.Reset(&e.buf)
	if err := e.encode(m); err != nil {
		return dst, fmt.Errorf("link: encode %T: %w", m, err)
	}
	if e.buf.Len() > maxFrame {
		return dst, fmt.Errorf("%w: %T has %d bytes, the bound is %d", ErrTooLarge, m, e.buf.Len(), maxFrame)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(e.buf.Len()))
	return append(dst, e.buf.Bytes()...), nil
}

func (e *frameEncoder) encode(m Message) error {
	if err := e.enc.EncodeArrayLen(2); err != nil {
		return err
	}
	if err := e.enc.EncodeUint8(uint8(m.Type())); err != nil {
		return err
	}
	return e.enc.Encode(m)
}

// frameReader reads frames from one connection. It is not safe for concurrent use.
type frameReader struct {
	r        io.Reader
	maxFrame int
	buf      []byte
	body     bytes.Reader
	dec      *msgpack.Decoder
}

func newFrameReader(r io.Reader, maxFrame int) *frameReader {
	return &frameReader{r: r, maxFrame: maxFrame, dec: msgpack.NewDecoder(nil)}
}

// next reads the next message. Errors: ErrTooLarge, ErrMalformed, io.EOF if the connection ends between frames,
// io.ErrUnexpectedEOF if it ends within one, or another read error of the connection.
func (f *frameReader) next() (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n > f.maxFrame {
		return nil, fmt.Errorf("%w: %d bytes announced, the bound is %d", ErrTooLarge, n, f.maxFrame)
	}
	if cap(f.buf) < n || cap(f.buf) > maxPooledBytes {
		f.buf = make([]byte, n)
	}
	f.buf = f.buf[:n]
	if _, err := io.ReadFull(f.r, f.buf); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return f.decode()
}

func (f *frameReader) decode() (Message, error) {
	f.body.Reset(f.buf)
	f.dec.Reset(&f.body)
	n, err := f.dec.DecodeArrayLen()
	if err != nil || n != 2 {
		return nil, fmt.Errorf("%w: not an array of two elements", ErrMalformed)
	}
	t, err := f.dec.DecodeUint8()
	if err != nil {
		return nil, fmt.Errorf("%w: no message type", ErrMalformed)
	}
	m := newMessage(Type(t))
	if m == nil {
		return nil, fmt.Errorf("%w: unknown message type %d", ErrMalformed, t)
	}
	if err := f.dec.Decode(m); err != nil {
		return nil, fmt.Errorf("%w: %T: %w", ErrMalformed, m, err)
	}
	if f.body.Len() != 0 {
		return nil, fmt.Errorf("%w: %d bytes after %T", ErrMalformed, f.body.Len(), m)
	}
	return m, nil
}
