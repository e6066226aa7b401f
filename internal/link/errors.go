package link

import (
	"errors"
)

// Errors of a Conn, to be tested with errors.Is.
var (
	// ErrClosed says that the link is closed. A message sent before may or may not have arrived.
	ErrClosed = errors.New("link: closed")
	// ErrProtocol says that the peer's Hello does not fit.
	ErrProtocol = errors.New("link: protocol mismatch")
	// ErrRemote says that the peer answered an Ask with an error.
	ErrRemote = errors.New("link: error from peer")
)
