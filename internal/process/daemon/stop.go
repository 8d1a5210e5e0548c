package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/connection/graceful"
	"github.com/daisygate/daisygate/internal/connection/limit"
	"github.com/daisygate/daisygate/internal/result"
)

// listenerDrainTimeout is the maximum time that a closing listener keeps accepting connections
// that still arrive.
const listenerDrainTimeout = time.Second

// leavePropagation is how long it takes until all other daemons know that this daemon is
// leaving.
const leavePropagation = 150 * time.Millisecond

// httpServer is the server of one listener with the wrappers for its graceful shutdown.
type httpServer struct {
	*http.Server
	listener *graceful.Listener
	tracker  *graceful.Tracker
}

// newHTTPServer prepares the server of a listener for graceful shutdown.
func (d *Daemon) newHTTPServer(name string, server *http.Server) *httpServer {
	leaving := result.Errorf(result.Draining, "this daemon is stopping; send the request to another one")
	tracker := graceful.NewTracker(result.Response(leaving, http.StatusRequestTimeout, time.Second), graceful.HeadLimits{
		Bytes: d.headerLimit(name), Timeout: server.ReadHeaderTimeout, Memory: d.settings.Limits.HeaderMemory(),
	})
	server.Handler = tracker.WrapHandler(limit.WrapHandler(server.Handler))
	server.ConnState = func(c net.Conn, state http.ConnState) {
		tracker.ConnState(c, state)
		limit.ConnState(c, state)
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return limit.ConnContext(tracker.ConnContext(ctx, c), c)
	}
	unlimited := d.listeners[name].(graceful.DeadlineSetter)
	return &httpServer{Server: server, listener: tracker.Listen(d.limits[name], unlimited), tracker: tracker}
}

// headerLimit returns what gives the maximum size of a request's header on a listener: that of the
// settings, and for callers no more than the largest that the manifests in force allow. Other daemons
// add headers of their own.
func (d *Daemon) headerLimit(listener string) func() int {
	ceiling := d.settings.Limits.HeaderBytes
	if listener != "caller" && listener != "health" {
		return func() int { return ceiling }
	}
	return func() int {
		if allowed := d.mesh.Directory().Snapshot.HeaderBytes(); allowed > 0 {
			return min(ceiling, allowed)
		}
		return ceiling
	}
}

// stopOrder is the order in which the listeners are shut down: those of callers and backend
// servers first, metrics last so that the whole stop can be observed.
var stopOrder = [...]string{"caller", "health", "announce", "control", "operator", "peer", "metrics"}

// drainCallers closes the caller listener after the connections that still arrive are accepted.
func (d *Daemon) drainCallers(servers map[string]*httpServer) {
	if callers := servers["caller"]; callers != nil {
		callers.listener.Drain(listenerDrainTimeout)
	}
}

// inProgress counts the running and queued requests of the local backend servers.
func (d *Daemon) inProgress() int {
	n := 0
	for _, o := range d.gateway.Occupancy() {
		n += o.Running + o.Queued
	}
	return n
}

// stop leaves the fleet first, then waits for the requests in progress. Unless Stop.Serve is
// set, the caller port is closed from the start. Callers with an open connection are asked to
// close it with their next response, and idle connections get a final response (see package
// graceful), because http.Server drops a request that it reads after Shutdown was called. What is still
// open after Stop.LeaveDelay and Stop.Timeout is closed at once.
func (d *Daemon) stop(servers map[string]*httpServer) {
	d.leaving.Store(true)
	start := time.Now()
	d.log.Info("stopping", "leave_delay", d.settings.Stop.LeaveDelay.String(), "timeout", d.settings.Stop.Timeout.String(), "in_progress", d.inProgress())
	defer func() { d.log.Info("stopped", "took", time.Since(start).String(), "cut", d.inProgress()) }()
	if d.settings.Stop.Serve {
		// Callers without another daemon keep sending requests here until they learn of
		// the stop. The local backend server serves all requests in the meantime.
		time.Sleep(d.settings.Stop.LeaveDelay)
		d.mesh.Leave()
		time.Sleep(leavePropagation)
		d.gateway.BeginShutdown()
	} else {
		d.mesh.Leave()
		// Callers are asked to close their connections only when the port is closed: otherwise
		// they would open new ones at the port, and one whose handshake is not complete when
		// the port closes is reset.
		d.drainCallers(servers)
		d.gateway.BeginShutdown()
		time.Sleep(d.settings.Stop.LeaveDelay)
	}
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(d.settings.Stop.LeaveDelay+d.settings.Stop.Timeout))
	defer cancel()
	for _, name := range stopOrder {
		server := servers[name]
		if server == nil {
			continue
		}
		if ctx.Err() != nil {
			_ = server.Close()
			continue
		}
		server.listener.Drain(listenerDrainTimeout)
		server.tracker.Retire()
		if err := ignoreClosed(server.Shutdown(ctx)); err != nil {
			d.log.Error(err, "stop listener", "listener", name)
			_ = server.Close()
		}
	}
}
