// Package view selects the other daemons that this one keeps links to: a small
// symmetric partial view of the fleet with a limited number of links and of candidates
// for more, after Leitão, Pereira and Rodrigues, "HyParView: a membership protocol for
// reliable gossip-based broadcast" (2007). Most links are within the failure domain, so that
// a domain that is cut off stays connected internally; only some nodes of each domain, the
// border nodes, keep links to others. Instead of HyParView's
// shuffles, candidates come from referrals and from the presence table, which contains
// every daemon anyway.
//
// The package does no I/O: messages and the time are passed in, actions are returned.
package view

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

type link struct {
	node Node
	// since is when the link was established.
	since time.Time
	// lastReceived and lastSent are the times of the last message in each direction.
	lastReceived, lastSent time.Time
	// conflictSince is when a node with another address first requested a link under
	// the same name.
	conflictSince time.Time
	// failing is set when a message could not be delivered, until the next message
	// from the node.
	failing bool
}

// Core is the state of the view. It is not safe for concurrent use.
//
// Invariant: len(links) is at most cfg.Max.
type Core struct {
	cfg     Config
	targets [numScopes]int
	rand    *rand.Rand
	links   map[string]*link
	// nodes are the linked nodes, sorted by name. The slice is replaced and never
	// modified.
	nodes      []Node
	candidates candidates
	attempts   attempts
	// isBorderNode reports whether a node keeps links to other failure domains.
	isBorderNode func(name string) bool
	// pruneNext is the earliest time at which the next surplus link is ended.
	pruneNext time.Time

	// seekExtra requests one link more than needed. seekCount counts the calls of
	// Seek.
	seekExtra bool
	seekCount int
	// fleetSize is the number of known daemons.
	fleetSize int
	// seedNext is when a seed is asked next. seedFailures counts the failed attempts.
	seedNext     time.Time
	seedFailures int
	// displaceNext is the earliest time at which a full view may displace a link
	// again.
	displaceNext time.Time
	// refusals counts the refusals since refusalsSince.
	refusals      int
	refusalsSince time.Time
}

// New returns a Core without links.
func New(cfg Config) *Core {
	r := rand.New(rand.NewPCG(cfg.Seed, 2))
	if cfg.Backoff == 0 {
		cfg.Backoff = DefaultBackoff
	}
	c := &Core{
		cfg: cfg, rand: r, links: map[string]*link{}, fleetSize: 1,
		candidates: candidates{self: cfg.Self, rand: r},
	}
	c.SetBorderNodes(func(string) bool { return true }, true)
	return c
}

// SetBorderNodes sets which nodes are border nodes. A border node keeps links to nodes of other failure
// domains and regions; any other node keeps links within its own domain, so that most traffic
// stays there. all is set if every node of this domain is a border node. Until the first call, all
// nodes are border nodes.
func (c *Core) SetBorderNodes(isBorderNode func(name string) bool, all bool) {
	c.isBorderNode = isBorderNode
	sameDomain := (c.cfg.Active - 1) / 2
	switch {
	case all:
		c.targets = [numScopes]int{SameDomain: sameDomain, SameRegion: c.cfg.Active - 1 - sameDomain, OtherRegion: 1}
	case isBorderNode(c.cfg.Self.Name):
		c.targets = [numScopes]int{SameDomain: c.cfg.Active - 2, SameRegion: 1, OtherRegion: 1}
	default:
		c.targets = [numScopes]int{SameDomain: c.cfg.Active}
	}
}

// Links returns the links sorted by name. The slice must not be modified.
func (c *Core) Links() []Node { return c.nodes }

// Linked reports whether there is a link to the named node.
func (c *Core) Linked(name string) bool { return c.links[name] != nil }

// Learn adds candidates.
func (c *Core) Learn(nodes ...Node) {
	for _, n := range nodes {
		c.candidates.learn(n)
	}
}

// NeedsCandidates reports whether a scope has room for more candidates.
func (c *Core) NeedsCandidates(s Scope) bool {
	return len(c.candidates.byScope[s]) < maxCandidatesPerScope
}

// SetFleetSize sets the number of known daemons. In a large fleet seeds are asked less
// often.
func (c *Core) SetFleetSize(n int) { c.fleetSize = max(n, 1) }

// SetSeeds replaces the seeds.
func (c *Core) SetSeeds(seeds []string) { c.cfg.Seeds = seeds }

// Seek requests a link to another node, in place of an existing one if necessary. The
// caller uses it when the present links do not deliver what they should.
func (c *Core) Seek() {
	// A restarted source knows no other daemon, so every second call asks a seed
	// instead of a candidate.
	c.seekCount++
	c.seekExtra = c.seekCount%2 == 0
	c.seedNext = time.Unix(0, 0)
}

// RecordReceived records that a message of any kind was received from a node.
func (c *Core) RecordReceived(now time.Time, name string) {
	if l := c.links[name]; l != nil {
		l.lastReceived = now
		l.failing = false
	}
}

// RecordSent records that a message was sent to a node, which makes a keep-alive
// unnecessary.
func (c *Core) RecordSent(now time.Time, name string) {
	if l := c.links[name]; l != nil {
		l.lastSent = now
	}
}

// Unreachable records that a message could not be delivered to an address. A pending
// join to the address fails. A link is kept until its silence timeout, but if all
// links are failing, other nodes are asked at once.
func (c *Core) Unreachable(now time.Time, addr string) []Action {
	before := c.allLinksFailing()
	for _, l := range c.links {
		l.failing = l.failing || l.node.Addr == addr
	}
	if !before && c.allLinksFailing() {
		c.seedFailures = 0
		c.seedNext = now.Add(jitter(c.rand, c.cfg.Backoff))
	}
	a := c.attempts.remove(func(a attempt) bool { return a.addr == addr })
	if a != nil {
		c.attemptFailed(now, *a)
	}
	if a == nil && !c.allLinksFailing() {
		return nil
	}
	return c.seek(now)
}

// allLinksFailing reports whether this daemon has links and all of them are failing.
// Versions and heartbeats then no longer reach it, which the silence timeout would
// only detect seconds later.
func (c *Core) allLinksFailing() bool { return len(c.links) > 0 && c.noWorkingLink() }

// noWorkingLink reports whether there is no link that is not failing.
func (c *Core) noWorkingLink() bool {
	for _, l := range c.links {
		if !l.failing {
			return false
		}
	}
	return true
}

// RejectUnlinked replies to a node that considers this one a link although there is none: it
// tells the node to end the link.
func (c *Core) RejectUnlinked(from Node) []Action {
	return []Action{c.send(from, Message{Type: MsgLeave})}
}

// Receive processes a message. MsgAlive needs no reply.
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
		return append(c.removeLink(from, false), c.seek(now)...)
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
		if old.node.Addr != from.Addr && now.Sub(old.lastReceived) < c.cfg.Silence {
			return append(c.reportConflict(now, old, from), c.refuse(now, from))
		}
		actions = c.removeLink(from.Name, false)
	}
	if len(c.links) >= c.cfg.Max {
		if !urgent || now.Before(c.displaceNext) {
			return append(actions, c.refuse(now, from))
		}
		c.displaceNext = now.Add(c.cfg.Interval)
		actions = append(actions, c.displace(from)...)
	}
	accept := c.send(from, Message{Type: MsgAccept, Node: &c.cfg.Self, Known: c.referral(from)})
	return append(append(actions, accept), c.addLink(now, from)...)
}

// reportConflict reports a node that requests a link under the name of a linked node
// but from another address. It does so only if the link still exists cfg.Silence after
// the first such request: a link to an earlier process would have fallen silent by
// then.
func (c *Core) reportConflict(now time.Time, l *link, from Node) []Action {
	if l.conflictSince.IsZero() {
		l.conflictSince = now
	}
	if now.Sub(l.conflictSince) <= c.cfg.Silence {
		return nil
	}
	return []Action{{Conflict: &from}}
}

func (c *Core) receiveAccept(now time.Time, from Node, known []Node) []Action {
	c.Learn(known...)
	c.joinAnswered(from)
	if from.Name == c.cfg.Self.Name {
		return nil
	}
	if l := c.links[from.Name]; l != nil {
		l.lastReceived = now
		l.failing = false
		return nil
	}
	var actions []Action
	if len(c.links) >= c.cfg.Max {
		actions = c.displace(from)
	}
	return append(append(actions, c.addLink(now, from)...), c.seek(now)...)
}

func (c *Core) receiveRefuse(now time.Time, from Node, m Message) []Action {
	if from.Name == c.cfg.Self.Name && from.Addr != c.cfg.Self.Addr {
		return []Action{{Conflict: &from}}
	}
	c.joinAnswered(from)
	c.Learn(from)
	c.Learn(m.Known...)
	c.candidates.postpone(now, from.Name, m.After)
	if len(c.links) == 0 {
		c.seedNext = now.Add(m.After/2 + jitter(c.rand, m.After))
	}
	return c.seek(now)
}

const (
	// refusalDelay is added to the delay in a refusal for each refusal within
	// refusalWindow.
	refusalDelay  = 20 * time.Millisecond
	refusalWindow = time.Second
)

func (c *Core) refuse(now time.Time, to Node) Action {
	if now.Sub(c.refusalsSince) > refusalWindow {
		c.refusalsSince, c.refusals = now, 0
	}
	c.refusals++
	known := c.referral(to)
	c.Learn(to)
	after := min(minBackoff+time.Duration(c.refusals)*refusalDelay, maxBackoff)
	return c.send(to, Message{Type: MsgRefuse, Node: &c.cfg.Self, Known: known, After: after})
}

func (c *Core) send(to Node, m Message) Action {
	return Action{Send: &Send{To: to, Message: m}}
}

// referralSize is the maximum number of nodes in a referral.
const referralSize = 6

// referral returns a random selection of links and candidates for a node, those in its failure
// domain first.
func (c *Core) referral(to Node) []Node {
	nodes := slices.Clone(c.nodes)
	for _, scope := range c.candidates.byScope {
		for _, cand := range scope {
			if c.links[cand.node.Name] == nil && cand.failures == 0 {
				nodes = append(nodes, cand.node)
			}
		}
	}
	nodes = slices.DeleteFunc(nodes, func(n Node) bool { return n.Name == to.Name })
	c.rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b Node) int {
		return cmp.Compare(min(to.ScopeOf(a), SameRegion), min(to.ScopeOf(b), SameRegion))
	})
	return nodes[:min(len(nodes), referralSize)]
}

func (c *Core) addLink(now time.Time, n Node) []Action {
	c.Learn(n)
	c.links[n.Name] = &link{node: n, since: now, lastReceived: now, lastSent: now}
	c.nodes = append(slices.Clone(c.nodes), n)
	slices.SortFunc(c.nodes, compareNames)
	return []Action{{Up: &n}}
}

func (c *Core) removeLink(name string, failed bool) []Action {
	l := c.links[name]
	if l == nil {
		return nil
	}
	delete(c.links, name)
	c.nodes = slices.DeleteFunc(slices.Clone(c.nodes), func(n Node) bool { return n.Name == name })
	return []Action{{Down: &Down{Node: l.node, Failed: failed}}}
}
