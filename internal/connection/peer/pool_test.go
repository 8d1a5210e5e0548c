package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// Echo is a control service with a slow and a fast method.
type Echo struct{ release chan struct{} }

// Fast answers at once.
func (e *Echo) Fast(in int, out *int) error { *out = in; return nil }

// Slow answers when it is released.
func (e *Echo) Slow(in int, out *int) error { <-e.release; *out = in; return nil }

// TestPool lets one call time out beside others, and a connection fall idle.
func TestPool(t *testing.T) {
	c := qt.New(t)
	echo := &Echo{release: make(chan struct{})}
	control := rpc.NewServer()
	c.Assert(control.RegisterName("Echo", echo), qt.IsNil)
	var opened atomic.Int32
	handler := Handler(control, http.NotFoundHandler(), &Traffic{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		opened.Add(1)
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	pool := NewPool(&Traffic{})
	defer pool.Close()

	ctx, cancel := context.WithCancel(context.Background())
	slow := make(chan error)
	begun := make(chan struct{})
	go func() {
		close(begun)
		var out int
		slow <- pool.Call(ctx, addr, "Echo.Slow", 1, &out)
	}()
	<-begun
	for pool.Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	var out int
	for range 3 {
		c.Assert(pool.Call(context.Background(), addr, "Echo.Fast", 7, &out), qt.IsNil)
	}
	c.Assert(out, qt.Equals, 7)
	cancel()
	c.Assert(errors.Is(<-slow, ErrTimeout), qt.IsTrue)
	pool.idle = time.Millisecond
	c.Assert(pool.Call(context.Background(), addr, "Echo.Fast", 8, &out), qt.IsNil)
	c.Assert(opened.Load(), qt.Equals, int32(1), qt.Commentf("the slow call must not close the connection"))
	c.Assert(out, qt.Equals, 8)
	close(echo.release)
	for pool.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestFirstCallAfterRestart holds that the first call to a daemon that was
// restarted is not lost on the connection to its predecessor.
func TestFirstCallAfterRestart(t *testing.T) {
	c := qt.New(t)
	control := rpc.NewServer()
	c.Assert(control.RegisterName("Echo", &Echo{}), qt.IsNil)
	traffic := &Traffic{}
	first := httptest.NewServer(Handler(control, http.NotFoundHandler(), traffic))
	pool := NewPool(&Traffic{})
	defer pool.Close()
	var out int
	addr := first.Listener.Addr().String()
	c.Assert(pool.Call(context.Background(), addr, "Echo.Fast", 7, &out), qt.IsNil)
	first.Close()
	traffic.CloseAccepted()
	listener, err := net.Listen("tcp", addr)
	c.Assert(err, qt.IsNil)
	second := httptest.NewUnstartedServer(Handler(control, http.NotFoundHandler(), &Traffic{}))
	second.Listener = listener
	second.Start()
	defer second.Close()
	c.Assert(pool.Call(context.Background(), addr, "Echo.Fast", 8, &out), qt.IsNil)
	c.Assert(out, qt.Equals, 8)
}

// TestLateAnswerIsDropped holds that the answer to a call that was given up is
// not written into the reply, which its caller reads and uses again meanwhile.
func TestLateAnswerIsDropped(t *testing.T) {
	c := qt.New(t)
	echo := &Echo{release: make(chan struct{})}
	control := rpc.NewServer()
	c.Assert(control.RegisterName("Echo", echo), qt.IsNil)
	server := httptest.NewServer(Handler(control, http.NotFoundHandler(), &Traffic{}))
	defer server.Close()
	pool := NewPool(&Traffic{})
	defer pool.Close()
	addr := server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	reply := -1
	slow := make(chan error)
	go func() { slow <- pool.Call(ctx, addr, "Echo.Slow", 1, &reply) }()
	var out int
	for range 5 {
		c.Assert(pool.Call(context.Background(), addr, "Echo.Fast", 7, &out), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	cancel()
	// A call answered meanwhile keeps the connection, and with it the late answer.
	c.Assert(errors.Is(<-slow, ErrTimeout), qt.IsTrue)
	close(echo.release)
	for range 20 {
		c.Assert(pool.Call(context.Background(), addr, "Echo.Fast", 7, &out), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	c.Assert(reply, qt.Equals, -1)
}
