package view

// displace ends one link to make room for a node: a failing one, or else one of the
// scope with the largest surplus of links.
func (c *Core) displace(joining Node) []Action {
	victims := c.failingNodes()
	if len(victims) == 0 {
		victims = c.surplusLinks(joining)
	}
	victim := victims[c.rand.IntN(len(victims))]
	leave := Message{Type: MsgLeave, Known: []Node{joining}}
	return append(c.removeLink(victim.Name, false), c.send(victim, leave))
}

func (c *Core) failingNodes() []Node {
	var nodes []Node
	for _, n := range c.nodes {
		if c.links[n.Name].failing {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// surplusLinks returns the nodes of the scope that would have the largest surplus
// after a link to the joining node is added.
func (c *Core) surplusLinks(joining Node) []Node {
	counts := c.counts()
	counts[c.cfg.Self.ScopeOf(joining)]++
	surplus := SameDomain
	for s := range numScopes {
		if counts[s]-c.targets[s] > counts[surplus]-c.targets[surplus] {
			surplus = s
		}
	}
	var nodes []Node
	for _, n := range c.nodes {
		if c.cfg.Self.ScopeOf(n) == surplus {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) == 0 {
		return c.nodes
	}
	return nodes
}

func (c *Core) counts() [numScopes]int {
	var counts [numScopes]int
	for _, l := range c.links {
		counts[c.cfg.Self.ScopeOf(l.node)]++
	}
	return counts
}
