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

const (
	// format is the version of the encoding. Messages of another one are ignored.
	format = 1
	// itemFields is the number of fields of a prompt: engine, phase, urgency, milliseconds.
	itemFields = 4
	// itemBytes is the size of the longest prompt: an array of a 9-byte, two 1-byte and a 5-byte number.
	itemBytes = 1 + 9 + 1 + 1 + 5
	// headerBytes is the size of what precedes the prompts: an array of the format and an array.
	headerBytes = 1 + 1 + 3
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errors.New("workshare: malformed message")

// Phases of prompts in messages.
const (
	phasePrefill = 1
	phaseWhole   = 2
	phaseEnded   = 3 // of a prompt that has ended
)

// encode returns the message of at most maxItems prompts.
func encode(work []placement.Work) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	err := errors.Join(e.EncodeArrayLen(2), e.EncodeUint(format), e.EncodeArrayLen(len(work)))
	for i := range work {
		w := &work[i]
		phase := uint64(phasePrefill)
		if w.Phase == fighollow.RequestWhole {
			phase = phaseWhole
		}
		if w.Ended {
			phase = phaseEnded
		}
		ms := uint64(min(math.Ceil(max(0, w.Ms)), math.MaxUint32))
		err = errors.Join(err, e.EncodeArrayLen(itemFields), e.EncodeUint64(w.Engine), e.EncodeUint(phase), e.EncodeUint(uint64(w.Urgency)), e.EncodeUint(ms))
	}
	return buf.Bytes(), err
}

// decode returns the prompts of a message of at most maxItems.
func decode(data []byte, maxItems int) ([]placement.Work, error) {
	d := msgpack.NewDecoder(bytes.NewReader(data))
	if n, err := d.DecodeArrayLen(); err != nil || n != 2 {
		return nil, fmt.Errorf("%w: no array of 2", ErrMalformed)
	}
	if v, err := d.DecodeUint64(); err != nil || v != format {
		return nil, fmt.Errorf("%w: format %d", ErrMalformed, v)
	}
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 || n > maxItems {
		return nil, fmt.Errorf("%w: %d prompts", ErrMalformed, n)
	}
	out := make([]placement.Work, n)
	for i := range out {
		if err := decodeItem(d, &out[i]); err != nil {
			return nil, fmt.Errorf("%w: prompt %d: %w", ErrMalformed, i, err)
		}
	}
	return out, nil
}

func decodeItem(d *msgpack.Decoder, w *placement.Work) error {
	if n, err := d.DecodeArrayLen(); err != nil || n != itemFields {
		return errors.Join(fmt.Errorf("%d fields", n), err)
	}
	var fields [itemFields]uint64
	for i := range fields {
		v, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		fields[i] = v
	}
	w.Engine, w.Ms = fields[0], float64(fields[3])
	switch fields[1] {
	case phasePrefill:
		w.Phase = fighollow.RequestPrefill
	case phaseEnded:
		w.Ended = true
	case phaseWhole:
		w.Phase = fighollow.RequestWhole
	default:
		return fmt.Errorf("phase %d", fields[1])
	}
	w.Urgency = int(min(fields[2], math.MaxUint8)) // placement checks the range
	return nil
}
