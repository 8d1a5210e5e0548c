package peer

import (
	"net"
	"sync"
)

// acceptedConns tracks the open control connections that other daemons dialled. http.Server no
// longer tracks a connection once it is hijacked, so its Shutdown does not close them.
type acceptedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed is set by close; connections added afterwards are rejected.
	closed bool
}

// add registers a connection and reports whether it may be served.
func (a *acceptedConns) add(c net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	if a.conns == nil {
		a.conns = map[net.Conn]struct{}{}
	}
	a.conns[c] = struct{}{}
	return true
}

func (a *acceptedConns) remove(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

func (a *acceptedConns) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for c := range a.conns {
		_ = c.Close()
	}
}

// CloseAccepted closes the control connections that other daemons dialled and rejects new ones.
// It is called when the daemon no longer processes calls, so that callers detect immediately
// that it is gone.
func (t *Traffic) CloseAccepted() { t.accepted.close() }
