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
	DefaultWindow      = 256 << 10
	sendQueueBytes     = 1 << 20
)

// Options adjust a Conn; the zero value means the defaults.
type Options struct {
	MaxFrame    int           // bytes; default DefaultMaxFrame
	DialTimeout time.Duration // of connecting and of the exchange of Hello; default 2 s
	PingActive  time.Duration // between pings while streams are open; default 1 s
	PingIdle    time.Duration // between pings otherwise; default 10 s
	PingTimeout time.Duration // silence after a ping that closes the link; default 3 s
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
