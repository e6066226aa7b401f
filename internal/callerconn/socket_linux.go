package callerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

type rawConn = syscall.RawConn

// Bytes of a connection that the kernel holds for a process that does not read, and for a caller that does not. The kernel reserves twice as
// many, for its own data.
const (
	receiveBytes = 12 << 10
	sendBytes    = 8 << 10
)

// backlogShare divides the bound on connections: so many wait to be accepted.
const backlogShare = 2

// Listen listens for TCP connections of which the kernel buffers little. By default it buffers megabytes, which count as memory of the instance.
// The queue of connections that are not accepted yet, whose callers may send already, holds half as many as maxConns, the bound of a Listener;
// the kernel's default if that is 0.
func Listen(address string, maxConns int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes),
			)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil || maxConns == 0 {
		return l, err
	}
	if err := setBacklog(l.(*net.TCPListener), max(1, maxConns/backlogShare)); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// setBacklog bounds the queue of connections that are not accepted yet, which the net package sets to the system's maximum.
func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) })
	return errors.Join(controlErr, os.NewSyscallError("listen", err))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, readErr := 0, error(nil)
	var rejected *fighollow.Refusal
	err := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			readErr = net.ErrClosed
			return true
		}
		c.beginRead()
		n, readErr = ignoreInterrupts(func() (int, error) { return unix.Read(int(fd), p) })
		if errors.Is(readErr, unix.EAGAIN) {
			return false // the runtime waits until there is something to read, or the deadline passes
		}
		n = max(n, 0)
		c.received(p[:n])
		rejected = c.rejected
		return true
	})
	if rejected != nil {
		c.answerRejected(rejected)
		return 0, c.readError(net.ErrClosed)
	}
	switch {
	case err != nil:
		return 0, c.readError(err)
	case readErr != nil:
		return 0, c.readError(readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readError returns err as net.TCPConn's Read does: http.Server answers an error that it does not take for one of a connection.
func (c *Conn) readError(err error) error {
	var opErr *net.OpError
	var errno syscall.Errno
	switch {
	case errors.As(err, &opErr): // with the Op of a RawConn
		err = opErr.Err
	case errors.As(err, &errno):
		err = os.NewSyscallError("read", errno)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// hasUnread reports whether bytes have arrived that were not read yet. c.mu must be held.
func (c *Conn) hasUnread() bool {
	n := 0
	var b [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _ = ignoreInterrupts(func() (int, error) {
			n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return n, err
		})
	})
	return err == nil && n > 0
}

func ignoreInterrupts(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}
