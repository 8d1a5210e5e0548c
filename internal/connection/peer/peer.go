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
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// RPCPath is where control connections are opened.
const RPCPath = "/daisygate/rpc"

const dialTimeout = time.Second

// ErrTimeout is returned when a call's answer did not come in time. The call
// may have been carried out.
var ErrTimeout = errors.New("peer call timed out")

// Traffic counts the control bytes of this process.
type Traffic struct {
	Sent, Received atomic.Uint64
}

// Handler joins control and forwarded calls on one listener.
func Handler(control *rpc.Server, calls http.Handler, traffic *Traffic) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodConnect {
			calls.ServeHTTP(w, r)
			return
		}
		if r.URL.Path != RPCPath && r.RequestURI != RPCPath {
			http.Error(w, "unknown control path", http.StatusNotFound)
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
	control.ServeConn(&countedConn{Conn: conn, traffic: traffic})
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

// Pool keeps one control connection for each address it was asked to call.
type Pool struct {
	traffic *Traffic
	mu      sync.Mutex
	clients map[string]*rpc.Client
}

// NewPool returns an empty pool that counts into traffic.
func NewPool(traffic *Traffic) *Pool {
	return &Pool{traffic: traffic, clients: map[string]*rpc.Client{}}
}

// Call does one RPC at addr ("ip:port"). Errors other than rpc.ServerError
// close the connection; the next call dials anew.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	client, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.settle(addr, client, call.Error)
	case <-ctx.Done():
		p.drop(addr, client)
		return errors.Wrapf(ErrTimeout, "%s at %s", method, addr)
	}
}

func (p *Pool) settle(addr string, client *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		p.drop(addr, client)
	}
	return err
}

func (p *Pool) client(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[addr]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[addr]; other != nil {
		_ = client.Close()
		return other, nil
	}
	p.clients[addr] = client
	return client, nil
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
	return &countedConn{Conn: conn, traffic: p.traffic}, nil
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

func (p *Pool) drop(addr string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[addr] == client {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Forget closes the connection to addr, if there is one.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	client := p.clients[addr]
	p.mu.Unlock()
	if client != nil {
		p.drop(addr, client)
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, client := range p.clients {
		_ = client.Close()
		delete(p.clients, addr)
	}
}
