package workshare

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/placement"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Bounds of a message.
const (
	// format is the version of the encoding. Messages of another one are ignored.
	format = 2
	// messageFields is the number of fields of a message: format, next number, unfinished, ended and placed prompts.
	messageFields = 5
	// placedFields is the number of fields of a placed prompt: its number, engine, urgency, milliseconds, parts.
	placedFields = 5
	// endedFields is the number of fields of a prompt that has ended: its number, and what became of it.
	endedFields = 2
	// maxParts bounds the parts of a prompt in a message.
	maxParts = 4
	// maxUnfinished bounds the unfinished prompts in a message; an entry has some tens.
	maxUnfinished = 64
	// headerBytes is the size of what precedes the prompts: three arrays, the format, a 5-byte number, and the unfinished prompts.
	headerBytes = 1 + 1 + 5 + 3*3 + 5*maxUnfinished
	// placedBytes is the size of the longest placed prompt: two arrays, a 5-byte and a 9-byte number, a 1-byte and a 5-byte one, and the parts.
	placedBytes = 1 + 5 + 9 + 1 + 5 + 1 + maxParts*(9+5)
	// endedBytes is the size of the longest ended prompt: an array, a 5-byte number and a 3-byte one.
	endedBytes = 1 + 5 + 3
	// maxItems bounds the ended prompts in a message, so that a malformed one allocates little.
	maxItems = 1024
	// ratioUnits is how many units of an encoded ratio are 1, and maxRatio bounds it.
	ratioUnits = 100
	maxRatio   = 100
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errors.New("workshare: malformed message")

// encode returns the message of a report.
func encode(r placement.WorkReport) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	err := errors.Join(e.EncodeArrayLen(messageFields), e.EncodeUint(format), e.EncodeUint(uint64(r.Next)), e.EncodeArrayLen(len(r.Unfinished)))
	for _, number := range r.Unfinished {
		err = errors.Join(err, e.EncodeUint(uint64(number)))
	}
	err = errors.Join(err, e.EncodeArrayLen(len(r.Ended)))
	for i := range r.Ended {
		w := &r.Ended[i]
		result := uint64(math.Ceil(ratioUnits*min(max(0, w.Ratio), maxRatio))) << 1
		if w.Computed {
			result |= 1
		}
		err = errors.Join(err, e.EncodeArrayLen(endedFields), e.EncodeUint(uint64(w.Number)), e.EncodeUint(result))
	}
	err = errors.Join(err, e.EncodeArrayLen(len(r.Placed)))
	for i := range r.Placed {
		err = errors.Join(err, encodePlaced(e, &r.Placed[i]))
	}
	return buf.Bytes(), err
}

func encodePlaced(e *msgpack.Encoder, w *placement.Work) error {
	ms := uint64(min(math.Ceil(max(0, w.Ms)), math.MaxUint32))
	parts := w.Prefix[:min(len(w.Prefix), maxParts)]
	err := errors.Join(e.EncodeArrayLen(placedFields), e.EncodeUint(uint64(w.Number)), e.EncodeUint64(w.Engine), e.EncodeUint(uint64(w.Urgency)),
		e.EncodeUint(ms), e.EncodeArrayLen(2*len(parts)))
	for _, part := range parts {
		err = errors.Join(err, e.EncodeUint64(part.ID), e.EncodeUint(uint64(min(max(0, part.Tokens), math.MaxUint32))))
	}
	return err
}

// decode returns the report of a message.
func decode(data []byte) (placement.WorkReport, error) {
	var r placement.WorkReport
	d := msgpack.NewDecoder(bytes.NewReader(data))
	if err := decodeLen(d, messageFields, messageFields); err != nil {
		return r, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if v, err := d.DecodeUint64(); err != nil || v != format {
		return r, fmt.Errorf("%w: format %d", ErrMalformed, v)
	}
	err := decodeReport(d, &r)
	if err != nil {
		return placement.WorkReport{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r, nil
}

func decodeReport(d *msgpack.Decoder, r *placement.WorkReport) error {
	var err error
	if r.Next, err = d.DecodeUint32(); err != nil {
		return fmt.Errorf("next number: %w", err)
	}
	err = decodeItems(d, maxUnfinished, func() error {
		number, err := d.DecodeUint32()
		r.Unfinished = append(r.Unfinished, number)
		return err
	})
	if err != nil {
		return fmt.Errorf("unfinished prompts: %w", err)
	}
	err = decodeItems(d, maxItems, func() error {
		w, err := decodeEnded(d)
		r.Ended = append(r.Ended, w)
		return err
	})
	if err != nil {
		return fmt.Errorf("ended prompts: %w", err)
	}
	err = decodeItems(d, maxItems, func() error {
		w, err := decodePlaced(d)
		r.Placed = append(r.Placed, w)
		return err
	})
	if err != nil {
		return fmt.Errorf("placed prompts: %w", err)
	}
	return nil
}

// decodeItems reads an array of at most limit items.
func decodeItems(d *msgpack.Decoder, limit int, item func() error) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 || n > limit {
		return errors.Join(fmt.Errorf("%d items", n), err)
	}
	for range n {
		if err := item(); err != nil {
			return err
		}
	}
	return nil
}

func decodeLen(d *msgpack.Decoder, least, most int) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n < least || n > most {
		return errors.Join(fmt.Errorf("%d fields", n), err)
	}
	return nil
}

func decodeEnded(d *msgpack.Decoder) (placement.Work, error) {
	w := placement.Work{Ended: true}
	if err := decodeLen(d, endedFields, endedFields); err != nil {
		return w, err
	}
	number, err := d.DecodeUint32()
	if err != nil {
		return w, err
	}
	result, err := d.DecodeUint32()
	w.Number, w.Computed, w.Ratio = number, result&1 == 1, min(float64(result>>1)/ratioUnits, maxRatio)
	return w, err
}

func decodePlaced(d *msgpack.Decoder) (placement.Work, error) {
	var w placement.Work
	if err := decodeLen(d, placedFields, placedFields); err != nil {
		return w, err
	}
	var fields [placedFields - 1]uint64
	for i := range fields {
		v, err := d.DecodeUint64()
		if err != nil {
			return w, err
		}
		fields[i] = v
	}
	w.Number, w.Engine, w.Ms = uint32(fields[0]), fields[1], float64(fields[3])
	w.Urgency = int(min(fields[2], math.MaxUint8)) // placement checks the range
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 || n > 2*maxParts || n%2 != 0 {
		return w, errors.Join(fmt.Errorf("%d parts and sizes", n), err)
	}
	for range n / 2 {
		id, err := d.DecodeUint64()
		if err != nil {
			return w, err
		}
		tokens, err := d.DecodeUint32()
		if err != nil {
			return w, err
		}
		w.Prefix = append(w.Prefix, fighollow.PromptPart{ID: id, Tokens: int(tokens)})
	}
	return w, nil
}
