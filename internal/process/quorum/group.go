package quorum

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/result"
)

// Config configures a Group. It does not change during the lifetime of the Group.
type Config struct {
	// ID is the name of this member. Members lists all members, including this one.
	ID      string
	Members []string
	// Dir is the data folder of the group. Groups must not share it.
	Dir storage.Dir
	// TickInterval is the duration of one tick.
	TickInterval time.Duration
	// ElectionTicks, HeartbeatTicks and FirstElectionTicks are passed to replica.Config.
	ElectionTicks      int
	HeartbeatTicks     int
	FirstElectionTicks int
	// JoinExisting, ReplaceTicks and TargetVoters are passed to replica.Config.
	JoinExisting bool
	ReplaceTicks int
	TargetVoters int
	Seed         uint64
	// Idempotent states that the state machine answers a resent command with its first
	// answer. Propose then resends a command whose outcome is unknown.
	Idempotent bool
}

// queueCapacity is the capacity of each queue of the goroutine in Run.
const queueCapacity = 1024

const (
	// retryInterval is the delay between two attempts of a proposal.
	retryInterval = 20 * time.Millisecond
	// attemptTimeout limits one attempt of an idempotent proposal, so that a lost
	// leader does not use up the whole deadline.
	attemptTimeout = time.Second
)

type proposal[R any] struct {
	data     []byte
	callback func(R, error)
}

// Group is a running member of a replicated group. The goroutine in Run owns all state
// behind the channels.
type Group[R any] struct {
	cfg       Config
	node      *Node[R]
	transport Transport
	log       logr.Logger

	inbox     chan []replica.Message
	proposals chan proposal[R]
	queries   chan func()
	status    atomic.Pointer[Status]
	// applyTime is the total duration of all rounds in which entries were applied.
	applyTime time.Duration
}

// Open reads the data folder and returns a Group, also if the disk fails or is full. The caller
// must call Run.
func Open[R any](cfg Config, machine StateMachine[R], transport Transport, log logr.Logger) (*Group[R], error) {
	node, err := OpenNode(replica.Config{
		ID: cfg.ID, Members: cfg.Members,
		ElectionTicks: cfg.ElectionTicks, HeartbeatTicks: cfg.HeartbeatTicks, FirstElectionTicks: cfg.FirstElectionTicks, Seed: cfg.Seed,
		JoinExisting: cfg.JoinExisting, ReplaceTicks: cfg.ReplaceTicks, TargetVoters: cfg.TargetVoters,
	}, cfg.Dir, machine, transport.Send, log)
	if err != nil {
		return nil, err
	}
	g := &Group[R]{
		cfg: cfg, node: node, transport: transport, log: log,
		inbox:     make(chan []replica.Message, queueCapacity),
		proposals: make(chan proposal[R], queueCapacity),
		queries:   make(chan func()),
	}
	g.publishStatus()
	return g, nil
}

// Deliver enqueues messages from other members. It drops them if the queue is full.
func (g *Group[R]) Deliver(messages []replica.Message) {
	select {
	case g.inbox <- messages:
	default:
	}
}

// Status returns the latest status.
func (g *Group[R]) Status() Status { return *g.status.Load() }

// IsLeader reports whether this member is the leader of the group.
func (g *Group[R]) IsLeader() bool { return g.Status().Role == replica.Leader.String() }

// Run drives the group until ctx is done. A disk failure does not end it.
func (g *Group[R]) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.cfg.TickInterval)
	defer ticker.Stop()
	// Apply the log before the state is first published.
	g.processReady()
	g.publishStatus()
	for {
		select {
		case <-ctx.Done():
			g.node.failWaiters(result.Errorf(result.CommitUnknown, "the daemon is stopping"))
			return g.node.disk.Close()
		case <-ticker.C:
			g.node.Tick()
		case messages := <-g.inbox:
			g.node.Step(messages)
		case p := <-g.proposals:
			g.node.Propose(p.data, p.callback)
		case query := <-g.queries:
			query()
		}
		g.drainQueues()
		g.processReady()
		g.publishStatus()
	}
}

// drainQueues processes everything that is queued, so that one disk sync covers all of
// it.
func (g *Group[R]) drainQueues() {
	for range queueCapacity {
		select {
		case messages := <-g.inbox:
			g.node.Step(messages)
		case p := <-g.proposals:
			g.node.Propose(p.data, p.callback)
		default:
			return
		}
	}
}

// processReady makes the node process its pending work and measures the time if
// entries were applied.
func (g *Group[R]) processReady() {
	before, began := g.node.stats, time.Now()
	g.node.ProcessReady()
	entries := g.node.stats.Entries - before.Entries
	if entries == 0 {
		return
	}
	took := time.Since(began)
	g.applyTime += took
	if before.Entries == 0 {
		g.log.Info("log replayed at startup", "entries", entries, "bytes", g.node.stats.Bytes,
			"snapshot_bytes", before.SnapshotBytes, "took", took.String())
	}
}

func (g *Group[R]) publishStatus() {
	status := g.node.Status()
	status.Applied.Time = g.applyTime
	if before := g.status.Swap(&status); before != nil && status.differs(before) {
		g.log.Info("group state changed", "leader", status.Lead, "role", status.Role, "term", status.Term, "voters", status.Members,
			"own_vote", status.Repair.State, "commit", status.Commit, "last", status.Last, "failure", status.Failure,
			"group", status.Group, "group_stored", status.GroupStored, "rejected", status.Rejected)
	}
}

// Query runs f on the goroutine that owns the state machine. It is a local read, which
// may lag behind the leader.
func (g *Group[R]) Query(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case g.queries <- func() { f(); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "query")
	}
}

// Propose commits a command, locally or through the leader, and returns the answer of
// the state machine. While no leader is known it retries until ctx is done. An error
// is a *result.Error: CommitUnknown means that the command may be committed, now or
// later; any other code means that it is not and never will be.
func (g *Group[R]) Propose(ctx context.Context, data []byte) (R, error) {
	var unknownErr error
	for {
		answer, err := g.proposeOnce(ctx, data)
		if errorCode(err) == result.CommitUnknown {
			unknownErr = err
		}
		if !g.retryable(err) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, cmp.Or(unknownErr, err)
		case <-time.After(retryInterval):
		}
	}
}

func (g *Group[R]) retryable(err error) bool {
	switch errorCode(err) {
	case result.NoQuorum, result.StorageFailed, result.StateDiverged, result.FormatUnknown:
		return true
	case result.CommitUnknown:
		return g.cfg.Idempotent
	default:
		return false
	}
}

// errorCode returns the code of an error of this package, or OK.
func errorCode(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.OK
}

func (g *Group[R]) proposeOnce(ctx context.Context, data []byte) (R, error) {
	var zero R
	if g.cfg.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	status := g.Status()
	if status.Failure == "" && g.IsLeader() {
		return g.proposeLocal(ctx, data)
	}
	if status.Lead == "" || status.Lead == g.cfg.ID {
		if status.Failure != "" {
			return zero, result.Errorf(status.FailureCode, "%s", status.Failure)
		}
		return zero, errNoLeader
	}
	reply, err := g.transport.Propose(ctx, status.Lead, data)
	if err != nil {
		return zero, result.Errorf(result.CommitUnknown, "leader %s: %v", status.Lead, err)
	}
	return decodeReply[R](reply)
}

func decodeReply[R any](reply Reply) (R, error) {
	var answer R
	if reply.Code != result.OK {
		return answer, &result.Error{Code: reply.Code, Detail: reply.Detail}
	}
	if err := cbor.Unmarshal(reply.Result, &answer); err != nil {
		return answer, result.Errorf(result.CommitUnknown, "decode answer of the leader: %v", err)
	}
	return answer, nil
}

// proposeLocal proposes on this member only.
func (g *Group[R]) proposeLocal(ctx context.Context, data []byte) (R, error) {
	var zero R
	done := make(chan outcome[R], 1)
	p := proposal[R]{data: data, callback: func(r R, err error) { done <- outcome[R]{r, err} }}
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return zero, result.Errorf(result.NoQuorum, "proposal was not queued before the deadline")
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return zero, result.Errorf(result.CommitUnknown, "command was not committed before the deadline")
	}
}

// ServeProposal handles a command that another member forwarded with Transport.Propose. It
// proposes on this member only.
func (g *Group[R]) ServeProposal(ctx context.Context, data []byte) Reply {
	answer, err := g.proposeLocal(ctx, data)
	var e *result.Error
	if errors.As(err, &e) {
		return Reply{Code: e.Code, Detail: e.Detail}
	}
	raw, err := Encode(answer)
	if err != nil {
		return Reply{Code: result.CommitUnknown, Detail: err.Error()}
	}
	return Reply{Code: result.OK, Result: raw}
}
