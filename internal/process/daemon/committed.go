package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// The names of the control methods for the committed version.
const (
	sourceCommitted     = "Source.Committed"
	sourceCommittedHere = "Source.CommittedHere"
)

// The direct question of a daemon that starts.
const (
	// committedPoll is the time between two questions of one daemon, each to another
	// source, and committedTimeout bounds one source's answer.
	committedPoll    = 50 * time.Millisecond
	committedTimeout = 500 * time.Millisecond
	// committedUntil is when the tree has answered if anything can.
	committedUntil = 10 * time.Second
)

var errNotLeading = errors.New("this source does not lead, or not yet")

// askCommitted asks the sources which version is committed, until the answer
// came this way or by the tree: after a restart of the whole fleet daemons are ready
// sooner by it. Each time one source is asked, in an order of the daemon's own: while the
// sources elect a leader none of them has an answer, and a large fleet that asked all of
// them each time would bury them in questions.
func (d *Daemon) askCommitted(ctx context.Context) {
	if !d.set.Source.Direct {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, committedUntil)
	defer cancel()
	ticker := time.NewTicker(committedPoll)
	defer ticker.Stop()
	for turn := int(xxhash.Sum64String(d.set.Node) >> 1); !d.mesh.Status().Confirmed; turn++ {
		if version, err := d.committedAtOne(ctx, turn); err == nil {
			d.mesh.SetCommitted(version)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// committedAtOne asks the source whose turn it is.
func (d *Daemon) committedAtOne(ctx context.Context, turn int) (uint64, error) {
	sources := d.sources()
	if len(sources) == 0 {
		return 0, errNotSource
	}
	m := sources[turn%len(sources)]
	return d.committedAt(ctx, m.Node, m.Peer)
}

func (d *Daemon) committedAt(ctx context.Context, node, addr string) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, committedTimeout)
	defer cancel()
	if node == d.set.Node {
		return d.leadership.committed(ctx)
	}
	return version, d.pool.Call(ctx, addr, sourceCommitted, Empty{}, &version)
}

// Committed returns the version that is committed, if this source leads and a
// majority has told so since the question. One that does not lead asks the leader:
// daemons know only the sources that their settings name.
func (s *sourceService) Committed(_ Empty, version *uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), committedTimeout)
	defer cancel()
	err := s.CommittedHere(Empty{}, version)
	if !errors.Is(err, errNotLeading) {
		return err
	}
	lead := s.d.source.Status().Lead
	addr, known := s.d.memberAddr(lead)
	if lead == s.d.set.Node || !known {
		return err
	}
	return s.d.pool.Call(ctx, addr, sourceCommittedHere, Empty{}, version)
}

// CommittedHere is Committed at a source that is taken for the leader.
func (s *sourceService) CommittedHere(_ Empty, version *uint64) error {
	return s.answer(committedTimeout, func(ctx context.Context) (err error) {
		*version, err = s.d.leadership.committed(ctx)
		return err
	})
}

// committed waits for a round that began after the call.
func (l *leadership) committed(ctx context.Context) (uint64, error) {
	term, leads := l.leads()
	if !leads || !l.settled() {
		return 0, errNotLeading
	}
	version, asked := l.version(), time.Now()
	for {
		if l.running.CompareAndSwap(false, true) {
			l.round(term, time.Now())
			l.running.Store(false)
		}
		if last := l.last.Load(); last != nil && last.term == term && !last.began.Before(asked) {
			return version, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Wrap(ctx.Err(), "no majority")
		case <-time.After(committedPoll):
		}
	}
}
