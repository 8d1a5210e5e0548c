package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// quorumRoundTimeout is the timeout of one round of queries to the other sources.
	quorumRoundTimeout = time.Second
	// quorumPollInterval is the time between checks whether a round has succeeded.
	quorumPollInterval = 50 * time.Millisecond
)

var errNotLeader = errors.New("this source is not the leader or has not applied all entries of earlier leaders yet")

// quorumRound is a round of queries that started at the given time and in which a majority of
// the sources had the leader's term.
type quorumRound struct {
	term    uint64
	started time.Time
}

// leadership checks on request whether a majority of the sources still has this leader's term,
// as the ReadIndex procedure in section 6.4 of Ongaro's thesis (2014) does. The check fails on
// a leader that was partitioned or paused and has been replaced, even while it still considers
// itself the leader.
type leadership struct {
	// leads returns the term and whether this source considers itself the leader; version
	// returns the version that it has applied.
	leads   func() (term uint64, leads bool)
	version func() uint64
	// settled reports whether all entries that earlier leaders committed are applied here.
	settled func() bool
	// others returns the peer addresses of the other sources; term queries the term of one of
	// them.
	others func() []string
	term   func(ctx context.Context, addr string) (uint64, error)

	// running is set while a round runs; last is the last successful round.
	running atomic.Bool
	last    atomic.Pointer[quorumRound]
}

// state returns what package dissemination needs to know of this source's leadership, nil if it is
// not the leader. If asked is set, state also starts a round unless one is running.
func (l *leadership) state(now time.Time, asked bool) *dissemination.Leadership {
	term, leads := l.leads()
	if !leads {
		return nil
	}
	lead := &dissemination.Leadership{Term: term, Version: l.version()}
	if last := l.last.Load(); last != nil && last.term == term {
		lead.Quorum = last.started
	}
	if asked && l.settled() && l.running.CompareAndSwap(false, true) {
		go func() {
			defer l.running.Store(false)
			l.round(term, now)
		}()
	}
	return lead
}

// round queries the terms of all other sources and records the round as soon as a majority,
// including this source, has the given term.
func (l *leadership) round(term uint64, started time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), quorumRoundTimeout)
	defer cancel()
	var same atomic.Int64
	var wait sync.WaitGroup
	others := l.others()
	majority := int64(len(others)+1)/2 + 1
	for _, addr := range others {
		wait.Go(func() {
			if t, err := l.term(ctx, addr); err != nil || t != term {
				return
			}
			if same.Add(1)+1 >= majority {
				l.record(quorumRound{term: term, started: started})
			}
		})
	}
	if majority == 1 {
		l.record(quorumRound{term: term, started: started})
	}
	wait.Wait()
}

// record stores a successful round, unless the term has ended in the meantime.
func (l *leadership) record(r quorumRound) {
	if term, leads := l.leads(); leads && term == r.term {
		l.last.Store(&r)
	}
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
		case <-time.After(quorumPollInterval):
		}
	}
}

func (d *Daemon) newLeadership() *leadership {
	l := &leadership{
		leads:   func() (uint64, bool) { return d.source.Leadership() },
		others:  d.otherSources,
		version: func() uint64 { return d.source.Status().Version },
		settled: func() bool { return d.source.LeaderCaughtUp() },
		term: func(ctx context.Context, addr string) (uint64, error) {
			var term uint64
			return term, d.pool.Call(ctx, addr, sourceTerm, Empty{}, &term)
		},
	}
	return l
}

// leadershipState implements mesh.Config.Leadership.
func (d *Daemon) leadershipState(now time.Time, asked bool) *dissemination.Leadership {
	if d.leadership == nil {
		return nil
	}
	return d.leadership.state(now, asked)
}

const sourceTerm = "Source.Term"

// Term returns this source's term. It fails while the source has no vote, or takes no part in
// the group because of a failure.
func (s *sourceService) Term(_ Empty, term *uint64) error {
	if s.d.source == nil {
		return errNotSource
	}
	status := s.d.source.Status()
	if r := status.Repair.State; r != replica.RepairNone && r != replica.RepairDone {
		return errNoVote
	}
	if status.Failure != "" {
		return result.Errorf(status.FailureCode, "%s", status.Failure)
	}
	*term = status.Term
	return nil
}

var errNoVote = errors.New("this source has no vote yet")
