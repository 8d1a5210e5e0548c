package replica

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrNotLeader is returned by Propose on a member that is not the leader.
var ErrNotLeader = errors.New("not the leader")

// Config configures a Core. It does not change during the lifetime of the Core.
type Config struct {
	// ID is the name of this member. Members lists all members, including this one.
	ID      string
	Members []string
	// JoinExisting prevents a member with a new data directory from bootstrapping a group; it
	// waits to be admitted to an existing one.
	JoinExisting bool
	// ReplaceTicks is how long a voter must be silent before a newcomer may replace
	// it; 0 disables replacement.
	ReplaceTicks int
	// TargetVoters is the number of voters up to which the group grows when newcomers ask to
	// join. A value below the number of bootstrapping members disables growth.
	TargetVoters int
	// ElectionTicks is the minimum number of ticks without a leader before a member
	// campaigns. The actual number is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// FirstElectionTicks replaces ElectionTicks from process start until a leader is known, so
	// that a group whose members were all restarted elects a leader sooner; 0 disables
	// it. It cannot depose a live leader, because of the pre-vote.
	FirstElectionTicks int
	// Seed makes the random timeouts reproducible.
	Seed uint64
	// Applied is the last log entry that the state machine has applied; 0 if it has
	// the state of the snapshot. It is set when the state read from disk replaces that of
	// an earlier Core in the same process. The log must hold the entry, see
	// Restored.Holds.
	Applied uint64
}

// Core is the consensus state machine of one member. It is not safe for concurrent
// use.
type Core struct {
	cfg   Config
	peers []string
	// group identifies the group, see group.go; 0 if it is not known yet. It equals
	// membership.Group once another member of the group was heard.
	group uint64
	// rejected counts the messages from other groups; see GroupInfo.
	rejected GroupInfo
	rand     *rand.Rand

	role Role
	term uint64
	vote string
	lead string
	log  raftLog

	membership        Membership
	membershipChanged bool
	// confirmedDisks holds, on a new member, the disks of the peers that confirmed it
	// as new or as known under its current disk.
	confirmedDisks map[string]uint64
	// leaderHint is, on a member without a vote, the leader named by another member,
	// or "".
	leaderHint string
	// knownToVoter is set on a new member once a voter knows it under its current
	// disk.
	knownToVoter bool
	// repairTarget is the first commit index that a learner received.
	repairTarget uint64
	// admitted is set if this member became a voter since the process started.
	admitted bool

	votes    map[string]voteScope
	progress map[string]*progress

	// awaitingFirstLeader is set until a leader is known for the first time.
	awaitingFirstLeader bool
	electionElapsed     int
	electionTimeout     int
	heartbeatElapsed    int

	// lastHardState is the last HardState returned in Ready.
	lastHardState HardState
	newSnapshot   *Snapshot
	messages      []Message
	// emitted is the last index returned in Ready.Entries.
	emitted uint64
}

// New returns a Core with the state read from disk.
func New(cfg Config, restored Restored) *Core {
	c := &Core{
		cfg:                 cfg,
		peers:               slices.DeleteFunc(slices.Clone(cfg.Members), func(id string) bool { return id == cfg.ID }),
		rand:                rand.New(rand.NewPCG(cfg.Seed, 1)),
		term:                restored.HardState.Term,
		vote:                restored.HardState.Vote,
		lastHardState:       restored.HardState,
		membership:          restored.Membership,
		confirmedDisks:      map[string]uint64{},
		awaitingFirstLeader: cfg.FirstElectionTicks > 0,
	}
	c.initMembership()
	c.initGroup()
	c.log.restore(restored.Snapshot)
	c.log.entries = slices.Clone(restored.Entries)
	c.log.stable = c.log.last()
	c.emitted = c.log.last()
	c.becomeFollower(c.term, "")
	// The restored voter list may be newer than the restored commit index, which lags
	// behind on disk.
	c.log.commit = max(c.log.commit, min(restored.HardState.Commit, c.log.last()), cfg.Applied)
	c.log.applied = max(c.log.applied, cfg.Applied)
	c.updatePeers()
	c.bootstrap()
	return c
}

// Role returns the current role of this member.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderCaughtUp reports whether this member is the leader and has applied an entry of its
// own term. It has then applied everything that earlier leaders committed.
func (c *Core) LeaderCaughtUp() bool {
	term, known := c.log.term(c.log.applied)
	return c.role == Leader && known && term == c.term
}

// Lead returns the leader known in the current term, or "".
func (c *Core) Lead() string { return c.lead }

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Last returns the last index of the log.
func (c *Core) Last() uint64 { return c.log.last() }

// Applied returns the last index that Advance reported as applied.
func (c *Core) Applied() uint64 { return c.log.applied }

// SnapshotIndex returns the index of the last entry covered by the snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// Tick advances the logical clock by one tick.
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
		c.probeMembership()
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
	c.tickPeerSilence()
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.heartbeat()
	}
}

// majority returns the size of a majority of the committed voter list, or of the
// configured members before the group is bootstrapped.
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

// Propose appends a command to the log. The command is accepted only once it appears
// in Ready.Committed with the returned term. All entries proposed before the next
// Ready are sent together.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return c.append(Entry{Data: data}), c.term, nil
}

// StepDown gives up leadership. The driver calls it after a disk failure.
func (c *Core) StepDown() { c.becomeFollower(c.term, "") }

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	m.Disk = c.membership.Disk
	m.Voting = c.membership.Voting
	m.Newcomer = c.membership.Newcomer
	m.Group = c.group
	if m.Type == MsgProbe {
		m.Group = c.probedGroup()
	}
	c.messages = append(c.messages, m)
}

// Step processes a message from another member of the group.
func (c *Core) Step(m Message) {
	probe := m.Type == MsgProbe || m.Type == MsgProbeReply
	if c.probedGroup() == 0 && m.Group != c.group && !probe {
		// The sender is a leader that has this member in its voter list. Members that
		// lost their disks at the same time may otherwise know only each other.
		c.setLeaderHint(m.From)
	}
	if m.From == c.cfg.ID {
		return
	}
	c.learnGroup(m)
	if !c.sameGroup(m) {
		c.countRejected(m)
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
	if m.Type == MsgVote && (!c.canGrantVote() || m.Term > c.term && c.hasLeaderLease()) {
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
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

// rejectStaleTerm informs a deposed leader of the current term.
func (c *Core) rejectStaleTerm(m Message) {
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true})
	}
}
