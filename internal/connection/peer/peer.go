// Package peer implements the communication between daemons: net/rpc for control messages, and
// plain HTTP for forwarded requests, both on a single peer listener.
//
// A control connection starts with an HTTP CONNECT to RPCPath and then uses net/rpc. All other
// requests on the listener are forwarded requests.
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

	"github.com/daisygate/daisygate/internal/connection/response"
	"github.com/daisygate/daisygate/internal/result"
)

// RPCPath is the path of the CONNECT request that opens a control connection.
const RPCPath = "/daisygate/rpc"

const (
	dialTimeout = time.Second
	// maxConnectHeader is the size limit of the response that opens a control connection, in bytes.
	maxConnectHeader = 4 << 10
)

// ErrTimeout is returned when the response to a call did not arrive in time. The call may have
// been executed.
var ErrTimeout = errors.New("peer call timed out")

// Traffic counts the control traffic of this process and limits the size of its messages.
type Traffic struct {
	Sent, Received atomic.Uint64
	// Messages counts the sent calls and responses. A message larger than a few KiB counts as
	// several.
	Messages atomic.Uint64
	// MaxMessage is the maximum size of a received control message in bytes; 0 means
	// DefaultMaxMessage.
	MaxMessage int

	accepted acceptedConns
}

func (t *Traffic) maxMessage() uint64 {
	if t.MaxMessage == 0 {
		return DefaultMaxMessage
	}
	return uint64(t.MaxMessage)
}

// Handler serves control connections and forwarded requests on one listener.
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

// controlConn counts the bytes of a connection and limits the size of received messages.
type controlConn struct {
	net.Conn
	traffic *Traffic
	limiter frameLimiter
	// dialled counts the traffic of a connection that this daemon opened; nil for others.
	dialled *Counters
}

func newControlConn(conn net.Conn, traffic *Traffic) *controlConn {
	return &controlConn{Conn: conn, traffic: traffic, limiter: frameLimiter{max: traffic.maxMessage()}}
}

func (c *controlConn) count(n int) {
	if c.dialled != nil {
		c.dialled.Bytes.Add(uint64(n))
	}
}

// methods returns the counters for the calls on a connection that this daemon opened.
func (c *controlConn) methods() *MethodCounters {
	if c.dialled == nil {
		return &MethodCounters{}
	}
	return &c.dialled.Methods
}

// Read implements net.Conn.
func (c *controlConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	c.count(n)
	if limitErr := c.limiter.consume(p[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *controlConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	c.count(n)
	c.traffic.Messages.Add(1)
	return n, err
}

// Pool keeps one control connection for each address that was called, and closes idle
// connections.
type Pool struct {
	// Counters returns the counters for a new connection to an address. It may be nil and must
	// not change after the first call.
	Counters func(addr string) *Counters

	traffic     *Traffic
	idleTimeout time.Duration
	mu          sync.Mutex
	clients     map[string]*client
}

// Counters counts the traffic of the connections to a group of daemons.
type Counters struct {
	// Bytes are those of all connections, in both directions.
	Bytes atomic.Uint64
	// Methods counts the traffic by RPC method.
	Methods MethodCounters
}

// client is one control connection.
type client struct {
	*rpc.Client
	// inFlight is the number of calls in progress; the client is idle while it is 0.
	inFlight int
	// completed is the number of successful calls.
	completed uint64
	// idleTimer closes the client after idleTimeout.
	idleTimer *time.Timer
	// closeWhenIdle is set if the client is closed as soon as inFlight is 0.
	closeWhenIdle bool
}

// poolIdleTimeout is how long an unused control connection remains open. Links send every
// second; connections that are idle for longer are mostly left over from joins, and a seed of a
// large fleet has many of those at the same time.
const poolIdleTimeout = 10 * time.Second

// NewPool returns an empty pool that counts its traffic in traffic.
func NewPool(traffic *Traffic) *Pool {
	return &Pool{traffic: traffic, idleTimeout: poolIdleTimeout, clients: map[string]*client{}}
}

// Call executes one RPC at addr ("ip:port"). Errors other than rpc.ServerError close the
// connection; the next call dials a new one. A call that times out closes the connection only
// if no other call succeeded in the meantime: in that case the connection is considered dead,
// not the call slow.
//
// If a pooled connection turns out to be closed, the call is repeated once on a new connection:
// the other daemon was restarted, and the next message, such as the response to its join, must
// not be lost. A method may therefore be executed twice; all control methods are idempotent.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	reused, err := p.callOnce(ctx, addr, method, args, reply)
	if reused && isConnectionClosed(err) && ctx.Err() == nil {
		_, err = p.callOnce(ctx, addr, method, args, reply)
	}
	return err
}

// CallTransient is Call, but does not keep the connection open for further calls. It is meant for
// daemons that are not linked: those of a large fleet would otherwise keep as many connections to
// a daemon that they all call at their start.
func (p *Pool) CallTransient(ctx context.Context, addr, method string, args, reply any) error {
	err := p.Call(ctx, addr, method, args, reply)
	p.HangUp(addr)
	return err
}

// HangUp closes the connection to an address as soon as no call uses it, unless another call begins
// before.
func (p *Pool) HangUp(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	switch {
	case c == nil:
	case c.inFlight > 0:
		c.closeWhenIdle = true
	default:
		p.close(addr, c)
	}
}

// isConnectionClosed reports whether err means that the connection was closed.
func isConnectionClosed(err error) bool {
	return errors.Is(err, rpc.ErrShutdown) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// callOnce also reports whether earlier calls on the connection had succeeded.
func (p *Pool) callOnce(ctx context.Context, addr, method string, args, reply any) (reused bool, err error) {
	c, before, err := p.acquire(ctx, addr)
	if err != nil {
		return false, err
	}
	reused = before > 0
	// A response that arrives after the call timed out is still decoded, so it needs a separate
	// value.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		p.release(addr, c, call.Error == nil)
		return reused, p.closeOnFailure(addr, c, call.Error)
	case <-ctx.Done():
		p.release(addr, c, false)
		if p.completedCalls(c) == before {
			p.drop(addr, c)
		}
		return reused, errors.Wrapf(ErrTimeout, "%s at %s", method, addr)
	}
}

func (p *Pool) closeOnFailure(addr string, c *client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		p.drop(addr, c)
	}
	return err
}

func (p *Pool) completedCalls(c *client) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.completed
}

// acquire returns the client for addr, marked as in use, and its number of completed calls.
func (p *Pool) acquire(ctx context.Context, addr string) (_ *client, completed uint64, err error) {
	p.mu.Lock()
	if c := p.acquireExisting(addr); c != nil {
		defer p.mu.Unlock()
		return c, c.completed, nil
	}
	p.mu.Unlock()
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.acquireExisting(addr); c != nil {
		return c, c.completed, conn.Close()
	}
	c := &client{Client: rpc.NewClientWithCodec(newCountingCodec(conn, conn.methods())), inFlight: 1}
	p.clients[addr] = c
	return c, 0, nil
}

// acquireExisting marks the client for addr as in use, if there is one; the caller holds p.mu.
func (p *Pool) acquireExisting(addr string) *client {
	c := p.clients[addr]
	if c == nil {
		return nil
	}
	c.inFlight++
	c.closeWhenIdle = false
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	return c
}

// release ends one use of a client. After the last one it closes the client or starts the idle
// timer.
func (p *Pool) release(addr string, c *client, success bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inFlight--
	if success {
		c.completed++
	}
	if c.inFlight > 0 || p.clients[addr] != c {
		return
	}
	if c.closeWhenIdle {
		p.close(addr, c)
		return
	}
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(p.idleTimeout, func() { p.dropIdle(addr, c) })
		return
	}
	c.idleTimer.Reset(p.idleTimeout)
}

func (p *Pool) dropIdle(addr string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.inFlight == 0 {
		p.close(addr, c)
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*controlConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if _, err := io.WriteString(conn, "CONNECT "+RPCPath+" HTTP/1.0\n\n"); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "open control connection"), conn.Close())
	}
	reader := bufio.NewReader(io.LimitReader(conn, maxConnectHeader))
	resp, err := response.Read(reader, &http.Request{Method: http.MethodConnect}, nil)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "open control connection"), conn.Close())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.CombineErrors(errors.Newf("open control connection: %s", resp.Status), conn.Close())
	}
	_ = conn.SetDeadline(time.Time{})
	control := newControlConn(conn, p.traffic)
	if p.Counters != nil {
		control.dialled = p.Counters(addr)
	}
	return control, nil
}

// Reachable reports whether a TCP connection to addr can be opened.
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
	defer p.mu.Unlock()
	p.close(addr, c)
}

// close closes a client and removes it from the pool; the caller holds p.mu.
func (p *Pool) close(addr string, c *client) {
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	_ = c.Close()
}

// Len returns the number of open connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		p.close(addr, c)
	}
}
