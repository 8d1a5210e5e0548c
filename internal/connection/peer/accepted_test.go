package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCloseAccepted guards against callers that wait for a stopped daemon whose process is
// still running: pending calls must fail, and no new calls may be accepted.
func TestCloseAccepted(t *testing.T) {
	c := qt.New(t)
	echo := &Echo{release: make(chan struct{})}
	defer close(echo.release)
	control := rpc.NewServer()
	c.Assert(control.RegisterName("Echo", echo), qt.IsNil)
	traffic := &Traffic{}
	server := httptest.NewServer(Handler(control, http.NotFoundHandler(), traffic))
	defer server.Close()
	addr := server.Listener.Addr().String()
	pool := NewPool(&Traffic{})
	defer pool.Close()

	var out int
	c.Assert(pool.Call(t.Context(), addr, "Echo.Fast", 7, &out), qt.IsNil)
	slow := make(chan error)
	go func() {
		var out int
		slow <- pool.Call(context.Background(), addr, "Echo.Slow", 1, &out)
	}()
	traffic.CloseAccepted()
	c.Assert(<-slow, qt.IsNotNil)
	c.Assert(pool.Call(t.Context(), addr, "Echo.Fast", 7, &out), qt.IsNotNil)
}
