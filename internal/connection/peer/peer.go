// Package peer carries what daemons say to one another: net/rpc for control,
// and plain HTTP for calls that are passed on, both on the one peer listener.
//
// A control connection begins with an HTTP CONNECT to RPCPath and then speaks
// net/rpc; every other request on the listener is a forwarded call.
package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/result"
)

// RPCPath is where control connections are opened.
const RPCPath = "/daisygate/rpc"

const dialTimeout = time.Second

// ErrTimeout is returned when a call's answer did not come in time. The call
// may have been carried out.
var ErrTimeout = errors.New("peer call timed out")

// Traffic counts the control bytes of this process, and bounds its messages.
type Traffic struct {
	Sent, Received atomic.Uint64
	// Messages counts what was sent: calls and answers. One of more than a few
	// KiB counts as several.
	Messages atomic.Uint64
	// MaxMessage is the largest control message taken, in bytes; 0 stands for
	// DefaultMaxMessage.
	MaxMessage int

	accepted accepted
}

func (t *Traffic) maxMessage() uint64 {
	if t.MaxMessage == 0 {
		return DefaultMaxMessage
	}
	return uint64(t.MaxMessage)
}

// Handler joins control and forwarded calls on one listener.
func Handler(control *rpc.Server, calls http.Handler, traffic *Traffic) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			calls.ServeHTTP(w, r)
			return
		}
		if r.URL.Path != RPCPath && r.RequestURI != RPCPath {
			result.WriteHTTP(w, result.Errorf(result.NotControl, "CONNECT %s", r.RequestURI))
			return
		}
		serveControl(w, control, traffic)
	})
}

func serveControl(w http.ResponseWriter, control *rpc.Server, traffic *Traffic) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if _, err := io.WriteString(conn, "HTTP/1.0 200 OK\n\n"); err != nil {
		_ = conn.Close()
		return
	}
	if !traffic.accepted.add(conn) {
		_ = conn.Close()
		return
	}
	defer traffic.accepted.remove(conn)
	control.ServeConn(newControlConn(conn, traffic))
}

// controlConn counts the bytes of a connection and bounds the messages that
// come on it.
type controlConn struct {
	net.Conn
	traffic *Traffic
	frames  frames
}

func newControlConn(conn net.Conn, traffic *Traffic) *controlConn {
	return &controlConn{Conn: conn, traffic: traffic, frames: frames{max: traffic.maxMessage()}}
}

// Read implements net.Conn.
func (c *controlConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	if bad := c.frames.advance(p[:n]); bad != nil {
		return 0, bad
	}
	return n, err
}

// Write implements net.Conn.
func (c *controlConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	c.traffic.Messages.Add(1)
	return n, err
}

// Pool keeps one control connection for each address it was asked to call, and
// closes those that are idle.
type Pool struct {
	traffic *Traffic
	idle    time.Duration
	mu      sync.Mutex
	clients map[string]*client
}

// client is one control connection.
type client struct {
	*rpc.Client
	// calls are under way; the client is idle while there are none.
	calls int
	// answered counts the answers that came.
	answered uint64
	// timer closes the client when it was idle for long.
	timer *time.Timer
}

// poolIdle is how long an unused control connection stays open. Links send each
// second; what is idle for longer is mostly left over from joins, and at a seed
// of a large fleet there are many of those at a time.
const poolIdle = 10 * time.Second

// NewPool returns an empty pool that counts into traffic.
func NewPool(traffic *Traffic) *Pool {
	return &Pool{traffic: traffic, idle: poolIdle, clients: map[string]*client{}}
}

// Call does one RPC at addr ("ip:port"). Errors other than rpc.ServerError
// close the connection; the next call dials anew. A call that times out closes
// it only if nothing else was answered meanwhile: then the connection is dead,
// not the call slow.
//
// A call on a kept connection that turns out to have ended is made once more on
// a new one: the other daemon was restarted meanwhile, and what is sent next,
// such as the answer to its join, must not be lost. So a method may be carried
// out twice; every control method is idempotent.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	kept, err := p.callOnce(ctx, addr, method, args, reply)
	if kept && ended(err) && ctx.Err() == nil {
		_, err = p.callOnce(ctx, addr, method, args, reply)
	}
	return err
}

// ended reports whether err says that the connection is no more.
func ended(err error) bool {
	return errors.Is(err, rpc.ErrShutdown) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// callOnce also reports whether the connection had answered calls before.
func (p *Pool) callOnce(ctx context.Context, addr, method string, args, reply any) (kept bool, err error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return false, err
	}
	before := p.answers(c)
	kept = before > 0
	// An answer that comes after the call was given up is still decoded, so it
	// goes into a value of its own.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
		}
		p.release(addr, c, call.Error == nil)
		return kept, p.settle(addr, c, call.Error)
	case <-ctx.Done():
		p.release(addr, c, false)
		if p.answers(c) == before {
			p.drop(addr, c)
		}
		return kept, errors.Wrapf(ErrTimeout, "%s at %s", method, addr)
	}
}

func (p *Pool) settle(addr string, c *client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		p.drop(addr, c)
	}
	return err
}

func (p *Pool) answers(c *client) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.answered
}

// acquire returns the client of addr, marked as busy.
func (p *Pool) acquire(ctx context.Context, addr string) (*client, error) {
	p.mu.Lock()
	c := p.use(addr)
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.use(addr); c != nil {
		return c, conn.Close()
	}
	c = &client{Client: rpc.NewClient(conn), calls: 1}
	p.clients[addr] = c
	return c, nil
}

// use marks the client of addr as busy, if there is one; p.mu is held.
func (p *Pool) use(addr string) *client {
	c := p.clients[addr]
	if c == nil {
		return nil
	}
	c.calls++
	if c.timer != nil {
		c.timer.Stop()
	}
	return c
}

// release ends one use of a client and starts the time of idleness after the
// last.
func (p *Pool) release(addr string, c *client, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	if answered {
		c.answered++
	}
	if c.calls > 0 || p.clients[addr] != c {
		return
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(p.idle, func() { p.dropIdle(addr, c) })
		return
	}
	c.timer.Reset(p.idle)
}

func (p *Pool) dropIdle(addr string, c *client) {
	p.mu.Lock()
	idle := c.calls == 0
	p.mu.Unlock()
	if idle {
		p.drop(addr, c)
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if _, err := io.WriteString(conn, "CONNECT "+RPCPath+" HTTP/1.0\n\n"); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "open control"), conn.Close())
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "open control"), conn.Close())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.CombineErrors(errors.Newf("open control: %s", resp.Status), conn.Close())
	}
	_ = conn.SetDeadline(time.Time{})
	return newControlConn(conn, p.traffic), nil
}

// Reachable reports whether anyone listens at addr.
func Reachable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (p *Pool) drop(addr string, c *client) {
	p.mu.Lock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Len is the number of open connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		if c.timer != nil {
			c.timer.Stop()
		}
		_ = c.Close()
		delete(p.clients, addr)
	}
}
