package event

import "github.com/rs/zerolog"

// Events of the sidecar.
var (
	OrderSent       = Event{2001, "orderSent", zerolog.InfoLevel, "an order was sent to the engine"}
	OrderEnded      = Event{2002, "orderEnded", zerolog.InfoLevel, "the engine accepted or refused an order, or its reply was lost; the sidecar reads the engine's state next"}
	EngineState     = Event{2003, "engineState", zerolog.InfoLevel, "the sidecar's decision about the engine changed; the line has the reason"}
	EngineRestarted = Event{2004, "engineRestarted", zerolog.WarnLevel, "the engine has restarted; its work in progress is lost and it is ordered again"}
	GateChanged     = Event{2005, "gateChanged", zerolog.InfoLevel, "the sidecar started or stopped admitting new work"}
	AttemptRefused  = Event{2006, "attemptRefused", zerolog.InfoLevel, "an attempt or its resume was refused"}
	AttemptDetached = Event{2007, "attemptDetached", zerolog.InfoLevel, "the link broke during an attempt; the attempt is cancelled unless the entry resumes it in time"}
	AttemptFailed   = Event{2008, "attemptFailed", zerolog.InfoLevel, "an attempt that may have started ended without a complete answer"}
	StreamBroken    = Event{2009, "streamBroken", zerolog.WarnLevel, "the engine's response stream broke off; the sidecar resumes it at the engine"}
	CancelFailed    = Event{2010, "cancelFailed", zerolog.WarnLevel, "an attempt could not be cancelled at the engine, which may still run it"}
	LeavingSent     = Event{2011, "leavingSent", zerolog.InfoLevel, "the sidecar told the connected entries that this upstream accepts no new work"}
	DrainChanged    = Event{2012, "drainChanged", zerolog.InfoLevel, "an operator drained or restored the upstream"}
	ObjectInvalid   = Event{2013, "objectInvalid", zerolog.ErrorLevel, "an object of the platform could not be decoded and is ignored; correct it"}
)

var sidecarEvents = []Event{
	OrderSent, OrderEnded, EngineState, EngineRestarted, GateChanged, AttemptRefused, AttemptDetached, AttemptFailed,
	StreamBroken, CancelFailed, LeavingSent, DrainChanged, ObjectInvalid,
}
