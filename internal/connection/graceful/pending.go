package graceful

import (
	"net"
	"os"
	"syscall"
)

// acceptPending takes one connection that already waits, or returns nil. The
// caller closes the listener right after a nil: on a busy machine the time
// between the end of a deadline and that close is milliseconds, and what comes
// in it would be reset.
func acceptPending(listener Deadline) net.Conn {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil
	}
	accepted := -1
	err = control.Control(func(fd uintptr) {
		accepted, _, _ = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err != nil || accepted < 0 {
		return nil
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
