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

// Config is fixed for the life of a Group.
type Config struct {
	// ID is this member's name; Members lists all, this one included.
	ID      string
	Members []string
	// DataDir is the group's own folder.
	DataDir string
	// TickInterval is the time of one tick.
	TickInterval time.Duration
	// ElectionTicks, HeartbeatTicks and FirstTicks are passed to replica.
	ElectionTicks  int
	HeartbeatTicks int
	FirstTicks     int
	// Joins, ReplaceTicks and Voters are passed to replica.
	Joins        bool
	ReplaceTicks int
	Voters       int
	Seed         uint64
	// Idempotent says that the state machine answers a resent command with its
	// first answer: Propose then resends when an outcome is unknown.
	Idempotent bool
}

// inboxLimit bounds what waits for the goroutine in Run.
const inboxLimit = 1024

const (
	// retryInterval is how long a proposal waits before it looks for a leader
	// again.
	retryInterval = 20 * time.Millisecond
	// attemptTimeout bounds one attempt of an idempotent proposal, so that a
	// lost leader does not use up the whole deadline.
	attemptTimeout = time.Second
)

type proposal[R any] struct {
	data   []byte
	answer func(R, error)
}

// Group is one running member of a replicated group. All state behind the
// channels is owned by the goroutine in Run.
type Group[R any] struct {
	cfg       Config
	node      *Node[R]
	transport Transport
	log       logr.Logger

	inbox     chan []replica.Message
	proposals chan proposal[R]
	queries   chan func()
	status    atomic.Pointer[Status]
	// applying is the time of all rounds in which something was applied.
	applying time.Duration
}

// Open reads the data folder. Run drives the group.
func Open[R any](cfg Config, machine StateMachine[R], transport Transport, log logr.Logger) (*Group[R], error) {
	dir, err := storage.NewOSDir(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	disk, restored, err := storage.Open(dir)
	if err != nil {
		return nil, err
	}
	node, err := NewNode(replica.Config{
		ID: cfg.ID, Members: cfg.Members,
		ElectionTicks: cfg.ElectionTicks, HeartbeatTicks: cfg.HeartbeatTicks, FirstTicks: cfg.FirstTicks, Seed: cfg.Seed,
		Joins: cfg.Joins, ReplaceTicks: cfg.ReplaceTicks, Voters: cfg.Voters,
	}, restored, disk, machine, transport.Send, log)
	if err != nil {
		return nil, errors.CombineErrors(err, disk.Close())
	}
	g := &Group[R]{
		cfg: cfg, node: node, transport: transport, log: log,
		inbox:     make(chan []replica.Message, inboxLimit),
		proposals: make(chan proposal[R], inboxLimit),
		queries:   make(chan func()),
	}
	g.publish()
	return g, nil
}

// Deliver takes in messages of other members; it drops them when overrun.
func (g *Group[R]) Deliver(messages []replica.Message) {
	select {
	case g.inbox <- messages:
	default:
	}
}

// Status returns the newest status.
func (g *Group[R]) Status() Status { return *g.status.Load() }

// Leads reports whether this member leads the group.
func (g *Group[R]) Leads() bool { return g.Status().Role == replica.Leader.String() }

// Run drives the group until ctx ends. A failed disk does not end it.
func (g *Group[R]) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.cfg.TickInterval)
	defer ticker.Stop()
	// What the log holds is applied before its newest state is handed out.
	g.settle()
	g.publish()
	for {
		select {
		case <-ctx.Done():
			g.node.dropWaiters(result.Errorf(result.CommitUnknown, "the daemon stops"))
			return g.node.disk.Close()
		case <-ticker.C:
			g.node.Tick()
		case messages := <-g.inbox:
			g.node.Step(messages)
		case p := <-g.proposals:
			g.node.Propose(p.data, p.answer)
		case query := <-g.queries:
			query()
		}
		g.more()
		g.settle()
		g.publish()
	}
}

// more takes in what else waits, so that one sync serves all of it.
func (g *Group[R]) more() {
	for range inboxLimit {
		select {
		case messages := <-g.inbox:
			g.node.Step(messages)
		case p := <-g.proposals:
			g.node.Propose(p.data, p.answer)
		default:
			return
		}
	}
}

// settle lets the node finish, and measures it if something was applied.
func (g *Group[R]) settle() {
	before, began := g.node.work, time.Now()
	g.node.Settle()
	entries := g.node.work.Entries - before.Entries
	if entries == 0 {
		return
	}
	took := time.Since(began)
	g.applying += took
	if before.Entries == 0 {
		g.log.Info("log applied after the start", "entries", entries, "bytes", g.node.work.Bytes,
			"snapshot_bytes", before.SnapshotBytes, "took", took.String())
	}
}

func (g *Group[R]) publish() {
	status := g.node.Status()
	status.Applied.Time = g.applying
	if before := g.status.Swap(&status); before != nil && status.differs(before) {
		g.log.Info("group", "leader", status.Lead, "role", status.Role, "term", status.Term, "voters", status.Members,
			"own_vote", status.Repair.State, "commit", status.Commit, "last", status.Last, "failure", status.Failure)
	}
}

// Query runs f on the goroutine that owns the state machine: a local read,
// which may be behind the leader.
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

// Propose commits a command here or through the leader and returns the state
// machine's answer. While no leader is known it waits for one until ctx ends.
// An error is a *result.Error: CommitUnknown means that the command may be committed or
// may yet be, every other code that it certainly was not.
func (g *Group[R]) Propose(ctx context.Context, data []byte) (R, error) {
	var unknown error
	for {
		answer, err := g.attempt(ctx, data)
		if codeOf(err) == result.CommitUnknown {
			unknown = err
		}
		if !g.retryable(err) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, cmp.Or(unknown, err)
		case <-time.After(retryInterval):
		}
	}
}

func (g *Group[R]) retryable(err error) bool {
	switch codeOf(err) {
	case result.NoQuorum, result.StorageFailed, result.StateDiverged, result.FormatUnknown:
		return true
	case result.CommitUnknown:
		return g.cfg.Idempotent
	default:
		return false
	}
}

// codeOf returns the code of an error of this package.
func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.OK
}

func (g *Group[R]) attempt(ctx context.Context, data []byte) (R, error) {
	var none R
	if g.cfg.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
	}
	status := g.Status()
	if status.Failure == "" && g.Leads() {
		return g.local(ctx, data)
	}
	if status.Lead == "" || status.Lead == g.cfg.ID {
		if status.Failure != "" {
			return none, result.Errorf(status.FailureCode, "%s", status.Failure)
		}
		return none, errNoLeader
	}
	reply, err := g.transport.Propose(ctx, status.Lead, data)
	if err != nil {
		return none, result.Errorf(result.CommitUnknown, "leader %s: %v", status.Lead, err)
	}
	return decodeReply[R](reply)
}

func decodeReply[R any](reply Reply) (R, error) {
	var answer R
	if reply.Code != result.OK {
		return answer, &result.Error{Code: reply.Code, Detail: reply.Detail}
	}
	if err := cbor.Unmarshal(reply.Result, &answer); err != nil {
		return answer, result.Errorf(result.CommitUnknown, "answer of the leader: %v", err)
	}
	return answer, nil
}

// local proposes on this member alone.
func (g *Group[R]) local(ctx context.Context, data []byte) (R, error) {
	var none R
	done := make(chan outcome[R], 1)
	p := proposal[R]{data: data, answer: func(r R, err error) { done <- outcome[R]{r, err} }}
	select {
	case g.proposals <- p:
	case <-ctx.Done():
		return none, result.Errorf(result.NoQuorum, "busy")
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return none, result.Errorf(result.CommitUnknown, "no commit in time")
	}
}

// Serve is the far side of Transport.Propose: it proposes here only.
func (g *Group[R]) Serve(ctx context.Context, data []byte) Reply {
	answer, err := g.local(ctx, data)
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
