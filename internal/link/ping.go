package link

import (
	"fmt"
	"time"
)

func (c *Conn) pingLoop() {
	t := time.NewTicker(c.opts.PingActive)
	defer t.Stop()
	var pingSent time.Time
	for {
		select {
		case <-c.closed:
			return
		case now := <-t.C:
			sinceRecv := now.Sub(time.Unix(0, c.lastRecv.Load()))
			if !pingSent.IsZero() && sinceRecv >= now.Sub(pingSent) && now.Sub(pingSent) >= c.opts.PingTimeout {
				c.fail(fmt.Errorf("%w: no data received for %v after a ping", ErrClosed, now.Sub(pingSent)))
				return
			}
			if !pingSent.IsZero() && sinceRecv < now.Sub(pingSent) {
				pingSent = time.Time{}
			}
			if pingSent.IsZero() && sinceRecv >= c.pingInterval() {
				pingSent = now
				go func() { _ = c.send(&Ping{}) }() // send blocks on a full queue, which must not delay the timeout check
			}
		}
	}
}

// pingInterval returns the time without received data after which a ping is sent.
func (c *Conn) pingInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams)+len(c.serverStreams)+len(c.pendingAsks) > 0 {
		return c.opts.PingActive
	}
	return c.opts.PingIdle
}
