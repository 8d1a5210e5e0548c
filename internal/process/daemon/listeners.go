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
	"github.com/daisygate/daisygate/internal/connection/sockbuf"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// reservedFiles is the number of file descriptors reserved for uses other than connections.
	reservedFiles = 256
	// minCallerConnections is the lower bound of the limit on caller connections, however few
	// file descriptors there are.
	minCallerConnections = 64
)

// listen opens the listeners that were not passed to NewWithListeners.
func (d *Daemon) listen() error {
	addrs := map[string]string{
		"caller": d.settings.Listen.Caller, "announce": d.settings.Listen.Announce,
		"peer": d.settings.Listen.Peer, "operator": d.settings.Listen.Operator,
		"control": d.settings.Listen.Control, "health": d.settings.Listen.Health, "metrics": d.settings.Listen.Metrics,
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
	d.limitConnections()
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close()
	}
}

// Addr returns the address of a listener: "caller", "announce", "peer", "operator", "control",
// "health" or "metrics". It returns "" if the settings do not configure that listener.
func (d *Daemon) Addr(listener string) string {
	if d.listeners[listener] == nil {
		return ""
	}
	return d.listeners[listener].Addr().String()
}

// limitConnections wraps the listeners with the connection limits of the settings.
func (d *Daemon) limitConnections() {
	limits := d.settings.Limits
	files, err := openFiles()
	if err != nil {
		d.log.Error(err, "cannot read the limit on open files")
	}
	callers := callerConnections(limits.CallerConnections, limits.PeerConnections+limits.AnnounceConnections+limits.OperatorConnections, files)
	if callers < limits.CallerConnections {
		d.log.Info("limit on caller connections lowered to fit the limit on open files",
			"setting", limits.CallerConnections, "limit", callers, "open_files", files)
	}
	connections := map[string]int{
		"caller": callers, "announce": limits.AnnounceConnections,
		"peer": limits.PeerConnections, "operator": limits.OperatorConnections,
		"control": limits.OperatorConnections, "health": limits.HealthConnections, "metrics": limits.OperatorConnections,
	}
	for name, maxConns := range connections {
		if d.listeners[name] == nil {
			continue
		}
		if err := sockbuf.Set(d.listeners[name].(syscall.Conn), limits.SocketBufferBytes); err != nil {
			d.log.Error(err, "the kernel chooses the socket buffers", "listener", name)
		}
		d.limits[name] = limit.New(d.listeners[name], limit.Config{MaxConnections: maxConns, StallTimeout: limits.StallTimeout})
	}
}

// callerConnections returns the limit on caller connections for a process that may open the
// given number of files. A call needs two connections, and callers must not exhaust the
// descriptors of the listeners that the fleet itself depends on. files is 0 if unknown.
func callerConnections(wanted, others, files int) int {
	if files == 0 {
		return wanted
	}
	return min(wanted, max((files-reservedFiles-others)/2, minCallerConnections))
}

// openFiles returns the soft limit on open files of this process, at most 1<<30.
func openFiles() (int, error) {
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err != nil {
		return 0, err
	}
	return int(min(rlimit.Cur, 1<<30)), nil
}

// httpServers returns the server of each open listener, by the listener's name.
func (d *Daemon) httpServers() map[string]*httpServer {
	control := rpc.NewServer()
	registerControl(control, d)
	handlers := map[string]http.Handler{
		"caller":   http.HandlerFunc(d.gateway.ServeCaller),
		"announce": d.servers.Handler(),
		"peer":     peer.Handler(control, http.HandlerFunc(d.gateway.ServePeer), d.traffic),
		"operator": telemetry.WithHealth(d.traceRequests(operator.Handler(operator.Config{
			Token: d.token, ManifestBytes: d.settings.Limits.ManifestBytes, SubmitTimeout: submitTimeout, Metrics: d.metrics,
		}, tracedBackend{d})), d.NotReady),
	}
	if d.platform != nil {
		handlers["control"] = d.limitOrders(d.platform.Control(platformControl{d, d.servers}))
		handlers["health"] = d.platform.Health(d.NotReady)
	} else {
		handlers["health"] = telemetry.WithHealth(result.RefuseHandler(result.UnknownResource), d.NotReady)
	}
	handlers["metrics"] = telemetry.WithHealth(d.metrics, d.NotReady)
	servers := map[string]*httpServer{}
	for name, handler := range handlers {
		if d.listeners[name] == nil {
			continue
		}
		servers[name] = d.newHTTPServer(name, &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: d.settings.Limits.HeaderTimeout,
			IdleTimeout:       d.settings.Limits.IdleTimeout,
			MaxHeaderBytes:    d.settings.Limits.HeaderBytes,
			ErrorLog:          serverLog(d.log.WithName(name)),
		})
	}
	return servers
}
