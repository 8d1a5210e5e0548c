package view

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAloneLooksAtOnce guards against a daemon that waits for the silence timeout of
// 2.5 s although messages on all its links already fail. It must ask another node at
// once.
//
// Half of the instances lost power at 3.29 s, including all six linked to one daemon.
// Deliveries had failed by 4.36 s, but the links ended at 5.84 s and a new one was up
// 0.11 s later, so that a version acknowledged at 4.31 s was in force at 6.00 s. With
// one more failed join, which takes 1 s, the limit of 2 s would have been missed.
func TestAloneLooksAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	self := Node{Name: "self", Addr: "10.0.0.1:1", Region: "r", Domain: "a"}
	core := New(Config{Self: self, Active: 5, Max: 7, Silence: 2500 * time.Millisecond, Interval: 1200 * time.Millisecond, Seed: 1})
	node := func(i int, region, domain string) Node {
		return Node{Name: fmt.Sprint("n", i), Addr: fmt.Sprintf("10.0.1.%d:1", i), Region: region, Domain: domain}
	}
	links := []Node{node(1, "r", "a"), node(2, "r", "a"), node(3, "r", "b"), node(4, "r", "b"), node(5, "other", "c")}
	for _, n := range links {
		core.Receive(now, n.Name, Message{Type: MsgAccept, Node: &n})
	}
	c.Assert(core.Links(), qt.HasLen, len(links))
	other := node(6, "r", "b")
	core.Learn(other)
	joined := func(actions []Action) bool {
		for _, a := range actions {
			if a.Send != nil && a.Send.Message.Type == MsgJoin && a.Send.To == other {
				return true
			}
		}
		return false
	}
	now = now.Add(time.Second)
	c.Assert(joined(core.Tick(now)), qt.IsFalse)
	found := false
	for _, n := range links {
		found = joined(core.Unreachable(now, n.Addr)) || found
	}
	found = joined(core.Tick(now.Add(100*time.Millisecond))) || found
	c.Check(found, qt.IsTrue, qt.Commentf("all five links fail and no other node is asked"))
}

// TestSeveredAsksSeedsSeldom guards against a daemon that floods its seeds. If its
// links, candidates and seeds all refuse connections at once, it must back off between
// joins and not retry as fast as they are refused.
func TestSeveredAsksSeedsSeldom(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	self := Node{Name: "self", Addr: "10.0.0.1:1", Region: "r", Domain: "a"}
	core := New(Config{Self: self, Seeds: []string{"10.0.9.1:1", "10.0.9.2:1"}, Active: 5, Max: 7, Silence: time.Minute, Interval: time.Second, Seed: 1})
	link := Node{Name: "n1", Addr: "10.0.1.1:1", Region: "r", Domain: "a"}
	core.Receive(now, link.Name, Message{Type: MsgAccept, Node: &link})
	joins := 0
	var refuse func([]Action)
	refuse = func(actions []Action) {
		for _, a := range actions {
			if a.Send != nil && a.Send.Message.Type == MsgJoin {
				joins++
				c.Assert(joins < 100, qt.IsTrue)
				refuse(core.Unreachable(now, a.Send.To.Addr))
			}
		}
	}
	refuse(core.Unreachable(now, link.Addr))
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		refuse(core.Tick(now))
	}
	c.Check(joins >= 3 && joins <= 15, qt.IsTrue, qt.Commentf("%d joins in 10 s", joins))
}
