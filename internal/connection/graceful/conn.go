package graceful

import (
	"io"
	"net"
	"sync"
	"time"
)

// phase is what a connection is doing. It only moves from idle to busy and
// back, or from idle to retired, which is the end.
type phase uint8

const (
	// fresh is before the first request: nothing was answered yet.
	fresh phase = iota
	busy
	idle
	retired
)

// conn is one followed connection.
type conn struct {
	net.Conn
	mu      sync.Mutex
	phase   phase
	framing framing
}

// Read implements net.Conn. What arrives after retirement is never handed to
// the server.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.begin() {
		return 0, io.EOF
	}
	c.mu.Lock()
	c.framing.take(p[:n])
	c.mu.Unlock()
	return n, err
}

// begin marks the connection as busy, unless it is retired.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == retired {
		return false
	}
	c.phase = busy
	return true
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.next()
	if c.phase == busy {
		c.phase = idle
	}
}

func (c *conn) setRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle && c.phase != fresh {
		return false
	}
	c.phase = retired
	return true
}

// Close implements net.Conn. A retired connection is closed by sayLast.
func (c *conn) Close() error {
	c.mu.Lock()
	ended := c.phase == retired
	c.mu.Unlock()
	if ended {
		return nil
	}
	return c.Conn.Close()
}

// sayLast writes the last answer, ends the sending half, and waits for the
// client to close: closing at once would reset the connection under a request
// on its way, and the client might never read the answer.
func (c *conn) sayLast(answer []byte) {
	defer func() { _ = c.Conn.Close() }()
	_ = c.SetDeadline(time.Now().Add(linger))
	if _, err := c.Write(answer); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c.Conn)
}

// CloseWrite ends the sending half. net/http looks for it before it drops a
// connection that still sends, so that its last answer is not reset away.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
