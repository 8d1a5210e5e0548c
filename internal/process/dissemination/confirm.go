package dissemination

import (
	"math/rand/v2"
	"slices"
	"time"
)

// confirmState tracks this node's queries for the version committed at the leader. A daemon
// keeps no state over a restart. It sends a query after its start and is not ready until it
// has installed at least the version in the answer. It therefore never serves an older
// version than before the restart, because that one was committed before the query was sent.
//
// Queries are forwarded up the tree to the leader and answers down the tree, as fields of the
// digests. A node has at most one outstanding query; queries that children send in the
// meantime are combined into the next one.
type confirmState struct {
	// base is a random number below the first query, so that an answer to a query from
	// before a restart is not accepted.
	base uint64
	// lastAsked is the number of the newest query sent, lastAnswered that of the newest
	// query answered; base <= lastAnswered <= lastAsked.
	lastAsked    uint64
	lastAnswered uint64
	// minVersion is the version that must be installed. It is valid once confirmedBy is
	// set.
	minVersion  uint64
	confirmedBy Confirmation
	// done becomes true, for good, when minVersion is installed.
	done bool
}

// childAsk is the latest query of a child.
type childAsk struct {
	// ask is the number of the query at the child; 0 means none.
	ask        uint64
	receivedAt time.Time
	// coveredBy is the number of this node's query that includes the child's query; 0
	// means none yet.
	coveredBy uint64
	answer    *Confirmed
}

func newConfirmState(r *rand.Rand) confirmState {
	base := r.Uint64()>>1 + 1
	return confirmState{base: base, lastAnswered: base, lastAsked: base + 1}
}

// outstanding returns the number of the unanswered query, or 0.
func (s *confirmState) outstanding() uint64 {
	if s.lastAsked == s.lastAnswered {
		return 0
	}
	return s.lastAsked
}

// Confirmed returns how it was confirmed that the installed version is no older than any
// version that this daemon had before its start. Once confirmed, it never returns Unconfirmed
// again.
func (c *Core) Confirmed() Confirmation {
	if !c.confirm.done {
		return Unconfirmed
	}
	return c.confirm.confirmedBy
}

// HasOpenQuery reports whether a query of this node or of a child is unanswered.
func (c *Core) HasOpenQuery() bool {
	unanswered := func(l *link) bool { return l.childAsk.ask != 0 && l.childAsk.answer == nil }
	return c.leaderOwesProof() || c.confirm.outstanding() != 0 || slices.ContainsFunc(c.links, unanswered)
}

// receiveAsk handles the query number in the report of a child.
func (c *Core) receiveAsk(l *link, ask uint64) {
	if ask == l.childAsk.ask {
		// The answer may have been lost; send it again.
		l.digestDue = l.digestDue || l.childAsk.answer != nil
		return
	}
	l.childAsk = childAsk{ask: ask, receivedAt: c.now}
	c.forwardAsks()
}

// forwardAsks sends one query on behalf of all unanswered queries of children, unless a query
// is outstanding. The leader does not forward queries but answers them in tickConfirm.
func (c *Core) forwardAsks() {
	if c.lead != nil || c.confirm.outstanding() != 0 {
		return
	}
	covered := false
	for _, l := range c.links {
		if l.childAsk.ask != 0 && l.childAsk.coveredBy == 0 && l.childAsk.answer == nil {
			l.childAsk.coveredBy = c.confirm.lastAsked + 1
			covered = true
		}
	}
	if !covered {
		return
	}
	c.confirm.lastAsked++
	if p := c.link(c.parent); p != nil {
		p.digestDue = true
	}
}

// receiveConfirmed handles the answer to a query of this node, from any linked node.
func (c *Core) receiveConfirmed(a Confirmed) {
	s := &c.confirm
	if a.Ask <= s.lastAnswered || a.Ask > s.lastAsked {
		return
	}
	s.lastAnswered = a.Ask
	c.setMinVersion(a.Version, ByQuorum)
	for _, l := range c.links {
		if l.childAsk.coveredBy != 0 && l.childAsk.coveredBy <= a.Ask {
			c.answer(l, a.Version)
		}
	}
	c.forwardAsks()
}

// SetCommittedVersion handles the committed version that the leader returned to a direct
// request, which this node sent after its start, at the time askedAt on Config.Clock.
func (c *Core) SetCommittedVersion(version uint64, askedAt time.Duration) []Action {
	c.setMinVersion(version, ByQuorum)
	if c.provesVersions() {
		c.recordProof(versionProof{version: version, at: askedAt})
	}
	c.checkMinVersion()
	return c.flush()
}

// checkMinVersion sets done once minVersion is installed.
func (c *Core) checkMinVersion() {
	if c.confirm.confirmedBy != Unconfirmed && c.state.Version >= c.confirm.minVersion {
		c.confirm.done = true
	}
}

// answer answers the query of a child, unless it is already answered.
func (c *Core) answer(l *link, version uint64) {
	if l.childAsk.answer == nil {
		l.childAsk.answer = &Confirmed{Ask: l.childAsk.ask, Version: version}
		l.digestDue = true
	}
}

// setMinVersion sets the version to be installed. A version from the leader replaces one from
// the peers; otherwise the first one is kept.
func (c *Core) setMinVersion(version uint64, by Confirmation) {
	s := &c.confirm
	if s.confirmedBy == Unconfirmed || (s.confirmedBy == ByPeers && by == ByQuorum) {
		s.minVersion, s.confirmedBy = version, by
	}
}

// tickConfirm answers queries if this node is the leader and forwards them otherwise. In an
// outage of the sources it falls back to the versions of the peers.
func (c *Core) tickConfirm() {
	if c.lead != nil {
		c.answerAsLeader()
	} else {
		c.forwardAsks()
	}
	if c.confirm.confirmedBy == Unconfirmed && c.age(c.start) > c.cfg.OutageAfter && c.Stale(c.now) {
		c.confirmByPeers()
	}
	c.checkMinVersion()
}

// answerAsLeader answers the queries that were received before the start of the last round in
// which a majority acknowledged the leader. Everything that was committed at the time of such
// a query is known to this leader.
func (c *Core) answerAsLeader() {
	version := max(c.lead.Version, c.state.Version)
	if c.lead.Quorum.After(c.start) && c.confirm.outstanding() != 0 {
		c.receiveConfirmed(Confirmed{Ask: c.confirm.lastAsked, Version: version})
	}
	for _, l := range c.links {
		if l.childAsk.ask != 0 && c.lead.Quorum.After(l.childAsk.receivedAt) {
			c.answer(l, version)
		}
	}
}

// minPeers is the minimum number of linked daemons for confirmByPeers.
const minPeers = 2

// confirmByPeers uses the highest version of all linked daemons as minVersion, once each of
// them has sent a digest.
func (c *Core) confirmByPeers() {
	highest := uint64(0)
	for _, l := range c.links {
		if !l.digestReceived {
			return
		}
		highest = max(highest, l.version)
	}
	if len(c.links) >= minPeers {
		c.setMinVersion(highest, ByPeers)
	}
}
