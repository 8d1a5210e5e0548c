package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load of the replay of calls whose runs are less urgent than the callers of the called service, of
// which one server is left.
const (
	outrankedSlots   = 8
	outrankedTime    = 20 * time.Second
	outrankedTimeout = 250 * time.Millisecond
)

// playOutranked returns the share of the slots' time that callers and calls used.
func playOutranked(seed uint64, callPriority int) (callers, calls float64) {
	r := &replay{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), called: newReplayServers(1, true)}
	start := r.now
	core := New(Config{Slots: outrankedSlots, QueueMax: 32, Fixed: true})
	core.SetTimes(fixedTimes{"upload": 72 * time.Millisecond, "urgent": 24 * time.Millisecond, "call": 15 * time.Millisecond})
	r.called[0].core = core
	until, used := start.Add(outrankedTime), map[bool]time.Duration{}
	offer := func(perSecond float64, t Ticket, mean, target time.Duration) {
		r.offer(rand.New(rand.NewPCG(seed, uint64(mean))), until, func() float64 { return perSecond }, func() {
			arrived := t
			arrived.Deadline, arrived.Useful = r.now.Add(outrankedTimeout), r.now.Add(target)
			r.sendTo(r.called[0], arrived, func(release func(time.Duration)) {
				took := r.vary(mean)
				r.after(took, func() { used[t.Call] += took; release(took) })
			}, func(Decision) {})
		})
	}
	offer(70, Ticket{Kind: "upload", Priority: 1}, 72*time.Millisecond, 300*time.Millisecond)
	offer(170, Ticket{Kind: "urgent", Priority: 1}, 24*time.Millisecond, 100*time.Millisecond)
	offer(510, Ticket{Kind: "call", Priority: callPriority, Call: true, RunUseful: true}, 15*time.Millisecond, 120*time.Millisecond)
	r.play()
	capacity := float64(outrankedSlots * outrankedTime)
	return float64(used[false]) / capacity, float64(used[true]) / capacity
}

// TestCallsDoNotDisplaceMoreUrgentCallers checks that calls of less urgent runs leave most of a full server
// to its callers and get their floor, and that calls of runs as urgent as the callers go first.
func TestCallsDoNotDisplaceMoreUrgentCallers(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		callers, calls := playOutranked(seed, 2)
		c.Logf("seed %d: callers %.3f of the slots, calls %.3f", seed, callers, calls)
		c.Check(callers >= 0.5, qt.IsTrue, qt.Commentf("seed %d: callers %.3f", seed, callers))
		c.Check(calls >= 0.25, qt.IsTrue, qt.Commentf("seed %d: calls %.3f", seed, calls))
		callers, calls = playOutranked(seed, 1)
		c.Check(calls > callers, qt.IsTrue, qt.Commentf("seed %d: callers %.3f, calls %.3f", seed, callers, calls))
	}
}
