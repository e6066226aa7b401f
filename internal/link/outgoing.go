package link

import "context"

// Outgoing maintains one outgoing link to a peer whose address can change. It is not safe for concurrent use.
type Outgoing struct {
	Self Hello
	Opts Options

	conn *Conn
	addr string
}

// Connect returns the open link to addr, dialling it if there is none. A link to a previous address is closed.
func (o *Outgoing) Connect(ctx context.Context, addr string) (*Conn, error) {
	if o.conn != nil && o.addr == addr {
		select {
		case <-o.conn.Closed():
		default:
			return o.conn, nil
		}
	}
	o.Close()
	c, err := Dial(ctx, addr, o.Self, NoHandler{}, o.Opts)
	if err != nil {
		return nil, err
	}
	o.conn, o.addr = c, addr
	return c, nil
}

// Close closes the link, if one is open.
func (o *Outgoing) Close() {
	if o.conn != nil {
		o.conn.Close()
		o.conn = nil
	}
}
