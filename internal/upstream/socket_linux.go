package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, after which a connection with unacknowledged data is closed.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// setAttemptOptions sets the options of a connection of an attempt.
func setAttemptOptions(network, address string, c syscall.RawConn) error {
	if err := setUserTimeout(network, address, c); err != nil {
		return err
	}
	var err error
	if ctlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// isOpenAndSilent reports whether the peer has neither closed the connection nor sent data that is still unread.
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
