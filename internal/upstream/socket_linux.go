package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacked sets the time after which unacknowledged data ends a connection.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var err error
	if ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// isOpenAndSilent reports whether the peer has neither closed the connection nor sent anything that was not read.
func isOpenAndSilent(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
