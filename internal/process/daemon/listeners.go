package daemon

import (
	"net"
	"net/http"
	"net/rpc"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/limit"
	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// spareFiles are the open files kept for everything but connections.
	spareFiles = 256
	// minCallerConnections is what callers get, however few files there are.
	minCallerConnections = 64
)

// listen opens the listeners that were not handed over.
func (d *Daemon) listen() error {
	addrs := map[string]string{
		"caller": d.set.Listen.Caller, "announce": d.set.Listen.Announce,
		"peer": d.set.Listen.Peer, "operator": d.set.Listen.Operator,
		"control": d.set.Listen.Control, "health": d.set.Listen.Health, "metrics": d.set.Listen.Metrics,
	}
	for name, addr := range addrs {
		if addr == "" || d.listeners[name] != nil {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.Wrapf(err, "listen.%s", name)
		}
		d.listeners[name] = listener
	}
	d.bound()
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close()
	}
}

// Addr returns the address of a listener: "caller", "announce", "peer",
// "operator", "control", "health" or "metrics"; "" if the settings name none.
func (d *Daemon) Addr(listener string) string {
	if d.listeners[listener] == nil {
		return ""
	}
	return d.listeners[listener].Addr().String()
}

// bound puts the limits of the settings around the listeners.
func (d *Daemon) bound() {
	limits := d.set.Limits
	files, err := openFiles()
	if err != nil {
		d.log.Error(err, "number of open files unknown")
	}
	callers := callerConnections(limits.CallerConnections, limits.PeerConnections+limits.AnnounceConnections+limits.OperatorConnections, files)
	if callers < limits.CallerConnections {
		d.log.Info("caller connections lowered to the open files of this process",
			"setting", limits.CallerConnections, "limit", callers, "open_files", files)
	}
	connections := map[string]int{
		"caller": callers, "announce": limits.AnnounceConnections,
		"peer": limits.PeerConnections, "operator": limits.OperatorConnections,
		"control": limits.OperatorConnections, "health": limits.AnnounceConnections, "metrics": limits.OperatorConnections,
	}
	for name, most := range connections {
		if d.listeners[name] == nil {
			continue
		}
		d.limits[name] = limit.New(d.listeners[name], limit.Config{Connections: most, StallTimeout: limits.StallTimeout})
	}
}

// callerConnections is how many connections callers may hold when the process
// may open so many files: a call takes two, and the listeners that keep the
// fleet together are not to run short for callers' sake. files 0 is unknown.
func callerConnections(wanted, others, files int) int {
	if files == 0 {
		return wanted
	}
	return min(wanted, max((files-spareFiles-others)/2, minCallerConnections))
}

// openFiles is the most files this process may open.
func openFiles() (int, error) {
	var most syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most); err != nil {
		return 0, err
	}
	return int(min(most.Cur, 1<<30)), nil
}

func (d *Daemon) httpServers() map[string]*httpServer {
	control := rpc.NewServer()
	registerControl(control, d)
	handlers := map[string]http.Handler{
		"caller":   http.HandlerFunc(d.gateway.ServeCaller),
		"announce": d.servers.Handler(),
		"peer":     peer.Handler(control, http.HandlerFunc(d.gateway.ServePeer), d.traffic),
		"operator": telemetry.WithHealth(d.traced(operator.Handler(operator.Config{
			Token: d.token, ManifestBytes: d.set.Limits.ManifestBytes, SubmitTimeout: submitTimeout, Metrics: d.metrics,
		}, tracedBackend{d})), d.NotReady),
	}
	if d.platform != nil {
		handlers["control"] = d.platform.Control(platformControl{d, d.servers})
		handlers["health"] = d.platform.Health(d.NotReady)
	} else {
		handlers["health"] = telemetry.WithHealth(result.Refuse(result.UnknownResource), d.NotReady)
	}
	handlers["metrics"] = telemetry.WithHealth(d.metrics, d.NotReady)
	servers := map[string]*httpServer{}
	for name, handler := range handlers {
		if d.listeners[name] == nil {
			continue
		}
		servers[name] = d.graceful(name, &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: d.set.Limits.HeaderTimeout,
			IdleTimeout:       d.set.Limits.IdleTimeout,
			MaxHeaderBytes:    d.set.Limits.HeaderBytes,
			ErrorLog:          serverLog(d.log.WithName(name)),
		})
	}
	return servers
}
