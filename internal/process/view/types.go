package view

import (
	"strings"
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

// Scope tells how far away a node is in terms of failure domains.
type Scope uint8

// The scopes, from near to far.
const (
	SameDomain Scope = iota
	SameRegion
	OtherRegion
	scopes
)

// ScopeOf tells how far o is from n.
func (n Node) ScopeOf(o Node) Scope {
	switch {
	case n.Region != o.Region:
		return OtherRegion
	case n.Domain != o.Domain:
		return SameRegion
	}
	return SameDomain
}

func compareNames(a, b Node) int { return strings.Compare(a.Name, b.Name) }

// MessageType tells what a Message is.
type MessageType uint8

// The message types.
const (
	// MsgAlive keeps a link alive when nothing else was sent.
	MsgAlive MessageType = iota + 1
	// MsgJoin asks for a link.
	MsgJoin
	// MsgAccept confirms a link.
	MsgAccept
	// MsgRefuse turns a join down, refers to other nodes and says when to come
	// back.
	MsgRefuse
	// MsgLeave ends a link.
	MsgLeave
)

// Message is what views exchange.
type Message struct {
	Type MessageType
	// Node is the sender; set in MsgJoin, MsgAccept and MsgRefuse.
	Node *Node
	// Urgent marks a join that may displace another link: the sender has none
	// in this scope, or makes sure that the fleet is in one piece.
	Urgent bool
	// Known are other nodes to ask; set in MsgAccept, MsgRefuse and MsgLeave.
	Known []Node
	// After is how long to wait before asking again; set in MsgRefuse.
	After time.Duration
}

// Action is what the driver must do; exactly one field is set.
type Action struct {
	// Send delivers Message to a node.
	Send *Send
	// Up tells that a link is now live.
	Up *Node
	// Down tells that a link has ended.
	Down *Down
	// Conflict is another live node that has this node's name or that of a link.
	Conflict *Node
}

// Send delivers a message.
type Send struct {
	To      Node
	Message Message
}

// Down is the end of a link; Failed when the other side fell silent.
type Down struct {
	Node   Node
	Failed bool
}

// Config is fixed for the life of a Core.
type Config struct {
	Self Node
	// Seeds are peer addresses of nodes to begin with.
	Seeds []string
	// Active is the number of links to aim for, at least 3.
	Active int
	// Max is the most links kept, more than Active.
	Max int
	// Interval is the longest time that a link stays without a message from
	// this side.
	Interval time.Duration
	// Silence is how long a link may be silent before it counts as failed.
	Silence time.Duration
	// Backoff bounds the random wait before the first seed is asked, and doubles
	// with each vain attempt; 0 is DefaultBackoff. It spreads the return of a
	// fleet of which all daemons were restarted.
	Backoff time.Duration
	// Seed makes the random choices of this Core.
	Seed uint64
}

// DefaultBackoff suits thousands of daemons at three seeds.
const DefaultBackoff = 500 * time.Millisecond
