package gateway

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/daisygate/daisygate/internal/connection/upstream"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

const (
	// backendIdleTimeout is below the usual keep-alive timeout of servers, and
	// nonRepeatableIdleAge well below it: a request that must not be sent twice does not
	// use a connection that the server may be about to close.
	backendIdleTimeout   = 4 * time.Second
	nonRepeatableIdleAge = time.Second
)

// backend is a backend server of this instance.
type backend struct {
	// server is the latest announcement, guarded by Gateway.mu.
	server presence.Server
	gate   *gate
	// pool is replaced when the server returns after it was removed.
	pool atomic.Pointer[upstream.Pool]
	// removed is set when the server is no longer announced. The entry remains while
	// requests run, so that their slots still count if the server returns.
	removed bool
	// requests counts the requests sent to the server since this daemon started. retries
	// counts those that had been sent to a server before, or were made by a run that had.
	requests, retries atomic.Uint64
	// calls counts those that other backend servers made while they ran a request.
	calls atomic.Uint64
	// leaving is set once the server has stated that it is about to stop.
	leaving atomic.Bool
	// runs decides which requests may begin a run while calls of runs fail.
	runs runAdmission
}

// countRequest counts a request that is sent to the server.
func (b *backend) countRequest(retryProbability float64, call bool) {
	b.requests.Add(1)
	if call {
		b.calls.Add(1)
	}
	if retryProbability >= 1 {
		b.retries.Add(1)
	}
}

// SetServers replaces the backend servers of this instance.
func (g *Gateway) SetServers(servers []presence.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	announced := map[string]bool{}
	for _, s := range servers {
		announced[s.Addr] = true
		g.setServer(s)
	}
	for addr, b := range g.backends {
		if announced[addr] {
			continue
		}
		g.remove(addr, b)
	}
}

func (g *Gateway) setServer(s presence.Server) {
	b := g.backends[s.Addr]
	if b != nil && b.isOtherBoot(s) {
		// A restarted server shares no state with its predecessor.
		b.gate.Configure(admit.Config{}, true)
		b.pool.Load().Close()
		b = nil
	}
	if b == nil || b.removed {
		if b == nil {
			b = &backend{gate: newGate(g.admissionConfig(s))}
			g.backends[s.Addr] = b
		}
		b.removed = false
		b.pool.Store(g.newBackendPool(s.Addr))
	}
	b.server = s
	g.applyLimits(b)
}

// isOtherBoot reports whether s is another start of the server. A health check tells the boot but
// not its start time, which then comes with the server's next announcement.
func (b *backend) isOtherBoot(s presence.Server) bool {
	found := b.server.Boot != "" && b.server.Started == 0
	return b.server.Boot != s.Boot || b.server.Started != s.Started && !found
}

func (g *Gateway) newBackendPool(addr string) *upstream.Pool {
	return upstream.NewPool(upstream.Config{
		SocketBuffer: g.cfg.SocketBuffer,
		Addr:         addr, IdleMax: 1 << 16, IdleTimeout: backendIdleTimeout, DialTimeout: dialTimeout, Linger: !g.cfg.CloseAbandoned,
	})
}

func (g *Gateway) remove(addr string, b *backend) {
	if !b.removed {
		b.removed = true
		b.gate.Configure(admit.Config{}, true)
		b.pool.Load().Close()
	}
	if b.gate.Running() == 0 {
		delete(g.backends, addr)
	}
}

// applyLimits applies the limits of the announcement and of the manifest.
func (g *Gateway) applyLimits(b *backend) {
	b.pool.Load().SetMax(g.maxConnections(b.server))
	b.gate.shareLoad(g.sharesLoad(b.server.Mesh))
	b.gate.Configure(g.admissionConfig(b.server), b.server.State == presence.Draining)
}

// admissionConfig returns the smaller of the announced limits and those of the manifest.
// Each request uses one connection.
func (g *Gateway) admissionConfig(s presence.Server) admit.Config {
	slots, slowStart := s.Slots, time.Duration(0)
	if service := g.serviceOf(s); service != nil {
		slots = min(slots, cmp.Or(service.Slots, slots))
		slowStart = service.SlowStart
	}
	slots = min(slots, g.maxConnections(s))
	cfg := admit.Config{Slots: slots, QueueMax: slots * g.cfg.QueuePerSlot, Fixed: g.cfg.FixedSlots, Cautious: g.sharesLoad(s.Mesh)}
	if s.Since > 0 {
		cfg.Since, cfg.SlowStart = time.UnixMilli(s.Since), slowStart
	}
	return cfg
}

func (g *Gateway) maxConnections(s presence.Server) int {
	if service := g.serviceOf(s); service != nil {
		return min(s.Connections, cmp.Or(service.Connections, s.Connections))
	}
	return s.Connections
}

func (g *Gateway) serviceOf(s presence.Server) *snapshot.Service {
	snap := g.cfg.Directory().Snapshot
	if snap == nil {
		return nil
	}
	return snap.Service(snapshot.ServiceKey{Mesh: s.Mesh, Name: s.Service})
}

// backendAt returns the backend server at addr and its latest announcement, or nil if
// none is announced. A version that has become active since the last call is applied
// first.
func (g *Gateway) backendAt(addr string) (*backend, presence.Server) {
	snap := g.cfg.Directory().Snapshot
	g.mu.Lock()
	defer g.mu.Unlock()
	if snap != g.appliedSnapshot {
		g.appliedSnapshot = snap
		for _, b := range g.backends {
			if !b.removed {
				g.applyLimits(b)
			}
		}
	}
	b := g.backends[addr]
	if b == nil || b.removed {
		return nil, presence.Server{}
	}
	return b, b.server
}

// LocalLoad implements balance.Local.
func (g *Gateway) LocalLoad(addr string) (balance.Load, bool) {
	g.mu.Lock()
	b := g.backends[addr]
	known := b != nil && !b.removed
	g.mu.Unlock()
	if !known {
		return balance.Load{}, false
	}
	return b.gate.Load(), true
}
