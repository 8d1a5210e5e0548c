// Package daemon assembles one daemon from its settings: the listeners, the
// control side, the gateway, and the source where the settings make it one.
package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"path/filepath"
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
	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/process/spread"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/process/view"
)

// The timing of the control side.
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

	// A source campaigns 0.5 s to 1 s after it last heard of a leader, which
	// makes itself heard each 160 ms.
	sourceTick           = 20 * time.Millisecond
	sourceElectionTicks  = 25
	sourceHeartbeatTicks = 8
	// A source that was just started waits 60 ms to 240 ms before it asks for a
	// pre-vote. Where a leader is alive that deposes nobody: those who hear of it
	// refuse.
	sourceFirstTicks = 3
	// sourceReplaceTicks is 2.5 s: a source that was restarted is back by then,
	// and none is replaced unless another one that is new asks for a place.
	sourceReplaceTicks = 125

	submitTimeout = 10 * time.Second
	outboxLimit   = 4096
)

// Daemon is one running daemon.
type Daemon struct {
	set     settings.Settings
	log     logr.Logger
	traffic *peer.Traffic
	pool    *peer.Pool

	items    *peer.Outbox[mesh.Item]
	messages *peer.Outbox[replica.Message]

	mesh    *mesh.Mesh
	gateway *gateway.Gateway
	source  *source.Source
	// leadership is set once source is open.
	leadership *leadership
	servers    *announce.Server
	claims     *claimSide

	// incarnation is the start of this process in Unix milliseconds.
	incarnation uint64

	drains *drains
	// token is the operators' bearer token, or "".
	token string

	listeners map[string]net.Listener
	// limits are the bounds around listeners, of the same names.
	limits map[string]*limit.Listener
	self   view.Node

	metrics *telemetry.Metrics
	// traces is nil while no spans are written.
	traces *telemetry.Traces
	// lock is nil on an instance without a data folder.
	lock    *storage.Lock
	leaving atomic.Bool

	// platform is nil where the daemon speaks its own interface.
	platform Platform
	// intended is the backend server beside this daemon as the settings name it.
	intended atomic.Pointer[Beside]
	// beside is the service that is announced beside this daemon, nil if none is.
	beside atomic.Pointer[string]
	// rollouts is nil on a daemon that is no source.
	rollouts *rollouts
	// rolloutFailed asks for a report at once.
	rolloutFailed chan struct{}
	// retries is this daemon's part of the fleet's further attempts.
	retries retries
	// started is when this process began.
	started time.Time
}

// New opens the listeners and the data folder. Run serves.
func New(set settings.Settings, log logr.Logger) (*Daemon, error) { return NewOn(set, log, nil) }

// NewAt is New on a platform; nil is none.
func NewAt(set settings.Settings, log logr.Logger, platform Platform) (*Daemon, error) {
	return open(set, log, nil, platform)
}

// NewOn is New on listeners that are open already, by name; those missing are
// opened as the settings say. The daemon owns them from here on.
func NewOn(set settings.Settings, log logr.Logger, listeners map[string]net.Listener) (*Daemon, error) {
	return open(set, log, listeners, nil)
}

func open(set settings.Settings, log logr.Logger, listeners map[string]net.Listener, platform Platform) (*Daemon, error) {
	d := &Daemon{
		platform: platform,
		set:      set, started: time.Now(), log: log.WithValues("node", set.Node), drains: newDrains(),
		traffic:       &peer.Traffic{MaxMessage: set.Limits.ControlBytes},
		rolloutFailed: make(chan struct{}, 1),
		listeners:     map[string]net.Listener{}, limits: map[string]*limit.Listener{},
	}
	d.intend(platform)
	maps.Copy(d.listeners, listeners)
	if err := d.provision(); err != nil {
		return nil, errors.CombineErrors(err, d.release())
	}
	return d, nil
}

// provision takes what the daemon needs of its instance, and builds it.
func (d *Daemon) provision() error {
	var err error
	if d.token, err = operator.ListenerToken(d.set.Listen.Operator, d.set.Operator.TokenFile); err != nil {
		return err
	}
	if d.set.DataDir != "" {
		if d.lock, err = storage.LockDir(d.set.DataDir); err != nil {
			return err
		}
	}
	if err := d.listen(); err != nil {
		return err
	}
	if err := d.observe(); err != nil {
		return err
	}
	d.pool = peer.NewPool(d.traffic)
	d.self = view.Node{Name: d.set.Node, Addr: d.Addr("peer"), Region: d.set.Region, Domain: d.set.Domain}
	d.items = peer.NewOutbox(outboxLimit, d.sendItems)
	d.messages = peer.NewOutbox(outboxLimit, d.sendMessages)
	return d.build()
}

// release gives back what provision took.
func (d *Daemon) release() error {
	d.closeListeners()
	ctx, cancel := context.WithTimeout(context.Background(), spanFlushTimeout)
	defer cancel()
	return errors.CombineErrors(d.traces.Close(ctx), d.lock.Close())
}

func (d *Daemon) build() error {
	incarnation := uint64(time.Now().UnixMilli())
	d.incarnation = incarnation
	seed := xxhash.Sum64String(d.set.Node) ^ incarnation
	control, err := mesh.New(mesh.Config{
		View: view.Config{
			Self: d.self, Seeds: d.otherSeeds(d.set.Seeds), Active: activeLinks, Max: maxLinks,
			Silence: linkSilence, Interval: linkInterval, Backoff: d.set.JoinBackoff, Seed: seed,
		},
		Spread: spread.Config{Self: d.set.Node, Seed: seed},
		Presence: presence.Config{
			Self: d.self, Incarnation: incarnation, DigestInterval: presenceInterval, SuspectFor: suspectFor,
			ForgetAfter: forgetAfter, ProbeInterval: probeInterval, Seed: seed,
		},
		Probe:        peer.Reachable,
		OnInstall:    d.traces.Install,
		TickInterval: tickInterval, Lead: d.lead,
	}, d.items, d.log.WithName("mesh"))
	if err != nil {
		return err
	}
	d.mesh = control
	if d.claims, err = newClaimSide(d, incarnation, seed); err != nil {
		return err
	}
	cfg := gateway.Config{
		Self: d.set.Node, Domain: d.set.Domain, Region: d.set.Region, QueuePerSlot: d.set.Limits.QueuePerSlot,
		Directory: d.mesh.Directory, Ready: d.Ready, Observer: d.metrics, Tracer: d.tracer(),
		Abrupt: !d.set.Servers.Linger, FixedSlots: !d.set.Servers.Adapt, HoldBytes: d.set.Servers.HoldBytes, Origin: d.origin, Retry: d.retryLimits,
		Refused:     func(addr string) { d.servers.Refused(addr) },
		Misdirected: d.misdirected,
		Rollout:     d.rolloutConfig(),
		LinkBytes:   float64(d.set.Limits.LinkBytes),
		RequestLog:  d.log.WithName(telemetry.RequestsLogger), RequestLines: d.set.Log.RequestsPerSecond,
	}
	if d.platform != nil {
		cfg.Dialect = d.platform
	}
	if d.set.Source.Claims {
		cfg.Claims = d.claims.once
	}
	if d.set.Servers.Quarantine {
		cfg.Suspects = d.claims.suspects
	}
	d.gateway = gateway.New(cfg, d.log.WithName("gateway"))
	d.servers = announce.NewServer(d.set.Servers.Dial, d.setServers)
	d.servers.Intent, d.servers.Met = d.refuseForeign, d.metAnnouncement
	if d.set.Servers.Rollouts {
		d.servers.TellCold()
	}
	if !d.set.IsSource() {
		return nil
	}
	d.rollouts = newRollouts(d)
	d.source, err = source.Open(quorum.Config{
		ID: d.set.Node, Members: d.configured(), DataDir: filepath.Join(d.set.DataDir, "source"),
		TickInterval: sourceTick, ElectionTicks: sourceElectionTicks, HeartbeatTicks: sourceHeartbeatTicks, FirstTicks: sourceFirstTicks, Seed: seed, Idempotent: true,
		Joins: !d.founds(), ReplaceTicks: d.replaceTicks(), Voters: d.set.Source.Voters,
	}, transport{d}, d.log.WithName(telemetry.SourceLogger), d.mesh.Publish)
	d.leadership = d.newLeadership()
	return err
}

// otherSeeds leaves out this node's own address.
func (d *Daemon) otherSeeds(all []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == d.self.Addr })
}

// founds reports whether this source may found the group: one that the settings
// do not name waits to be admitted.
func (d *Daemon) founds() bool {
	return d.set.Source.Found && (!d.set.Source.Join || slices.Contains(d.configured(), d.set.Node))
}

// replaceTicks is 0 where the sources are those of the settings.
func (d *Daemon) replaceTicks() int {
	if d.set.Source.Join {
		return sourceReplaceTicks
	}
	return 0
}

// Ready reports whether a version confirmed by the leader is in force here.
func (d *Daemon) Ready() bool {
	s := d.mesh.Status()
	return s.Confirmed && s.Version > 0
}

// Run serves until ctx ends, then stops without cutting a request.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { d.mesh.Run(groupCtx); return nil })
	group.Go(func() error { d.servers.Run(groupCtx); return nil })
	group.Go(func() error { return d.claims.run(groupCtx) })
	if d.source != nil {
		group.Go(func() error { return d.source.Run(groupCtx) })
		group.Go(func() error { d.rollouts.run(groupCtx); return nil })
	}
	group.Go(func() error { d.reportRollouts(groupCtx); return nil })
	group.Go(func() error { d.askBeside(groupCtx); return nil })
	group.Go(func() error { d.askCommitted(groupCtx); return nil })
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
