package view

import (
	"math/rand/v2"
	"time"
)

const (
	// maxCandidatesPerScope is the maximum number of candidates remembered in each
	// scope.
	maxCandidatesPerScope = 8
	// minCandidatesPerScope is the number of candidates remembered in each scope even
	// if they fail. A region that was cut off needs them to reconnect.
	minCandidatesPerScope = 4

	// minBackoff is the shortest delay before a candidate that refused is asked again.
	minBackoff = DefaultBackoff
	maxBackoff = 20 * time.Second
)

// candidate is a node that may become a link.
type candidate struct {
	node     Node
	failures int
	// nextAttempt is the earliest time to ask the candidate.
	nextAttempt time.Time
}

// candidates is the passive view of HyParView, with a limited number of nodes in each
// scope.
type candidates struct {
	self    Node
	rand    *rand.Rand
	byScope [numScopes][]*candidate
}

func (cs *candidates) find(name string) *candidate {
	for _, scope := range cs.byScope {
		for _, c := range scope {
			if c.node.Name == name {
				return c
			}
		}
	}
	return nil
}

// learn adds a node. If its scope is full, the node replaces a random one. A known
// node with a new address or failure domain replaces its old entry.
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
	list := cs.byScope[scope]
	if len(list) < maxCandidatesPerScope {
		cs.byScope[scope] = append(list, &candidate{node: n})
		return
	}
	list[cs.rand.IntN(len(list))] = &candidate{node: n}
}

func (cs *candidates) remove(name string) {
	for scope, list := range cs.byScope {
		for i, c := range list {
			if c.node.Name == name {
				cs.byScope[scope] = append(list[:i], list[i+1:]...)
				return
			}
		}
	}
}

// markFailed records a failed attempt. The node is asked again later, or removed if
// there are enough others.
func (cs *candidates) markFailed(now time.Time, name string) {
	c := cs.find(name)
	if c == nil {
		return
	}
	if len(cs.byScope[cs.self.ScopeOf(c.node)]) > minCandidatesPerScope {
		cs.remove(name)
		return
	}
	c.failures++
	c.nextAttempt = now.Add(backoff(cs.rand, minBackoff, c.failures))
}

// postpone delays the next attempt by about d.
func (cs *candidates) postpone(now time.Time, name string, d time.Duration) {
	if c := cs.find(name); c != nil {
		c.failures = 0
		c.nextAttempt = now.Add(d/2 + jitter(cs.rand, d))
	}
}

// pick returns a random node of a scope that may be asked now and is not excluded, or
// nil.
func (cs *candidates) pick(now time.Time, scope Scope, exclude func(name string) bool) *Node {
	var eligible []Node
	for _, c := range cs.byScope[scope] {
		if !exclude(c.node.Name) && !now.Before(c.nextAttempt) {
			eligible = append(eligible, c.node)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return &eligible[cs.rand.IntN(len(eligible))]
}

// jitter returns a random duration of at most d (full jitter).
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d) + 1))
}

// backoff returns an exponential delay with full jitter, which doubles with each
// failure up to maxBackoff.
func backoff(r *rand.Rand, base time.Duration, failures int) time.Duration {
	limit := base << min(failures, 10)
	return base/2 + jitter(r, min(limit, maxBackoff))
}
