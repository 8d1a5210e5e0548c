// Package daemon assembles a daemon from its settings: the listeners, the control plane, the
// gateway, and a source if the settings make the daemon one. A source is a member of the group
// that replicates the accepted manifests; one of the sources is the leader.
//
// A local backend server is one that runs on the same instance as the daemon.
package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/connection/limit"
	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/process/bootclock"
	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/process/view"
)

// Timing of the control plane.
const (
	tickInterval     = 100 * time.Millisecond
	linkInterval     = 1200 * time.Millisecond
	linkSilence      = 2500 * time.Millisecond
	presenceInterval = time.Second
	suspectFor       = 1500 * time.Millisecond
	forgetAfter      = 2 * time.Hour
	probeInterval    = 10 * time.Second
	activeLinks      = 5
	maxLinks         = 7

	// A source starts an election 0.5 s to 1 s after the last message from a leader. A leader
	// sends a heartbeat every 160 ms.
	sourceTick           = 20 * time.Millisecond
	sourceElectionTicks  = 25
	sourceHeartbeatTicks = 8
	// sourceFirstTicks makes a source that has just started wait 60 ms to 240 ms before it
	// requests a pre-vote. This does not depose a live leader: the sources that hear from the
	// leader refuse the pre-vote.
	sourceFirstTicks = 3
	// sourceReplaceTicks is 2.5 s, enough for a source to restart. A source is replaced only if
	// a new source asks to join.
	sourceReplaceTicks = 125

	submitTimeout = 10 * time.Second
	outboxLimit   = 4096
)

// Daemon is one running daemon.
type Daemon struct {
	settings settings.Settings
	log      logr.Logger
	traffic  *peer.Traffic
	pool     *peer.Pool
	// controlSame and controlOther count the traffic of the control connections that this daemon
	// opened to daemons of its failure domain and of others.
	controlSame, controlOther peer.Counters

	items    *peer.Outbox[mesh.Item]
	messages *peer.Outbox[replica.Message]

	mesh    *mesh.Mesh
	gateway *gateway.Gateway
	source  *source.Source
	// leadership is set after source has been opened; nil if the daemon is not a source.
	leadership *leadership
	servers    *announce.Server
	leaves     *leaveKeeper
	// learnedSources are the sources that this daemon learned of since its start; nil if none.
	learnedSources atomic.Pointer[[]settings.Member]
	claims         *claimManager
	// suspects is nil if the daemon is not a source, or quarantines no requests.
	suspects   *suspectStore
	allowances *allowances
	rooms      *domainRooms

	// incarnation is the start time of this process in Unix milliseconds.
	incarnation uint64

	drains *drainState
	// token is the bearer token of the operator API, "" if there is none.
	token string

	listeners map[string]net.Listener
	// limits holds the connection-limiting wrappers of listeners, by the same names.
	limits map[string]*limit.Listener
	self   view.Node

	metrics *telemetry.Metrics
	// traces is nil if tracing is off.
	traces *telemetry.Traces
	// data is nil if the settings name no data folder.
	data    *storage.Folder
	leaving atomic.Bool

	// platform is nil if the daemon serves its native interface.
	platform Platform
	// configuredServer is the local backend server named in the settings of the platform.
	configuredServer atomic.Pointer[LocalServer]
	// announcedService is the service of the announced local backend servers; nil if there are
	// none or they belong to different services.
	announcedService atomic.Pointer[string]
	// rollouts is nil if the daemon is not a source.
	rollouts *rolloutDriver
	// rolloutFailed requests an immediate rollout report.
	rolloutFailed chan struct{}
	// retries is this daemon's share of the fleet's retry limits.
	retries retryShare
	// started is the start time of this process.
	started time.Time
}

// New opens the listeners and the data directory. Call Run to serve.
func New(set settings.Settings, log logr.Logger) (*Daemon, error) {
	return NewWithListeners(set, log, nil)
}

// NewOnPlatform is New with a platform adapter; platform may be nil.
func NewOnPlatform(set settings.Settings, log logr.Logger, platform Platform) (*Daemon, error) {
	return open(set, log, nil, platform)
}

// NewWithListeners is New with listeners that are already open, by name. Missing ones are
// opened as the settings say. The daemon takes ownership of the listeners.
func NewWithListeners(set settings.Settings, log logr.Logger, listeners map[string]net.Listener) (*Daemon, error) {
	return open(set, log, listeners, nil)
}

func open(set settings.Settings, log logr.Logger, listeners map[string]net.Listener, platform Platform) (*Daemon, error) {
	d := &Daemon{
		platform: platform,
		settings: set, started: time.Now(), log: log.WithValues("node", set.Node), drains: newDrainState(),
		traffic:       &peer.Traffic{MaxMessage: set.Limits.ControlBytes},
		rolloutFailed: make(chan struct{}, 1),
		listeners:     map[string]net.Listener{}, limits: map[string]*limit.Listener{},
	}
	d.setConfiguredServer(platform)
	maps.Copy(d.listeners, listeners)
	if err := d.provision(); err != nil {
		return nil, errors.CombineErrors(err, d.release())
	}
	return d, nil
}

// provision acquires the resources of the daemon, such as the data directory lock and the
// listeners, and builds its parts.
func (d *Daemon) provision() error {
	var err error
	if d.token, err = operator.ListenerToken(d.settings.Listen.Operator, d.settings.Operator.TokenFile); err != nil {
		return err
	}
	if d.settings.DataDir != "" {
		d.data = storage.NewFolder(d.settings.DataDir)
		if err := d.lockData(); err != nil {
			return err
		}
	}
	if err := d.listen(); err != nil {
		return err
	}
	if err := d.openTelemetry(); err != nil {
		return err
	}
	d.pool = peer.NewPool(d.traffic)
	d.pool.Counters = d.controlCounters
	d.self = view.Node{Name: d.settings.Node, Addr: d.Addr("peer"), Region: d.settings.Region, Domain: d.settings.Domain}
	d.items = peer.NewOutbox(outboxLimit, d.sendItems)
	d.messages = peer.NewOutbox(outboxLimit, d.sendMessages)
	return d.build()
}

// lockData locks the data folder. If its disk has no room or fails, the folder is locked when it
// is first used.
func (d *Daemon) lockData() error {
	err := d.data.Lock()
	if err == nil || !storage.MayRecover(err) {
		return err
	}
	d.log.Error(err, "data folder not locked yet", "folder", d.settings.DataDir)
	return nil
}

// release frees the resources that provision acquired.
func (d *Daemon) release() error {
	d.closeListeners()
	ctx, cancel := context.WithTimeout(context.Background(), spanFlushTimeout)
	defer cancel()
	return errors.CombineErrors(d.traces.Close(ctx), d.data.Close())
}

// build creates the parts of the daemon. Run starts them.
func (d *Daemon) build() error {
	incarnation := uint64(time.Now().UnixMilli())
	d.incarnation = incarnation
	seed := xxhash.Sum64String(d.settings.Node) ^ incarnation
	control, err := mesh.New(mesh.Config{
		View: view.Config{
			Self: d.self, Seeds: d.otherSeeds(d.settings.Seeds), Active: activeLinks, Max: maxLinks,
			Silence: linkSilence, Interval: linkInterval, Backoff: d.settings.JoinBackoff, Seed: seed,
		},
		Spread: dissemination.Config{Self: d.settings.Node, Seed: seed, ProofInterval: d.proofInterval(), Clock: bootclock.Now},
		Presence: presence.Config{
			Self: d.self, Incarnation: incarnation, Suspects: d.openSuspects(), DigestInterval: presenceInterval, SuspectFor: suspectFor,
			ForgetAfter: forgetAfter, ProbeInterval: probeInterval, Seed: seed,
		},
		Probe:        peer.Reachable,
		OnInstall:    d.observeInstall,
		OnLinkEnd:    d.pool.HangUp,
		TickInterval: tickInterval, Leadership: d.leadershipState,
	}, d.items, d.log.WithName("mesh"))
	if err != nil {
		return err
	}
	d.mesh = control
	if d.claims, err = newClaimManager(d, incarnation, seed); err != nil {
		return err
	}
	d.allowances = newAllowances(d, seed)
	d.rooms = newDomainRooms(d)
	d.leaves = newLeaveKeeper(d)
	cfg := gateway.Config{
		Self: d.settings.Node, Domain: d.settings.Domain, Region: d.settings.Region, QueuePerSlot: d.settings.Limits.QueuePerSlot,
		Directory: d.mesh.Directory, Ready: d.Ready, Observer: d.metrics, Tracer: d.tracer(),
		CloseAbandoned: !d.settings.Servers.Linger, FixedSlots: !d.settings.Servers.Adapt, MaxBufferedResponse: d.settings.Servers.HoldBytes, Origin: d.origin, Retry: d.retryLimits,
		OnConnectionRefused: func(addr string) { d.servers.RecordDialFailure(addr) },
		OnMisdirected:       d.handleBootMismatch,
		OnLeaving:           func(addr, boot string, started int64) { d.servers.RecordLeaving(addr, boot, started) },
		Allowances:          d.allowances,
		Rollout:             d.rolloutConfig(),
		ResponseMemory:      d.settings.Limits.ResponseMemory(),
		MaxUploads:          d.settings.Limits.MaxUploads(),
		SocketBuffer:        d.settings.Limits.SocketBufferBytes,
		LinkBytes:           float64(d.settings.Limits.LinkBytes),
		RequestLog:          d.log.WithName(telemetry.RequestsLogger), RequestLines: d.settings.Log.RequestsPerSecond,
	}
	if callers := d.limits["caller"]; callers != nil {
		cfg.OnResponseMemoryFull = callers.EvictSlowReader
	}
	if d.platform != nil {
		cfg.Dialect = d.platform
	}
	if d.settings.Organisations.RevokeWithin > 0 {
		cfg.KeysCurrent = d.keysCurrent
	}
	if d.settings.Source.Claims {
		cfg.Claims = d.claims.once
	}
	if d.settings.Servers.Quarantine {
		cfg.CrashScreener = d.claims.suspects
	}
	d.gateway = gateway.New(cfg, d.log.WithName("gateway"))
	d.servers = announce.NewServer(d.settings.Servers.Dial, d.setServers)
	d.servers.Admit, d.servers.OnAnnouncement, d.servers.OnEnd = d.checkAnnouncement, d.observeAnnouncement, d.observeEnd
	d.servers.Retain = d.leaves.retain
	if d.awaitsLeaves() {
		d.servers.AwaitRestore()
	}
	if d.settings.Servers.Rollouts {
		d.servers.AdvertiseColdStart()
	}
	if !d.settings.IsSource() {
		return nil
	}
	d.rollouts = newRolloutDriver(d)
	group := d.groupConfig("source", seed)
	group.JoinExisting, group.ReplaceTicks, group.TargetVoters = !d.mayBootstrap(), d.replaceTicks(), d.settings.Source.Voters
	d.source, err = source.Open(group, sourceTransport{d}, d.log.WithName(telemetry.SourceLogger), d.mesh.Publish)
	d.leadership = d.newLeadership()
	return err
}

// openSuspects opens the store of suspects on a source, and returns what it holds.
func (d *Daemon) openSuspects() (suspects []presence.Suspect) {
	if d.settings.IsSource() && d.settings.Servers.Quarantine {
		d.suspects, suspects = openSuspectStore(d.data.Dir(""), d.log.WithName("quarantine"))
	}
	return suspects
}

// observeInstall is called before the directory contains a version that was installed.
func (d *Daemon) observeInstall(version uint64) {
	d.traces.Install(version)
	d.allowances.observeVersion(time.Now())
}

// otherSeeds returns all without this daemon's own address.
func (d *Daemon) otherSeeds(all []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == d.self.Addr })
}

// mayBootstrap reports whether this source may bootstrap the group. A source that the settings
// do not name as a member waits until the group admits it.
func (d *Daemon) mayBootstrap() bool {
	return d.settings.Source.Found && (!d.settings.Source.Join || slices.Contains(d.configuredSources(), d.settings.Node))
}

// replaceTicks returns 0, which turns off replacement, if the settings fix the set of sources.
func (d *Daemon) replaceTicks() int {
	if d.settings.Source.Join {
		return sourceReplaceTicks
	}
	return 0
}

// Ready reports whether a confirmed version is in force at this daemon.
func (d *Daemon) Ready() bool {
	s := d.mesh.Status()
	return s.Confirmed && s.Version > 0
}

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { d.mesh.Run(groupCtx); return nil })
	group.Go(func() error { d.servers.Run(groupCtx); return nil })
	group.Go(func() error { return d.claims.run(groupCtx) })
	if d.suspects != nil {
		group.Go(func() error { d.claims.suspects.Run(groupCtx); return nil })
		group.Go(func() error { d.suspects.run(groupCtx); return nil })
	}
	if d.source != nil {
		group.Go(func() error { return d.source.Run(groupCtx) })
		group.Go(func() error { d.rollouts.run(groupCtx); return nil })
	}
	group.Go(func() error { d.reportRollouts(groupCtx); return nil })
	group.Go(func() error { d.allowances.run(groupCtx); return nil })
	group.Go(func() error { d.rooms.run(groupCtx); return nil })
	group.Go(func() error { d.probeLocalServer(groupCtx); return nil })
	group.Go(func() error { d.recoverState(groupCtx); return nil })
	group.Go(func() error { d.refreshSources(groupCtx); return nil })
	servers := d.httpServers()
	for _, server := range servers {
		group.Go(func() error { return ignoreClosed(server.Serve(server.listener)) })
	}
	d.logStart()
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	d.stop(servers)
	d.claims.flush()
	stop()
	err := group.Wait()
	d.traffic.CloseAccepted()
	d.gateway.Close()
	d.items.Close()
	d.messages.Close()
	d.claims.messages.Close()
	d.pool.Close()
	return errors.CombineErrors(err, d.release())
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
