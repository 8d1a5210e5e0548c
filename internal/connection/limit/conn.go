package limit

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// evictTimeout limits the time for sending the refusal on a connection that is closed in favor of
// another one.
const evictTimeout = 5 * time.Millisecond

// phase is what a connection is used for at the moment.
type phase uint8

const (
	// phaseHead lasts while the header of a request arrives, and before the first
	// one.
	phaseHead phase = iota
	// phaseRequest lasts from the complete header to the end of the response.
	phaseRequest
	// phaseIdle lasts from the end of a response to the next request.
	phaseIdle
	// phaseClosing lasts after the last response, until the client has closed.
	phaseClosing
	// phaseDetached is the phase of a hijacked connection.
	phaseDetached
	phaseEvicted
)

// conn is an accepted connection that counts toward the limit.
type conn struct {
	net.Conn
	listener *Listener
	// index is the position in listener.conns, guarded by listener.mu.
	index int
	once  sync.Once
	// closed is closed by release.
	closed chan struct{}

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// spared is set if the connection was to give way in this phase and kept its place because
	// the server had not read yet what the client had sent.
	spared bool
	// body and response measure how the client sends the body of the current
	// request and reads the response.
	body, response pace
}

func newConn(c net.Conn, l *Listener) *conn {
	return &conn{Conn: c, listener: l, index: -1, closed: make(chan struct{}), since: time.Now()}
}

// evict closes the connection, after a last response if the server has no request from the client.
// It reports false if the client has become one that does not have to give way, or turns out not to be
// slow: bytes of it have arrived that the server has not read yet.
func (c *conn) evict(rankOf func(*conn, time.Time) rank, response []byte) bool {
	now := time.Now()
	c.mu.Lock()
	if rankOf(c, now) == (rank{}) || c.isBehindInReading(now) {
		c.mu.Unlock()
		return false
	}
	waitsForRequest := c.phase == phaseHead || c.phase == phaseIdle
	c.phase = phaseEvicted
	c.mu.Unlock()
	c.release()
	c.listener.endEvicted(func() {
		if waitsForRequest {
			_ = c.SetWriteDeadline(time.Now().Add(evictTimeout))
			_, _ = c.Conn.Write(response)
		}
		_ = c.Close()
	})
	return true
}

// isBehindInReading reports whether the server has not read yet what the client has sent. The time
// that the client may take then starts anew, once: a server that cannot keep up has no better reason to
// prefer one client to another. The caller must hold c.mu.
func (c *conn) isBehindInReading(now time.Time) bool {
	if c.spared || c.phase == phaseClosing || c.response.waiting(now) > 0 || !c.hasUnread() {
		return false
	}
	c.spared = true
	switch c.phase {
	case phaseHead, phaseIdle:
		c.phase, c.since = phaseHead, now
	default:
		c.body = pace{since: now}
	}
	return true
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() bool {
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// setPhase changes the phase, and reports false if the connection is evicted.
func (c *conn) setPhase(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseEvicted {
		return false
	}
	if c.phase != p {
		c.phase, c.since, c.spared = p, time.Now(), false
		c.body, c.response = pace{}, pace{}
	}
	return true
}

// HeadComplete records that the header of a request has arrived and is passed on, and reports false if
// the client was told that it is not. Without this call a request is known only when the handler is
// called.
func (c *conn) HeadComplete() bool { return c.setPhase(phaseRequest) }

// Unwrap returns the wrapped connection.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// Read implements net.Conn. Bytes that arrive after the connection was evicted are never passed on.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseEvicted:
		return 0, io.EOF
	case c.phase == phaseIdle && n > 0:
		c.phase, c.since, c.spared = phaseHead, time.Now(), false
	}
	return n, err
}

// Write implements net.Conn. It also adds a result code to error responses that
// net/http writes by itself before any handler runs.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	_ = c.Conn.SetWriteDeadline(now.Add(c.listener.cfg.StallTimeout))
	coded, isError := addResultCode(p)
	if !isError {
		coded = p
	}
	c.mu.Lock()
	c.response.begin(now)
	c.mu.Unlock()
	n, err := c.Conn.Write(coded)
	c.mu.Lock()
	c.response.end(time.Now(), n)
	c.mu.Unlock()
	if isError && err == nil {
		n = len(p)
	}
	return min(n, len(p)), err
}

// CloseWrite closes the sending side. net/http calls it before it closes a
// connection whose client is still sending.
func (c *conn) CloseWrite() error {
	c.setPhase(phaseClosing)
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// release gives up the place of the connection.
func (c *conn) release() {
	c.once.Do(func() {
		c.listener.remove(c)
		close(c.closed)
	})
}

// Closed is closed when the connection is closed, or has given up its place.
func (c *conn) Closed() <-chan struct{} { return c.closed }

// ConnState is to be called from the http.Server.ConnState hook.
func ConnState(accepted net.Conn, state http.ConnState) {
	c := connOf(accepted)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(phaseRequest)
	case http.StateIdle:
		c.setPhase(phaseIdle)
	case http.StateHijacked:
		c.setPhase(phaseDetached)
	}
}

// connOf returns the connection of a Listener that accepted wraps, or nil.
func connOf(accepted net.Conn) *conn {
	for {
		if c, ok := accepted.(*conn); ok {
			return c
		}
		inner, ok := accepted.(interface{ Unwrap() net.Conn })
		if !ok {
			return nil
		}
		accepted = inner.Unwrap()
	}
}

type connKey struct{}

// ConnContext is to be called from the http.Server.ConnContext hook.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	if c := connOf(accepted); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}
