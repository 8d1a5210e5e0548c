// Package graceful stops an HTTP/1.1 server without leaving a caller in doubt.
//
// http.Server.Shutdown closes idle connections. A request that is on its way
// at that moment meets a closed connection, and its caller cannot know whether
// it ran. Retire instead answers each idle connection once more, with a 408
// that says "not run" and closes (RFC 9110, section 15.5.9, lets a server do
// so on an idle connection), and reads nothing from it afterwards. A request
// that crosses the answer takes it as its own, and it is true.
//
// Use: wrap the listener with Listen, set Server.ConnState and ConnContext to
// those of the Tracker, wrap the handler with Guard; at the stop, first answer
// everything with "Connection: close" for a while, then call Drain, Retire and
// Server.Shutdown, in this order.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quiet is how long no connection may have come before Drain closes.
	quiet = 20 * time.Millisecond
	// linger is how long a retired connection waits for its client to close.
	linger = 500 * time.Millisecond
)

// Tracker knows the connections of one server.
type Tracker struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
	// retiring is set once; from then on idle connections are answered.
	retiring bool
	answer   []byte
	wait     sync.WaitGroup
}

// NewTracker returns a Tracker whose last answer on an idle connection is
// answer, a whole HTTP/1.1 response that says "Connection: close".
func NewTracker(answer []byte) *Tracker {
	return &Tracker{conns: map[*conn]struct{}{}, answer: answer}
}

// Listener accepts connections that a Tracker follows.
type Listener struct {
	net.Listener
	deadline Deadline
	tracker  *Tracker
	mu       sync.Mutex
	// closing is when Drain began; zero before.
	closing time.Time
	limit   time.Duration
	done    chan struct{}
}

// Deadline is the part of *net.TCPListener that Drain needs.
type Deadline interface{ SetDeadline(time.Time) error }

// Listen wraps l, whose connections come from the listener behind deadline.
func (t *Tracker) Listen(l net.Listener, deadline Deadline) *Listener {
	return &Listener{Listener: l, deadline: deadline, tracker: t, done: make(chan struct{})}
}

// Accept implements net.Listener. While draining it returns what still comes,
// and net.ErrClosed once nothing came for a moment.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err == nil {
		l.extend()
		return l.tracker.track(accepted), nil
	}
	if !l.draining() {
		return nil, err
	}
	if late := acceptPending(l.deadline); late != nil {
		l.extend()
		return l.tracker.track(late), nil
	}
	_ = l.Listener.Close()
	l.finish()
	return nil, net.ErrClosed
}

func (l *Listener) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closing.IsZero()
}

// extend waits for the next quiet moment, within the limit of Drain.
func (l *Listener) extend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing.IsZero() || time.Since(l.closing) > l.limit {
		return
	}
	_ = l.deadline.SetDeadline(time.Now().Add(quiet))
}

func (l *Listener) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
	default:
		close(l.done)
	}
}

// Drain accepts until no connection comes for a moment, limit at most, and
// closes the listener at such a moment: connections that wait to be accepted
// when a listener closes are reset. The server must be serving.
func (l *Listener) Drain(limit time.Duration) {
	l.mu.Lock()
	l.closing = time.Now()
	l.limit = limit
	err := l.deadline.SetDeadline(l.closing.Add(quiet))
	l.mu.Unlock()
	if err != nil {
		return
	}
	select {
	case <-l.done:
	case <-time.After(limit + time.Second):
	}
}

func (t *Tracker) track(accepted net.Conn) net.Conn {
	c := &conn{Conn: accepted}
	c.framing.next()
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	return c
}

// ConnState is the server's hook of this name.
func (t *Tracker) ConnState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
		t.mu.Lock()
		retiring := t.retiring
		t.mu.Unlock()
		if retiring {
			t.retire(c)
		}
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}
}

type connKey struct{}

// ConnContext is the server's hook of this name.
func (t *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Guard keeps a request from running that a client sent ahead, in one piece
// with the one before, on a connection that is retired.
func (t *Tracker) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if !c.begin() {
				panic(http.ErrAbortHandler)
			}
			if refuseFraming(c, w, r) {
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Retire answers every idle connection once more and closes it, then does the
// same with each that becomes idle. It returns when the idle ones are closed.
func (t *Tracker) Retire() {
	t.mu.Lock()
	t.retiring = true
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		t.retire(c)
	}
	t.wait.Wait()
}

func (t *Tracker) retire(c *conn) {
	if !c.setRetired() {
		return
	}
	t.wait.Go(func() { c.sayLast(t.answer) })
}
