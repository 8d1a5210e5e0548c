// Package source implements the replicated configuration store. A source is one
// member of a consensus group that replicates accepted manifests and applies
// them to the state machine holding the fleet state. Clients receive Accepted
// only after the entry is committed.
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

// Status is the status reported by a source.
type Status struct {
	quorum.Status
	// Version is the fleet version applied by this source.
	Version uint64 `json:"version"`
}

// Source is a running member of the source group.
type Source struct {
	group   *quorum.Group[outcome]
	machine *stateMachine
	version atomic.Uint64
	// voters is the configured number of voters. Orders are rejected while the
	// group has fewer voters, until formationDeadline.
	voters            int
	formationDeadline time.Time
}

// formationTimeout is how long a starting source waits for the group to reach its
// configured number of voters: an entry accepted by fewer voters would not survive
// the number of losses the group is designed for. A new member is admitted within
// a second. After the timeout, the group continues with the voters it has.
const formationTimeout = 3 * time.Second

// Open opens the data folder and returns a source that is ready to run. Run calls
// onAccept with each new state.
func Open(cfg quorum.Config, transport quorum.Transport, log logr.Logger, onAccept func(*fleet.State)) (*Source, error) {
	s := &Source{voters: cfg.TargetVoters, formationDeadline: time.Now().Add(formationTimeout)}
	s.machine = newStateMachine(log, func(state *fleet.State) {
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

// Run runs the source until ctx is done.
func (s *Source) Run(ctx context.Context) error { return s.group.Run(ctx) }

// Deliver processes messages received from other sources.
func (s *Source) Deliver(messages []replica.Message) { s.group.Deliver(messages) }

// ServeProposal handles a command forwarded by another source.
func (s *Source) ServeProposal(ctx context.Context, data []byte) quorum.Reply {
	return s.group.ServeProposal(ctx, data)
}

// Leadership returns the current term and whether this source is its leader.
func (s *Source) Leadership() (term uint64, leads bool) {
	status := s.group.Status()
	return status.Term, status.Role == replica.Leader.String()
}

// LeaderCaughtUp reports whether this source is the leader and has applied every entry
// accepted in earlier terms.
func (s *Source) LeaderCaughtUp() bool { return s.group.Status().Settled }

// Status returns the current status.
func (s *Source) Status() Status {
	return Status{Status: s.group.Status(), Version: s.version.Load()}
}

// Order is a manifest submitted by an operator.
type Order struct {
	Manifest manifest.Manifest
	Base     Base
	// Text is the compressed source text of the manifest; it may be empty.
	Text []byte
}

// Base is the version that an order is based on, used for optimistic concurrency control.
// Named is a separate field, not a nil pointer, because orders are encoded with
// encoding/gob, which omits zero values: a pointer to 0 (no version accepted yet) would be
// decoded as nil (any version), and two such orders would both be accepted.
type Base struct {
	// Named is false if the order may be applied on top of any version.
	Named bool
	// Version is the version number assigned by the operator; 0 means that no version
	// has been accepted yet.
	Version uint64
}

// BaseVersion returns the base of an order that is valid only on top of the given version.
func BaseVersion(version uint64) Base { return Base{Named: true, Version: version} }

// String returns the version number, or "any" if no version is required.
func (b Base) String() string {
	if !b.Named {
		return "any"
	}
	return strconv.FormatUint(b.Version, 10)
}

// versionPointer returns the base in the form stored in a log entry: nil for any
// version.
func (b Base) versionPointer() *uint64 {
	if !b.Named {
		return nil
	}
	return &b.Version
}

// Submit proposes a manifest, through the leader if this source is a follower, and
// waits for the commit until ctx is done. A manifest that could not be put in force
// is rejected before it enters the log.
func (s *Source) Submit(ctx context.Context, o *Order) (Answer, error) {
	if err := snapshot.Check(&o.Manifest); err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}, nil
	}
	if n := len(s.group.Status().Members); n < s.voters && time.Now().Before(s.formationDeadline) {
		return Answer{Code: result.NoQuorum, Detail: fmt.Sprintf("the group of sources is still forming: %d of %d voters have joined", n, s.voters)}, nil
	}
	submitted := time.Now().UTC()
	answer, err := s.proposeOrder(ctx, s.machine.diffBase.Load(), o, submitted)
	if err == nil && answer.Code == result.RevisionStale {
		return s.proposeOrder(ctx, emptyDiffBase, o, submitted)
	}
	return answer, err
}

// proposeOrder proposes o as a change relative to b.
func (s *Source) proposeOrder(ctx context.Context, b *diffBase, o *Order, submitted time.Time) (Answer, error) {
	c, err := b.diffCommand(o, submitted)
	if err != nil {
		return Answer{Code: result.ManifestInvalid, Detail: err.Error()}, nil
	}
	return s.propose(ctx, c)
}

// Read returns the newest manifest of a mesh. The read is committed through the log,
// which makes it linearizable: it reflects every manifest accepted before the call,
// or fails. A leader isolated by a network partition gets no majority for it.
func (s *Source) Read(ctx context.Context, mesh string) (Answer, error) {
	return s.propose(ctx, Command{Read: mesh})
}

func (s *Source) propose(ctx context.Context, c Command) (Answer, error) {
	raw, err := encodeCommand(c)
	if err != nil {
		return Answer{}, err
	}
	o, err := s.group.Propose(ctx, raw)
	return toAnswer(o, err), nil
}

// toAnswer converts the result of a proposal to the answer sent to the operator.
func toAnswer(o outcome, err error) Answer {
	var failure *result.Error
	if errors.As(err, &failure) {
		return Answer{Code: failure.Code, Detail: failure.Detail}
	}
	return o.packedAnswer()
}
