package daemon

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/process/claims"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/request/idempotency"
	"github.com/daisygate/daisygate/internal/result"
)

// RPC methods of the claims group.
const (
	claimsDeliver = "Claims.Deliver"
	claimsPropose = "Claims.Propose"
	claimsDo      = "Claims.Do"
	claimsPeek    = "Claims.Peek"
)

const (
	// claimLeaderWait is how long a source waits for a leader: while none is known, and after
	// the leader's address refused a connection.
	claimLeaderWait = 100 * time.Millisecond
	// claimPeekTimeout is the timeout of a read of this source's table.
	claimPeekTimeout = 500 * time.Millisecond
	// claimCommandTimeout is the timeout of a command, including one forwarded by another
	// source.
	claimCommandTimeout = 2 * time.Second
	// flushTimeout is how long a planned stop waits until the outcomes of finished requests
	// are recorded.
	flushTimeout = 5 * time.Second
)

// ClaimResult is the reply of Claims.Do.
type ClaimResult struct {
	// Code is OK if Reply is valid, else the reason why there is no reply.
	Code   result.Code
	Detail string
	Reply  idempotency.Reply
	// Lead is the name of the group's leader, "" if it is not known.
	Lead string
}

// claimManager implements at-most-once execution on a daemon. It is a client of the
// replicated claims table and, on a source, holds a replica of that table.
type claimManager struct {
	d        *Daemon
	once     *gateway.IdempotencyManager
	messages *peer.Outbox[replica.Message]
	suspects *gateway.Quarantine
	// group and table are nil if the daemon is not a source. Only the group's goroutine may
	// use table.
	group *quorum.Group[idempotency.Reply]
	table *claims.Table
	// preferred is the index in the settings of the member that is asked first.
	preferred atomic.Int64
	// reachable is the index of the member that last replied with an error, such as a missing
	// majority. Peek uses it.
	reachable atomic.Int64
}

func newClaimManager(d *Daemon, incarnation, seed uint64) (*claimManager, error) {
	s := &claimManager{d: d, suspects: newQuarantine(d)}
	s.once = gateway.NewIdempotencyManager(gateway.IdempotencyConfig{
		Node: d.settings.Node, Incarnation: incarnation, Table: s, IsAlive: s.ownerAlive,
	}, d.log.WithName("once"))
	s.messages = peer.NewOutbox(outboxLimit, func(ctx context.Context, addr string, messages []replica.Message) error {
		return d.pool.Call(ctx, addr, claimsDeliver, messages, &Empty{})
	})
	if !d.settings.IsSource() || !d.settings.Source.Claims {
		return s, nil
	}
	s.table = claims.New(claims.DefaultLimits())
	var err error
	s.group, err = quorum.Open(d.groupConfig("claims", seed), s.table, s, d.log.WithName("claims"))
	return s, err
}

// ownerAlive reports whether the process that made a claim still runs, according to the
// presence records known here.
func (s *claimManager) ownerAlive(owner idempotency.Token) bool {
	if owner.Node == s.d.settings.Node {
		return owner.Incarnation == s.d.incarnation
	}
	for _, r := range s.d.mesh.Directory().Records {
		if r.Node.Name == owner.Node {
			return r.Incarnation <= owner.Incarnation
		}
	}
	return false
}

// run runs the client and, on a source, the replica until ctx ends.
func (s *claimManager) run(ctx context.Context) error {
	if s.group == nil {
		s.once.Run(ctx)
		return nil
	}
	go s.once.Run(ctx)
	return s.group.Run(ctx)
}

// flush records the outcomes of finished requests before a planned stop.
func (s *claimManager) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	s.once.Flush(ctx)
}

// Send implements quorum.Transport.
func (s *claimManager) Send(to string, messages []replica.Message) {
	if addr, ok := s.d.memberAddr(to); ok {
		s.messages.Put(addr, messages...)
	}
}

// Propose implements quorum.Transport.
func (s *claimManager) Propose(ctx context.Context, to string, data []byte) (quorum.Reply, error) {
	addr, ok := s.d.memberAddr(to)
	if !ok {
		return quorum.Reply{}, errors.Newf("no source %s", to)
	}
	var reply quorum.Reply
	err := s.d.pool.Call(ctx, addr, claimsPropose, data, &reply)
	if onUnreachable, ok := ctx.Value(leaderUnreachableKey{}).(func()); ok && err != nil && !mayBeCommitted(err) {
		onUnreachable()
	}
	return reply, err
}

// leaderUnreachableKey is the context key of a func() that is called when the leader cannot
// be reached. It shortens the context's timeout to claimLeaderWait.
type leaderUnreachableKey struct{}

// withLeaderTimeout returns a context that ends after timeout, or claimLeaderWait after the
// leader was first found to be unreachable.
func withLeaderTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	var once sync.Once
	onUnreachable := func() { once.Do(func() { time.AfterFunc(claimLeaderWait, cancel) }) }
	return context.WithValue(ctx, leaderUnreachableKey{}, onUnreachable), cancel
}

// Do implements gateway.ClaimTable. It sends the command to the sources one after another,
// starting with the leader if it is known.
func (s *claimManager) Do(ctx context.Context, c claims.Command) (idempotency.Reply, bool, error) {
	members := s.d.settings.Source.Members
	committed := false
	var last error = result.Errorf(result.NoQuorum, "the settings name no sources")
	first := int(s.preferred.Load())
	for i := range members {
		index := (first + i) % len(members)
		answer, err := s.send(ctx, members[index].Node, members[index].Peer, c)
		if err == nil && answer.Code == result.OK {
			s.setPreferred(index, answer.Lead)
			return answer.Reply, false, nil
		}
		if err == nil {
			s.reachable.Store(int64(index))
			err = result.Errorf(answer.Code, "%s", answer.Detail)
		}
		committed = committed || mayBeCommitted(err)
		last = err
	}
	return idempotency.Reply{}, committed, last
}

// Peek implements gateway.ClaimTable.
func (s *claimManager) Peek(ctx context.Context, c claims.Command) idempotency.Reply {
	notHeld := idempotency.Reply{Verdict: idempotency.NotHeld}
	members := s.d.settings.Source.Members
	switch {
	case s.group != nil:
		return s.peekLocal(ctx, c)
	case len(members) == 0:
		return notHeld
	}
	var reply idempotency.Reply
	if err := s.d.pool.Call(ctx, members[s.reachable.Load()].Peer, claimsPeek, c, &reply); err != nil {
		return notHeld
	}
	return reply
}

// peekLocal reads this source's replica of the table.
func (s *claimManager) peekLocal(ctx context.Context, c claims.Command) idempotency.Reply {
	reply := idempotency.Reply{Verdict: idempotency.NotHeld}
	replies := make(chan idempotency.Reply, 1)
	if err := s.group.Query(ctx, func() { replies <- s.table.Peek(c.ID, c.Fingerprint) }); err == nil {
		reply = <-replies
	}
	return reply
}

// setPreferred selects the member that the next command is sent to first: the leader, or the
// member at index if the settings do not name the leader.
func (s *claimManager) setPreferred(index int, lead string) {
	for i, m := range s.d.settings.Source.Members {
		if m.Node == lead {
			index = i
		}
	}
	s.preferred.Store(int64(index))
}

// send executes a command at one source.
func (s *claimManager) send(ctx context.Context, node, addr string, c claims.Command) (ClaimResult, error) {
	if node == s.d.settings.Node && s.group != nil {
		return s.commit(ctx, c), nil
	}
	var answer ClaimResult
	err := s.d.pool.Call(ctx, addr, claimsDo, c, &answer)
	return answer, err
}

// mayBeCommitted reports whether a command that failed with err may be in the log or may
// still be appended to it.
func mayBeCommitted(err error) bool {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code != result.NoQuorum && coded.Code != result.StorageFailed
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return false
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// commit sets the command's time from this source's clock and proposes it.
func (s *claimManager) commit(ctx context.Context, c claims.Command) ClaimResult {
	ctx, cancel := withLeaderTimeout(ctx, s.commitTimeout())
	defer cancel()
	c.Now = time.Now().UnixMilli()
	raw, err := c.Encode()
	if err != nil {
		return ClaimResult{Code: result.BadRequest, Detail: err.Error()}
	}
	reply, err := s.group.Propose(ctx, raw)
	lead := s.group.Status().Lead
	var failure *result.Error
	if errors.As(err, &failure) {
		return ClaimResult{Code: failure.Code, Detail: failure.Detail, Lead: lead}
	}
	return ClaimResult{Code: result.OK, Reply: reply, Lead: lead}
}

// commitTimeout returns the timeout of a proposal. It is short while no leader is known.
func (s *claimManager) commitTimeout() time.Duration {
	if s.group.Status().Lead == "" {
		return claimLeaderWait
	}
	return claimCommandTimeout
}

// claimsService serves the RPC methods of the claims group. They fail on a daemon that is not
// a source.
type claimsService struct{ d *Daemon }

// Deliver accepts replication messages from another source.
func (s *claimsService) Deliver(messages []replica.Message, _ *Empty) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	s.d.claims.group.Deliver(messages)
	return nil
}

// Propose commits a command that another source forwarded.
func (s *claimsService) Propose(data []byte, reply *quorum.Reply) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimCommandTimeout)
	defer cancel()
	*reply = s.d.claims.group.ServeProposal(ctx, data)
	return nil
}

// Do executes a command of a daemon.
func (s *claimsService) Do(c claims.Command, answer *ClaimResult) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	*answer = s.d.claims.commit(context.Background(), c)
	return nil
}

// Peek returns what this source's replica holds for a key, without a quorum.
func (s *claimsService) Peek(c claims.Command, reply *idempotency.Reply) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimPeekTimeout)
	defer cancel()
	*reply = s.d.claims.peekLocal(ctx, c)
	return nil
}

// newQuarantine returns a quarantine that publishes its suspects in this daemon's presence
// record. On a source it also retains those of the fleet on disk.
func newQuarantine(d *Daemon) *gateway.Quarantine {
	cfg := gateway.QuarantineConfig{
		Self: d.settings.Node, Directory: d.mesh.Directory, Publish: d.mesh.SetSuspects,
		SlowRestart: d.settings.Servers.SlowRestart,
	}
	if d.suspects != nil {
		cfg.Retain = d.suspects.put
	}
	return gateway.NewQuarantine(cfg, d.log.WithName("quarantine"))
}

// tableQueryTimeout is how long a metrics scrape waits for the table.
const tableQueryTimeout = 200 * time.Millisecond

// metricsState returns the values of the metrics about claims and suspects.
func (s *claimManager) metricsState() telemetry.IdempotencyState {
	state := telemetry.IdempotencyState{Waiting: s.once.PendingResults(), Suspects: s.suspects.Known(), Quarantine: s.suspects.Counters()}
	if s.group == nil {
		return state
	}
	status := s.group.Status()
	table := &telemetry.ClaimTableState{
		Limit: claims.DefaultLimits().Claims, Syncs: status.Syncs, LogBytes: status.LogBytes, Failed: status.Failure != "",
		StorageFailures: status.Applied.StorageFailures,
	}
	ctx, cancel := context.WithTimeout(context.Background(), tableQueryTimeout)
	defer cancel()
	err := s.group.Query(ctx, func() { table.Claims, table.AnswerBytes = s.table.Len(), s.table.AnswerBytes() })
	if err == nil {
		state.Table = table
	}
	return state
}
