// Package gateway proxies calls. ServeCaller accepts a request from a caller, picks a
// backend server and sends the request to the daemon on that server's instance. ServePeer
// is the receiving side: only the daemon on the same instance talks to a backend server
// and counts its slots.
//
// Every response states whether the request was run, was certainly not run, or may have
// been run (package result). The decisions are made by the packages in internal/request;
// this package drives them with sockets, goroutines and the clock.
//
// A route's timeout applies until the response header arrives. It restarts with each part
// of the request body that arrives and stops at the response header, so it never cuts a
// transfer in progress.
package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/connection/upstream"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/retry"
	"github.com/daisygate/daisygate/internal/request/share"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Config holds the settings of a Gateway; they do not change afterwards.
type Config struct {
	// Self, Domain and Region are this daemon's name, failure domain and region.
	Self   string
	Domain string
	Region string
	// QueuePerSlot is the length of the admission queue per slot.
	QueuePerSlot int
	// MaxConcurrentCalls is the maximum number of concurrent calls from callers; 0 means
	// defaultMaxCalls.
	MaxConcurrentCalls int
	// Directory returns the current directory.
	Directory func() *directory.Directory
	// Ready reports whether a confirmed version is active.
	Ready func() bool
	// Observer and Tracer receive the progress of calls; nil disables them.
	Observer Observer
	Tracer   Tracer
	// Claims and CrashScreener are optional.
	Claims        Claims
	CrashScreener CrashScreener
	// Dialect translates the headers of callers and backend servers; nil selects
	// daisygate's own.
	Dialect Dialect
	// Origin returns the service of this instance's backend server, which is recorded as
	// the origin of requests from local callers. nil means there is none.
	Origin func() string
	// CloseAbandoned closes the connection of an abandoned request and frees its slot
	// immediately. Otherwise the gateway waits for the backend server to close the
	// connection.
	CloseAbandoned bool
	// FixedSlots keeps the limit at the slots that a backend server announces, regardless
	// of its latency.
	FixedSlots bool
	// MaxBufferedResponse is the size of the largest response that is buffered completely
	// before it is passed on; 0 streams every response.
	MaxBufferedResponse int64
	// ResponseMemory bounds the bytes of all responses that are buffered; 0 means
	// defaultBufferedTotal.
	ResponseMemory int64
	// OnResponseMemoryFull is called when a request needs memory for its response and there is
	// none, and repeatedly while a response is streamed for that reason. It disconnects the
	// caller that is slowest to read its response, and reports whether there is a slow one.
	OnResponseMemoryFull func() bool
	// MaxUploads is the maximum number of streamed bodies that callers may be sending; 0 means no
	// limit.
	MaxUploads int
	// SocketBuffer is the size of the socket buffers of each connection to a backend server or
	// another daemon, in bytes; 0 leaves it to the kernel.
	SocketBuffer int
	// LinkBytes is the capacity of the instance's link in each direction, in bytes per
	// second. 0 means unknown: large bodies and responses are then not scheduled.
	LinkBytes float64
	// OnConnectionRefused is called with the address of a backend server that refused a
	// connection.
	OnConnectionRefused func(addr string)
	// OnMisdirected is called with an address at which a different boot (start of a server)
	// answered than the expected one; boot is "" if none was expected.
	OnMisdirected func(addr, boot string)
	// OnLeaving is called with the address, the boot and the start time of a backend server that
	// has stated that it is about to stop. When it returns, SetServers has been called with the
	// server draining.
	OnLeaving func(addr, boot string, started int64)
	// KeysCurrent reports whether the API keys in force are certain to be recent enough to
	// accept requests with one; nil means that they always are.
	KeysCurrent func() bool
	// Allowances limits the requests of organisations; nil means that there are no limits.
	Allowances Allowances
	// Retry returns the limits on this daemon's retries.
	Retry func() retry.Limits
	// Rollout limits the exposure of software versions during a rollout.
	Rollout RolloutConfig
	// RequestLog receives the log lines about single requests, at most RequestLines per
	// second; 0 means no limit.
	RequestLog   logr.Logger
	RequestLines int
}

// Gateway proxies calls. It is safe for concurrent use.
type Gateway struct {
	cfg            Config
	log            logr.Logger
	requestLog     *requestLog
	link           *link
	responseBuffer *responseBuffer
	uploads        *uploadRoom
	peerPools      *peerPools
	retryTracker   *retryTracker
	returning      returningCallers
	calls          callTracker
	rooms          *domainRooms
	news           newsCounters
	started        time.Time
	shuttingDown   atomic.Bool
	// startupWaiters counts the requests that wait for this daemon's startup to finish.
	startupWaiters atomic.Int64
	// entryRefusals and shortRefusals are the counts of EndToEnd.
	entryRefusals, shortRefusals atomic.Uint64

	mu              sync.Mutex
	backends        map[string]*backend
	appliedSnapshot *snapshot.Snapshot

	servicesMu sync.RWMutex
	services   map[snapshot.ServiceKey]*service

	sharesMu sync.Mutex
	shares   *share.Limiter
}

const (
	dialTimeout        = time.Second
	retryAfterOverload = time.Second
	defaultMaxCalls    = 8192
	// learningPeriod is how long after its start a daemon may not have discovered all
	// servers.
	learningPeriod = 5 * time.Second
)

// New returns a Gateway.
func New(cfg Config, log logr.Logger) *Gateway {
	if cfg.Observer == nil {
		cfg.Observer = noop{}
	}
	if cfg.Tracer == nil {
		cfg.Tracer = noop{}
	}
	if cfg.Dialect == nil {
		cfg.Dialect = defaultDialect{}
	}
	if cfg.Origin == nil {
		cfg.Origin = func() string { return "" }
	}
	if cfg.OnConnectionRefused == nil {
		cfg.OnConnectionRefused = func(string) {}
	}
	if cfg.OnMisdirected == nil {
		cfg.OnMisdirected = func(string, string) {}
	}
	if cfg.OnLeaving == nil {
		cfg.OnLeaving = func(string, string, int64) {}
	}
	if cfg.Retry == nil {
		cfg.Retry = retry.Defaults
	}
	cfg.Rollout = cfg.Rollout.withDefaults()
	if cfg.OnResponseMemoryFull == nil {
		cfg.OnResponseMemoryFull = func() bool { return false }
	}
	if cfg.ResponseMemory == 0 {
		cfg.ResponseMemory = defaultBufferedTotal
	}
	if cfg.MaxConcurrentCalls == 0 {
		cfg.MaxConcurrentCalls = defaultMaxCalls
	}
	return &Gateway{
		cfg: cfg, log: log, requestLog: newRequestLog(cfg.RequestLog, cfg.RequestLines), link: newLink(cfg.LinkBytes), responseBuffer: &responseBuffer{maxBytes: cfg.MaxBufferedResponse, maxTotal: cfg.ResponseMemory}, uploads: newUploadRoom(cfg.MaxUploads), started: time.Now(), peerPools: newPeerPools(cfg.Domain, cfg.SocketBuffer), retryTracker: newRetryTracker(), rooms: newDomainRooms(), shares: share.New(cfg.MaxConcurrentCalls),
		backends: map[string]*backend{}, services: map[snapshot.ServiceKey]*service{},
	}
}

func (g *Gateway) location() balance.Location {
	return balance.Location{Node: g.cfg.Self, Domain: g.cfg.Domain, Region: g.cfg.Region}
}

// BeginShutdown starts the planned shutdown: requests from other daemons are refused as not
// run, and callers are asked to close their connections. Requests in progress continue.
func (g *Gateway) BeginShutdown() { g.shuttingDown.Store(true) }

// Close closes idle connections and those of abandoned requests. It must be called after
// the last request has finished.
func (g *Gateway) Close() {
	g.peerPools.close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.backends {
		b.pool.Load().Close()
	}
}

// PeerBytes returns the bytes of calls exchanged with the daemons of the same failure domain
// and of others since the start.
func (g *Gateway) PeerBytes() (same, other uint64) {
	return g.peerPools.bytes.same.Load(), g.peerPools.bytes.other.Load()
}

// acquireShare counts a call against the share of a mesh and reports whether there was
// room. If so, the caller must call releaseShare.
func (g *Gateway) acquireShare(mesh string) bool {
	g.sharesMu.Lock()
	defer g.sharesMu.Unlock()
	return g.shares.Enter(mesh)
}

func (g *Gateway) releaseShare(mesh string) {
	g.sharesMu.Lock()
	defer g.sharesMu.Unlock()
	g.shares.Leave(mesh)
}

// writeRefusal writes the final response to a request that was refused.
func writeRefusal(w http.ResponseWriter, r *refusal) {
	if r.retryAfter > 0 {
		w.Header().Set(headerBack, formatMicroseconds(r.retryAfter))
	}
	result.WriteHTTPRetry(w, r.Error, r.retryAfter)
}

// peerPools holds the connection pools to other daemons that carry calls.
type peerPools struct {
	mu    sync.RWMutex
	pools map[string]*upstream.Pool
	// domain is the failure domain of this daemon. bytes counts the bytes of calls to and
	// from the daemons of this domain and of others.
	domain string
	bytes  domainBytes
	// socketBuffer is Config.SocketBuffer.
	socketBuffer int
}

// domainBytes counts bytes exchanged with daemons of the same failure domain and of others.
type domainBytes struct{ same, other atomic.Uint64 }

// of returns the counter for a peer that is in the same failure domain or not.
func (b *domainBytes) of(same bool) *atomic.Uint64 {
	if same {
		return &b.same
	}
	return &b.other
}

const (
	maxIdlePeerConns = 64
	peerIdleTimeout  = 20 * time.Second
	// peerSweepInterval is how many pools are added between two sweeps of the pools
	// without connections.
	peerSweepInterval = 256
)

func newPeerPools(domain string, socketBuffer int) *peerPools {
	return &peerPools{pools: map[string]*upstream.Pool{}, domain: domain, socketBuffer: socketBuffer}
}

// pool returns the connection pool of the daemon at addr, which is in the given failure
// domain.
func (p *peerPools) pool(addr, domain string) *upstream.Pool {
	p.mu.RLock()
	pool := p.pools[addr]
	p.mu.RUnlock()
	if pool != nil {
		return pool
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool = p.pools[addr]; pool != nil {
		return pool
	}
	if len(p.pools)%peerSweepInterval == peerSweepInterval-1 {
		p.sweep()
	}
	pool = upstream.NewPool(upstream.Config{Addr: addr, IdleMax: maxIdlePeerConns, IdleTimeout: peerIdleTimeout, DialTimeout: dialTimeout, Bytes: p.bytes.of(domain == p.domain), SocketBuffer: p.socketBuffer})
	p.pools[addr] = pool
	return pool
}

func (p *peerPools) sweep() {
	for addr, pool := range p.pools {
		if pool.Total() == 0 {
			delete(p.pools, addr)
		}
	}
}

func (p *peerPools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.Close()
	}
}
