package replica

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrNotLeader is returned by Propose on a member that does not lead.
var ErrNotLeader = errors.New("not the leader")

// Config is fixed for the life of a Core.
type Config struct {
	// ID is this member's name; Members lists all, this one included.
	ID      string
	Members []string
	// Joins keeps a member whose folder is new out of the founding of the group:
	// it waits to be admitted.
	Joins bool
	// ReplaceTicks is how long a voter has to be silent before a newcomer may
	// take its place; 0 never lets one.
	ReplaceTicks int
	// Voters is how many voters the group grows to as newcomers ask; fewer than
	// founded it is no growth.
	Voters int
	// ElectionTicks is the least number of ticks without a leader before a
	// campaign; the actual number is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// FirstTicks takes the place of ElectionTicks until a member that was just
	// started knows a leader; 0 does not. A leader that is alive is not deposed by
	// it, for a pre-vote goes first; a group of which all members were restarted
	// has its leader sooner.
	FirstTicks int
	// Seed makes the drawn timeouts reproducible.
	Seed uint64
}

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	others []string
	// group identifies the group by the members that founded it.
	group uint64
	rand  *rand.Rand

	role Role
	term uint64
	vote string
	lead string
	log  raftLog

	membership        Membership
	membershipChanged bool
	// seen holds, on a fresh member, the disks of the others that agreed.
	seen map[string]uint64
	// guide is the leader that another member named to one without a vote, or "".
	guide string
	// vouched is set on a fresh member once a voter knows it under its disk.
	vouched bool
	// repairTarget is the commit index a learner was first told of.
	repairTarget uint64
	// admitted is set when this member became a voter in this process's life.
	admitted bool

	votes    map[string]ballot
	progress map[string]*progress

	// starting is set until a leader is known for the first time.
	starting         bool
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	// saved is the last HardState handed to the driver.
	saved       HardState
	newSnapshot *Snapshot
	messages    []Message
	// handed is the last index handed out in Ready.Entries.
	handed uint64
}

// New builds a Core from what was durable.
func New(cfg Config, restored Restored) *Core {
	c := &Core{
		cfg:        cfg,
		others:     slices.DeleteFunc(slices.Clone(cfg.Members), func(id string) bool { return id == cfg.ID }),
		group:      groupHash(cfg.Members),
		rand:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		term:       restored.HardState.Term,
		vote:       restored.HardState.Vote,
		saved:      restored.HardState,
		membership: restored.Membership,
		seen:       map[string]uint64{},
		starting:   cfg.FirstTicks > 0,
	}
	c.beginMembership()
	c.log.restore(restored.Snapshot)
	c.log.entries = slices.Clone(restored.Entries)
	c.log.stable = c.log.last()
	c.handed = c.log.last()
	c.becomeFollower(c.term, "")
	// The list of voters that was restored may be newer than the commit index,
	// which lags behind on disk.
	c.log.commit = max(c.log.commit, min(restored.HardState.Commit, c.log.last()))
	c.refreshOthers()
	c.bootstrap()
	return c
}

// groupHash is the same for the same names in any order.
func groupHash(members []string) uint64 {
	var sum uint64
	for _, id := range members {
		sum += xxhash.Sum64String(id)
	}
	return sum
}

// Role is what this member currently is.
func (c *Core) Role() Role { return c.role }

// Term is the current term.
func (c *Core) Term() uint64 { return c.term }

// Settled reports whether this member leads and has applied an entry of its own
// term: it has then applied all that earlier leaders committed.
func (c *Core) Settled() bool {
	term, known := c.log.term(c.log.applied)
	return c.role == Leader && known && term == c.term
}

// Lead is the leader known in this term, or "".
func (c *Core) Lead() string { return c.lead }

// Commit is the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Last is the last index of the log.
func (c *Core) Last() uint64 { return c.log.last() }

// Applied is the last index that Advance reported as applied.
func (c *Core) Applied() uint64 { return c.log.applied }

// SnapshotIndex is the index up to which the log is replaced by a snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// Tick advances time by one unit.
func (c *Core) Tick() {
	c.electionElapsed++
	c.heartbeatElapsed++
	switch {
	case c.role == Leader:
		c.tickLeader()
	case !c.membership.Voting:
		c.tickLearner()
	case c.electionElapsed >= c.electionTimeout:
		c.campaign(PreCandidate)
		c.askPlace()
	}
}

func (c *Core) tickLeader() {
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	c.tickSilence()
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.heartbeat()
	}
}

// majority is of the committed list of voters, or of the configured members
// before the founding.
func (c *Core) majority() int {
	if n := len(c.membership.Voters); n > 0 {
		return majorityOf(c.membership.Voters)
	}
	return len(c.cfg.Members)/2 + 1
}

func majorityOf(voters []Voter) int { return len(voters)/2 + 1 }

func (c *Core) append(e Entry) uint64 {
	e.Term = c.term
	e.Index = c.log.last() + 1
	c.log.entries = append(c.log.entries, e)
	return e.Index
}

// Propose appends a command. It is accepted only once it shows up in
// Ready.Committed with the returned term. The entries proposed before the next
// Ready go out together.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return c.append(Entry{Data: data}), c.term, nil
}

// Resign gives leadership up: the driver calls it when its disk failed.
func (c *Core) Resign() { c.becomeFollower(c.term, "") }

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	m.Disk = c.membership.Disk
	m.Voting = c.membership.Voting
	m.Newcomer = c.membership.Newcomer
	m.Group = c.group
	c.messages = append(c.messages, m)
}

// Step takes in a message from another member. Messages of another group are
// dropped, but for the questions of newcomers and the answers to them: two
// groups have no common quorum.
func (c *Core) Step(m Message) {
	probe := m.Type == MsgProbe || m.Type == MsgProbeReply
	if c.group == 0 && m.Group != 0 && !probe {
		// A leader sends to this member by the list of voters. Members that lost
		// their disks together may know only one another otherwise.
		c.follow(m.From)
	}
	if m.From == c.cfg.ID || !probe && m.Group != c.group || probe && m.Group != 0 && c.group != 0 && m.Group != c.group {
		return
	}
	switch m.Type {
	case MsgProbe:
		c.stepProbe(m)
	case MsgProbeReply:
		c.stepProbeReply(m)
	case MsgPreVote:
		c.stepPreVote(m)
	case MsgPreVoteReply:
		c.stepPreVoteReply(m)
	default:
		c.stepTerm(m)
	}
}

func (c *Core) stepTerm(m Message) {
	if m.Type == MsgVote && (!c.mayVote() || m.Term > c.term && c.leaseHeld()) {
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	if m.Term < c.term {
		c.answerStale(m)
		return
	}
	c.stepCurrent(m)
}

func (c *Core) stepCurrent(m Message) {
	switch m.Type {
	case MsgVote:
		c.stepVote(m)
	case MsgVoteReply:
		if c.role == Candidate {
			c.countVote(m)
		}
	case MsgAppend:
		c.becomeFollower(m.Term, m.From)
		c.stepAppend(m)
	case MsgSnapshot:
		c.becomeFollower(m.Term, m.From)
		c.stepSnapshot(m)
	case MsgAppendReply:
		if c.role == Leader && c.progress[m.From] != nil {
			c.stepAppendReply(m)
		}
	}
}

// answerStale tells a deposed leader its term is over.
func (c *Core) answerStale(m Message) {
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true})
	}
}
