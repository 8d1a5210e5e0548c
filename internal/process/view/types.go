package view

import (
	"strings"
	"time"
)

// Node identifies a daemon.
type Node struct {
	Name string
	// Addr is the address of the peer listener.
	Addr   string
	Region string
	Domain string
}

// Scope is the distance of a node in terms of failure domains.
type Scope uint8

// The scopes, from near to far.
const (
	SameDomain Scope = iota
	SameRegion
	OtherRegion
	numScopes
)

// ScopeOf returns the scope of o as seen from n.
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

// MessageType is the type of a Message.
type MessageType uint8

// The message types.
const (
	// MsgAlive keeps a link alive if nothing else was sent.
	MsgAlive MessageType = iota + 1
	// MsgJoin requests a link.
	MsgJoin
	// MsgAccept confirms a link.
	MsgAccept
	// MsgRefuse refuses a join, names other nodes and says when to retry.
	MsgRefuse
	// MsgLeave ends a link.
	MsgLeave
)

// WithoutLink reports whether the sender of a message usually has no link to the receiver afterwards.
func (t MessageType) WithoutLink() bool { return t == MsgJoin || t == MsgRefuse || t == MsgLeave }

// Message is a message between the views of two daemons.
type Message struct {
	Type MessageType
	// Node is the sender; set in MsgJoin, MsgAccept and MsgRefuse.
	Node *Node
	// Urgent marks a join that may displace another link: the sender has none in this
	// scope, or checks that the fleet is not split.
	Urgent bool
	// Known are other nodes to ask; set in MsgAccept, MsgRefuse and MsgLeave.
	Known []Node
	// After is the delay before the next join; set in MsgRefuse.
	After time.Duration
}

// Action is an instruction to the driver. Exactly one field is set.
type Action struct {
	// Send is a message to send to a node.
	Send *Send
	// Up is the node of a link that was established.
	Up *Node
	// Down is a link that ended.
	Down *Down
	// Conflict is another live node with the name of this node or of a linked one.
	Conflict *Node
}

// Send is a message and its recipient.
type Send struct {
	To      Node
	Message Message
}

// Down is a link that ended. Failed is set if the other side fell silent.
type Down struct {
	Node   Node
	Failed bool
}

// Config configures a Core.
type Config struct {
	Self Node
	// Seeds are peer addresses of the nodes to contact first.
	Seeds []string
	// Active is the target number of links, at least 3.
	Active int
	// Max is the maximum number of links, greater than Active.
	Max int
	// Interval is the maximum time between messages sent on a link.
	Interval time.Duration
	// Silence is how long a link may be silent before it is considered failed.
	Silence time.Duration
	// Backoff limits the random delay before the first seed is asked. It doubles with
	// each failed attempt; 0 means DefaultBackoff. It spreads the joins after all
	// daemons of a fleet were restarted.
	Backoff time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

// DefaultBackoff is sufficient for thousands of daemons and three seeds.
const DefaultBackoff = 500 * time.Millisecond
