package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/eventqueue"
)

// overtaken is a replay of one server with more requests than it can run. Some callers come again
// after a refusal, with less time left than the others.
type overtaken struct {
	now     time.Time
	rand    *rand.Rand
	events  eventqueue.Queue
	core    *Core
	waiting map[uint64]Ticket
	nextID  uint64
	// inTime and late count the answers by kind.
	inTime, late map[string]int
}

// overtakenKind is a kind of requests of the replay.
type overtakenKind struct {
	name         string
	priority     int
	perSecond    float64
	target, left time.Duration
	// again is the fraction of the requests that have only againLeft of their time left.
	again     float64
	againLeft time.Duration
}

func (o *overtaken) arrive(k *overtakenKind, until time.Time) {
	o.events.Push(o.now.Add(time.Duration(o.rand.ExpFloat64()/k.perSecond*float64(time.Second))), func() {
		if o.now.After(until) {
			return
		}
		left := k.left
		if o.rand.Float64() < k.again {
			left = k.againLeft
		}
		o.nextID++
		t := Ticket{ID: o.nextID, Priority: k.priority, Kind: k.name, Deadline: o.now.Add(left), Useful: o.now.Add(k.target)}
		o.waiting[t.ID] = t
		o.apply(o.core.Arrive(o.now, t))
		o.arrive(k, until)
	})
}

func (o *overtaken) apply(decisions []Decision) {
	for _, d := range decisions {
		t := o.waiting[d.ID]
		delete(o.waiting, d.ID)
		if d.Verdict != Start {
			continue
		}
		work := time.Duration((0.7 + 0.6*o.rand.Float64()) * float64(o.workOf(t.Kind)))
		o.events.Push(o.now.Add(work), func() {
			if o.now.After(t.Useful) {
				o.late[t.Kind]++
			} else {
				o.inTime[t.Kind]++
			}
			o.apply(o.core.Finish(o.now, t.Kind, work))
		})
	}
}

func (o *overtaken) workOf(kind string) time.Duration {
	if kind == "long" {
		return 70 * time.Millisecond
	}
	return 60 * time.Millisecond
}

// TestQueuedRequestsAreNotOvertakenUntilLate checks that requests which a full server has queued
// because their answers are expected in time are not overtaken by later ones until they are late.
func TestQueuedRequestsAreNotOvertakenUntilLate(t *testing.T) {
	for seed := range uint64(20) {
		o := &overtaken{
			now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), waiting: map[uint64]Ticket{},
			core: New(Config{Slots: 8, QueueMax: 32, Fixed: true}), inTime: map[string]int{}, late: map[string]int{},
		}
		end := o.now.Add(20 * time.Second)
		for _, k := range []overtakenKind{
			{"lookup", 2, 600, 200 * time.Millisecond, 500 * time.Millisecond, 0.4, 280 * time.Millisecond},
			{"long", 1, 30, 250 * time.Millisecond, 600 * time.Millisecond, 0, 0},
		} {
			o.arrive(&k, end)
		}
		for o.events.Len() > 0 {
			at, do := o.events.Pop()
			o.now = at
			do()
		}
		total := float64(o.inTime["lookup"] + o.late["lookup"])
		t.Logf("seed %d: %.3f of %.0f lookups in time, long %d in time, %d late", seed, float64(o.inTime["lookup"])/total, total, o.inTime["long"], o.late["long"])
		qt.Check(t, float64(o.inTime["lookup"]) >= 0.95*total, qt.IsTrue, qt.Commentf("seed %d", seed))
		qt.Check(t, o.late["long"] <= (o.late["long"]+o.inTime["long"])/20, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}
