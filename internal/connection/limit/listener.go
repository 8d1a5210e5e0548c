// Package limit limits how many connections of one listener may be open, and
// how long writing to one of them may stall. A connection above the limit is
// refused immediately with a result code and does not affect the other
// connections.
package limit

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// Config is the immutable configuration of a Listener.
type Config struct {
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// StallTimeout is the write timeout: it closes a connection to which no
	// byte could be written for this long.
	StallTimeout time.Duration
}

const (
	// refuseTimeout limits the time for sending a response on a connection
	// above the limit, and maxRefusals how many such responses are sent
	// concurrently. Further connections are closed without a response.
	refuseTimeout = time.Second
	maxRefusals   = 64
	// retryAfter is the Retry-After value sent on a refused connection.
	retryAfter = time.Second
)

// Listener is a net.Listener for HTTP that limits the number of open
// connections. A connection above the limit gets a 503 response with
// Retry-After and is closed, instead of waiting for another connection to
// close.
type Listener struct {
	net.Listener
	cfg             Config
	open            atomic.Int64
	refused         atomic.Uint64
	refusalSlots    chan struct{}
	refusalResponse []byte
}

// New returns a Listener that accepts connections from l.
func New(l net.Listener, cfg Config) *Listener {
	err := result.Errorf(result.TooManyConnections, "%s", result.TooManyConnections.Meaning())
	return &Listener{Listener: l, cfg: cfg, refusalSlots: make(chan struct{}, maxRefusals), refusalResponse: result.Response(err, err.Code.HTTPStatus(), retryAfter)}
}

// Open returns the number of open connections.
func (l *Listener) Open() int { return int(l.open.Load()) }

// Refused returns the number of connections refused since New.
func (l *Listener) Refused() uint64 { return l.refused.Load() }

// Limit returns the maximum number of open connections.
func (l *Listener) Limit() int { return l.cfg.MaxConnections }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.cfg.MaxConnections) {
			return &conn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		l.refuse(c)
	}
}

// refuse sends the refusal in the background, so that a slow client does not
// block Accept.
func (l *Listener) refuse(c net.Conn) {
	select {
	case l.refusalSlots <- struct{}{}:
	default:
		_ = c.Close()
		return
	}
	go func() {
		defer func() { <-l.refusalSlots }()
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refuseTimeout))
		if _, err := c.Write(l.refusalResponse); err != nil {
			return
		}
		lingerClose(c)
	}()
}

// lingerClose closes the sending side and discards up to 64 KiB that the client
// still sends. Closing with unread data would reset the connection, and the
// client might lose the response.
func lingerClose(c net.Conn) {
	if closer, ok := c.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, 64<<10))
}

// conn is an accepted connection that counts toward the limit.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Unwrap returns the wrapped connection.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// Write implements net.Conn. It also adds a result code to error responses that
// net/http writes by itself before any handler runs.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.listener.cfg.StallTimeout))
	coded, ok := addResultCode(p)
	if !ok {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(coded); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite closes the sending side. net/http calls it before it closes a
// connection whose client is still sending.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// netHTTPErrorHeaders is what follows the status line in an error response that
// net/http writes by itself. A response of a handler differs: it has at least a
// Date before Content-Type.
var netHTTPErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// statusPrefixLen is the length of the protocol and status code, as in
// "HTTP/1.1 431".
const statusPrefixLen = len("HTTP/1.1 431")

// addResultCode replaces an error response of net/http itself by one with a
// result code. It returns false for any other data.
func addResultCode(p []byte) ([]byte, bool) {
	if len(p) > 512 || !bytes.HasPrefix(p, []byte("HTTP/1.")) {
		return nil, false
	}
	line, rest, _ := bytes.Cut(p, []byte("\r\n"))
	if len(line) < statusPrefixLen || !bytes.HasPrefix(append([]byte("\r\n"), rest...), netHTTPErrorHeaders) {
		return nil, false
	}
	detail := string(rest[len(netHTTPErrorHeaders)-len("\r\n"):])
	if string(line[statusPrefixLen-3:statusPrefixLen]) == "431" {
		return codedResponse(result.HeaderTooLarge, detail), true
	}
	return codedResponse(result.BadRequest, detail), true
}

// codedResponse returns a complete response with a result code.
func codedResponse(code result.Code, detail string) []byte {
	return result.Response(result.Errorf(code, "%s", detail), code.HTTPStatus(), 0)
}
