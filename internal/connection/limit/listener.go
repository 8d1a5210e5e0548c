// Package limit bounds what one listener takes in: how many connections are
// open, and how long one may stand still. What is above a bound is told so at
// once, with a numbered result code, and costs the others nothing.
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

// Config is fixed for the life of a Listener.
type Config struct {
	// Connections is the most connections open at a time.
	Connections int
	// StallTimeout cuts a connection to which no byte could be written for this
	// long.
	StallTimeout time.Duration
}

const (
	// refuseTimeout bounds the answer to a connection above the limit, and
	// refusing how many are answered at a time; the rest is closed unanswered.
	refuseTimeout = time.Second
	refusing      = 64
	// retryAfter is what a refused connection is told.
	retryAfter = time.Second
)

// Listener is a net.Listener within bounds. It is for HTTP: a connection above
// the limit is answered with 503 and Retry-After, then closed, instead of
// waiting for another to end.
type Listener struct {
	net.Listener
	cfg     Config
	open    atomic.Int64
	refused atomic.Uint64
	busy    chan struct{}
	refusal []byte
}

// New puts bounds on a listener.
func New(l net.Listener, cfg Config) *Listener {
	refused := result.Errorf(result.TooManyConnections, "%s", result.TooManyConnections.Meaning())
	return &Listener{Listener: l, cfg: cfg, busy: make(chan struct{}, refusing), refusal: result.Response(refused, refused.Code.HTTPStatus(), retryAfter)}
}

// Open is the number of connections open now.
func (l *Listener) Open() int { return int(l.open.Load()) }

// Refused is the number of connections refused since the start.
func (l *Listener) Refused() uint64 { return l.refused.Load() }

// Limit is the most connections open at a time.
func (l *Listener) Limit() int { return l.cfg.Connections }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.cfg.Connections) {
			return &conn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		l.refuse(c)
	}
}

// refuse answers in the background, so that a slow one holds nobody up.
func (l *Listener) refuse(c net.Conn) {
	select {
	case l.busy <- struct{}{}:
	default:
		_ = c.Close()
		return
	}
	go func() {
		defer func() { <-l.busy }()
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refuseTimeout))
		if _, err := c.Write(l.refusal); err != nil {
			return
		}
		lingerClose(c)
	}()
}

// lingerClose ends the answer and reads what the other side still sends: to
// close with bytes unread would take the answer away from it.
func lingerClose(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, 64<<10))
}

// conn is one admitted connection.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Unwrap returns the connection within.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// Write implements net.Conn. It also gives the errors that net/http writes on
// its own, before any handler runs, their result code.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.listener.cfg.StallTimeout))
	numbered, ok := number(p)
	if !ok {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(numbered); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite ends the sending half, as net/http does before it drops a
// connection that still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// plainError is what follows the status line in an error of net/http itself; an
// answer of a handler has at least a Date before it.
var plainError = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// statusLine is the length of "HTTP/1.1 431".
const statusLine = len("HTTP/1.1 431")

// number turns an error of net/http itself into one with a result code.
func number(p []byte) ([]byte, bool) {
	if len(p) > 512 || !bytes.HasPrefix(p, []byte("HTTP/1.")) {
		return nil, false
	}
	line, rest, _ := bytes.Cut(p, []byte("\r\n"))
	if len(line) < statusLine || !bytes.HasPrefix(append([]byte("\r\n"), rest...), plainError) {
		return nil, false
	}
	detail := string(rest[len(plainError)-len("\r\n"):])
	if string(line[statusLine-3:statusLine]) == "431" {
		return numberedAnswer(result.HeaderTooLarge, detail), true
	}
	return numberedAnswer(result.BadRequest, detail), true
}

// numberedAnswer is the whole answer with a result code.
func numberedAnswer(code result.Code, detail string) []byte {
	return result.Response(result.Errorf(code, "%s", detail), code.HTTPStatus(), 0)
}
