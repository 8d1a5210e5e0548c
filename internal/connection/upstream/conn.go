package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHeaderTooLarge is returned for an answer with too large a header.
var ErrHeaderTooLarge = errors.New("the answer's header is too large")

const (
	readBuffer = 4 << 10
	// headerMax bounds the header of an answer.
	headerMax = 256 << 10
)

// conn is one connection.
type conn struct {
	net.Conn
	br    *bufio.Reader
	since time.Time
	// left is how much more of a header is read; below 0 is no bound.
	left int
	// stall, if above 0, bounds each read.
	stall time.Duration
	// ctx is that of the request in progress; its end ends every read.
	ctx context.Context
	// bounded is set while a deadline of an earlier read stands.
	bounded bool
}

// begin readies an idle connection for a request.
func (c *conn) begin(ctx context.Context) {
	if c.bounded {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.ctx, c.bounded, c.stall, c.left = ctx, false, 0, headerMax
}

// Read implements io.Reader for br.
func (c *conn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, ErrHeaderTooLarge
	}
	if c.left > 0 && len(p) > c.left {
		p = p[:c.left]
	}
	if c.stall > 0 {
		c.bound()
	}
	n, err := c.Conn.Read(p)
	if c.left > 0 {
		c.left -= n
	}
	return n, err
}

// bound sets the deadline of the next read, unless the request was given up.
func (c *conn) bound() {
	c.bounded = true
	_ = c.SetReadDeadline(time.Now().Add(c.stall))
	if c.ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
}

// quiet reports whether an idle connection is open and nothing came on it: a
// late or crossed answer must not be taken for that to the next request.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// drain reads until the far side closes.
func (c *conn) drain() {
	_ = c.SetDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.Conn)
}
