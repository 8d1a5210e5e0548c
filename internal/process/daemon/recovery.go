package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/bootclock"
	"github.com/daisygate/daisygate/internal/process/leaves"
	"github.com/daisygate/daisygate/internal/process/settings"
)

// RPC methods that return the recovery state of a daemon.
const (
	sourceRecover     = "Source.Recover"
	sourceRecoverHere = "Source.RecoverHere"
)

// Timing of the queries by which a starting daemon learns its recovery state from the sources.
const (
	// recoveryPollInterval is the time between the first two queries of a daemon. It doubles with
	// each query up to maxRecoveryPollInterval, so that the queries of a large fleet leave the
	// sources time to elect a leader. Consecutive queries go to different sources.
	recoveryPollInterval    = 50 * time.Millisecond
	maxRecoveryPollInterval = 400 * time.Millisecond
	// recoveryTimeout is the timeout of one query.
	recoveryTimeout = 500 * time.Millisecond
	// recoveryBackoff is when the interval begins to double again, up to lateRecoveryPollInterval:
	// the sources are unavailable for long.
	recoveryBackoff          = 10 * time.Second
	lateRecoveryPollInterval = 5 * time.Second
	// restoreDeadline is when servers are used although the sources have not told which of them
	// have left.
	restoreDeadline = 5 * time.Second
	// sourcesRefreshInterval is the time between queries by which a running daemon learns which
	// sources there are.
	sourcesRefreshInterval = 10 * time.Minute
)

// RecoverArgs is the argument of Source.Recover and Source.RecoverHere.
type RecoverArgs struct {
	// Node is the name of the daemon that was started.
	Node string
}

// RecoveryState is what a daemon learns from the sources when it starts.
type RecoveryState struct {
	// Version is the committed version.
	Version uint64
	// Leaves are the leaves that earlier processes of the daemon acknowledged.
	Leaves []leaves.Leave
	// Sources are the voting sources.
	Sources []settings.Member
}

// awaitsLeaves reports whether earlier processes of this daemon may have acknowledged leaves.
func (d *Daemon) awaitsLeaves() bool {
	firstStart := d.platform != nil && d.settings.Source.Found
	return !firstStart && len(d.settings.Source.Members) > 0
}

// recoverState polls the sources until one replies with the recovery state. The committed version
// makes the daemon ready sooner after a restart of the whole fleet, unless it is confirmed over the
// spread tree before.
//
// Each poll queries a single source, and each daemon starts at a different one: while the
// sources elect a leader none of them can reply, and a large fleet that queried all sources at
// each poll would overload them.
func (d *Daemon) recoverState(ctx context.Context) {
	awaitsLeaves := d.awaitsLeaves()
	if awaitsLeaves {
		defer time.AfterFunc(restoreDeadline, d.restoreUnknown).Stop()
	}
	awaitsVersion := func() bool { return d.settings.Source.Direct && !d.mesh.Status().Confirmed }
	interval := recoveryPollInterval
	for turn := int(xxhash.Sum64String(d.settings.Node) >> 1); awaitsLeaves || awaitsVersion(); turn++ {
		askedAt := bootclock.Now()
		if state, err := d.queryRecoveryInTurn(ctx, turn); err == nil {
			d.recovered(state, askedAt)
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		interval = min(2*interval, d.maxPollInterval())
	}
}

// refreshSources learns periodically which sources there are, until ctx ends.
func (d *Daemon) refreshSources(ctx context.Context) {
	ticker := time.NewTicker(sourcesRefreshInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		state, err := d.queryRecoveryInTurn(ctx, turn)
		if err != nil {
			d.log.V(1).Info("sources not refreshed", "error", err.Error())
			continue
		}
		d.learnSources(state.Sources)
	}
}

func (d *Daemon) maxPollInterval() time.Duration {
	if time.Since(d.started) < recoveryBackoff {
		return maxRecoveryPollInterval
	}
	return lateRecoveryPollInterval
}

// recovered puts the recovery state in force. askedAt is when it was requested.
func (d *Daemon) recovered(state RecoveryState, askedAt time.Duration) {
	if d.settings.Source.Direct && !d.mesh.Status().Confirmed {
		d.mesh.SetCommittedVersion(state.Version, askedAt)
	}
	d.learnSources(state.Sources)
	d.log.Info(logLeavesRestored, "leaves", len(state.Leaves), "process_age", d.age())
	d.servers.Restore(state.Leaves)
}

// restoreUnknown publishes the local backend servers without the leaves that earlier processes
// acknowledged. They would otherwise get no requests while no source can be reached.
func (d *Daemon) restoreUnknown() {
	d.log.Info(logLeavesUnknown, "process_age", d.age())
	d.servers.Restore(nil)
}

// queryRecoveryInTurn queries the source at position turn, modulo the number of sources.
func (d *Daemon) queryRecoveryInTurn(ctx context.Context, turn int) (RecoveryState, error) {
	sources := d.reachableSources()
	if len(sources) == 0 {
		return RecoveryState{}, errNotSource
	}
	m := sources[turn%len(sources)]
	return d.queryRecoveryAt(ctx, m.Node, m.Peer)
}

func (d *Daemon) queryRecoveryAt(ctx context.Context, node, addr string) (state RecoveryState, err error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	args := RecoverArgs{Node: d.settings.Node}
	if node == d.settings.Node {
		err = (&sourceService{d}).Recover(args, &state)
	} else {
		err = d.pool.CallTransient(ctx, addr, sourceRecover, args, &state)
	}
	return state, err
}

// recoveryStateOf returns the recovery state of a daemon if this source is the leader and a
// majority has confirmed that since the call. Every leave acknowledged before the call is then
// applied here.
func (d *Daemon) recoveryStateOf(ctx context.Context, node string) (RecoveryState, error) {
	version, err := d.leadership.committed(ctx)
	if err != nil {
		return RecoveryState{}, err
	}
	retained, err := d.source.Leaves(ctx, node)
	return RecoveryState{Version: version, Leaves: retained, Sources: d.sources()}, err
}

// Recover returns the recovery state of a daemon. Sources that are not the leader forward the call
// to it, because other daemons do not know which source leads.
func (s *sourceService) Recover(args RecoverArgs, state *RecoveryState) error {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	err := s.RecoverHere(args, state)
	if !errors.Is(err, errNotLeader) {
		return err
	}
	lead := s.d.source.Status().Lead
	addr, known := s.d.memberAddr(lead)
	if lead == s.d.settings.Node || !known {
		return err
	}
	return s.d.pool.Call(ctx, addr, sourceRecoverHere, args, state)
}

// RecoverHere is Recover without forwarding. Sources call it at the presumed leader.
func (s *sourceService) RecoverHere(args RecoverArgs, state *RecoveryState) error {
	return s.handle(recoveryTimeout, func(ctx context.Context) (err error) {
		*state, err = s.d.recoveryStateOf(ctx, args.Node)
		return err
	})
}
