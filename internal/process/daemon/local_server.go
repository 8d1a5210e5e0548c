package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/connection/response"
	"github.com/daisygate/daisygate/internal/connection/upstream"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Limits of the health checks that find the local backend server after a restart of the daemon.
const (
	// probePollInterval is the time between checks whether a probe can be sent.
	probePollInterval = 50 * time.Millisecond
	// probeMaxAttempts is the maximum number of probes. Each occupies a slot of the server for
	// a moment.
	probeMaxAttempts = 3
	// probeTimeout is the timeout of one probe.
	probeTimeout = 500 * time.Millisecond
	// probeDeadline is when probing ends. By then the server has announced itself in any case.
	probeDeadline = 3 * time.Second
	// maxHealthBodyBytes is how much of the body of a health check response is read.
	maxHealthBodyBytes = 4 << 10
	// maxHealthHeaderBytes is the size limit of the header of a health check response.
	maxHealthHeaderBytes = 16 << 10
)

// probeLocalServer finds the local backend server after a restart of the daemon, before the
// server's next announcement. After all daemons of a fleet were killed, much of a service's
// capacity is available sooner this way.
func (d *Daemon) probeLocalServer(ctx context.Context) {
	server := *d.configuredServer.Load()
	if d.platform == nil || d.settings.Source.Found || server.Addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeDeadline)
	defer cancel()
	ticker := time.NewTicker(probePollInterval)
	defer ticker.Stop()
	for attempts := 0; attempts < probeMaxAttempts; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.announcedService.Load() != nil {
			return
		}
		snap := d.mesh.Directory().Snapshot
		key := snapshot.ServiceKey{Mesh: server.Mesh, Name: server.Service}
		service := snap.Service(key)
		if service == nil || service.Health == "" {
			continue
		}
		version, known := d.localServerVersion(snap.Rollout(key))
		if !known {
			continue
		}
		attempts++
		if health, ok := d.checkHealth(ctx, server.Addr, service.Health); ok {
			d.announceHealthy(ctx, server, health, version)
			return
		}
	}
}

// localServerVersion returns the software version that the local backend server must have
// before it has announced itself. known is false while servers of another version may be
// running: the health check does not reveal the version, so the daemon waits for the
// announcement.
func (d *Daemon) localServerVersion(r *fleet.Rollout) (version string, known bool) {
	switch {
	case !d.settings.Servers.Rollouts:
		return "", true
	case r == nil || !d.Ready():
		return "", false
	}
	return r.Serving(), r.Stage == fleet.Admitted || r.Stage == fleet.Completed
}

// checkHealth sends a health check to a backend server and reports whether the server accepts
// requests.
func (d *Daemon) checkHealth(ctx context.Context, addr, path string) (Health, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := requestHealth(ctx, addr, path)
	if err != nil {
		d.log.V(1).Info("health check of the local backend server failed", "server", addr, "error", upstream.ShortenError(err).Error())
		return Health{}, false
	}
	return d.platform.ParseHealth(resp.StatusCode, resp.Header)
}

// requestHealth sends a health check on a connection of its own and returns the response, whose body was
// read.
func requestHealth(ctx context.Context, addr, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build health check")
	}
	r.Close = true
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	return exchangeHealth(conn, r)
}

// exchangeHealth sends a health check on a connection and reads the response. The body must be complete, or
// longer than maxHealthBodyBytes.
func exchangeHealth(conn net.Conn, r *http.Request) (*http.Response, error) {
	if err := r.Write(conn); err != nil {
		return nil, errors.Wrap(err, "send health check")
	}
	br := bufio.NewReader(io.LimitReader(conn, maxHealthHeaderBytes+maxHealthBodyBytes))
	resp, err := response.Read(br, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read health check response")
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBodyBytes))
	return resp, errors.Wrap(err, "read health check response")
}

// announceHealthy announces the server on its behalf, unless it has announced itself in the
// meantime.
func (d *Daemon) announceHealthy(ctx context.Context, server LocalServer, h Health, version string) {
	if d.announcedService.Load() != nil {
		return
	}
	refused := d.servers.Announce(ctx, announce.Announcement{
		Mesh: server.Mesh, Service: server.Service, Version: version, Address: server.Addr, Slots: h.Slots,
		Connections: announce.MaxCapacity, LeaseSeconds: server.LeaseSeconds, Boot: h.Boot, Inferred: true,
	})
	if refused != nil {
		d.log.Error(refused, "local backend server not added after its health check", "server", server.Addr)
		return
	}
	d.gateway.AdoptRateLimit(server.Addr, h.Boot, h.RateLimit)
	d.gateway.RecordContention(server.Addr, h.Boot, h.Contention)
	d.log.Info("local backend server found by health check", "server", server.Addr, "boot", h.Boot, "slots", h.Slots)
}
