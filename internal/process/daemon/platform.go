package daemon

import (
	"context"
	"net/http"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/result"
)

// Platform is an adapter to the platform that a daemon runs on. It translates names, formats
// and calls, and makes no decisions. Without a platform the daemon serves its native interface.
type Platform interface {
	gateway.Dialect
	// Control returns the handler of listen.control.
	Control(c Control) http.Handler
	// Health returns the handler of listen.health. notReady returns the reason why the daemon
	// should get no requests, or "".
	Health(notReady func() string) http.Handler
	// LocalServer returns the local backend server named in the settings.
	LocalServer() LocalServer
	// ParseHealth parses the response of a backend server at its health path. It returns false
	// if the server does not accept requests.
	ParseHealth(status int, h http.Header) (Health, bool)
}

// LocalServer is the local backend server as the settings name it.
type LocalServer struct {
	Mesh, Service string
	// Addr is "ip:port"; "" if there is none.
	Addr string
	// LeaseSeconds is how long an announcement is valid.
	LeaseSeconds int
}

// Health is what a backend server that accepts requests reports at its health path.
type Health struct {
	Boot  string
	Slots int
	// RateLimit is the rate of requests that the server accepts from all daemons together.
	RateLimit ratelimit.Statement
	// Contention is the time that work takes on the server's instance at this moment relative to
	// the usual one; 0 if the server does not state it.
	Contention float64
}

// Control contains the operations for the operators and backend servers of a platform.
type Control interface {
	// ReplaceConfiguration submits a manifest.
	ReplaceConfiguration(ctx context.Context, o *source.Order) (source.Answer, error)
	// Newest returns the newest manifest of a mesh.
	Newest(ctx context.Context, mesh string) (source.Answer, error)
	// OrderRollout submits an order for a rollout.
	OrderRollout(ctx context.Context, o *source.RolloutOrder) (source.Answer, error)
	// NewestRollout returns the newest rollout of a service.
	NewestRollout(ctx context.Context, name source.ServiceName) (source.Answer, error)
	// Announce processes an announcement of a backend server. When it returns nil, the
	// announcement is in force at this daemon, and a leave outlasts its process.
	Announce(ctx context.Context, a announce.Announcement) *result.Error
	// EndRun records that the run of a backend server with this boot and start time is over.
	// When it returns nil, that outlasts the process of the daemon.
	EndRun(ctx context.Context, boot string, started int64) *result.Error
}

// platformControl implements Control.
type platformControl struct {
	*Daemon
	*announce.Server
}

// setConfiguredServer stores the local backend server that the settings of the platform name.
func (d *Daemon) setConfiguredServer(platform Platform) {
	var server LocalServer
	if platform != nil {
		server = platform.LocalServer()
	}
	d.configuredServer.Store(&server)
}

// NamesOtherServer reports whether the settings of platform name a different backend server
// than the settings in force.
func (d *Daemon) NamesOtherServer(platform Platform) bool {
	return platform != nil && platform.LocalServer() != *d.configuredServer.Load()
}

// origin returns the service of the local backend server: the one that the settings name, else
// the announced one, else "".
func (d *Daemon) origin() string {
	if service := d.configuredServer.Load().Service; service != "" {
		return service
	}
	if service := d.announcedService.Load(); service != nil {
		return *service
	}
	return ""
}
