package link

import (
	"errors"
)

// Errors of a Conn, for use with errors.Is.
var (
	// ErrClosed is returned when the link is closed. A message sent before may or may not have arrived.
	ErrClosed = errors.New("link: closed")
	// ErrProtocol is returned when the peer's first message is not a Hello or its Hello has another protocol version.
	ErrProtocol = errors.New("link: protocol mismatch")
	// ErrRemote is returned by Conn.Ask when the peer replied with an error.
	ErrRemote = errors.New("link: error from peer")
)
