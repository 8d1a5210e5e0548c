// Package view decides which few other daemons this one keeps live links to: a
// small symmetric partial view of the fleet with a bounded number of links and
// a bounded number of candidates for more, after Leitão, Pereira and Rodrigues,
// "HyParView: a membership protocol for reliable gossip-based broadcast"
// (2007). The links are spread over failure domains, so that a region that is
// cut off stays connected inside itself. Candidates come from referrals and
// from the presence table, which names every daemon anyway, in place of
// HyParView's shuffles.
//
// The package does no I/O: messages and time come in, actions go out.
package view

import (
	"math/rand/v2"
	"slices"
	"time"
)

type link struct {
	node Node
	// heard and sent are the times of the last message in each direction.
	heard, sent time.Time
	// rival is when another address first asked under the same name.
	rival time.Time
	// failing is set when something could not be delivered, until the node is heard
	// again.
	failing bool
}

// Core holds the view. It is not safe for concurrent use.
//
// Invariant: len(links) is at most cfg.Max.
type Core struct {
	cfg   Config
	want  [scopes]int
	rand  *rand.Rand
	links map[string]*link
	// nodes are the nodes of links in order of name; the slice is replaced, never
	// changed.
	nodes      []Node
	candidates candidates
	attempts   attempts

	// restless asks for one link more than wanted; seeks counts the calls of Seek.
	restless bool
	seeks    int
	// fleet is the number of daemons known.
	fleet int
	// seedNext is when a seed is asked next; seedFailures counts vain attempts.
	seedNext     time.Time
	seedFailures int
	// displaceNext is when a full view may displace a link again.
	displaceNext time.Time
	// refused counts the refusals since refusedSince.
	refused      int
	refusedSince time.Time
}

// New returns a Core without links.
func New(cfg Config) *Core {
	r := rand.New(rand.NewPCG(cfg.Seed, 2))
	if cfg.Backoff == 0 {
		cfg.Backoff = DefaultBackoff
	}
	near := (cfg.Active - 1) / 2
	return &Core{
		cfg: cfg, rand: r, links: map[string]*link{}, fleet: 1,
		want:       [scopes]int{SameDomain: near, SameRegion: cfg.Active - 1 - near, OtherRegion: 1},
		candidates: candidates{self: cfg.Self, rand: r},
	}
}

// Links returns the live links in order of name; the slice must not be changed.
func (c *Core) Links() []Node { return c.nodes }

// Linked reports whether there is a link to the node named.
func (c *Core) Linked(name string) bool { return c.links[name] != nil }

// Learn adds candidates for links.
func (c *Core) Learn(nodes ...Node) {
	for _, n := range nodes {
		c.candidates.learn(n)
	}
}

// Lacks reports whether a scope has room for more candidates.
func (c *Core) Lacks(s Scope) bool { return len(c.candidates.scopes[s]) < scopeCandidates }

// SetFleet tells how many daemons are known; seeds are asked less often in a
// large fleet.
func (c *Core) SetFleet(n int) { c.fleet = max(n, 1) }

// SetSeeds changes the peer addresses that links begin with.
func (c *Core) SetSeeds(seeds []string) { c.cfg.Seeds = seeds }

// Seek looks for a link to another node, in the place of one that is there if
// need be: the present ones do not bring what they should.
func (c *Core) Seek() {
	// A source that was restarted knows nobody: the seeds, every second time.
	c.seeks++
	c.restless = c.seeks%2 == 0
	c.seedNext = time.Unix(0, 0)
}

// Heard notes that a node said something, whatever it was.
func (c *Core) Heard(now time.Time, name string) {
	if l := c.links[name]; l != nil {
		l.heard = now
		l.failing = false
	}
}

// Sent notes that something was sent to a node; it spares a keep-alive.
func (c *Core) Sent(now time.Time, name string) {
	if l := c.links[name]; l != nil {
		l.sent = now
	}
}

// Unreachable notes that nothing could be delivered to an address. A join that
// waits for it ends now; a link is left to its time of silence, but once every
// link fails others are looked for at once.
func (c *Core) Unreachable(now time.Time, addr string) []Action {
	before := c.severed()
	for _, l := range c.links {
		l.failing = l.failing || l.node.Addr == addr
	}
	if !before && c.severed() {
		c.seedFailures = 0
		c.seedNext = now.Add(jitter(c.rand, c.cfg.Backoff))
	}
	a := c.attempts.end(func(a attempt) bool { return a.addr == addr })
	if a != nil {
		c.attemptFailed(now, *a)
	}
	if a == nil && !c.severed() {
		return nil
	}
	return c.seek(now)
}

// severed reports whether this daemon has links and every one of them fails. Versions
// and heartbeats then reach it no more, which the time of silence would tell only
// seconds later.
func (c *Core) severed() bool { return len(c.links) > 0 && c.alone() }

// alone reports whether there is no link that works.
func (c *Core) alone() bool {
	for _, l := range c.links {
		if !l.failing {
			return false
		}
	}
	return true
}

// Stray answers a node that takes this one for a link.
func (c *Core) Stray(from Node) []Action {
	return []Action{c.send(from, Message{Type: MsgLeave})}
}

// Receive takes in a message. MsgAlive needs no answer of its own.
func (c *Core) Receive(now time.Time, from string, m Message) []Action {
	switch m.Type {
	case MsgJoin:
		if m.Node != nil {
			return c.receiveJoin(now, *m.Node, m.Urgent)
		}
	case MsgAccept:
		if m.Node != nil {
			return c.receiveAccept(now, *m.Node, m.Known)
		}
	case MsgRefuse:
		if m.Node != nil {
			return c.receiveRefuse(now, *m.Node, m)
		}
	case MsgLeave:
		c.Learn(m.Known...)
		c.candidates.postpone(now, from, minBackoff)
		return append(c.down(from, false), c.seek(now)...)
	}
	return nil
}

func (c *Core) receiveJoin(now time.Time, from Node, urgent bool) []Action {
	if from.Name == c.cfg.Self.Name {
		if from.Addr == c.cfg.Self.Addr {
			return nil
		}
		return []Action{{Conflict: &from}, c.refuse(now, from)}
	}
	var actions []Action
	if old := c.links[from.Name]; old != nil {
		if old.node.Addr != from.Addr && now.Sub(old.heard) < c.cfg.Silence {
			return append(c.rival(now, old, from), c.refuse(now, from))
		}
		actions = c.down(from.Name, false)
	}
	if len(c.links) >= c.cfg.Max {
		if !urgent || now.Before(c.displaceNext) {
			return append(actions, c.refuse(now, from))
		}
		c.displaceNext = now.Add(c.cfg.Interval)
		actions = append(actions, c.displace(from)...)
	}
	accept := c.send(from, Message{Type: MsgAccept, Node: &c.cfg.Self, Known: c.sample(from.Name)})
	return append(append(actions, accept), c.up(now, from)...)
}

// rival reports another address under the name of a link once the link outlived
// the time in which an earlier process would have fallen silent.
func (c *Core) rival(now time.Time, l *link, from Node) []Action {
	if l.rival.IsZero() {
		l.rival = now
	}
	if now.Sub(l.rival) <= c.cfg.Silence {
		return nil
	}
	return []Action{{Conflict: &from}}
}

func (c *Core) receiveAccept(now time.Time, from Node, known []Node) []Action {
	c.Learn(known...)
	c.answered(from)
	if from.Name == c.cfg.Self.Name {
		return nil
	}
	if l := c.links[from.Name]; l != nil {
		l.heard = now
		l.failing = false
		return nil
	}
	var actions []Action
	if len(c.links) >= c.cfg.Max {
		actions = c.displace(from)
	}
	return append(append(actions, c.up(now, from)...), c.seek(now)...)
}

func (c *Core) receiveRefuse(now time.Time, from Node, m Message) []Action {
	if from.Name == c.cfg.Self.Name && from.Addr != c.cfg.Self.Addr {
		return []Action{{Conflict: &from}}
	}
	c.answered(from)
	c.Learn(from)
	c.Learn(m.Known...)
	c.candidates.postpone(now, from.Name, m.After)
	if len(c.links) == 0 {
		c.seedNext = now.Add(m.After/2 + jitter(c.rand, m.After))
	}
	return c.seek(now)
}

const (
	// refusalCost is the time that each refusal within the last second adds to
	// "come back in".
	refusalCost  = 20 * time.Millisecond
	refusalReset = time.Second
)

func (c *Core) refuse(now time.Time, to Node) Action {
	if now.Sub(c.refusedSince) > refusalReset {
		c.refusedSince, c.refused = now, 0
	}
	c.refused++
	known := c.sample(to.Name)
	c.Learn(to)
	after := min(minBackoff+time.Duration(c.refused)*refusalCost, maxBackoff)
	return c.send(to, Message{Type: MsgRefuse, Node: &c.cfg.Self, Known: known, After: after})
}

func (c *Core) send(to Node, m Message) Action {
	return Action{Send: &Send{To: to, Message: m}}
}

// sampleSize is the number of nodes that a referral names.
const sampleSize = 6

// sample draws from links and candidates alike.
func (c *Core) sample(except string) []Node {
	nodes := slices.Clone(c.nodes)
	for _, scope := range c.candidates.scopes {
		for _, cand := range scope {
			if c.links[cand.node.Name] == nil && cand.failures == 0 {
				nodes = append(nodes, cand.node)
			}
		}
	}
	nodes = slices.DeleteFunc(nodes, func(n Node) bool { return n.Name == except })
	c.rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(len(nodes), sampleSize)]
}

func (c *Core) up(now time.Time, n Node) []Action {
	c.Learn(n)
	c.links[n.Name] = &link{node: n, heard: now, sent: now}
	c.nodes = append(slices.Clone(c.nodes), n)
	slices.SortFunc(c.nodes, compareNames)
	return []Action{{Up: &n}}
}

func (c *Core) down(name string, failed bool) []Action {
	l := c.links[name]
	if l == nil {
		return nil
	}
	delete(c.links, name)
	c.nodes = slices.DeleteFunc(slices.Clone(c.nodes), func(n Node) bool { return n.Name == name })
	return []Action{{Down: &Down{Node: l.node, Failed: failed}}}
}
