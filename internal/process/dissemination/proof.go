package dissemination

import (
	"math/rand/v2"
	"time"
)

// proofReuse is the maximum age of a proof that is passed on to a child without a new query.
// It bounds the queries of a node, whatever the size of its subtree, and adds to the age of a
// proof at each hop.
const proofReuse = 250 * time.Millisecond

// Proof states that Version was the newest version committed at the leader at some time. It
// answers the query Ask and is at most Age older than the time when the query was sent.
type Proof struct {
	Ask     uint64
	Version uint64
	Age     time.Duration
}

// versionProof states that no version above version was committed before the time at on
// Config.Clock.
type versionProof struct {
	version uint64
	at      time.Duration
}

// proofState tracks how recently the installed version was proven to be the newest one. Each
// node repeatedly sends a query to its parent, which answers from its own proof. The nodes do
// not compare clocks: an answer contains only a duration, which the receiver subtracts from
// the time when it sent the query.
type proofState struct {
	// asked is the number of the newest query, answered that of the newest answered query. They
	// start at a random number, so that an answer to a query from before a restart is not
	// accepted.
	asked, answered uint64
	// askedAt is when the newest query was sent, on Config.Clock. askedOn is the same on the
	// clock of the events.
	askedAt time.Duration
	askedOn time.Time
	// newest is the newest proof, pending one of a version that is not installed yet, or nil.
	newest  *versionProof
	pending *versionProof
	// proven is when the installed version was last proven to be the newest one, on
	// Config.Clock; 0 means never.
	proven time.Duration
}

// childProof is the latest query of a child for a proof.
type childProof struct {
	// ask is the number of the query at the child; 0 means none.
	ask uint64
	// askedAt and askedOn are when the query arrived, on both clocks.
	askedAt time.Duration
	askedOn time.Time
	answer  *Proof
	// due is set if the answer must be sent with the next digest.
	due bool
}

func newProofState(seed uint64) proofState {
	base := rand.New(rand.NewPCG(seed, 4)).Uint64()>>1 + 1
	return proofState{asked: base, answered: base}
}

func (s *proofState) outstanding() uint64 {
	if s.asked == s.answered {
		return 0
	}
	return s.asked
}

// Proven returns the time on Config.Clock at which the installed version was last proven to be
// the newest version accepted by the sources; 0 means never.
func (c *Core) Proven() time.Duration { return c.proof.proven }

// provesVersions reports whether the configuration turns proofs on.
func (c *Core) provesVersions() bool { return c.cfg.ProofInterval > 0 }

// receiveProofAsk handles the number of a query in the report of a child.
func (c *Core) receiveProofAsk(l *link, ask uint64) {
	if ask == 0 || !c.provesVersions() {
		return
	}
	if ask == l.childProof.ask {
		// The answer may have been lost; send it again.
		l.childProof.due = l.childProof.answer != nil
		l.digestDue = l.digestDue || l.childProof.due
		return
	}
	l.childProof = childProof{ask: ask, askedAt: c.cfg.Clock(), askedOn: c.now}
	if newest := c.proof.newest; c.lead == nil && newest != nil && l.childProof.askedAt-newest.at <= proofReuse {
		c.answerProof(l, *newest)
		return
	}
	c.askProof()
}

// askProof sends a query to the parent unless one is outstanding.
func (c *Core) askProof() {
	if c.proof.outstanding() != 0 {
		return
	}
	c.proof.asked++
	c.proof.askedAt, c.proof.askedOn = c.cfg.Clock(), c.now
	if p := c.link(c.parent); p != nil {
		p.digestDue = true
	}
}

// receiveProof handles the answer to a query of this node.
func (c *Core) receiveProof(p Proof) {
	s := &c.proof
	if p.Ask != s.outstanding() || p.Ask == 0 {
		return
	}
	s.answered = p.Ask
	c.recordProof(versionProof{version: p.Version, at: s.askedAt - p.Age})
	for _, l := range c.links {
		if l.childProof.ask != 0 && l.childProof.answer == nil {
			c.answerProof(l, *s.newest)
		}
	}
}

// answerProof answers the query of a child. A proof from before the arrival of the query is
// older than the query by at most the difference.
func (c *Core) answerProof(l *link, p versionProof) {
	q := &l.childProof
	q.answer = &Proof{Ask: q.ask, Version: p.version, Age: max(q.askedAt-p.at, 0)}
	q.due, l.digestDue = true, true
}

// recordProof stores a proof. A proof of a version that is not installed yet takes effect with
// the installation.
func (c *Core) recordProof(p versionProof) {
	s := &c.proof
	if s.newest == nil || p.at > s.newest.at {
		s.newest = &p
	}
	if s.pending == nil {
		s.pending = &p
	}
	if c.state.Version >= p.version {
		s.proven = max(s.proven, p.at)
	}
	c.checkPendingProof()
}

// checkPendingProof applies the pending proof once its version is installed.
func (c *Core) checkPendingProof() {
	s := &c.proof
	if s.pending != nil && c.state.Version >= s.pending.version {
		s.proven = max(s.proven, s.pending.at)
		s.pending = nil
	}
}

// tickProof sends the queries that are due and, if this node is the leader, answers those that
// arrived before the last round in which a majority acknowledged it.
func (c *Core) tickProof() {
	if !c.provesVersions() {
		return
	}
	if age := c.cfg.Clock() - c.proof.proven; c.proof.proven == 0 || age >= c.cfg.ProofInterval {
		c.askProof()
	}
	if c.lead == nil {
		return
	}
	version := max(c.lead.Version, c.state.Version)
	if c.proof.outstanding() != 0 && c.lead.Quorum.After(c.proof.askedOn) {
		c.receiveProof(Proof{Ask: c.proof.asked, Version: version})
	}
	for _, l := range c.links {
		if q := &l.childProof; q.ask != 0 && q.answer == nil && c.lead.Quorum.After(q.askedOn) {
			c.answerProof(l, versionProof{version: version, at: q.askedAt})
		}
	}
}

// leaderOwesProof reports whether this node is the leader and a query waits for a round of the
// sources.
func (c *Core) leaderOwesProof() bool {
	if c.lead == nil {
		return false
	}
	if c.proof.outstanding() != 0 {
		return true
	}
	for _, l := range c.links {
		if l.childProof.ask != 0 && l.childProof.answer == nil {
			return true
		}
	}
	return false
}

// takeProof returns the answer to send to a child with the next digest, or nil.
func (q *childProof) takeProof() *Proof {
	if !q.due {
		return nil
	}
	q.due = false
	return q.answer
}
