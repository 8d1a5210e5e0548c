// Package sockbuf bounds the memory that the kernel uses for the data of TCP connections. Without a
// bound each connection may hold megabytes that its peer has sent and nobody has read, or that were
// written and that its peer does not read.
package sockbuf

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Set sets the sizes of the receive and the send buffer of a socket in bytes. Connections accepted
// from a listener inherit them. Linux uses up to twice the size for its own bookkeeping. A size of 0
// keeps the kernel's automatic sizes.
func Set(socket syscall.Conn, size int) error {
	if size == 0 {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket buffers")
	}
	var receiveErr, sendErr error
	err = raw.Control(func(fd uintptr) {
		receiveErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		sendErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
	})
	return errors.Wrap(errors.CombineErrors(err, errors.CombineErrors(receiveErr, sendErr)), "socket buffers")
}

// SetConn is Set for a connection. It has no effect on a connection that is no socket.
func SetConn(c net.Conn, size int) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	return Set(socket, size)
}
