// Package upstream is the HTTP/1.1 client that forwards requests to backend
// servers and to other daemons. Unlike http.Transport it never retries a
// request by itself, it reports exactly whether a request was sent, and it
// reports when the server has finished a request that was canceled.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/sockbuf"
)

// ErrConnectionLimit is returned when all connections that the pool may open
// are in use.
var ErrConnectionLimit = errors.New("all connections are in use")

// Config is the immutable configuration of a Pool.
type Config struct {
	// Addr is "ip:port".
	Addr string
	// IdleMax is the maximum number of idle connections kept, IdleTimeout the
	// maximum time one stays idle.
	IdleMax     int
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// Linger half-closes the connection of a canceled request and waits for the
	// server to finish the request before calling Request.Done.
	Linger bool
	// Bytes counts the bytes sent and received; nil does not count them.
	Bytes *atomic.Uint64
	// SocketBuffer is the size of the socket buffers of a connection in bytes; 0 leaves
	// it to the kernel.
	SocketBuffer int
}

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle []*conn // longest idle first
	// total counts the connections that are in use, idle or lingering; it is at
	// most max if max is positive.
	total, max int
	lingering  map[*conn]struct{}
	// freed is signaled when a connection was closed.
	freed       chan struct{}
	closed      bool
	expiryTimer *time.Timer
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, lingering: map[*conn]struct{}{}, freed: make(chan struct{}, 1)}
}

// SetMax sets the maximum number of connections; 0 means no limit.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = n
}

// Total returns the number of open connections.
func (p *Pool) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Close closes idle and lingering connections. Connections in use are closed
// when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	for c := range p.lingering {
		_ = c.Conn.Close()
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.release(c, nil)
	}
}

// get returns a connection that was idle for at most maxIdle, or a new one. At
// the connection limit it returns one that was idle for longer, or else waits
// up to Config.DialTimeout for a connection to be closed.
func (p *Pool) get(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for start := time.Now(); ; {
		c, err := p.takeIdle(maxIdle)
		switch {
		case err != nil:
			if time.Since(start) > p.cfg.DialTimeout || !p.waitForFreed(ctx) {
				return nil, err
			}
		case c == nil:
			return p.dial(ctx)
		case c.reusable():
			return c, nil
		default:
			p.release(c, nil)
		}
	}
}

// takeIdle removes and returns an idle connection. It returns nil if the caller
// is to open a new one, which is then already counted in total.
func (p *Pool) takeIdle(maxIdle time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	full := p.max > 0 && p.total >= p.max
	if last >= 0 && (full || time.Since(p.idle[last].idleSince) <= maxIdle) {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if full {
		return nil, ErrConnectionLimit
	}
	p.total++
	return nil, nil
}

// freedPollInterval limits one wait for a freed connection, since one signal
// may stand for several.
const freedPollInterval = 5 * time.Millisecond

// waitForFreed waits until a connection was closed or freedPollInterval has
// passed. It returns false if ctx ended.
func (p *Pool) waitForFreed(ctx context.Context) bool {
	timer := time.NewTimer(freedPollInterval)
	defer timer.Stop()
	select {
	case <-p.freed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// dial opens a connection. If ctx ends first, the connection is added to the
// idle ones when it is established: canceling the dial could leave an open
// connection at the server.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	type dialResult struct {
		conn *conn
		err  error
	}
	result := make(chan dialResult)
	go func() {
		c, err := p.open()
		select {
		case result <- dialResult{c, err}:
		case <-ctx.Done():
			if err == nil {
				p.putIdle(c)
			}
		}
	}()
	select {
	case d := <-result:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (p *Pool) open() (*conn, error) {
	dialer := net.Dialer{Timeout: p.cfg.DialTimeout}
	tcp, err := dialer.Dial("tcp", p.cfg.Addr)
	if err == nil {
		if err = sockbuf.SetConn(tcp, p.cfg.SocketBuffer); err != nil {
			_ = tcp.Close()
		}
	}
	if err != nil {
		p.mu.Lock()
		p.total--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: tcp, bytes: p.cfg.Bytes}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// putIdle returns a connection to the pool after a complete request and
// response.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < p.cfg.IdleMax
	if keep {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		if p.expiryTimer == nil {
			p.expiryTimer = time.AfterFunc(p.cfg.IdleTimeout, p.closeExpired)
		}
	}
	p.mu.Unlock()
	if !keep {
		p.release(c, nil)
	}
}

// closeExpired closes connections that were idle for IdleTimeout or longer.
func (p *Pool) closeExpired() {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && time.Since(p.idle[n].idleSince) >= p.cfg.IdleTimeout {
		n++
	}
	expired := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.expiryTimer = nil
	if len(p.idle) > 0 {
		p.expiryTimer = time.AfterFunc(p.cfg.IdleTimeout-time.Since(p.idle[0].idleSince), p.closeExpired)
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.release(c, nil)
	}
}

// release gives up a connection whose request may still be running at the
// server, and calls done when it no longer is. With Config.Linger the
// connection counts as open until the server closes it.
func (p *Pool) release(c *conn, done func()) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !p.cfg.Linger || !ok || tcp.CloseWrite() != nil {
		p.closeConn(c, done)
		return
	}
	p.mu.Lock()
	p.lingering[c] = struct{}{}
	if p.closed {
		_ = c.Conn.Close()
	}
	p.mu.Unlock()
	go func() {
		c.discardUntilClose()
		p.closeConn(c, done)
	}()
}

// closeConn closes a connection, removes it from the count and calls done.
func (p *Pool) closeConn(c *conn, done func()) {
	_ = c.Conn.Close()
	p.mu.Lock()
	delete(p.lingering, c)
	p.total--
	p.mu.Unlock()
	select {
	case p.freed <- struct{}{}:
	default:
	}
	if done != nil {
		done()
	}
}
