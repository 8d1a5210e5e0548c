// Package source runs one source: the group that agrees on accepted manifests,
// and the state machine that builds the fleet's state from them. "Accepted" is
// answered only after commit.
package source

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Status is what a source tells of itself.
type Status struct {
	quorum.Status
	// Version is the fleet version applied here.
	Version uint64 `json:"version"`
}

// Source is one running source.
type Source struct {
	group   *quorum.Group[outcome]
	machine *machine
	version atomic.Uint64
	// voters is how many sources are to vote; until growUntil nothing is accepted
	// by fewer.
	voters    int
	growUntil time.Time
}

// growTime is how long a source that starts waits for the group to have all its
// voters: what fewer accept does not outlast the losses that are allowed for. A
// newcomer is admitted within a second; after that the group makes do.
const growTime = 3 * time.Second

// Open reads the data folder. onAccept is called from Run with each new state.
func Open(cfg quorum.Config, transport quorum.Transport, log logr.Logger, onAccept func(*fleet.State)) (*Source, error) {
	s := &Source{voters: cfg.Voters, growUntil: time.Now().Add(growTime)}
	s.machine = newMachine(log, func(state *fleet.State) {
		s.version.Store(state.Version)
		onAccept(state)
	})
	group, err := quorum.Open(cfg, s.machine, transport, log)
	if err != nil {
		return nil, err
	}
	s.group = group
	return s, nil
}

// Run drives the source until ctx ends.
func (s *Source) Run(ctx context.Context) error { return s.group.Run(ctx) }

// Deliver takes in messages of other sources.
func (s *Source) Deliver(messages []replica.Message) { s.group.Deliver(messages) }

// Serve answers a command that another source passed on.
func (s *Source) Serve(ctx context.Context, data []byte) quorum.Reply {
	return s.group.Serve(ctx, data)
}

// Leads returns the term and whether this source leads in it.
func (s *Source) Leads() (term uint64, leads bool) {
	status := s.group.Status()
	return status.Term, status.Role == replica.Leader.String()
}

// Settled reports whether this source leads and has applied all that was
// accepted under earlier leaders.
func (s *Source) Settled() bool { return s.group.Status().Settled }

// Status returns the newest status.
func (s *Source) Status() Status {
	return Status{Status: s.group.Status(), Version: s.version.Load()}
}

// Order is what an operator hands in.
type Order struct {
	Manifest manifest.Manifest
	Base     Base
	// Text is the manifest as the operator wrote it, packed; it may be empty.
	Text []byte
}

// Base is the version that an order builds on. Named has a field of its own because orders
// travel by package gob, which sends no zeros: behind a pointer the 0 of an order that
// builds on no version would arrive as nil, which is any version, and of two such orders
// both would be accepted.
type Base struct {
	// Named is false for an order that builds on any version.
	Named bool
	// Version is the operators' number; 0 is before the first.
	Version uint64
}

// On returns the base of an order that builds on this version only.
func On(version uint64) Base { return Base{Named: true, Version: version} }

// String returns the version, or "any".
func (b Base) String() string {
	if !b.Named {
		return "any"
	}
	return strconv.FormatUint(b.Version, 10)
}

// entry returns the base as a log entry holds it.
func (b Base) entry() *uint64 {
	if !b.Named {
		return nil
	}
	return &b.Version
}

// Submit proposes a manifest here or at the leader, and waits for the commit
// until ctx ends. What could not be put in force never enters the log.
func (s *Source) Submit(ctx context.Context, o *Order) (Answer, error) {
	if err := snapshot.Check(&o.Manifest); err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}, nil
	}
	if n := len(s.group.Status().Members); n < s.voters && time.Now().Before(s.growUntil) {
		return Answer{Code: result.NoQuorum, Detail: fmt.Sprintf("the sources are being founded: %d of %d vote", n, s.voters)}, nil
	}
	submitted := time.Now().UTC()
	answer, err := s.order(ctx, s.machine.basis.Load(), o, submitted)
	if err == nil && answer.Code == result.RevisionStale {
		return s.order(ctx, noBasis, o, submitted)
	}
	return answer, err
}

// order proposes what o changes of a basis.
func (s *Source) order(ctx context.Context, b *basis, o *Order, submitted time.Time) (Answer, error) {
	c, err := b.revise(o, submitted)
	if err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}, nil
	}
	return s.propose(ctx, c)
}

// Read returns the newest manifest of a mesh. It goes through the log, so that
// the answer is never older than what was accepted before the question, or is
// none: a leader that was cut off gets no majority for it.
func (s *Source) Read(ctx context.Context, mesh string) (Answer, error) {
	return s.propose(ctx, Command{Read: mesh})
}

func (s *Source) propose(ctx context.Context, c Command) (Answer, error) {
	raw, err := encodeCommand(c)
	if err != nil {
		return Answer{}, err
	}
	o, err := s.group.Propose(ctx, raw)
	return answerOf(o, err), nil
}

// answerOf turns the end of a proposal into what the operator is told.
func answerOf(o outcome, err error) Answer {
	var failure *result.Error
	if errors.As(err, &failure) {
		return Answer{Code: failure.Code, Detail: failure.Detail}
	}
	return o.finish()
}
