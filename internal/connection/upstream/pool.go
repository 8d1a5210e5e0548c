// Package upstream is the HTTP/1.1 client of the calls: towards backend servers
// and towards other daemons. Unlike http.Transport it never sends a request a
// second time by itself, it tells exactly whether a request was handed over,
// and it reports when the far side is done with a request that was given up.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
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
	// freed is signalled when a lingering connection ended.
	freed   chan struct{}
	closed  bool
	sweeper *time.Timer
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, lingering: map[*conn]struct{}{}, freed: make(chan struct{}, 1)}
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
	p.closed = true
	idle := p.idle
	p.idle = nil
	for c := range p.lingering {
		_ = c.Conn.Close()
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c, nil)
	}
}

// get returns a connection that was idle for at most age, or a new one. Where
// there may be no more, an older one serves, or the end of a lingering one is
// awaited.
func (p *Pool) get(ctx context.Context, age time.Duration) (*conn, error) {
	for begin := time.Now(); ; {
		c, err := p.take(age)
		switch {
		case err != nil:
			if time.Since(begin) > p.cfg.DialTimeout || !p.awaitFreed(ctx) {
				return nil, err
			}
		case c == nil:
			return p.dial(ctx)
		case c.quiet():
			return c, nil
		default:
			p.drop(c, nil)
		}
	}
}

// take returns an idle connection, or nil if a new one may be opened.
func (p *Pool) take(age time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	full := p.max > 0 && p.total >= p.max
	if last >= 0 && (full || time.Since(p.idle[last].since) <= age) {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if full {
		return nil, ErrConnections
	}
	p.total++
	return nil, nil
}

// freedPoll bounds one wait for a lingering connection: one signal may stand for
// several.
const freedPoll = 5 * time.Millisecond

// awaitFreed waits for the end of a lingering connection, and reports whether
// ctx still stands.
func (p *Pool) awaitFreed(ctx context.Context) bool {
	timer := time.NewTimer(freedPoll)
	defer timer.Stop()
	select {
	case <-p.freed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// dial opens a connection. One whose request ended meanwhile goes to the idle
// ones: a dial that is cut short may leave a connection on the far side.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	type dialled struct {
		conn *conn
		err  error
	}
	result := make(chan dialled)
	go func() {
		c, err := p.open()
		select {
		case result <- dialled{c, err}:
		case <-ctx.Done():
			if err == nil {
				p.put(c)
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
	keep := !p.closed && len(p.idle) < p.cfg.IdleMax
	if keep {
		c.since = time.Now()
		p.idle = append(p.idle, c)
		if p.sweeper == nil {
			p.sweeper = time.AfterFunc(p.cfg.IdleTimeout, p.sweep)
		}
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c, nil)
	}
}

// sweep closes connections that were idle for too long.
func (p *Pool) sweep() {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && time.Since(p.idle[n].since) >= p.cfg.IdleTimeout {
		n++
	}
	old := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.sweeper = nil
	if len(p.idle) > 0 {
		p.sweeper = time.AfterFunc(p.cfg.IdleTimeout-time.Since(p.idle[0].since), p.sweep)
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c, nil)
	}
}

// drop gives a connection up, whose request may still be worked on, and calls
// done when it no longer is. It counts as open until the far side closed it.
func (p *Pool) drop(c *conn, done func()) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !p.cfg.Linger || !ok || tcp.CloseWrite() != nil {
		p.end(c, done)
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
		p.end(c, done)
	}()
}

// end closes a connection and counts it out.
func (p *Pool) end(c *conn, done func()) {
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
