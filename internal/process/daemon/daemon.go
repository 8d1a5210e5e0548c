// Package daemon assembles one daemon from its settings: the listeners, the
// control side, the gateway, and the source where the settings make it one.
package daemon

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/rpc"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/process/mesh"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/process/spread"
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

	sourceTick           = 50 * time.Millisecond
	sourceElectionTicks  = 10
	sourceHeartbeatTicks = 2

	submitTimeout = 10 * time.Second
	outboxLimit   = 4096
	// leaveDelay is how long a leaving daemon keeps answering "not run" while
	// the fleet learns that it leaves.
	leaveDelay = time.Second
	// stopTimeout bounds the wait for requests in progress.
	stopTimeout = 5 * time.Minute
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
	servers *announce.Server
	claims  *claimSide

	// incarnation is the start of this process in Unix milliseconds.
	incarnation uint64

	drains *drains
	// token is the operators' bearer token, or "".
	token string

	listeners map[string]net.Listener
	self      view.Node
}

// New opens the listeners and the data folder. Run serves.
func New(set settings.Settings, log logr.Logger) (*Daemon, error) { return NewOn(set, log, nil) }

// NewOn is New on listeners that are open already, by name; those missing are
// opened as the settings say. The daemon owns them from here on.
func NewOn(set settings.Settings, log logr.Logger, open map[string]net.Listener) (*Daemon, error) {
	d := &Daemon{set: set, log: log.WithValues("node", set.Node), traffic: &peer.Traffic{}, listeners: map[string]net.Listener{}, drains: newDrains()}
	maps.Copy(d.listeners, open)
	var err error
	if d.token, err = operator.ListenerToken(set.Listen.Operator, set.Operator.TokenFile); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.pool = peer.NewPool(d.traffic)
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.self = view.Node{Name: set.Node, Addr: d.Addr("peer"), Region: set.Region, Domain: set.Domain}
	d.items = peer.NewOutbox(outboxLimit, d.sendItems)
	d.messages = peer.NewOutbox(outboxLimit, d.sendMessages)
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	addrs := map[string]string{
		"caller": d.set.Listen.Caller, "announce": d.set.Listen.Announce,
		"peer": d.set.Listen.Peer, "operator": d.set.Listen.Operator,
	}
	for name, addr := range addrs {
		if d.listeners[name] != nil {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.Wrapf(err, "listen.%s", name)
		}
		d.listeners[name] = listener
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close()
	}
}

// Addr returns the address of a listener: "caller", "announce", "peer" or
// "operator".
func (d *Daemon) Addr(listener string) string { return d.listeners[listener].Addr().String() }

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
		Directory: d.mesh.Directory, Ready: d.Ready,
		Claims: d.claims.once, Suspects: newSuspects(d),
	}, d.log.WithName("gateway"))
	d.servers = announce.NewServer(d.setServers)
	if !d.set.IsSource() {
		return nil
	}
	d.source, err = source.Open(quorum.Config{
		ID: d.set.Node, Members: d.members(), DataDir: filepath.Join(d.set.DataDir, "source"),
		TickInterval: sourceTick, ElectionTicks: sourceElectionTicks, HeartbeatTicks: sourceHeartbeatTicks, Seed: seed, Idempotent: true,
	}, transport{d}, d.log.WithName("source"), d.mesh.Publish)
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
	for name, server := range servers {
		group.Go(func() error { return ignoreClosed(server.Serve(d.listeners[name])) })
	}
	d.log.Info("serving", "caller", d.Addr("caller"), "announce", d.Addr("announce"), "peer", d.Addr("peer"), "operator", d.Addr("operator"))
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	d.stop(servers)
	d.claims.flush()
	stop()
	err := group.Wait()
	d.gateway.Close()
	d.items.Close()
	d.messages.Close()
	d.claims.messages.Close()
	d.pool.Close()
	return err
}

// stop leaves the fleet first, then waits for what is in progress. New callers
// find the port closed from the start; those on an open connection are told to
// close it with their next answer, because http.Server drops a request that it
// reads after Shutdown began.
func (d *Daemon) stop(servers map[string]*http.Server) {
	d.gateway.Leave()
	d.mesh.Leave()
	_ = d.listeners["caller"].Close()
	time.Sleep(leaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, name := range []string{"caller", "announce", "operator", "peer"} {
		if err := servers[name].Shutdown(ctx); err != nil {
			d.log.Error(err, "stop listener", "listener", name)
			_ = servers[name].Close()
		}
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (d *Daemon) httpServers() map[string]*http.Server {
	control := rpc.NewServer()
	registerControl(control, d)
	handlers := map[string]http.Handler{
		"caller":   http.HandlerFunc(d.gateway.ServeCaller),
		"announce": d.servers.Handler(),
		"peer":     peer.Handler(control, http.HandlerFunc(d.gateway.ServePeer), d.traffic),
		"operator": operator.Handler(operator.Config{
			Token: d.token, ManifestBytes: d.set.Limits.ManifestBytes, SubmitTimeout: submitTimeout,
		}, d),
	}
	servers := map[string]*http.Server{}
	for name, handler := range handlers {
		servers[name] = &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: d.set.Limits.HeaderTimeout,
			IdleTimeout:       d.set.Limits.IdleTimeout,
			MaxHeaderBytes:    d.set.Limits.HeaderBytes,
		}
	}
	return servers
}
