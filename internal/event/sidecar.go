package event

import "github.com/rs/zerolog"

// Events of the sidecar.
var (
	OrderSent       = Event{2001, "orderSent", zerolog.InfoLevel, "an order was sent to the engine"}
	OrderEnded      = Event{2002, "orderEnded", zerolog.InfoLevel, "the engine took or refused an order, or its reply was lost; the state is observed next"}
	EngineState     = Event{2003, "engineState", zerolog.InfoLevel, "the sidecar's decision about the engine changed; the line names the reason"}
	EngineRestarted = Event{2004, "engineRestarted", zerolog.WarnLevel, "the engine was seen to have restarted; its work is lost and it is ordered again"}
	GateChanged     = Event{2005, "gateChanged", zerolog.InfoLevel, "the admission of new work opened or closed"}
	AttemptRefused  = Event{2006, "attemptRefused", zerolog.InfoLevel, "an attempt or its resume was refused"}
	AttemptDetached = Event{2007, "attemptDetached", zerolog.InfoLevel, "the link of an attempt broke; it is cancelled unless it is resumed in time"}
	AttemptFailed   = Event{2008, "attemptFailed", zerolog.InfoLevel, "an attempt ended without a whole answer after it may have started"}
	StreamBroken    = Event{2009, "streamBroken", zerolog.WarnLevel, "the engine's answer broke off; it is resumed at the engine"}
	CancelFailed    = Event{2010, "cancelFailed", zerolog.WarnLevel, "the engine could not be told to cancel an attempt and may still run it"}
	LeavingSent     = Event{2011, "leavingSent", zerolog.InfoLevel, "the connected entries were told that this upstream takes no new work"}
	DrainChanged    = Event{2012, "drainChanged", zerolog.InfoLevel, "an operator drained or restored the upstream"}
	ObjectInvalid   = Event{2013, "objectInvalid", zerolog.ErrorLevel, "an object of the platform could not be read and is ignored; correct it"}
)

var sidecarEvents = []Event{
	OrderSent, OrderEnded, EngineState, EngineRestarted, GateChanged, AttemptRefused, AttemptDetached, AttemptFailed,
	StreamBroken, CancelFailed, LeavingSent, DrainChanged, ObjectInvalid,
}
