package link

import (
	"time"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 2 * time.Second
	DefaultPingActive  = time.Second
	DefaultPingIdle    = 10 * time.Second
	DefaultPingTimeout = 3 * time.Second
	DefaultWindow      = 256 << 10 // bytes
	sendQueueBytes     = 1 << 20   // bytes queued above which send blocks
)

// Options configure a Conn; zero fields mean the defaults.
type Options struct {
	MaxFrame    int           // bytes; default DefaultMaxFrame
	DialTimeout time.Duration // limit for connecting, including TLS, and for the Hello exchange; default 2 s
	PingActive  time.Duration // time without received data before a ping while streams or Asks are open; default 1 s
	PingIdle    time.Duration // the same while none is open; default 10 s
	PingTimeout time.Duration // time without received data after a ping before the link is closed; default 3 s
	Window      int           // bytes of chunks that a stream may have in flight; default 256 KiB
	TLS         *TLS          // nil means plain TCP
}

func (o Options) withDefaults() Options {
	if o.MaxFrame == 0 {
		o.MaxFrame = DefaultMaxFrame
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.PingActive == 0 {
		o.PingActive = DefaultPingActive
	}
	if o.PingIdle == 0 {
		o.PingIdle = DefaultPingIdle
	}
	if o.PingTimeout == 0 {
		o.PingTimeout = DefaultPingTimeout
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	return o
}
