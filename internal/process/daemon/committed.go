package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/bootclock"
)

// RPC methods that return the committed version.
const (
	sourceCommitted     = "Source.Committed"
	sourceCommittedHere = "Source.CommittedHere"
)

// Timing of the queries by which a starting daemon learns the committed version directly from
// the sources.
const (
	// committedPollInterval is the time between the first two queries of a daemon. It doubles with
	// each query up to maxCommittedPollInterval, so that the queries of a large fleet leave the
	// sources time to elect a leader. Consecutive queries go to different sources.
	committedPollInterval    = 50 * time.Millisecond
	maxCommittedPollInterval = 400 * time.Millisecond
	// committedTimeout is the timeout of one query.
	committedTimeout = 500 * time.Millisecond
	// committedDeadline is when the queries end. By then the confirmation has arrived over the
	// spread tree if that is possible at all.
	committedDeadline = 10 * time.Second
)

var errNotLeader = errors.New("this source is not the leader or has not applied all entries of earlier leaders yet")

// queryCommitted polls the sources for the committed version until one replies or the version
// is confirmed over the spread tree. It makes daemons ready sooner after a restart of the
// whole fleet.
//
// Each poll queries a single source, and each daemon starts at a different one: while the
// sources elect a leader none of them can reply, and a large fleet that queried all sources at
// each poll would overload them.
func (d *Daemon) queryCommitted(ctx context.Context) {
	if !d.settings.Source.Direct {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, committedDeadline)
	defer cancel()
	interval := committedPollInterval
	for turn := int(xxhash.Sum64String(d.settings.Node) >> 1); !d.mesh.Status().Confirmed; turn++ {
		askedAt := bootclock.Now()
		if version, err := d.queryCommittedInTurn(ctx, turn); err == nil {
			d.mesh.SetCommittedVersion(version, askedAt)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		interval = min(2*interval, maxCommittedPollInterval)
	}
}

// queryCommittedInTurn queries the source at position turn, modulo the number of sources.
func (d *Daemon) queryCommittedInTurn(ctx context.Context, turn int) (uint64, error) {
	sources := d.sources()
	if len(sources) == 0 {
		return 0, errNotSource
	}
	m := sources[turn%len(sources)]
	return d.queryCommittedAt(ctx, m.Node, m.Peer)
}

func (d *Daemon) queryCommittedAt(ctx context.Context, node, addr string) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, committedTimeout)
	defer cancel()
	if node == d.settings.Node {
		return d.leadership.committed(ctx)
	}
	return version, d.pool.CallTransient(ctx, addr, sourceCommitted, Empty{}, &version)
}

// Committed returns the committed version if this source is the leader and a majority has
// confirmed that since the call. Other sources forward the call to the leader, because daemons
// know only the sources in their settings.
func (s *sourceService) Committed(_ Empty, version *uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), committedTimeout)
	defer cancel()
	err := s.CommittedHere(Empty{}, version)
	if !errors.Is(err, errNotLeader) {
		return err
	}
	lead := s.d.source.Status().Lead
	addr, known := s.d.memberAddr(lead)
	if lead == s.d.settings.Node || !known {
		return err
	}
	return s.d.pool.Call(ctx, addr, sourceCommittedHere, Empty{}, version)
}

// CommittedHere is Committed without forwarding. Sources call it at the presumed leader.
func (s *sourceService) CommittedHere(_ Empty, version *uint64) error {
	return s.handle(committedTimeout, func(ctx context.Context) (err error) {
		*version, err = s.d.leadership.committed(ctx)
		return err
	})
}

// committed returns the committed version once a majority has confirmed this leader's term in
// a round that started after the call.
func (l *leadership) committed(ctx context.Context) (uint64, error) {
	term, leads := l.leads()
	if !leads || !l.settled() {
		return 0, errNotLeader
	}
	version, called := l.version(), time.Now()
	for {
		if l.running.CompareAndSwap(false, true) {
			l.round(term, time.Now())
			l.running.Store(false)
		}
		if last := l.last.Load(); last != nil && last.term == term && !last.started.Before(called) {
			return version, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Wrap(ctx.Err(), "no majority of the sources confirmed the leader")
		case <-time.After(committedPollInterval):
		}
	}
}
