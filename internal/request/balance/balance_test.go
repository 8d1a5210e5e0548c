package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/eventqueue"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// simulation runs calls of many daemons to the servers of one service in simulated
// time. Its run method returns the fractions of calls that waited and were refused.
type simulation struct {
	daemons, servers, slots int
	// utilisation is the offered load as a fraction of all slots.
	utilisation float64
	// ignoresOutstanding makes daemons ignore their own attempts in progress.
	ignoresOutstanding bool
}

const (
	serviceTime    = 20 * time.Millisecond
	simulatedCalls = 40000
)

func (p simulation) run() (waited, refused float64) {
	random := rand.New(rand.NewPCG(1, 2))
	exponential := func(mean time.Duration) time.Duration { return time.Duration(random.ExpFloat64() * float64(mean)) }
	start := time.Unix(1000, 0)
	var queue eventqueue.Queue
	var now time.Duration
	clock := func() time.Time { return start.Add(now) }
	after := func(d time.Duration, do func()) { queue.Push(clock().Add(d), do) }
	var candidates []*directory.Candidate
	cores, onDecision := map[string]*admit.Core{}, map[uint64]func(bool){}
	for i := range p.servers {
		addr := fmt.Sprint(i)
		candidates = append(candidates, &directory.Candidate{Node: view.Node{Name: addr},
			Server: presence.Server{Addr: addr, Slots: p.slots, State: presence.Serving}})
		cores[addr] = admit.New(admit.Config{Slots: p.slots, QueueMax: 2 * p.slots})
	}
	decide := func(decisions []admit.Decision) {
		for _, d := range decisions {
			onDecision[d.ID](d.Verdict == admit.Start)
			delete(onDecision, d.ID)
		}
	}
	waits, refusals := 0, 0
	call := func(id uint64, t *Table) {
		c := t.Pick(Input{Now: clock(), Seed: random.Uint64()})
		if !p.ignoresOutstanding {
			t.Sent(clock(), c, 0, 0)
		}
		core, arrived := cores[c.Server.Addr], now
		onDecision[id] = func(started bool) {
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
				decide(core.Finish(clock(), "", took))
				t.Ended(clock(), c, Answered)
			})
		}
		decide(core.Arrive(clock(), admit.Ticket{ID: id, Deadline: clock().Add(time.Second)}))
	}
	gap := time.Duration(float64(serviceTime) / (p.utilisation * float64(p.servers*p.slots)))
	tables := make([]*Table, p.daemons)
	for i := range tables {
		tables[i] = NewTable(Location{Node: fmt.Sprint("daemon", i)}, nil)
		tables[i].Update(candidates, 0)
	}
	at := time.Duration(0)
	for id := range uint64(simulatedCalls) {
		at += exponential(gap)
		t := tables[random.IntN(p.daemons)]
		queue.Push(start.Add(at), func() { call(id, t) })
	}
	for queue.Len() > 0 {
		at, run := queue.Pop()
		now = at.Sub(start)
		run()
	}
	return float64(waits) / simulatedCalls, float64(refusals) / simulatedCalls
}

// TestTwoChoices checks that picking the less loaded of two servers, judged only by
// the daemon's own attempts in progress, beats a random pick: in the sizes of the two
// meshes, and in a large fleet, where a daemon sees little of the load.
func TestTwoChoices(t *testing.T) {
	c := qt.New(t)
	for _, p := range []simulation{
		{daemons: 10, servers: 7, slots: 20, utilisation: 0.85},
		{daemons: 12, servers: 9, slots: 9, utilisation: 0.85},
		{daemons: 200, servers: 25, slots: 9, utilisation: 0.85},
	} {
		two, refusedTwo := p.run()
		p.ignoresOutstanding = true
		one, refusedOne := p.run()
		c.Logf("%d daemons, %d servers of %d slots at %.0f%%: waited %.2f%% by two choices, %.2f%% by a random one; refused %.2f%%, %.2f%%",
			p.daemons, p.servers, p.slots, 100*p.utilisation, 100*two, 100*one, 100*refusedTwo, 100*refusedOne)
		c.Check(two < one, qt.IsTrue)
	}
}
