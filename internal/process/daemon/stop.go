package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/connection/graceful"
	"github.com/daisygate/daisygate/internal/result"
)

// drainLimit bounds how long a closing listener takes what still comes.
const drainLimit = time.Second

// leaveSpread is how long the news that a daemon leaves takes to all others.
const leaveSpread = 150 * time.Millisecond

// httpServer is the server of one listener with what its planned stop needs.
type httpServer struct {
	*http.Server
	listener *graceful.Listener
	tracker  *graceful.Tracker
}

// graceful puts a planned stop around the server of a listener.
func (d *Daemon) graceful(name string, server *http.Server) *httpServer {
	leaving := result.Errorf(result.Draining, "this daemon stops; send the request to another")
	tracker := graceful.NewTracker(result.Response(leaving, http.StatusRequestTimeout, time.Second))
	server.Handler = tracker.Guard(server.Handler)
	server.ConnState = tracker.ConnState
	server.ConnContext = tracker.ConnContext
	raw := d.listeners[name].(graceful.Deadline)
	return &httpServer{Server: server, listener: tracker.Listen(d.limits[name], raw), tracker: tracker}
}

// stopOrder is the order in which the listeners end: what callers and servers
// use first; the metrics tell of the stop until its end.
var stopOrder = [...]string{"caller", "health", "announce", "control", "operator", "peer", "metrics"}

func (d *Daemon) drainCallers(servers map[string]*httpServer) {
	if callers := servers["caller"]; callers != nil {
		callers.listener.Drain(drainLimit)
	}
}

// inProgress counts the requests on the backend servers beside this daemon.
func (d *Daemon) inProgress() int {
	n := 0
	for _, o := range d.gateway.Occupancy() {
		n += o.Running + o.Queued
	}
	return n
}

// stop leaves the fleet first, then waits for what is in progress. New callers
// find the port closed from the start; those on an open connection are told to
// close it with their next answer, and idle connections get a last answer
// (package graceful): http.Server drops a request that it reads after Shutdown
// began.
func (d *Daemon) stop(servers map[string]*httpServer) {
	d.leaving.Store(true)
	began := time.Now()
	d.log.Info("stopping", "leave_delay", d.set.Stop.LeaveDelay.String(), "timeout", d.set.Stop.Timeout.String(), "in_progress", d.inProgress())
	defer func() { d.log.Info("stopped", "took", time.Since(began).String(), "cut", d.inProgress()) }()
	if d.set.Stop.Serve {
		// Callers that have no other daemon come as before until they know; the
		// server beside works for everyone meanwhile.
		time.Sleep(d.set.Stop.LeaveDelay)
		d.mesh.Leave()
		time.Sleep(leaveSpread)
		d.gateway.Leave()
	} else {
		d.mesh.Leave()
		d.gateway.Leave()
		d.drainCallers(servers)
		time.Sleep(d.set.Stop.LeaveDelay)
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Stop.Timeout)
	defer cancel()
	for _, name := range stopOrder {
		server := servers[name]
		if server == nil {
			continue
		}
		server.listener.Drain(drainLimit)
		server.tracker.Retire()
		if err := ignoreClosed(server.Shutdown(ctx)); err != nil {
			d.log.Error(err, "stop listener", "listener", name)
			_ = server.Close()
		}
	}
}
