package link

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// unreadDelay is how long the read of data may take that arrived before a ping timeout.
const unreadDelay = 100 * time.Millisecond

// pingLoop sends pings. A ping timeout ends the wait for data by a deadline, as only a read finds out whether data has arrived.
func (c *Conn) pingLoop() {
	t := time.NewTicker(c.opts.PingActive)
	defer t.Stop()
	var pingSent, deadlineSet time.Time
	for {
		select {
		case <-c.closed:
			return
		case now := <-t.C:
			sinceRecv := now.Sub(time.Unix(0, c.lastRecv.Load()))
			if !pingSent.IsZero() && sinceRecv >= now.Sub(pingSent) && now.Sub(pingSent) >= c.opts.PingTimeout {
				if !c.reading.Load() { // it may wait for a full send queue, which the peer does not empty
					c.fail(fmt.Errorf("%w: no data received for %v after a ping", ErrClosed, now.Sub(pingSent)))
					return
				}
				if now.Sub(deadlineSet) >= c.opts.PingTimeout { // not sooner, as it would end readUnread
					deadlineSet = now
					_ = c.nc.SetReadDeadline(now) // fails only if the link is closed
				}
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

// readUnread reads after the deadline of a ping timeout. It fails if no data has arrived since the ping.
func (c *Conn) readUnread(p []byte) (int, error) {
	since := time.Since(time.Unix(0, c.lastRecv.Load()))
	if since < c.opts.PingTimeout { // the deadline was set while data was read
		_ = c.nc.SetReadDeadline(time.Time{})
		return c.nc.Read(p)
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(unreadDelay))
	n, err := c.nc.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, fmt.Errorf("%w: no data received for %v after a ping", ErrClosed, since)
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	return n, err
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
