package presence

import "slices"

// news holds what need not be passed on at once until the next tick: it then
// goes in one message for each link, and not to neighbours that have sent the
// same meanwhile.
type news struct {
	order []ID
	// known names the neighbours that have the record.
	known map[ID]map[string]bool
}

// hold keeps a record that came from a neighbour.
func (n *news) hold(id ID, from string) {
	if n.known[id] == nil {
		n.order = append(n.order, id)
	}
	n.known[id] = map[string]bool{from: true}
}

// seen notes that a neighbour has a record.
func (n *news) seen(id ID, from string) {
	if known := n.known[id]; known != nil {
		known[from] = true
	}
}

// urgent reports whether a change takes work away or warns of a request: that
// is passed on at once.
func urgent(change *Change) bool {
	if len(change.New.Suspects) > 0 {
		return true
	}
	return change.Old != nil && takesLess(change.Old, change.New)
}

// takesLess reports whether a server that took work does not any more.
func takesLess(before, after *Record) bool {
	for _, old := range before.Servers {
		if !old.State.TakesWork() || before.Leaving {
			continue
		}
		still := func(s Server) bool { return s.Addr == old.Addr && s.State.TakesWork() }
		if after.Leaving || !slices.ContainsFunc(after.Servers, still) {
			return true
		}
	}
	return after.Leaving && !before.Leaving
}

// passOn sends the news held since the last tick.
func (c *Core) passOn() []Action {
	if len(c.news.order) == 0 {
		return nil
	}
	var actions []Action
	for _, name := range c.names {
		var records []Record
		for _, id := range c.news.order {
			e := c.table.entries[id]
			if e != nil && e.state == alive && !c.news.known[id][name] {
				records = append(records, e.current())
			}
		}
		actions = append(actions, c.sendRecords(name, records, false)...)
	}
	c.news = news{known: map[ID]map[string]bool{}}
	return actions
}
