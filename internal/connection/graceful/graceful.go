// Package graceful shuts down an HTTP/1.1 server so that every client knows
// whether its last request was executed.
//
// http.Server.Shutdown closes idle connections. A request in transit at that
// moment arrives at a closed connection, and its client cannot know whether it
// was executed. Retire instead sends a final response on each idle connection,
// a 408 with the outcome "not run", and closes the connection (RFC 9110,
// section 15.5.9, allows this on an idle connection). It passes no data from
// the connection to the server afterwards. A client that sent a request in the
// meantime takes the 408 as the response to it, which is correct because the
// request is not executed.
//
// To use it, wrap the listener with Listen, set Server.ConnState and
// ConnContext to the methods of the Tracker, and wrap the handler with WrapHandler.
// On shutdown, first send "Connection: close" with every response for a while,
// then call Drain, Retire and Server.Shutdown, in this order.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// quietPeriod is how long no connection may arrive before Drain closes the
	// listener.
	quietPeriod = 20 * time.Millisecond
	// lingerTimeout is how long a retired connection waits for its client to
	// close.
	lingerTimeout = 500 * time.Millisecond
)

// Tracker tracks the connections of one server.
type Tracker struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
	// retiring is set once by Retire; from then on connections are retired when
	// they become idle.
	retiring      bool
	finalResponse []byte
	limits        HeadLimits
	// memory counts what parsed headers take up of limits.Memory.
	memory *semaphore.Weighted
	// writers waits for the goroutines that write final responses.
	writers sync.WaitGroup
}

// NewTracker returns a Tracker that sends finalResponse on idle connections
// before it closes them. It must be a complete HTTP/1.1 response with
// "Connection: close".
func NewTracker(finalResponse []byte, limits HeadLimits) *Tracker {
	return &Tracker{conns: map[*conn]struct{}{}, finalResponse: finalResponse, limits: limits, memory: newHeadMemory(limits)}
}

// headLimit returns the maximum size of a header, or 0 if it is not limited here.
func (t *Tracker) headLimit() int {
	if t.limits.Bytes == nil {
		return 0
	}
	return t.limits.Bytes()
}

// Listener accepts connections and registers them with a Tracker.
type Listener struct {
	net.Listener
	deadline DeadlineSetter
	tracker  *Tracker
	mu       sync.Mutex
	// drainStart is when Drain was called; zero before.
	drainStart time.Time
	drainLimit time.Duration
	done       chan struct{}
}

// DeadlineSetter is the method of *net.TCPListener that Drain needs.
type DeadlineSetter interface{ SetDeadline(time.Time) error }

// Listen wraps l. deadline is the TCP listener from which l accepts its
// connections.
func (t *Tracker) Listen(l net.Listener, deadline DeadlineSetter) *Listener {
	return &Listener{Listener: l, deadline: deadline, tracker: t, done: make(chan struct{})}
}

// Accept implements net.Listener. While draining it returns connections that
// still arrive, and net.ErrClosed when none arrived for quietPeriod.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err == nil {
		l.extendDeadline()
		return l.tracker.track(accepted), nil
	}
	if !l.draining() {
		return nil, err
	}
	for pending := acceptPending(l.deadline); pending != nil; pending = acceptPending(l.deadline) {
		if admitted := l.admit(pending); admitted != nil {
			l.extendDeadline()
			return l.tracker.track(admitted), nil
		}
	}
	_ = l.Listener.Close()
	l.closeDone()
	return nil, net.ErrClosed
}

// admit passes a connection that was taken from the backlog through the wrapped listener's own limits,
// if it has any. It returns nil if the connection was refused.
func (l *Listener) admit(pending net.Conn) net.Conn {
	if limited, ok := l.Listener.(interface{ Admit(net.Conn) net.Conn }); ok {
		return limited.Admit(pending)
	}
	return pending
}

func (l *Listener) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.drainStart.IsZero()
}

// extendDeadline restarts the quiet period while draining, until the limit of
// Drain has passed.
func (l *Listener) extendDeadline() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drainStart.IsZero() || time.Since(l.drainStart) > l.drainLimit {
		return
	}
	_ = l.deadline.SetDeadline(time.Now().Add(quietPeriod))
}

func (l *Listener) closeDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
	default:
		close(l.done)
	}
}

// Drain keeps accepting until no connection has arrived for quietPeriod, or
// until limit has passed, and then closes the listener. It waits for a quiet
// period because connections still in the backlog are reset when a listener
// closes. The server must be serving.
func (l *Listener) Drain(limit time.Duration) {
	l.mu.Lock()
	l.drainStart = time.Now()
	l.drainLimit = limit
	err := l.deadline.SetDeadline(l.drainStart.Add(quietPeriod))
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
	c := &conn{Conn: accepted, tracker: t}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	return c
}

// ConnState implements the http.Server.ConnState hook.
func (t *Tracker) ConnState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.releaseHead()
		c.setIdle()
		t.mu.Lock()
		retiring := t.retiring
		t.mu.Unlock()
		if retiring {
			t.retire(c)
		}
	case http.StateClosed, http.StateHijacked:
		c.releaseHead()
		c.detach()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}
}

type connKey struct{}

// ConnContext implements the http.Server.ConnContext hook.
func (t *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// WrapHandler wraps a handler. It aborts a pipelined request that was read together
// with the previous one if the connection has been retired since, and it
// rejects requests with conflicting framing.
func (t *Tracker) WrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if !c.setActive() {
				panic(http.ErrAbortHandler)
			}
			if rejectConflictingFraming(c, w, r) {
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Retire sends the final response on every idle connection and closes it, and
// does the same with each connection that becomes idle later. It returns when
// the connections that were idle at the call are closed.
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
	t.writers.Wait()
}

func (t *Tracker) retire(c *conn) {
	if !c.setRetired() {
		return
	}
	t.writers.Go(func() { c.writeFinalResponse(t.finalResponse) })
}
