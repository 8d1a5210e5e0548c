package peer

import (
	"net"
	"sync"
)

// accepted are the open control connections that other daemons dialled.
// http.Server forgets a connection once it is hijacked, so its Shutdown leaves
// them open.
type accepted struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed is set by Close: from then on connections are closed at once.
	closed bool
}

// add takes a connection in, and reports whether it may be served.
func (a *accepted) add(c net.Conn) bool {
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

func (a *accepted) remove(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

func (a *accepted) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for c := range a.conns {
		_ = c.Close()
	}
}

// CloseAccepted closes the control connections that other daemons dialled, and
// lets in no more. It is called when nothing behind them answers any longer:
// whoever calls on one learns at once that this daemon is gone.
func (t *Traffic) CloseAccepted() { t.accepted.close() }
