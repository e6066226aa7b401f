package link

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Protocol is the version of the link protocol. Processes with different versions reject each other's Hello.
const Protocol = 1

// Type identifies the type of a message on the wire. Values must not be reused.
type Type uint8

// Message types.
const (
	TypeHello Type = iota + 1
	TypeCall
	TypeAccept
	TypeRefuse
	TypeHead
	TypeChunk
	TypeFinish
	TypeWindow
	TypeCancel
	TypeAsk
	TypeReply
	TypeTell
	TypePing
	TypePong
)

// Message is implemented by all message types.
type Message interface{ Type() Type }

// Hello identifies a process; it is the first message in each direction.
type Hello struct {
	Protocol    int                    `msgpack:"protocol"`
	ID          string                 `msgpack:"id"`          // process id from the settings
	Incarnation int64                  `msgpack:"incarnation"` // start time, Unix milliseconds
	Kind        fighollow.InstanceKind `msgpack:"kind"`
	DataCentre  string                 `msgpack:"dataCentre"`
	Region      string                 `msgpack:"region"`
	Link        string                 `msgpack:"link"` // address on which the process accepts links
}

// CallKind is the kind of work that a Call requests.
type CallKind string

// Call kinds.
const (
	CallGenerate CallKind = "generate" // Call.Generate is set
	CallService  CallKind = "service"  // Call.Service is set
)

// Call opens a stream for one attempt of a request.
type Call struct {
	Stream    uint32   `msgpack:"stream"` // set by Conn.Open
	Kind      CallKind `msgpack:"kind"`
	Request   string   `msgpack:"request"` // request id, the same for all attempts
	Attempt   string   `msgpack:"attempt"` // attempt id, globally unique and never reused
	Workspace string   `msgpack:"workspace"`
	Deadline  int64    `msgpack:"deadline"` // Unix milliseconds
	Worth     float64  `msgpack:"worth"`
	Priority  int      `msgpack:"priority"`
	// Retry is set on every attempt of a request after the first. A refused retry is not counted as new demand.
	Retry      bool `msgpack:"retry,omitempty"`
	Idempotent bool `msgpack:"idempotent"`
	// Resume asks the sidecar to continue, from Offset, an attempt that was sent earlier on a link that broke. If the
	// sidecar never accepted the attempt, it refuses with OutcomeNotRun and rejects the attempt ID from then on.
	Resume bool `msgpack:"resume"`
	// Incarnation is used only with Resume: the Hello.Incarnation of the process to which the attempt was first sent.
	// Another incarnation has no record of whether the attempt ran. With Resume all other fields except Attempt and
	// Offset are unused.
	Incarnation int64  `msgpack:"incarnation,omitempty"`
	Offset      uint64 `msgpack:"offset"` // tokens (generate) or bytes (service) that the entry already received

	Generate *fighollow.GenerateRequest `msgpack:"generate,omitempty"`
	Service  *fighollow.ServiceRequest  `msgpack:"service,omitempty"`
}

// Accept is sent when the sidecar has admitted the attempt, which may run from then on.
type Accept struct {
	Stream uint32         `msgpack:"stream"`
	Load   fighollow.Load `msgpack:"load"`
}

// Refuse ends a stream without an Accept. With OutcomeNotRun the attempt has not run and never will.
type Refuse struct {
	Stream  uint32            `msgpack:"stream"`
	Refusal fighollow.Refusal `msgpack:"refusal"`
	Load    fighollow.Load    `msgpack:"load"`
}

// Head is the status and header of a plain service's response.
type Head struct {
	Stream uint32              `msgpack:"stream"`
	Status int                 `msgpack:"status"`
	Header map[string][]string `msgpack:"header"`
}

// Chunk is a part of the response body or token stream. The chunks of a stream are contiguous.
type Chunk struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Stream   uint32
	Offset   uint64 // tokens (generate) or bytes (service) before this chunk
	Units    uint32 // tokens or bytes in this chunk
	Data     []byte
}

// Finish ends a stream after an Accept.
type Finish struct {
	Stream  uint32             `msgpack:"stream"`
	Outcome fighollow.Outcome  `msgpack:"outcome"`
	Refusal *fighollow.Refusal `msgpack:"refusal,omitempty"` // set unless the outcome is OutcomeCompleted
	// End is the offset in tokens or bytes after the whole answer; 0 if it is empty, or unknown to a sender of an older version.
	End uint64 `msgpack:"end,omitempty"`
	// Result is set for a completed CallGenerate.
	Result *fighollow.GenerateResult `msgpack:"result,omitempty"`
	Load   fighollow.Load            `msgpack:"load"`
}

// Window grants the sender of chunks Bytes of additional flow-control credit.
type Window struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack library
	Stream   uint32
	Bytes    uint32
}

// Cancel asks the sidecar to stop the attempt of a stream.
type Cancel struct {
	Stream uint32 `msgpack:"stream"`
	Reason string `msgpack:"reason"`
}

// Ask is a unary request, answered by one Reply.
type Ask struct {
	ID    uint32             `msgpack:"id"`
	Topic string             `msgpack:"topic"`
	Body  msgpack.RawMessage `msgpack:"body"`
}

// Reply answers the Ask with the same ID. Error is empty on success.
type Reply struct {
	ID    uint32             `msgpack:"id"`
	Error string             `msgpack:"error,omitempty"`
	Body  msgpack.RawMessage `msgpack:"body"`
}

// Tell is a one-way message, without a reply.
type Tell struct {
	Topic string             `msgpack:"topic"`
	Body  msgpack.RawMessage `msgpack:"body"`
}

// Ping requests a Pong, to detect a link that is cut in either direction.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}

// Type implements Message.
func (*Hello) Type() Type { return TypeHello }

// Type implements Message.
func (*Call) Type() Type { return TypeCall }

// Type implements Message.
func (*Accept) Type() Type { return TypeAccept }

// Type implements Message.
func (*Refuse) Type() Type { return TypeRefuse }

// Type implements Message.
func (*Head) Type() Type { return TypeHead }

// Type implements Message.
func (*Chunk) Type() Type { return TypeChunk }

// Type implements Message.
func (*Finish) Type() Type { return TypeFinish }

// Type implements Message.
func (*Window) Type() Type { return TypeWindow }

// Type implements Message.
func (*Cancel) Type() Type { return TypeCancel }

// Type implements Message.
func (*Ask) Type() Type { return TypeAsk }

// Type implements Message.
func (*Reply) Type() Type { return TypeReply }

// Type implements Message.
func (*Tell) Type() Type { return TypeTell }

// Type implements Message.
func (*Ping) Type() Type { return TypePing }

// Type implements Message.
func (*Pong) Type() Type { return TypePong }

func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeCall:
		return new(Call)
	case TypeAccept:
		return new(Accept)
	case TypeRefuse:
		return new(Refuse)
	case TypeHead:
		return new(Head)
	case TypeChunk:
		return new(Chunk)
	case TypeFinish:
		return new(Finish)
	case TypeWindow:
		return new(Window)
	case TypeCancel:
		return new(Cancel)
	case TypeAsk:
		return new(Ask)
	case TypeReply:
		return new(Reply)
	case TypeTell:
		return new(Tell)
	case TypePing:
		return new(Ping)
	case TypePong:
		return new(Pong)
	}
	return nil
}
