package view

import (
	"math/rand/v2"
	"time"
)

const (
	// scopeCandidates is the most candidates remembered in each scope.
	scopeCandidates = 8
	// keptCandidates are remembered in each scope although they fail: a region
	// that was cut off needs them to find back.
	keptCandidates = 4

	// minBackoff is how long a candidate is left alone that refused.
	minBackoff = DefaultBackoff
	maxBackoff = 20 * time.Second
)

// candidate is a node that may become a link.
type candidate struct {
	node     Node
	failures int
	// next is the earliest time to ask it.
	next time.Time
}

// candidates is the passive view of HyParView, bounded in each scope.
type candidates struct {
	self   Node
	rand   *rand.Rand
	scopes [scopes][]*candidate
}

func (cs *candidates) find(name string) *candidate {
	for _, scope := range cs.scopes {
		for _, c := range scope {
			if c.node.Name == name {
				return c
			}
		}
	}
	return nil
}

// learn remembers a node, in the place of a random one when there is no room.
// A node that comes with another address or domain replaces its old self.
func (cs *candidates) learn(n Node) {
	if n.Name == cs.self.Name || n.Name == "" {
		return
	}
	if known := cs.find(n.Name); known != nil {
		if known.node == n {
			return
		}
		cs.remove(n.Name)
	}
	scope := cs.self.ScopeOf(n)
	list := cs.scopes[scope]
	if len(list) < scopeCandidates {
		cs.scopes[scope] = append(list, &candidate{node: n})
		return
	}
	list[cs.rand.IntN(len(list))] = &candidate{node: n}
}

func (cs *candidates) remove(name string) {
	for scope, list := range cs.scopes {
		for i, c := range list {
			if c.node.Name == name {
				cs.scopes[scope] = append(list[:i], list[i+1:]...)
				return
			}
		}
	}
}

// fail notes a vain attempt: the node is asked again later, or forgotten while
// there are enough others.
func (cs *candidates) fail(now time.Time, name string) {
	c := cs.find(name)
	if c == nil {
		return
	}
	if len(cs.scopes[cs.self.ScopeOf(c.node)]) > keptCandidates {
		cs.remove(name)
		return
	}
	c.failures++
	c.next = now.Add(backoff(cs.rand, minBackoff, c.failures))
}

// postpone asks a node again after about d.
func (cs *candidates) postpone(now time.Time, name string, d time.Duration) {
	if c := cs.find(name); c != nil {
		c.failures = 0
		c.next = now.Add(d/2 + jitter(cs.rand, d))
	}
}

// pick returns a random node of a scope that may be asked now.
// It leaves out those that are taken.
func (cs *candidates) pick(now time.Time, scope Scope, taken func(name string) bool) *Node {
	var free []Node
	for _, c := range cs.scopes[scope] {
		if !taken(c.node.Name) && !now.Before(c.next) {
			free = append(free, c.node)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return &free[cs.rand.IntN(len(free))]
}

// jitter is a random time below d (full jitter).
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d) + 1))
}

// backoff doubles with each failure, with full jitter.
func backoff(r *rand.Rand, least time.Duration, failures int) time.Duration {
	limit := least << min(failures, 10)
	return least/2 + jitter(r, min(limit, maxBackoff))
}
