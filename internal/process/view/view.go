// Package view decides which few other daemons this one keeps live links to:
// a small symmetric partial view of the fleet, spread over failure domains.
//
// The package does no I/O: messages and time come in, actions go out.
package view

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Node is how daemons name one another.
type Node struct {
	Name string
	// Addr is the address of the peer listener.
	Addr   string
	Region string
	Domain string
}

// MessageType tells what a Message is.
type MessageType uint8

// The message types.
const (
	// MsgJoin asks for a link; the answer is MsgAccept.
	MsgJoin MessageType = iota + 1
	// MsgAccept confirms a link and brings some further nodes.
	MsgAccept
	// MsgLeave ends a link.
	MsgLeave
	// MsgAlive keeps a link alive when nothing else was sent.
	MsgAlive
)

// Message is what views exchange.
type Message struct {
	Type  MessageType
	Known []Node
}

// Action is what the driver must do; exactly one field is set.
type Action struct {
	// Send delivers Message to a node.
	Send *Send
	// Up tells that a link is now live.
	Up *Node
	// Down tells that a link has ended; Failed when the other side fell silent.
	Down *Down
}

// Send delivers a message.
type Send struct {
	To      Node
	Message Message
}

// Down is the end of a link.
type Down struct {
	Node   Node
	Failed bool
}

// Config is fixed for the life of a Core.
type Config struct {
	Self  Node
	Seeds []string
	// Active is the number of links to aim for.
	Active int
	// Silence is how long a link may be silent before it counts as failed.
	Silence time.Duration
	// Interval is the time between keep-alives.
	Interval time.Duration
	Seed     uint64
}

type link struct {
	node  Node
	heard time.Time
}

// Core holds the view. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	rand  *rand.Rand
	links map[string]*link
	// known are candidates for new links.
	known map[string]Node
	next  time.Time
}

// New returns a Core without links.
func New(cfg Config) *Core {
	return &Core{
		cfg:   cfg,
		rand:  rand.New(rand.NewPCG(cfg.Seed, 2)),
		links: map[string]*link{},
		known: map[string]Node{},
	}
}

// Links returns the live links in order of name.
func (c *Core) Links() []Node {
	nodes := make([]Node, 0, len(c.links))
	for _, l := range c.links {
		nodes = append(nodes, l.node)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return compare(a.Name, b.Name) })
	return nodes
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Learn adds candidates for links.
func (c *Core) Learn(nodes ...Node) {
	for _, n := range nodes {
		if n.Name != c.cfg.Self.Name {
			c.known[n.Name] = n
		}
	}
}

// Forget removes a candidate that is known to be gone.
func (c *Core) Forget(name string) { delete(c.known, name) }

// Heard notes that a node said something, whatever it was.
func (c *Core) Heard(now time.Time, from Node) {
	if l, ok := c.links[from.Name]; ok {
		l.heard = now
	}
}

// Receive takes in a message.
func (c *Core) Receive(now time.Time, from Node, m Message) []Action {
	c.Learn(from)
	c.Learn(m.Known...)
	switch m.Type {
	case MsgJoin:
		return append(c.up(now, from), c.send(from, Message{Type: MsgAccept, Known: c.sample(from.Name)}))
	case MsgAccept:
		return c.up(now, from)
	case MsgLeave:
		return c.down(from.Name, false)
	}
	return nil
}

func (c *Core) send(to Node, m Message) Action {
	return Action{Send: &Send{To: to, Message: m}}
}

const sampleSize = 8

func (c *Core) sample(except string) []Node {
	var nodes []Node
	for _, n := range c.known {
		if n.Name != except {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return compare(a.Name, b.Name) })
	c.rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(len(nodes), sampleSize)]
}

func (c *Core) up(now time.Time, n Node) []Action {
	if l, ok := c.links[n.Name]; ok {
		l.heard = now
		return nil
	}
	c.links[n.Name] = &link{node: n, heard: now}
	return []Action{{Up: &n}}
}

func (c *Core) down(name string, failed bool) []Action {
	l, ok := c.links[name]
	if !ok {
		return nil
	}
	delete(c.links, name)
	return []Action{{Down: &Down{Node: l.node, Failed: failed}}}
}

// Tick ends silent links, looks for new ones and keeps the others alive.
func (c *Core) Tick(now time.Time) []Action {
	if now.Before(c.next) {
		return nil
	}
	c.next = now.Add(c.cfg.Interval)
	var actions []Action
	for _, n := range c.Links() {
		if now.Sub(c.links[n.Name].heard) > c.cfg.Silence {
			actions = append(actions, c.down(n.Name, true)...)
			continue
		}
		actions = append(actions, c.send(n, Message{Type: MsgAlive}))
	}
	return append(actions, c.seek()...)
}

// seek asks for one more link while there are too few.
func (c *Core) seek() []Action {
	if len(c.links) >= c.cfg.Active {
		return nil
	}
	var candidates []Node
	for _, n := range c.sample("") {
		if _, linked := c.links[n.Name]; !linked {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) > 0 {
		return []Action{c.send(candidates[0], Message{Type: MsgJoin})}
	}
	if len(c.links) > 0 || len(c.cfg.Seeds) == 0 {
		return nil
	}
	seed := c.cfg.Seeds[c.rand.IntN(len(c.cfg.Seeds))]
	return []Action{c.send(Node{Addr: seed}, Message{Type: MsgJoin})}
}

// Leave ends every link before a planned stop.
func (c *Core) Leave() []Action {
	var actions []Action
	for _, n := range c.Links() {
		actions = append(actions, c.send(n, Message{Type: MsgLeave}))
	}
	return actions
}
