// Package spread decides how accepted versions reach every daemon.
//
// The leader's heartbeat shapes a tree over the links: each node takes as its
// parent the link that leads to the leader over the fewest hops, and tells it
// so in its digests. Versions and heartbeats are pushed from parent to child;
// every other link carries only a digest at each interval, by which a node finds
// that its parent is behind and takes the link that was first instead. This is
// the eager and lazy push of Leitão, Pereira and Rodrigues, "Epidemic Broadcast
// Trees" (2007), but the receiver owns its one tree link, so that two nodes
// never both drop the link between them, and the messages that graft and prune
// are fields of the digest: losing one costs an interval, not the tree.
//
// The package does no I/O: messages, time and a seed come in, actions go out. A
// Core never installs a version lower than the one it has, and none that does
// not compile.
package spread

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// link is what a node knows of one linked node.
type link struct {
	name string
	// heard tells that a digest came since the link is up.
	heard bool
	// version is the newest the node is known to have.
	version uint64
	// ahead is since when version is above the own; zero while it is not.
	ahead time.Time
	// diverged tells that the node has other content under its version.
	diverged bool
	beat     Heartbeat
	depth    uint32

	// child tells that the node has chosen this one as its parent.
	child  bool
	report InForce
	// sent is the newest version that the node has or was sent.
	sent uint64
	asks childAsk

	// avoid is until when nothing is pulled over the link.
	avoid    time.Time
	transfer *transfer

	digestAt time.Time
	// digests counts what was sent since the link or the child is new; told
	// is what the last of them told.
	digests uint64
	told    told
	// due tells that a digest must go out with this event.
	due bool
}

// Core holds the state of one daemon. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rand *rand.Rand
	// now is the time of the newest event, start that of the first tick.
	now   time.Time
	start time.Time

	// state only ever goes up in version; compiled is made from it, nil before
	// the first version.
	state    *fleet.State
	compiled *snapshot.Snapshot
	history  fleet.History
	// links are in order of name, so that equal events give equal actions.
	links []*link
	out   []Action

	// heartbeat is the newest; beatAt is when it came, first the link by which.
	heartbeat Heartbeat
	beatAt    time.Time
	first     string
	// seekAt is when another link is asked for; zero while the heartbeat comes.
	seekAt time.Time
	// fleet is the number of daemons, as far as it is known.
	fleet int
	// lead is set while this node is the leader; parent is then "".
	lead   *Lead
	parent string
	depth  uint32

	inForce InForce
	// reported is the version whose whole subtree was reported at once.
	reported uint64
	confirm  confirm

	pushAt  time.Time
	pushDue bool
	pull    *pull
	// full tells that the next pull must bring a snapshot.
	full  bool
	blobs map[uint64][]byte
}

// New returns a Core that begins with state.
func New(cfg Config, state *fleet.State) *Core {
	c := &Core{
		cfg: cfg.withDefaults(), rand: rand.New(rand.NewPCG(cfg.Seed, 3)),
		state: state, blobs: map[uint64][]byte{}, depth: unknownDepth,
	}
	c.history = fleet.History{Count: c.cfg.History, Bytes: c.cfg.HistoryBytes}
	c.confirm = newConfirm(c.rand)
	return c
}

// State is the newest version installed.
func (c *Core) State() *fleet.State { return c.state }

// Heartbeat returns the newest heartbeat and when it came.
func (c *Core) Heartbeat() (Heartbeat, time.Time) { return c.heartbeat, c.beatAt }

// Stale reports whether the leader's heartbeat has been missed for too long.
func (c *Core) Stale(now time.Time) bool { return now.Sub(c.beatAt) > c.cfg.StaleAfter }

// Parent returns the parent in the tree, or "", and the hops to the leader.
func (c *Core) Parent() (string, uint32) { return c.parent, c.depth }

// LinkUp adds a link and offers a digest.
func (c *Core) LinkUp(node string) []Action {
	i, found := c.find(node)
	if !found {
		c.links = slices.Insert(c.links, i, &link{name: node, depth: unknownDepth})
	}
	c.links[i].due = true
	return c.flush()
}

// LinkDown removes a link. If it led to the parent, another takes its place.
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
		c.loseParent()
	}
	c.catchUp()
	return c.flush()
}

// Publish installs a state that this node learned as a source.
func (c *Core) Publish(state *fleet.State) []Action {
	if state.Version > c.state.Version {
		c.install(state, fleet.Diff(c.state, state))
	}
	return c.flush()
}

// Receive takes in a message of a linked node; others are not listened to.
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

// Tick does what is due by time. lead is nil unless this node is a source that
// leads.
func (c *Core) Tick(now time.Time, lead *Lead) []Action {
	c.now = now
	if c.start.IsZero() {
		c.start = now
	}
	c.takeLead(lead)
	c.checkParent()
	c.tickConfirm()
	c.tickTransfers()
	c.catchUp()
	if c.pushDue && c.now.Sub(c.pushAt) >= c.cfg.MergeWindow {
		c.push()
	}
	for _, l := range c.links {
		if c.now.Sub(l.digestAt) >= c.digestInterval(l) {
			l.due = true
		}
	}
	c.seek()
	return c.flush()
}

// install puts a state in force, or refuses it whole.
func (c *Core) install(state *fleet.State, delta *fleet.Delta) bool {
	compiled, err := snapshot.CompileAfter(c.compiled, state)
	if err != nil {
		c.reject(err)
		return false
	}
	c.state = state
	c.compiled = compiled
	c.full = false
	c.history.Add(delta)
	clear(c.blobs)
	c.out = append(c.out, Action{Install: compiled})
	for _, l := range c.links {
		c.noteAhead(l)
		// One that has nothing yet is told at once and not with the next digest: after a
		// start of the whole fleet that is a second sooner for daemons whose links came up
		// before the sources had read their logs.
		l.due = l.due || (l.heard && l.version == 0)
	}
	if c.now.Sub(c.pushAt) >= c.cfg.MergeWindow {
		c.push()
	} else {
		c.pushDue = true
	}
	c.reportWhole()
	return true
}

func (c *Core) reject(err error) { c.out = append(c.out, Action{Rejected: err}) }

func (c *Core) send(to string, m Message) {
	c.out = append(c.out, Action{Send: &Send{To: to, Message: m}})
}

// find returns the place of a link in the order.
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

// flush sends the digests that are due, one for each link, and hands out what
// this event has brought about.
func (c *Core) flush() []Action {
	if c.pushDue && c.childDue() {
		// The digest would have the child pull what is about to be pushed.
		c.push()
	}
	for _, l := range c.links {
		if l.due {
			l.due = false
			l.digestAt = c.now
			c.send(l.name, Message{Digest: c.digest(l)})
		}
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Core) childDue() bool {
	for _, l := range c.links {
		if l.child && l.due {
			return true
		}
	}
	return false
}
