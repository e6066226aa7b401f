package callerconn_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/internal/callerconn"
)

// Guards against errors that http.Server answers with 400, because they differ from those of net's own connections.
func TestReadErrorsAreThoseOfAConnection(t *testing.T) {
	const timeout = 100 * time.Millisecond
	l := listen(t, callerconn.Limits{Header: timeout})
	read := func(prepare func(caller, nc net.Conn)) error {
		caller := dial(t, l)
		nc, err := l.Accept()
		qt.Assert(t, err, qt.IsNil)
		defer nc.Close()
		prepare(caller, nc)
		_, err = nc.Read(make([]byte, 1))
		return err
	}
	for want, prepare := range map[error]func(caller, nc net.Conn){
		net.ErrClosed:          func(_, _ net.Conn) { time.Sleep(2 * timeout) },
		os.ErrDeadlineExceeded: func(_, nc net.Conn) { qt.Assert(t, nc.SetReadDeadline(time.Now()), qt.IsNil) },
		syscall.ECONNRESET: func(caller, _ net.Conn) {
			qt.Assert(t, caller.(*net.TCPConn).SetLinger(0), qt.IsNil)
			caller.Close()
			time.Sleep(timeout / 4)
		},
	} {
		err := read(prepare)
		qt.Assert(t, err, qt.ErrorIs, want)
		opErr, ok := err.(*net.OpError) //nolint:errorlint // as http.Server does
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, opErr.Op, qt.Equals, "read")
		qt.Assert(t, opErr.Timeout(), qt.Equals, errors.Is(want, os.ErrDeadlineExceeded))
	}
	qt.Assert(t, read(func(caller, _ net.Conn) { caller.Close() }), qt.Equals, io.EOF)
}
