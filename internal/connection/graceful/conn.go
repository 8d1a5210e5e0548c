package graceful

import (
	"io"
	"net"
	"sync"
	"time"
)

// connState is the state of a connection. It changes from new to active, then
// alternates between active and idle. A new or idle connection can become
// retired, which is final.
type connState uint8

const (
	// stateNew is the state before the first request.
	stateNew connState = iota
	stateActive
	stateIdle
	stateRetired
)

// conn is a connection registered with a Tracker.
type conn struct {
	net.Conn
	mu      sync.Mutex
	state   connState
	framing framing
}

// Read implements net.Conn. Data that arrives after the connection was retired
// is never passed to the server.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.setActive() {
		return 0, io.EOF
	}
	c.mu.Lock()
	c.framing.inspect(p[:n])
	c.mu.Unlock()
	return n, err
}

// setActive marks the connection as active and returns true, unless it is
// retired.
func (c *conn) setActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateRetired {
		return false
	}
	c.state = stateActive
	return true
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framing.startHeader()
	if c.state == stateActive {
		c.state = stateIdle
	}
}

func (c *conn) setRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateIdle && c.state != stateNew {
		return false
	}
	c.state = stateRetired
	return true
}

// Close implements net.Conn. For a retired connection it does nothing, because
// writeFinalResponse closes it.
func (c *conn) Close() error {
	c.mu.Lock()
	isRetired := c.state == stateRetired
	c.mu.Unlock()
	if isRetired {
		return nil
	}
	return c.Conn.Close()
}

// writeFinalResponse writes the final response, closes the sending side, and
// waits for the client to close, for at most lingerTimeout. Closing immediately
// would reset the connection if a request is in transit, and the client might
// never read the response.
func (c *conn) writeFinalResponse(response []byte) {
	defer func() { _ = c.Conn.Close() }()
	_ = c.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Write(response); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c.Conn)
}

// CloseWrite closes the sending side. net/http calls it before it closes a
// connection whose client is still sending, so that a reset does not discard
// the last response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
