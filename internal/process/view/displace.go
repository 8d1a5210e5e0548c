package view

// displace ends one link, to make room for a node: one that fails, or else one of
// the scope that has most to spare.
func (c *Core) displace(by Node) []Action {
	victims := c.failing()
	if len(victims) == 0 {
		victims = c.spare(by)
	}
	victim := victims[c.rand.IntN(len(victims))]
	leave := Message{Type: MsgLeave, Known: []Node{by}}
	return append(c.down(victim.Name, false), c.send(victim, leave))
}

func (c *Core) failing() []Node {
	var nodes []Node
	for _, n := range c.nodes {
		if c.links[n.Name].failing {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// spare returns the links of the scope that would have most to spare beside a new
// link.
func (c *Core) spare(by Node) []Node {
	counts := c.counts()
	counts[c.cfg.Self.ScopeOf(by)]++
	spare := SameDomain
	for s := range scopes {
		if counts[s]-c.want[s] > counts[spare]-c.want[spare] {
			spare = s
		}
	}
	var nodes []Node
	for _, n := range c.nodes {
		if c.cfg.Self.ScopeOf(n) == spare {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) == 0 {
		return c.nodes
	}
	return nodes
}

func (c *Core) counts() [scopes]int {
	var counts [scopes]int
	for _, l := range c.links {
		counts[c.cfg.Self.ScopeOf(l.node)]++
	}
	return counts
}
