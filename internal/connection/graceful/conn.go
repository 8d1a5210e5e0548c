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
	tracker *Tracker

	mu     sync.Mutex
	state  connState
	intake intake
	// headMemory is what the current request holds of the memory for headers.
	headMemory int64
}

// Unwrap returns the wrapped connection.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// beginRequest records that a request is passed to the handler. inspected is false if its header was
// read together with the end of the previous request; then the length of its body is not known.
func (c *conn) beginRequest() (conflicting, inspected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := &c.intake
	in.requestsServed++
	inspected = in.requestsServed == in.headersInspected
	in.requestsServed = in.headersInspected
	if !inspected {
		in.mode = passAll
	}
	return inspected && in.framing.isConflicting(), inspected
}

// detach passes on everything from now on.
func (c *conn) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intake.mode = passAll
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
	c.intake.startHead()
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
