package link

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Ask sends a request on topic, waits for its reply and decodes it into out, which may be nil. Errors: ErrRemote with
// the peer's message, ErrClosed if the link broke (the peer may have processed the request), or the context's error.
func (c *Conn) Ask(ctx context.Context, topic string, in, out any) error {
	b, err := msgpack.Marshal(in)
	if err != nil {
		return fmt.Errorf("link: encode %s: %w", topic, err)
	}
	ch := make(chan *Reply, 1)
	c.mu.Lock()
	if c.pendingAsks == nil {
		c.mu.Unlock()
		return ErrClosed
	}
	c.nextAsk++
	id := c.nextAsk
	c.pendingAsks[id] = ch
	c.mu.Unlock()
	defer c.removeAsk(id)
	if err := c.send(&Ask{ID: id, Topic: topic, Body: b}); err != nil {
		return err
	}
	select {
	case r := <-ch:
		if r.Error != "" {
			return fmt.Errorf("%w: %s", ErrRemote, r.Error)
		}
		if out == nil {
			return nil
		}
		if err := msgpack.Unmarshal(r.Body, out); err != nil {
			return fmt.Errorf("link: decode reply to %s: %w", topic, err)
		}
		return nil
	case <-c.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Conn) removeAsk(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingAsks, id)
}

func (c *Conn) serveAsk(m *Ask) {
	r := &Reply{ID: m.ID}
	out, err := c.h.ServeAsk(context.Background(), c, m.Topic, m.Body)
	if err == nil {
		r.Body, err = msgpack.Marshal(out)
	}
	if err != nil {
		r.Error, r.Body = err.Error(), nil
	}
	if r.Body == nil {
		r.Body = msgpack.RawMessage{0xc0} // msgpack nil; an empty raw message is not valid msgpack
	}
	// A failed send closes the link; the peer's Ask then returns ErrClosed.
	_ = c.send(r)
}
