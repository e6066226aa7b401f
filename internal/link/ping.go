package link

import (
	"fmt"
	"time"
)

func (c *Conn) pingLoop() {
	t := time.NewTicker(c.opts.PingActive)
	defer t.Stop()
	var pinged time.Time
	for {
		select {
		case <-c.closed:
			return
		case now := <-t.C:
			silent := now.Sub(time.Unix(0, c.lastRecv.Load()))
			if !pinged.IsZero() && silent >= now.Sub(pinged) && now.Sub(pinged) >= c.opts.PingTimeout {
				c.fail(fmt.Errorf("%w: no answer to a ping for %v", ErrClosed, now.Sub(pinged)))
				return
			}
			if !pinged.IsZero() && silent < now.Sub(pinged) {
				pinged = time.Time{}
			}
			if pinged.IsZero() && silent >= c.pingAfter() {
				pinged = now
				go func() { _ = c.send(&Ping{}) }() // a full queue must not stop the check of silence
			}
		}
	}
}

// pingAfter returns the silence after which the link is checked.
func (c *Conn) pingAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams)+len(c.served)+len(c.asks) > 0 {
		return c.opts.PingActive
	}
	return c.opts.PingIdle
}
