package presence

import "slices"

// news holds what need not be passed on at once until the next tick: it then
// goes in one message for each link, and not to neighbours that have sent the
// same meanwhile.
type news struct {
	order []ID
	held  map[ID]*held
}

// held is one piece of news.
type held struct {
	// stamp is set when the neighbours have the content already, most likely.
	stamp bool
	// known names the neighbours that have it.
	known map[string]bool
}

func newNews() news { return news{held: map[ID]*held{}} }

// hold keeps a record, or its stamp alone, that came from a neighbour.
func (n *news) hold(id ID, from string, stamp bool) {
	before := n.held[id]
	if before == nil {
		n.order = append(n.order, id)
	}
	stamp = stamp && (before == nil || before.stamp)
	n.held[id] = &held{stamp: stamp, known: map[string]bool{from: true}}
}

// seen notes that a neighbour has a record.
func (n *news) seen(id ID, from string) {
	if h := n.held[id]; h != nil {
		h.known[from] = true
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
		actions = append(actions, c.passTo(name)...)
	}
	c.news = newNews()
	return actions
}

func (c *Core) passTo(name string) []Action {
	var records []Record
	var stamps []Stamp
	for _, id := range c.news.order {
		e, h := c.table.entries[id], c.news.held[id]
		switch {
		case e == nil || e.state != alive || h.known[name]:
		case h.stamp:
			stamps = append(stamps, e.stamp)
		default:
			records = append(records, e.current())
		}
	}
	actions := c.sendRecords(name, records, false)
	if len(stamps) > 0 {
		actions = append(actions, c.send(name, Message{Type: MsgRefute, Stamps: stamps}))
	}
	return actions
}
