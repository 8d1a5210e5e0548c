// Package limit limits how many connections of one listener may be open, and
// how long writing to one of them may stall. At the limit, the connection whose
// client is slowest is closed in favor of a new one: a client that keeps the
// server waiting for a request, a body or the reading of a response, else one
// that is idle. If there is none, the new connection is refused with a result
// code.
//
// To use it, serve the Listener, call ConnState from the hook of the
// http.Server, and wrap its handler with WrapHandler.
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
	// maxEvictions limits how many connections that gave way are being closed concurrently.
	maxEvictions = 64
	// roomTimeout is how long a new connection waits for another one to end, and roomBackoff how
	// long no connection waits after that was in vain.
	roomTimeout = 50 * time.Millisecond
	roomBackoff = time.Second
	// maxEvictionTries limits how many connections are examined for one new
	// connection.
	maxEvictionTries = 32
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
	refused         atomic.Uint64
	evicted         atomic.Uint64
	refusalSlots    chan struct{}
	evictionSlots   chan struct{}
	refusalResponse []byte

	// removed is signaled when a connection has ended. noWaitUntil belongs to Accept, which must
	// not be called concurrently.
	removed     chan struct{}
	noWaitUntil time.Time

	mu sync.Mutex
	// conns are the open connections; each knows its index.
	conns []*conn
}

// New returns a Listener that accepts connections from l.
func New(l net.Listener, cfg Config) *Listener {
	err := result.Errorf(result.TooManyConnections, "%s", result.TooManyConnections.Meaning())
	return &Listener{Listener: l, cfg: cfg, refusalSlots: make(chan struct{}, maxRefusals), evictionSlots: make(chan struct{}, maxEvictions), removed: make(chan struct{}, 1), refusalResponse: result.Response(err, err.Code.HTTPStatus(), retryAfter)}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Refused returns the number of connections refused since New.
func (l *Listener) Refused() uint64 { return l.refused.Load() }

// Evicted returns the number of connections closed in favor of new ones since New.
func (l *Listener) Evicted() uint64 { return l.evicted.Load() }

// Limit returns the maximum number of open connections.
func (l *Listener) Limit() int { return l.cfg.MaxConnections }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.Admit(c); admitted != nil {
			return admitted, nil
		}
	}
}

// Admit adds a connection that was accepted elsewhere, or refuses it and returns nil. It must not be
// called concurrently with Accept.
func (l *Listener) Admit(c net.Conn) net.Conn {
	admitted := l.admitSoon(c)
	if admitted == nil {
		l.refused.Add(1)
		l.refuse(c)
	}
	return admitted
}

// admitSoon adds a connection, or returns nil if there is no room for it within roomTimeout.
// Meanwhile new connections wait in the backlog: at a busy server requests end all the time, and a
// client that waits a little is served. If that was in vain because all clients wait for the server,
// connections are refused without waiting for roomBackoff.
func (l *Listener) admitSoon(c net.Conn) net.Conn {
	admitted, behind := l.admit(c)
	if admitted != nil || !behind && time.Now().Before(l.noWaitUntil) {
		return admitted
	}
	for end := time.Now().Add(roomTimeout); time.Now().Before(end); {
		timer := time.NewTimer(minLag)
		select {
		case <-l.removed:
		case <-timer.C:
		}
		timer.Stop()
		if admitted, behind = l.admit(c); admitted != nil {
			return admitted
		}
	}
	if !behind {
		l.noWaitUntil = time.Now().Add(roomBackoff)
	}
	return nil
}

// admit adds a connection, or returns nil if there is no room for it. behind reports whether clients
// seemed slow because the server has not read yet what they have sent.
func (l *Listener) admit(c net.Conn) (_ net.Conn, behind bool) {
	admitted := newConn(c, l)
	for range maxEvictionTries {
		if l.add(admitted) {
			return admitted, false
		}
		victim := l.slowest((*conn).rank)
		if victim == nil {
			return nil, behind
		}
		if victim.evict((*conn).rank, l.refusalResponse) {
			l.evicted.Add(1)
		} else {
			behind = true
		}
	}
	return nil, behind
}

// add adds a connection unless the limit is reached.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.cfg.MaxConnections {
		return false
	}
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	return true
}

// remove removes a connection if it was added.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.index >= len(l.conns) || l.conns[c.index] != c {
		return
	}
	last := l.conns[len(l.conns)-1]
	l.conns[c.index], last.index = last, c.index
	l.conns[len(l.conns)-1] = nil
	l.conns = l.conns[:len(l.conns)-1]
	select {
	case l.removed <- struct{}{}:
	default:
	}
}

// slowest returns the connection with the highest rank, or nil if none has to give
// way.
func (l *Listener) slowest(rankOf func(*conn, time.Time) rank) *conn {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var worst *conn
	var worstRank rank
	for _, c := range l.conns {
		c.mu.Lock()
		r := rankOf(c, now)
		c.mu.Unlock()
		if worstRank.less(r) {
			worst, worstRank = c, r
		}
	}
	return worst
}

// EvictSlowReader closes the connection whose client is slowest to read a
// response, and reports whether there is one that is slow.
func (l *Listener) EvictSlowReader() bool { return l.evictSlowest((*conn).readerRank) }

// EvictSlowSender closes the connection whose client is slowest to send a body,
// and reports whether there is one that is slow.
func (l *Listener) EvictSlowSender() bool { return l.evictSlowest((*conn).senderRank) }

func (l *Listener) evictSlowest(rankOf func(*conn, time.Time) rank) bool {
	victim := l.slowest(rankOf)
	if victim == nil || !victim.evict(rankOf, nil) {
		return false
	}
	l.evicted.Add(1)
	return true
}

// endEvicted runs end, which ends a connection that has given up its place, in the background if it can:
// net.Conn.Close waits until the goroutine that reads the connection has run.
func (l *Listener) endEvicted(end func()) {
	if !inBackground(l.evictionSlots, end) {
		end()
	}
}

// refuse sends the refusal in the background, so that a slow client does not
// block Accept.
func (l *Listener) refuse(c net.Conn) {
	sent := inBackground(l.refusalSlots, func() {
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refuseTimeout))
		if _, err := c.Write(l.refusalResponse); err != nil {
			return
		}
		lingerClose(c)
	})
	if !sent {
		_ = c.Close()
	}
}

// inBackground runs f in a goroutine if there is a free slot, and reports whether there is.
func inBackground(slots chan struct{}, f func()) bool {
	select {
	case slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-slots }()
		f()
	}()
	return true
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
