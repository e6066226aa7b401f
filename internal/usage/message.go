package usage

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/peers"
)

const (
	// maxCount bounds a counter, far above what an entry serves in a window.
	maxCount = 1_000_000_000
	// maxStatedMicros bounds a stated time, so that it fits a time.Duration; it is in the year 2255.
	maxStatedMicros = 9_000_000_000_000_000
	// Upper bounds of the encoded parts of a message, in bytes.
	messageBytes = 64
	groupBytes   = 24
	countBytes   = 9 // and the workspace's name
)

// errMessage is the error of a message that is not used.
var errMessage = errors.New("usage: unusable message")

// messageKind is what a message is.
type messageKind uint8

const (
	kindCounts   messageKind = iota + 1 // counters of the sender, possibly none; the receiver states its time in return
	kindClock                           // states the sender's time only
	kindAsk                             // asks for all counters of windows from From on; also a kindAnnounce
	kindAnswer                          // a part of the answer to a kindAsk
	kindAnnounce                        // the sender collects: it wants the receiver's own counters of windows from From on
)

// message is the data of a message between entries.
type message struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind        messageKind
	Incarnation uint64 // of the sender's process
	TrueMicros  int64  // true time at sending by the sender's offset at its start, in microseconds since 1970
	Groups      []group
	Question    uint64 // of a kindAsk, repeated in each kindAnswer
	Part, Parts int    // of a kindAnswer: from 0, and their number
	From        int64
}

// group is the counters of one process in one window.
type group struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Incarnation uint64   // of the process that counted; 0 for the sender's
	Window      int64
	Counts      []count
}

// count is the number of requests of a workspace.
type count struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Workspace string
	N         int64
}

// encode returns the message as sent.
func (m *message) encode() []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		panic(err) // numbers and strings always encode
	}
	return b.Bytes()
}

// decodeMessage returns the message that data holds, with each group's process. Its windows are not checked.
func decodeMessage(data []byte) (*message, error) {
	if len(data) > peers.MaxData {
		return nil, fmt.Errorf("%w: %d bytes", errMessage, len(data))
	}
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	switch {
	case m.Kind < kindCounts || m.Kind > kindAnnounce:
		return nil, fmt.Errorf("%w: kind %d", errMessage, m.Kind)
	case m.Incarnation == 0:
		return nil, fmt.Errorf("%w: no process", errMessage)
	case m.TrueMicros < 0 || m.TrueMicros > maxStatedMicros:
		return nil, fmt.Errorf("%w: time %d", errMessage, m.TrueMicros)
	case m.Part < 0 || m.Parts < 0 || m.Kind == kindAnswer && (m.Part >= m.Parts || m.Parts > maxAnswerParts):
		return nil, fmt.Errorf("%w: part %d of %d", errMessage, m.Part, m.Parts)
	}
	for i := range m.Groups {
		g := &m.Groups[i]
		if m.Kind != kindAnswer {
			g.Incarnation = m.Incarnation // a process states others' counters only when it is asked
		}
		for _, c := range g.Counts {
			if c.N <= 0 || c.N > maxCount || c.Workspace == "" || len(c.Workspace) > maxWorkspaceBytes {
				return nil, fmt.Errorf("%w: count %d of a workspace of %d bytes", errMessage, c.N, len(c.Workspace))
			}
		}
	}
	return &m, nil
}

// stated returns the time that the sender states.
func (m *message) stated() time.Time { return time.UnixMicro(m.TrueMicros) }

// split distributes groups over lists that each fit into a datagram.
func split(groups []group) [][]group {
	var out [][]group
	size := peers.MaxData
	for _, g := range groups {
		var open *group // the group of the last list that takes further counts
		for _, c := range g.Counts {
			need := countBytes + len(c.Workspace)
			if open == nil {
				need += groupBytes
			}
			if size+need > peers.MaxData {
				out, open = append(out, nil), nil
				size, need = messageBytes, groupBytes+countBytes+len(c.Workspace)
			}
			last := &out[len(out)-1]
			if open == nil {
				*last = append(*last, group{Incarnation: g.Incarnation, Window: g.Window})
				open = &(*last)[len(*last)-1]
			}
			open.Counts = append(open.Counts, c)
			size += need
		}
	}
	return out
}
