package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/spread"
)

const (
	// leadRoundTimeout bounds one round of questions to the other sources.
	leadRoundTimeout = time.Second
)

// acknowledged is a round in which a majority of the sources had the leader's
// term after began.
type acknowledged struct {
	term  uint64
	began time.Time
}

// leadership finds out, when it is asked, whether a majority of the sources
// still has this leader's term: the read index of Ongaro's thesis (2014),
// section 6.4. A leader that was cut off or stopped for a while finds that it
// does not, however long it still takes itself for the leader.
type leadership struct {
	// leads is this source's own belief; version is what it has applied.
	leads   func() (term uint64, leads bool)
	version func() uint64
	// settled tells that all that earlier leaders committed is applied here.
	settled func() bool
	// others returns the peer addresses of the other sources; term asks one of
	// them.
	others func() []string
	term   func(ctx context.Context, addr string) (uint64, error)

	running atomic.Bool
	last    atomic.Pointer[acknowledged]
}

// lead tells the spread of versions about this source's leadership, nil if it
// does not lead. asked begins a round, unless one is under way.
func (l *leadership) lead(now time.Time, asked bool) *spread.Lead {
	term, leads := l.leads()
	if !leads {
		return nil
	}
	lead := &spread.Lead{Term: term, Version: l.version()}
	if last := l.last.Load(); last != nil && last.term == term {
		lead.Quorum = last.began
	}
	if asked && l.settled() && l.running.CompareAndSwap(false, true) {
		go func() {
			defer l.running.Store(false)
			l.round(term, now)
		}()
	}
	return lead
}

// round asks all other sources for their term and notes it as soon as a
// majority, this one included, has the given one.
func (l *leadership) round(term uint64, began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), leadRoundTimeout)
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
				l.note(acknowledged{term: term, began: began})
			}
		})
	}
	if majority == 1 {
		l.note(acknowledged{term: term, began: began})
	}
	wait.Wait()
}

func (l *leadership) note(a acknowledged) {
	if term, leads := l.leads(); leads && term == a.term {
		l.last.Store(&a)
	}
}

func (d *Daemon) newLeadership() *leadership {
	l := &leadership{
		leads:   func() (uint64, bool) { return d.source.Leads() },
		others:  d.otherSources,
		version: func() uint64 { return d.source.Status().Version },
		settled: func() bool { return d.source.Settled() },
		term: func(ctx context.Context, addr string) (uint64, error) {
			var term uint64
			return term, d.pool.Call(ctx, addr, sourceTerm, Empty{}, &term)
		},
	}
	return l
}

// lead implements mesh.Config.Lead.
func (d *Daemon) lead(now time.Time, asked bool) *spread.Lead {
	if d.leadership == nil {
		return nil
	}
	return d.leadership.lead(now, asked)
}

const sourceTerm = "Source.Term"

// Term returns this source's term; one without a vote has none to tell.
func (s *sourceService) Term(_ Empty, term *uint64) error {
	if s.d.source == nil {
		return errNotSource
	}
	status := s.d.source.Status()
	if r := status.Repair.State; r != replica.RepairNone && r != replica.RepairDone {
		return errNoVote
	}
	*term = status.Term
	return nil
}

var errNoVote = errors.New("this source has no vote yet")
