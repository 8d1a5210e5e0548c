package replica

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrNotLeader is returned by Propose on a source that does not lead.
var ErrNotLeader = errors.New("not the leader")

// maxEntries bounds the entries of one append message.
const maxEntries = 64

// Config is fixed for the life of a Core.
type Config struct {
	// ID is this source's name; Members lists all sources, this one included.
	ID      string
	Members []string
	// ElectionTicks is the least number of ticks without a leader before a
	// campaign; the actual number is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// Seed makes the drawn timeouts reproducible.
	Seed uint64
}

// Restored is what the driver read back from disk.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Core is the state machine of one source. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rand *rand.Rand

	role Role
	term uint64
	vote string
	lead string
	log  raftLog

	votes    map[string]bool
	progress map[string]*Progress

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	saved       HardState
	newSnapshot *Snapshot
	messages    []Message
	// handed is the last index handed out in Ready.Entries.
	handed uint64
}

// New builds a Core from what was durable.
func New(cfg Config, restored Restored) *Core {
	c := &Core{
		cfg:   cfg,
		rand:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		term:  restored.HardState.Term,
		vote:  restored.HardState.Vote,
		saved: restored.HardState,
	}
	c.log.restore(restored.Snapshot)
	c.log.entries = append([]Entry(nil), restored.Entries...)
	c.log.stable = c.log.last()
	c.handed = c.log.last()
	c.log.commit = max(c.log.commit, min(restored.HardState.Commit, c.log.last()))
	c.becomeFollower(c.term, "")
	return c
}

// Role is what this source currently is.
func (c *Core) Role() Role { return c.role }

// Term is the current term.
func (c *Core) Term() uint64 { return c.term }

// Lead is the leader known in this term, or "".
func (c *Core) Lead() string { return c.lead }

// Commit is the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Last is the last index of the log.
func (c *Core) Last() uint64 { return c.log.last() }

// SnapshotIndex is the index up to which the log is replaced by a snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// Tick advances time by one unit.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.campaign(PreCandidate)
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcast()
	}
}

// quorumActive tells whether a majority answered since the last check, and
// begins the next check.
func (c *Core) quorumActive() bool {
	active := 1
	for _, p := range c.progress {
		if p.Active {
			active++
		}
		p.Active = false
	}
	return active >= c.majority()
}

func (c *Core) majority() int { return len(c.cfg.Members)/2 + 1 }

func (c *Core) becomeFollower(term uint64, lead string) {
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	c.role = Follower
	c.lead = lead
	c.resetElection()
}

func (c *Core) resetElection() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.rand.IntN(c.cfg.ElectionTicks)
}

// campaign asks for pre-votes, which change no state anywhere, or for votes.
func (c *Core) campaign(role Role) {
	c.role = role
	c.lead = ""
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetElection()
	kind := MsgPreVote
	term := c.term + 1
	if role == Candidate {
		c.term = term
		c.vote = c.cfg.ID
		kind = MsgVote
	}
	if len(c.votes) >= c.majority() {
		c.won()
		return
	}
	for _, id := range c.others() {
		c.send(Message{Type: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm()})
	}
}

func (c *Core) others() []string {
	return slices.DeleteFunc(slices.Clone(c.cfg.Members), func(id string) bool { return id == c.cfg.ID })
}

func (c *Core) won() {
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return
	}
	c.role = Leader
	c.lead = c.cfg.ID
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.progress = map[string]*Progress{}
	for _, id := range c.others() {
		c.progress[id] = &Progress{Next: c.log.last() + 1, Active: true}
	}
	// An entry of the own term lets everything before it be committed.
	c.append(nil)
	c.broadcast()
}

func (c *Core) append(data []byte) uint64 {
	index := c.log.last() + 1
	c.log.entries = append(c.log.entries, Entry{Term: c.term, Index: index, Data: data})
	return index
}

// Propose appends a command. It is accepted only once it shows up in
// Ready.Committed with the returned term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = c.append(data)
	c.broadcast()
	return index, c.term, nil
}

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	c.messages = append(c.messages, m)
}

func (c *Core) broadcast() {
	for _, id := range c.others() {
		c.sendAppend(id)
	}
}

func (c *Core) sendAppend(to string) {
	p := c.progress[to]
	prevTerm, held := c.log.term(p.Next - 1)
	if !held {
		snap := c.log.snapshot
		c.send(Message{Type: MsgSnapshot, To: to, Term: c.term, Snapshot: &snap})
		p.Next = snap.Index + 1
		return
	}
	m := Message{Type: MsgAppend, To: to, Term: c.term, Index: p.Next - 1, LogTerm: prevTerm, Commit: c.log.commit}
	m.Entries = c.log.from(p.Next, maxEntries)
	p.Next += uint64(len(m.Entries))
	c.send(m)
}

// Step takes in a message from another source.
func (c *Core) Step(m Message) {
	if m.Type == MsgPreVote {
		c.stepPreVote(m)
		return
	}
	if m.Type == MsgPreVoteReply {
		c.stepPreVoteReply(m)
		return
	}
	if m.Type == MsgVote && m.Term > c.term && c.leaseHeld() {
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
		if c.role == Leader {
			c.stepAppendReply(m)
		}
	}
}

// leaseHeld tells that a leader was heard from lately, so that a source coming
// back from the far side of a partition deposes nobody.
func (c *Core) leaseHeld() bool {
	return c.lead != "" && (c.role == Leader || c.electionElapsed < c.cfg.ElectionTicks)
}

// answerStale tells a deposed leader its term is over.
func (c *Core) answerStale(m Message) {
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Hint: c.log.last()})
	}
}

func (c *Core) stepPreVote(m Message) {
	grant := m.Term > c.term && !c.leaseHeld() && c.log.upToDate(m.Index, m.LogTerm)
	term := m.Term
	if !grant {
		term = c.term
	}
	c.send(Message{Type: MsgPreVoteReply, To: m.From, Term: term, Reject: !grant})
}

func (c *Core) stepPreVoteReply(m Message) {
	if m.Reject && m.Term > c.term {
		c.becomeFollower(m.Term, "")
		return
	}
	if c.role == PreCandidate && (m.Reject || m.Term == c.term+1) {
		c.countVote(m)
	}
}

func (c *Core) stepVote(m Message) {
	free := c.vote == "" || c.vote == m.From
	grant := free && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.resetElection()
	}
	c.send(Message{Type: MsgVoteReply, To: m.From, Term: c.term, Reject: !grant})
}

func (c *Core) countVote(m Message) {
	if m.Reject {
		return
	}
	c.votes[m.From] = true
	if len(c.votes) >= c.majority() {
		c.won()
	}
}

func (c *Core) stepAppend(m Message) {
	term, held := c.log.term(m.Index)
	if m.Index < c.log.snapshot.Index {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: c.log.commit})
		return
	}
	if !held || term != m.LogTerm {
		c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Reject: true, Index: m.Index, Hint: min(c.log.last(), m.Index-1)})
		return
	}
	c.log.merge(m.Entries)
	c.handed = min(c.handed, c.log.stable)
	match := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, match))
	c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: match})
}

func (c *Core) stepSnapshot(m Message) {
	if m.Snapshot.Index > c.log.commit {
		c.log.restore(*m.Snapshot)
		c.handed = c.log.stable
		c.newSnapshot = m.Snapshot
	}
	c.send(Message{Type: MsgAppendReply, To: m.From, Term: c.term, Index: c.log.commit})
}

func (c *Core) stepAppendReply(m Message) {
	p, ok := c.progress[m.From]
	if !ok {
		return
	}
	p.Active = true
	if m.Reject {
		if m.Index >= p.Match {
			p.Next = max(p.Match+1, min(m.Hint+1, m.Index))
			c.sendAppend(m.From)
		}
		return
	}
	if m.Index > p.Match {
		p.Match = m.Index
		p.Next = max(p.Next, m.Index+1)
		c.advanceCommit()
	}
	if p.Next <= c.log.last() {
		c.sendAppend(m.From)
	}
}

// advanceCommit commits what a majority holds durably, if it is of this term.
func (c *Core) advanceCommit() {
	matches := []uint64{c.log.stable}
	for _, p := range c.progress {
		matches = append(matches, p.Match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.majority()]
	term, held := c.log.term(index)
	if index > c.log.commit && held && term == c.term {
		c.log.commit = index
		c.broadcast()
	}
}

// Ready returns what the driver must do next.
func (c *Core) Ready() Ready {
	r := Ready{Messages: c.messages, Snapshot: c.newSnapshot}
	hard := HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	if hard != c.saved {
		r.HardState = &hard
	}
	r.Entries = c.log.from(c.handed+1, len(c.log.entries))
	r.Committed = c.log.from(c.log.applied+1, int(c.log.commit-c.log.applied))
	c.messages = nil
	c.newSnapshot = nil
	c.handed = c.log.last()
	return r
}

// Advance tells that everything in r is durable and applied.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.saved = *r.HardState
	}
	if n := len(r.Entries); n > 0 {
		last := r.Entries[n-1]
		if term, held := c.log.term(last.Index); held && term == last.Term {
			c.log.stable = max(c.log.stable, last.Index)
		}
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].Index)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact drops the log up to index, which data stands for. The driver has
// made the snapshot durable before.
func (c *Core) Compact(index uint64, data []byte) {
	term, held := c.log.term(index)
	if held {
		c.log.compact(Snapshot{Index: index, Term: term, Data: data})
	}
}
