// Package daemon assembles one daemon from its settings: the listeners, the
// control side, the gateway, and the source where the settings make it one.
package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"path/filepath"
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
	staleAfter       = 5 * time.Second
	activeLinks      = 5
	maxLinks         = 7

	sourceTick           = 100 * time.Millisecond
	sourceElectionTicks  = 10
	sourceHeartbeatTicks = 3

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
}

// New opens the listeners and the data folder. Run serves.
func New(set settings.Settings, log logr.Logger) (*Daemon, error) { return NewOn(set, log, nil) }

// NewOn is New on listeners that are open already, by name; those missing are
// opened as the settings say. The daemon owns them from here on.
func NewOn(set settings.Settings, log logr.Logger, open map[string]net.Listener) (*Daemon, error) {
	d := &Daemon{
		set: set, log: log.WithValues("node", set.Node), drains: newDrains(),
		traffic:   &peer.Traffic{MaxMessage: set.Limits.ControlBytes},
		listeners: map[string]net.Listener{}, limits: map[string]*limit.Listener{},
	}
	maps.Copy(d.listeners, open)
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
			Self: d.self, Seeds: d.seeds(), Active: activeLinks, Max: maxLinks,
			Silence: linkSilence, Interval: linkInterval, Seed: seed,
		},
		Spread: spread.Config{Self: d.set.Node, Seed: seed, StaleAfter: staleAfter},
		Presence: presence.Config{
			Self: d.self, Incarnation: incarnation, DigestInterval: presenceInterval, SuspectFor: suspectFor,
			ForgetAfter: forgetAfter, ProbeInterval: probeInterval, Seed: seed,
		},
		Probe:        peer.Reachable,
		Installed:    d.traces.Install,
		TickInterval: tickInterval, Lead: d.lead,
	}, d.items, d.log.WithName("mesh"))
	if err != nil {
		return err
	}
	d.mesh = control
	if d.claims, err = newClaimSide(d, incarnation, seed); err != nil {
		return err
	}
	d.gateway = gateway.New(gateway.Config{
		Self: d.set.Node, Domain: d.set.Domain, Region: d.set.Region, QueuePerSlot: d.set.Limits.QueuePerSlot,
		Directory: d.mesh.Directory, Ready: d.Ready, Observer: d.metrics, Tracer: d.tracer(),
		Claims: d.claims.once, Suspects: d.claims.suspects,
	}, d.log.WithName("gateway"))
	d.servers = announce.NewServer(d.setServers)
	if !d.set.IsSource() {
		return nil
	}
	d.source, err = source.Open(quorum.Config{
		ID: d.set.Node, Members: d.members(), DataDir: filepath.Join(d.set.DataDir, "source"),
		TickInterval: sourceTick, ElectionTicks: sourceElectionTicks, HeartbeatTicks: sourceHeartbeatTicks, Seed: seed, Idempotent: true,
	}, transport{d}, d.log.WithName("source"), d.mesh.Publish)
	d.leadership = d.newLeadership()
	return err
}

// seeds leaves out this node's own address.
func (d *Daemon) seeds() []string {
	var seeds []string
	for _, s := range d.set.Seeds {
		if s != d.self.Addr {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

func (d *Daemon) members() []string {
	var names []string
	for _, m := range d.set.Source.Members {
		names = append(names, m.Node)
	}
	return names
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
	}
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
