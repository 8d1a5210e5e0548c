// Package upstream is the HTTP/1.1 client of the calls: towards backend servers
// and towards other daemons. Unlike http.Transport it never sends a request a
// second time by itself, it tells exactly whether a request was handed over,
// and it reports when the far side is done with a request that was given up.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrConnections is returned when every connection that the server takes is in
// use.
var ErrConnections = errors.New("every connection is in use")

// Config is fixed for the life of a Pool.
type Config struct {
	// Addr is "ip:port".
	Addr string
	// IdleMax is the most idle connections kept, and IdleTimeout how long.
	IdleMax     int
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// Linger waits for the far side to end its work on a request that was given
	// up, after telling it by a half-closed connection; Done is called then.
	Linger bool
}

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle []*conn // the longest idle first
	// total counts connections in use, idle and lingering: at most max if that
	// is above 0.
	total, max int
	lingering  map[*conn]struct{}
	closed     bool
	sweeper    *time.Timer
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, lingering: map[*conn]struct{}{}}
}

// SetMax bounds the connections; 0 takes the bound away.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = n
}

// Total is the number of open connections.
func (p *Pool) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Close closes idle and lingering connections; those in use end with their
// request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
	for c := range p.lingering {
		_ = c.Conn.Close()
	}
}

// drop closes a connection; p.mu is held.
func (p *Pool) drop(c *conn) {
	p.total--
	_ = c.Conn.Close()
}

// get returns a connection that was idle for at most age, or a new one.
func (p *Pool) get(ctx context.Context, age time.Duration) (*conn, error) {
	for {
		c, err := p.take(age)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
}

// take returns an idle connection, or nil after making room for a new one.
func (p *Pool) take(age time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 && time.Since(p.idle[last].since) <= age {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.max > 0 && p.total >= p.max {
		if len(p.idle) == 0 {
			return nil, ErrConnections
		}
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	p.total++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: p.cfg.DialTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", p.cfg.Addr)
	if err != nil {
		p.mu.Lock()
		p.total--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: tcp}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// put takes back a connection whose request and answer are both complete.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.cfg.IdleMax {
		p.drop(c)
		return
	}
	c.since = time.Now()
	p.idle = append(p.idle, c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.cfg.IdleTimeout, p.sweep)
	}
}

// sweep closes connections that were idle for too long.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	for len(p.idle) > 0 && time.Since(p.idle[0].since) >= p.cfg.IdleTimeout {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	if len(p.idle) > 0 {
		p.sweeper = time.AfterFunc(p.cfg.IdleTimeout-time.Since(p.idle[0].since), p.sweep)
	}
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// abandon gives a connection up whose request may still be worked on, and calls
// done when it no longer is.
func (p *Pool) abandon(c *conn, done func()) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !p.cfg.Linger || !ok || tcp.CloseWrite() != nil {
		p.discard(c)
		done()
		return
	}
	p.mu.Lock()
	p.lingering[c] = struct{}{}
	if p.closed {
		_ = c.Conn.Close()
	}
	p.mu.Unlock()
	go func() {
		c.drain()
		p.mu.Lock()
		delete(p.lingering, c)
		p.drop(c)
		p.mu.Unlock()
		done()
	}()
}
