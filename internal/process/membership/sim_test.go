package membership_test

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/process/membership"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

const (
	maxLinks = 7
	tick     = 100 * time.Millisecond
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].before(q[j]) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
func (e event) before(o event) bool { return e.at.Before(o.at) || (e.at.Equal(o.at) && e.seq < o.seq) }

// item is what an envelope holds of one message.
type item struct {
	View     *view.Message
	Presence *presence.Message
}

// simNode is one daemon of the sim.
type simNode struct {
	node   view.Node
	core   *membership.Core
	up     bool
	frozen bool
	// began is when this process started; boots counts its processes.
	began time.Time
	boots uint64
	// stamps are the newest records that counted here, by owner.
	stamps   map[string]presence.Stamp
	received int
	bytes    int
	conflict int
	// joins counts the joins received.
	joins int
}

// sim drives cores over an in-memory network in virtual time.
type sim struct {
	now    time.Time
	rand   *rand.Rand
	queue  events
	seq    int
	nodes  []*simNode
	byAddr map[string]*simNode
	seeds  []string
	// loss and duplicate are shares of all envelopes.
	loss, duplicate float64
	// cut tells whether two nodes cannot reach one another.
	cut func(a, b view.Node) bool
	// unreachableAfter is when the sender of an envelope that is cut off gives up; 0 is
	// never.
	unreachableAfter time.Duration
	// fault is the first breach of an invariant that holds at all times.
	fault string
	// onChange sees every change at every node.
	onChange func(at *simNode, c *presence.Change)
	// measure adds up the encoded bytes.
	measure bool
	sizes   *gob.Encoder
	sized   bytes.Buffer
}

func newSim(seed uint64, seeds int) *sim {
	s := &sim{now: time.UnixMilli(1_700_000_000_000), rand: rand.New(rand.NewPCG(seed, 1))}
	s.cut = func(_, _ view.Node) bool { return false }
	s.byAddr = map[string]*simNode{}
	s.sizes = gob.NewEncoder(&s.sized)
	for i := range seeds {
		s.seeds = append(s.seeds, addrOf(i))
	}
	return s
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

// add makes a node; it is started apart. Regions hold three domains each.
func (s *sim) add(regions int) *simNode {
	i := len(s.nodes)
	region := i % regions
	n := &simNode{node: view.Node{
		Name: fmt.Sprintf("n%d", i), Addr: addrOf(i),
		Region: fmt.Sprintf("r%d", region), Domain: fmt.Sprintf("r%dd%d", region, i/regions%3),
	}}
	s.nodes = append(s.nodes, n)
	s.byAddr[n.node.Addr] = n
	return n
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

// run lets virtual time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// start begins a process whose clock is off by skew.
func (s *sim) start(n *simNode, skew time.Duration) {
	n.up, n.frozen, n.began, n.stamps = true, false, s.now, map[string]presence.Stamp{}
	n.boots++
	var others []string
	for _, a := range s.seeds {
		if a != n.node.Addr {
			others = append(others, a)
		}
	}
	n.core = membership.New(membership.Config{
		View: view.Config{
			Self: n.node, Seeds: others, Active: 5, Max: maxLinks,
			Interval: time.Second, Silence: 2500 * time.Millisecond, Seed: s.rand.Uint64(),
		},
		Presence: presence.Config{
			Self: n.node, Incarnation: uint64(s.now.Add(skew).UnixMilli()),
			DigestInterval: time.Second, SuspectFor: 1500 * time.Millisecond,
			ForgetAfter: 2 * time.Hour, ProbeInterval: 10 * time.Second, Seed: s.rand.Uint64(),
		},
	})
	s.loop(n, n.core)
}

func (s *sim) loop(n *simNode, core *membership.Core) {
	if n.core != core || !n.up {
		return
	}
	if !n.frozen {
		s.do(n, core.Tick(s.now))
	}
	s.after(tick, func() { s.loop(n, core) })
}

// do carries out actions: what goes to one address goes in one envelope.
func (s *sim) do(n *simNode, actions []membership.Action) {
	envelopes := map[string][]item{}
	for _, a := range actions {
		switch {
		case a.Send != nil:
			envelopes[a.Send.To.Addr] = append(envelopes[a.Send.To.Addr], item{View: a.Send.View, Presence: a.Send.Presence})
			n.core.Sent(s.now, a.Send.To.Name)
		case a.Change != nil:
			s.change(n, a.Change)
		case a.Probe != nil:
			s.probe(n, *a.Probe)
		case a.Conflict != nil:
			n.conflict++
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(envelopes)) {
		s.send(n, addr, envelopes[addr])
	}
}

func (s *sim) latency() time.Duration { return time.Duration(1+s.rand.IntN(9)) * time.Millisecond }

func (s *sim) at(addr string) *simNode {
	if n := s.byAddr[addr]; n != nil && n.up {
		return n
	}
	return nil
}

func (s *sim) send(n *simNode, addr string, items []item) {
	if s.measure {
		n.bytes += s.size(items)
	}
	if s.rand.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rand.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		s.after(s.latency(), func() { s.arrive(n, addr, items) })
	}
}

// size is the encoded size of items on a connection that knows their types.
func (s *sim) size(items []item) int {
	s.sized.Reset()
	if err := s.sizes.Encode(items); err != nil {
		panic(err)
	}
	return s.sized.Len()
}

func (s *sim) arrive(from *simNode, addr string, items []item) {
	to := s.at(addr)
	switch {
	case to == nil:
		if from.up {
			s.do(from, from.core.Unreachable(s.now, addr))
		}
		return
	case s.cut(from.node, to.node):
		s.giveUp(from, addr)
		return
	case to.frozen:
		s.after(tick, func() { s.arrive(from, addr, items) })
		return
	}
	to.received++
	var actions []membership.Action
	for _, i := range items {
		if i.View != nil {
			if i.View.Type == view.MsgJoin {
				to.joins++
			}
			actions = append(actions, to.core.ReceiveView(s.now, from.node.Name, *i.View)...)
		}
		if i.Presence != nil {
			actions = append(actions, to.core.ReceivePresence(s.now, from.node.Name, *i.Presence)...)
		}
	}
	s.do(to, actions)
	if links := len(to.core.Links()); links > maxLinks {
		s.fail("%s has %d links", to.node.Name, links)
	}
}

// giveUp tells the sender of an envelope that was cut off, if it waits for that.
func (s *sim) giveUp(from *simNode, addr string) {
	if s.unreachableAfter == 0 {
		return
	}
	core := from.core
	s.after(s.unreachableAfter, func() {
		if from.up && !from.frozen && from.core == core {
			s.do(from, core.Unreachable(s.now, addr))
		}
	})
}

func (s *sim) probe(n *simNode, target view.Node) {
	core := n.core
	s.after(s.latency(), func() {
		to := s.at(target.Addr)
		reached := to != nil && !s.cut(n.node, to.node)
		if n.up && n.core == core {
			s.do(n, core.Probed(s.now, target.Name, reached))
		}
	})
}

// change checks that no record is replaced by an older one.
func (s *sim) change(n *simNode, c *presence.Change) {
	if s.onChange != nil {
		s.onChange(n, c)
	}
	if c.New == nil {
		return
	}
	name := c.New.Node.Name
	last, next := n.stamps[name], presence.Stamp{Incarnation: c.New.Incarnation, Seq: c.New.Seq}
	if next.Incarnation < last.Incarnation || (next.Incarnation == last.Incarnation && next.Seq < last.Seq) {
		s.fail("%s took an older record of %s", n.node.Name, name)
	}
	n.stamps[name] = next
}

func (s *sim) fail(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

func (s *sim) live() []*simNode {
	var live []*simNode
	for _, n := range s.nodes {
		if n.up {
			live = append(live, n)
		}
	}
	return live
}
