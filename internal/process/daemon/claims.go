package daemon

import (
	"context"
	"net"
	"net/rpc"
	"path/filepath"
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
	"github.com/daisygate/daisygate/internal/request/once"
	"github.com/daisygate/daisygate/internal/result"
)

// The names of the methods of the claims' group.
const (
	claimsDeliver = "Claims.Deliver"
	claimsPropose = "Claims.Propose"
	claimsDo      = "Claims.Do"
	claimsPeek    = "Claims.Peek"
)

const (
	// claimWait is how long a source waits for a leader before it gives up:
	// while none is known, and from when the leader's address refuses.
	claimWait = 100 * time.Millisecond
	// peekServe bounds a look at this source's table.
	peekServe = 500 * time.Millisecond
	// claimServe bounds a command that another source passed on.
	claimServe = 2 * time.Second
	// flushTimeout bounds the wait for ends to be recorded at a planned stop.
	flushTimeout = 5 * time.Second
)

// ClaimResult answers Claims.Do.
type ClaimResult struct {
	// Code is OK with a Reply, or why there is none.
	Code   result.Code
	Detail string
	Reply  once.Reply
	// Lead is the source that leads the group, or "".
	Lead string
}

// claimSide is a daemon's part in at most once: its client of the table, and on
// a source the replica of the table.
type claimSide struct {
	d        *Daemon
	once     *gateway.Once
	messages *peer.Outbox[replica.Message]
	suspects *gateway.Quarantine
	// group and table are nil on a daemon that is no source; the table belongs
	// to the group's goroutine.
	group *quorum.Group[once.Reply]
	table *claims.Table
	// preferred is the place in the settings of the member asked first.
	preferred atomic.Int64
	// reachable is the place of the member that last answered without a
	// majority.
	reachable atomic.Int64
}

func newClaimSide(d *Daemon, incarnation, seed uint64) (*claimSide, error) {
	s := &claimSide{d: d, suspects: newSuspects(d)}
	s.once = gateway.NewOnce(gateway.OnceConfig{
		Node: d.set.Node, Incarnation: incarnation, Table: s, Lives: s.lives,
	}, d.log.WithName("once"))
	s.messages = peer.NewOutbox(outboxLimit, func(ctx context.Context, addr string, messages []replica.Message) error {
		return d.pool.Call(ctx, addr, claimsDeliver, messages, &Empty{})
	})
	if !d.set.IsSource() || !d.set.Source.Claims {
		return s, nil
	}
	s.table = claims.New(claims.DefaultLimits())
	var err error
	s.group, err = quorum.Open(quorum.Config{
		ID: d.set.Node, Members: d.configured(), DataDir: filepath.Join(d.set.DataDir, "claims"),
		TickInterval: sourceTick, ElectionTicks: sourceElectionTicks, HeartbeatTicks: sourceHeartbeatTicks, Seed: seed,
		Idempotent: true,
	}, s.table, s, d.log.WithName("claims"))
	return s, err
}

// lives reports whether the daemon that made a claim still is the process that
// made it, by its presence.
func (s *claimSide) lives(owner once.Token) bool {
	if owner.Node == s.d.set.Node {
		return owner.Incarnation == s.d.incarnation
	}
	for _, r := range s.d.mesh.Directory().Records {
		if r.Node.Name == owner.Node {
			return r.Incarnation <= owner.Incarnation
		}
	}
	return false
}

// run drives this side until ctx ends.
func (s *claimSide) run(ctx context.Context) error {
	if s.group == nil {
		s.once.Run(ctx)
		return nil
	}
	go s.once.Run(ctx)
	return s.group.Run(ctx)
}

// flush records what ended, before a planned stop.
func (s *claimSide) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	s.once.Flush(ctx)
}

// Send implements quorum.Transport.
func (s *claimSide) Send(to string, messages []replica.Message) {
	if addr, ok := s.d.memberAddr(to); ok {
		s.messages.Put(addr, messages...)
	}
}

// Propose implements quorum.Transport.
func (s *claimSide) Propose(ctx context.Context, to string, data []byte) (quorum.Reply, error) {
	addr, ok := s.d.memberAddr(to)
	if !ok {
		return quorum.Reply{}, errors.Newf("no source %s", to)
	}
	var reply quorum.Reply
	err := s.d.pool.Call(ctx, addr, claimsPropose, data, &reply)
	if hurry, ok := ctx.Value(hurryKey{}).(func()); ok && err != nil && !mayBeCommitted(err) {
		hurry()
	}
	return reply, err
}

// hurryKey is the key of a function in the context of a command. It is called
// when the leader cannot be reached: the wait for another is short.
type hurryKey struct{}

// impatient returns a context that ends after patience, or soon after the
// leader turned out to be unreachable.
func impatient(ctx context.Context, patience time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	var once sync.Once
	hurry := func() { once.Do(func() { time.AfterFunc(claimWait, cancel) }) }
	return context.WithValue(ctx, hurryKey{}, hurry), cancel
}

// Do implements gateway.ClaimTable: it asks the sources in turn, the leader
// first where it is known.
func (s *claimSide) Do(ctx context.Context, c claims.Command) (once.Reply, bool, error) {
	members := s.d.set.Source.Members
	committed := false
	var last error = result.Errorf(result.NoQuorum, "no sources in the settings")
	first := int(s.preferred.Load())
	for i := range members {
		place := (first + i) % len(members)
		answer, err := s.ask(ctx, members[place].Node, members[place].Peer, c)
		if err == nil && answer.Code == result.OK {
			s.prefer(place, answer.Lead)
			return answer.Reply, false, nil
		}
		if err == nil {
			s.reachable.Store(int64(place))
			err = result.Errorf(answer.Code, "%s", answer.Detail)
		}
		committed = committed || mayBeCommitted(err)
		last = err
	}
	return once.Reply{}, committed, last
}

// Peek implements gateway.ClaimTable.
func (s *claimSide) Peek(ctx context.Context, c claims.Command) once.Reply {
	nothing := once.Reply{Verdict: once.NotHeld}
	members := s.d.set.Source.Members
	switch {
	case s.group != nil:
		return s.look(ctx, c)
	case len(members) == 0:
		return nothing
	}
	var reply once.Reply
	if err := s.d.pool.Call(ctx, members[s.reachable.Load()].Peer, claimsPeek, c, &reply); err != nil {
		return nothing
	}
	return reply
}

// look reads this source's own table.
func (s *claimSide) look(ctx context.Context, c claims.Command) once.Reply {
	reply := once.Reply{Verdict: once.NotHeld}
	seen := make(chan once.Reply, 1)
	if err := s.group.Query(ctx, func() { seen <- s.table.Peek(c.ID, c.Fingerprint) }); err == nil {
		reply = <-seen
	}
	return reply
}

func (s *claimSide) prefer(place int, lead string) {
	for i, m := range s.d.set.Source.Members {
		if m.Node == lead {
			place = i
		}
	}
	s.preferred.Store(int64(place))
}

func (s *claimSide) ask(ctx context.Context, node, addr string, c claims.Command) (ClaimResult, error) {
	if node == s.d.set.Node && s.group != nil {
		return s.commit(ctx, c), nil
	}
	var answer ClaimResult
	err := s.d.pool.Call(ctx, addr, claimsDo, c, &answer)
	return answer, err
}

// mayBeCommitted reports whether a command that failed with err may be in the
// log or may yet get there.
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

// commit stamps a command with this source's time and proposes it.
func (s *claimSide) commit(ctx context.Context, c claims.Command) ClaimResult {
	ctx, cancel := impatient(ctx, s.patience())
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

// patience is short while no leader is known.
func (s *claimSide) patience() time.Duration {
	if s.group.Status().Lead == "" {
		return claimWait
	}
	return claimServe
}

// claimsService is the RPC side on a source.
type claimsService struct{ d *Daemon }

// Deliver takes in messages of another source.
func (s *claimsService) Deliver(messages []replica.Message, _ *Empty) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	s.d.claims.group.Deliver(messages)
	return nil
}

// Propose commits a command that another source passed on.
func (s *claimsService) Propose(data []byte, reply *quorum.Reply) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimServe)
	defer cancel()
	*reply = s.d.claims.group.Serve(ctx, data)
	return nil
}

// Do carries out a command of a daemon.
func (s *claimsService) Do(c claims.Command, answer *ClaimResult) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	*answer = s.d.claims.commit(context.Background(), c)
	return nil
}

// Peek tells what this source alone knows of a key.
func (s *claimsService) Peek(c claims.Command, reply *once.Reply) error {
	if s.d.claims.group == nil {
		return errNotSource
	}
	ctx, cancel := context.WithTimeout(context.Background(), peekServe)
	defer cancel()
	*reply = s.d.claims.look(ctx, c)
	return nil
}

// newSuspects joins the quarantine to the presence that spreads its reports.
func newSuspects(d *Daemon) *gateway.Quarantine {
	return gateway.NewQuarantine(gateway.QuarantineConfig{
		Self: d.set.Node, Directory: d.mesh.Directory, Publish: d.mesh.SetSuspects,
		SlowRestart: d.set.Servers.SlowRestart,
	}, d.log.WithName("quarantine"))
}

// stateTimeout bounds the wait for the table at a scrape.
const stateTimeout = 200 * time.Millisecond

// state is what the metrics tell of claims and suspects.
func (s *claimSide) state() telemetry.OnceState {
	state := telemetry.OnceState{Waiting: s.once.Waiting(), Suspects: s.suspects.Known()}
	if s.group == nil {
		return state
	}
	status := s.group.Status()
	table := &telemetry.ClaimTableState{
		Limit: claims.DefaultLimits().Claims, Syncs: status.Syncs, LogBytes: status.LogBytes, Failed: status.Failure != "",
	}
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	err := s.group.Query(ctx, func() { table.Claims, table.AnswerBytes = s.table.Len(), s.table.AnswerBytes() })
	if err == nil {
		state.Table = table
	}
	return state
}
