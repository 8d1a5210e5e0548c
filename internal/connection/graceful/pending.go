package graceful

import (
	"net"
	"os"
	"syscall"
)

// acceptPending accepts a connection from the listen backlog without blocking,
// or returns nil if there is none. The caller closes the listener right after a
// nil. On a busy machine there are milliseconds between the expiry of the
// accept deadline and that close, and connections arriving in between would be
// reset.
func acceptPending(listener DeadlineSetter) net.Conn {
	sysConn, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return nil
	}
	acceptedFD := -1
	err = rawConn.Control(func(fd uintptr) {
		acceptedFD, _, _ = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err != nil || acceptedFD < 0 {
		return nil
	}
	file := os.NewFile(uintptr(acceptedFD), "accepted")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
