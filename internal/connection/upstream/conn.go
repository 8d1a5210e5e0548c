package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHeaderTooLarge is returned when a response header exceeds the size limit.
var ErrHeaderTooLarge = errors.New("response header is too large")

const (
	readBufferSize = 4 << 10
	// maxHeaderBytes is the size limit of a response header, in bytes.
	maxHeaderBytes = 256 << 10
	// maxDiscardedBytes and maxDiscardTime limit how much of the response to a canceled
	// request is read, and for how long.
	maxDiscardedBytes = 4 << 20
	maxDiscardTime    = 5 * time.Second
)

// conn is a pooled connection to the server.
type conn struct {
	net.Conn
	br *bufio.Reader
	// idleSince is when the connection became idle.
	idleSince time.Time
	// headerLeft is how many more header bytes may be read; negative means no
	// limit, as for the body.
	headerLeft int
	// stallTimeout limits each read if it is positive.
	stallTimeout time.Duration
	// ctx is the context of the current request; its end aborts every read.
	ctx context.Context
	// bytes counts the bytes sent and received; it may be nil.
	bytes *atomic.Uint64
	// deadlineSet reports whether an earlier read left a read deadline set.
	deadlineSet bool
}

// startRequest resets the connection state for a new request.
func (c *conn) startRequest(ctx context.Context) {
	if c.deadlineSet {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.ctx, c.deadlineSet, c.stallTimeout, c.headerLeft = ctx, false, 0, maxHeaderBytes
}

// Read implements io.Reader; br reads through it.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerLeft == 0 {
		return 0, ErrHeaderTooLarge
	}
	if c.headerLeft > 0 && len(p) > c.headerLeft {
		p = p[:c.headerLeft]
	}
	if c.stallTimeout > 0 {
		c.extendReadDeadline()
	}
	n, err := c.Conn.Read(p)
	c.count(n)
	if c.headerLeft > 0 {
		c.headerLeft -= n
	}
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c *conn) count(n int) {
	if c.bytes != nil {
		c.bytes.Add(uint64(n))
	}
}

// extendReadDeadline sets the deadline of the next read. If the request was
// canceled, the deadline stays in the past.
func (c *conn) extendReadDeadline() {
	c.deadlineSet = true
	_ = c.SetReadDeadline(time.Now().Add(c.stallTimeout))
	if c.ctx.Err() != nil {
		_ = c.SetDeadline(aLongTimeAgo)
	}
}

// reusable reports whether an idle connection is open and has no unread data.
// Unread data may be a late or unsolicited response, which must not be taken as
// the response to the next request.
func (c *conn) reusable() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}

// discardUntilClose waits for the peer to close, and discards the rest of its response. A peer that
// sends more than maxDiscardedBytes, or for longer than maxDiscardTime, does not mind that nobody
// waits: discardUntilClose returns, so that the connection is closed.
func (c *conn) discardUntilClose() {
	_ = c.SetDeadline(time.Time{})
	var first [1]byte
	if _, err := c.Conn.Read(first[:]); err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(maxDiscardTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
}
