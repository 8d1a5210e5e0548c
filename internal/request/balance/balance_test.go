package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// event is something to be done at a time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// trial runs calls of many daemons to the servers of one service, in simulated
// time, and returns the share of calls that waited and that were refused.
type trial struct {
	daemons, servers, slots int
	// busy is the offered load as a share of all slots.
	busy float64
	// blind daemons know nothing of what they have in progress.
	blind bool
}

const (
	serviceTime = 20 * time.Millisecond
	trialCalls  = 40000
)

func (p trial) run() (waited, refused float64) {
	random := rand.New(rand.NewPCG(1, 2))
	exponential := func(mean time.Duration) time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
	start := time.Unix(1000, 0)
	var queue events
	var now time.Duration
	clock := func() time.Time { return start.Add(now) }
	after := func(d time.Duration, do func()) { heap.Push(&queue, event{now + d, do}) }
	var candidates []*directory.Candidate
	gates, began := map[string]*admit.Core{}, map[uint64]func(bool){}
	for i := range p.servers {
		addr := fmt.Sprint(i)
		candidates = append(candidates, &directory.Candidate{Node: view.Node{Name: addr},
			Server: presence.Server{Addr: addr, Slots: p.slots, State: presence.Serving}})
		gates[addr] = admit.New(admit.Config{Slots: p.slots, QueueMax: 2 * p.slots})
	}
	decide := func(decisions []admit.Decision) {
		for _, d := range decisions {
			began[d.ID](d.Verdict == admit.Start)
			delete(began, d.ID)
		}
	}
	waits, refusals := 0, 0
	call := func(id uint64, t *Table) {
		c := t.Pick(Input{Now: clock(), Seed: random.Uint64()})
		if !p.blind {
			t.Sent(clock(), c, 0, 0)
		}
		gate, arrived := gates[c.Server.Addr], now
		began[id] = func(started bool) {
			if !started {
				refusals++
				t.Ended(clock(), c, Full)
				return
			}
			if now > arrived {
				waits++
			}
			took := exponential(serviceTime)
			after(took, func() {
				decide(gate.Finish(clock(), "", took))
				t.Ended(clock(), c, Answered)
			})
		}
		decide(gate.Arrive(clock(), admit.Ticket{ID: id, Deadline: clock().Add(time.Second)}))
	}
	gap := time.Duration(float64(serviceTime) / (p.busy * float64(p.servers*p.slots)))
	tables := make([]*Table, p.daemons)
	for i := range tables {
		tables[i] = NewTable(Place{Node: fmt.Sprint("daemon", i)}, nil)
		tables[i].Update(candidates, 0)
	}
	at := time.Duration(0)
	for id := range uint64(trialCalls) {
		at += exponential(gap)
		t := tables[random.IntN(p.daemons)]
		heap.Push(&queue, event{at, func() { call(id, t) }})
	}
	for len(queue) > 0 {
		e := heap.Pop(&queue).(event)
		now = e.at
		e.do()
	}
	return float64(waits) / trialCalls, float64(refusals) / trialCalls
}

// TestTwoChoices holds that the less loaded of two servers, by what a daemon
// has in progress itself, beats a random one: in the sizes of the two meshes,
// and in a large fleet, where it knows little.
func TestTwoChoices(t *testing.T) {
	c := qt.New(t)
	for _, p := range []trial{
		{daemons: 10, servers: 7, slots: 20, busy: 0.85},
		{daemons: 12, servers: 9, slots: 9, busy: 0.85},
		{daemons: 200, servers: 25, slots: 9, busy: 0.85},
	} {
		two, refusedTwo := p.run()
		p.blind = true
		one, refusedOne := p.run()
		c.Logf("%d daemons, %d servers of %d slots at %.0f%%: waited %.2f%% by two choices, %.2f%% by a random one; refused %.2f%%, %.2f%%",
			p.daemons, p.servers, p.slots, 100*p.busy, 100*two, 100*one, 100*refusedTwo, 100*refusedOne)
		c.Check(two < one, qt.IsTrue)
	}
}
