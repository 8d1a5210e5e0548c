// Package dissemination implements the dissemination of accepted versions to all daemons.
//
// The leader's heartbeat builds a distribution tree over the links between daemons. Each node
// chooses as its parent the link with the fewest hops to the leader and announces the choice
// to the parent in its digests. Versions and heartbeats are pushed from parent to child. All
// other links carry only a digest per interval. If a digest shows that the parent is behind,
// the node makes the link that delivered the heartbeat first its new parent. This is the
// combination of eager and lazy push of Leitão, Pereira and Rodrigues, "Epidemic Broadcast
// Trees" (2007), with two differences. Only the receiver decides on its tree link, so that two
// nodes never both drop the link between them. The graft and prune messages are fields of the
// digest, so that losing one delays the repair by an interval but does not break the tree.
//
// The package performs no I/O: its inputs are messages, the current time and a seed, its
// outputs are actions. A Core never installs a version lower than its current one, or a
// version that does not compile.
package dissemination

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// link is the state of the link to one other node.
type link struct {
	name string
	// digestReceived is true if a digest was received since the link came up.
	digestReceived bool
	// version is the newest version that the node is known to have.
	version uint64
	// aheadSince is the time since which version is higher than the version of this node;
	// zero if it is not higher.
	aheadSince time.Time
	// diverged is true if the node has different content under the same version.
	diverged      bool
	lastHeartbeat Heartbeat
	depth         uint32

	// child is true if the node has chosen this one as its parent. report is the count in
	// its last report.
	child  bool
	report InForce
	// sentVersion is the newest version that the node has or that was sent to it.
	sentVersion uint64
	childAsk    childAsk
	childProof  childProof

	// avoidUntil is the time until which nothing is pulled over the link.
	avoidUntil time.Time
	// transfer is the chunked transfer being served to the node, or nil.
	transfer *transfer

	digestSentAt time.Time
	// digestCount is the number of digests sent since the link came up or the node became
	// a child. lastSent summarizes the optional fields that were last sent.
	digestCount uint64
	lastSent    digestSummary
	// digestDue is true if a digest must be sent at the end of the current event.
	digestDue bool
}

// Core holds the state of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rand *rand.Rand
	// now is the time of the newest event, start the time of the first tick.
	now   time.Time
	start time.Time

	// state is the installed state; its version never decreases. compiled is compiled from
	// state and nil before the first version. history holds the deltas that led to state.
	state    *fleet.State
	compiled *snapshot.Snapshot
	history  fleet.History
	// links is sorted by name, so that equal events result in equal actions.
	links []*link
	// actions collects the actions of the current event.
	actions []Action

	// heartbeat is the newest heartbeat, heartbeatAt the time it arrived, heartbeatFrom the
	// name of the link that delivered it first.
	heartbeat     Heartbeat
	heartbeatAt   time.Time
	heartbeatFrom string
	// termAt is the time at which the first heartbeat of the term arrived.
	termAt time.Time
	// nextSeek is when another link is requested; zero while heartbeats arrive.
	nextSeek time.Time
	// fleetSize is the number of known daemons.
	fleetSize int
	// lead is set while this node is the leader; parent is "" in that case. depth is the
	// number of hops to the leader.
	lead   *Leadership
	parent string
	depth  uint32

	// inForce is the leader's newest count of daemons.
	inForce InForce
	// reportedVersion is the newest version that was reported to the parent ahead of the
	// interval because the whole subtree had it.
	reportedVersion uint64
	confirm         confirmState
	proof           proofState

	lastPush time.Time
	// pushPending is true if a push was delayed by Config.MergeWindow.
	pushPending bool
	// pull is the pull in progress, or nil.
	pull *pull
	// needSnapshot is true if the next pull must return a snapshot.
	needSnapshot bool
	// packedCache holds the packed deltas and snapshots that lead to state, by the version
	// that they start from.
	packedCache map[uint64][]byte
}

// New returns a Core with the initial state.
func New(cfg Config, state *fleet.State) *Core {
	c := &Core{
		cfg: cfg.withDefaults(), rand: rand.New(rand.NewPCG(cfg.Seed, 3)),
		state: state, packedCache: map[uint64][]byte{}, depth: unknownDepth,
	}
	c.history = fleet.History{Count: c.cfg.History, Bytes: c.cfg.HistoryBytes}
	c.confirm = newConfirmState(c.rand)
	c.proof = newProofState(c.cfg.Seed)
	return c
}

// State returns the installed state.
func (c *Core) State() *fleet.State { return c.state }

// Heartbeat returns the newest heartbeat and the time it arrived.
func (c *Core) Heartbeat() (Heartbeat, time.Time) { return c.heartbeat, c.heartbeatAt }

// Stale reports whether no heartbeat of the leader arrived for Config.StaleAfter.
func (c *Core) Stale(now time.Time) bool { return now.Sub(c.heartbeatAt) > c.cfg.StaleAfter }

// Parent returns the parent in the tree, or "", and the number of hops to the leader.
func (c *Core) Parent() (string, uint32) { return c.parent, c.depth }

// LinkUp adds a link and sends a digest over it.
func (c *Core) LinkUp(node string) []Action {
	i, found := c.find(node)
	if !found {
		c.links = slices.Insert(c.links, i, &link{name: node, depth: unknownDepth})
	}
	c.links[i].digestDue = true
	return c.flush()
}

// LinkDown removes a link. If the node was the parent, another parent is chosen.
func (c *Core) LinkDown(node string) []Action {
	i, found := c.find(node)
	if !found {
		return nil
	}
	c.links = slices.Delete(c.links, i, i+1)
	if c.pull != nil && c.pull.from == node {
		c.pull = nil
	}
	if c.parent == node {
		c.replaceParent()
	}
	c.catchUp()
	return c.flush()
}

// InstallFromSource installs a newer state that this node learned as a source.
func (c *Core) InstallFromSource(state *fleet.State) []Action {
	if state.Version > c.state.Version {
		c.install(state, fleet.Diff(c.state, state))
	}
	return c.flush()
}

// Receive handles a message from a linked node. Messages from other nodes are ignored.
func (c *Core) Receive(now time.Time, from string, m Message) []Action {
	c.now = now
	l := c.link(from)
	if l == nil {
		return nil
	}
	switch {
	case m.Digest != nil:
		c.receiveDigest(l, m.Digest)
	case m.Chunk != nil:
		c.receiveChunk(l, m.Chunk)
	case m.Pull != nil:
		c.servePull(l, m.Pull)
	case m.Busy != nil:
		c.receiveBusy(l, m.Busy)
	}
	return c.flush()
}

// Tick performs the work that is due at now. It must be called regularly. lead is nil unless
// this node is the leader of the sources.
func (c *Core) Tick(now time.Time, lead *Leadership) []Action {
	c.now = now
	if c.start.IsZero() {
		c.start = now
	}
	c.updateLead(lead)
	c.checkParent()
	c.tickConfirm()
	c.tickProof()
	c.tickTransfers()
	c.catchUp()
	if c.pushPending && c.now.Sub(c.lastPush) >= c.cfg.MergeWindow {
		c.push()
	}
	for _, l := range c.links {
		if c.now.Sub(l.digestSentAt) >= c.digestInterval(l) {
			l.digestDue = true
		}
	}
	c.seek()
	return c.flush()
}

// install puts a state in force, or rejects it as a whole if it does not compile.
func (c *Core) install(state *fleet.State, delta *fleet.Delta) bool {
	compiled, err := snapshot.CompileAfter(c.compiled, state)
	if err != nil {
		c.reject(err)
		return false
	}
	c.state = state
	c.compiled = compiled
	c.needSnapshot = false
	c.history.Add(delta)
	clear(c.packedCache)
	c.actions = append(c.actions, Action{Install: compiled})
	c.checkPendingProof()
	for _, l := range c.links {
		c.updateAheadSince(l)
		l.digestDue = l.digestDue || c.needsDigest(l)
	}
	if c.now.Sub(c.lastPush) >= c.cfg.MergeWindow {
		c.push()
	} else {
		c.pushPending = true
	}
	c.reportWhenComplete()
	return true
}

// needsDigest reports whether a node is told of the version just installed without waiting for the
// interval. A node without any version is: after a start of the whole fleet, daemons whose links
// came up before the sources had read their logs learn of the version up to a second earlier. While
// the tree grows, all others are that may be cut off from the leader.
func (c *Core) needsDigest(l *link) bool {
	if l.version == 0 {
		return l.digestReceived
	}
	return c.treeGrows() && !l.child && l.version < c.state.Version
}

func (c *Core) reject(err error) { c.actions = append(c.actions, Action{Rejected: err}) }

func (c *Core) send(to string, m Message) {
	c.actions = append(c.actions, Action{Send: &Send{To: to, Message: m}})
}

// find returns the index of the link to a node, or the index at which to insert it.
func (c *Core) find(node string) (int, bool) {
	return slices.BinarySearchFunc(c.links, node, func(l *link, name string) int { return strings.Compare(l.name, name) })
}

// link returns the link to a node, or nil.
func (c *Core) link(node string) *link {
	if i, found := c.find(node); found {
		return c.links[i]
	}
	return nil
}

// flush sends the digests that are due, at most one per link, and returns the actions of the
// current event.
func (c *Core) flush() []Action {
	if c.pushPending && c.childDigestDue() {
		// The digest would cause the child to pull the version that is about to be pushed.
		c.push()
	}
	for _, l := range c.links {
		if l.digestDue {
			l.digestDue = false
			l.digestSentAt = c.now
			c.send(l.name, Message{Digest: c.digest(l)})
		}
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// childDigestDue reports whether a digest to any child is due.
func (c *Core) childDigestDue() bool {
	for _, l := range c.links {
		if l.child && l.digestDue {
			return true
		}
	}
	return false
}
