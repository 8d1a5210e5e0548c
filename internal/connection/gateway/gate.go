package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/result"
)

// gate is an admit.Core that goroutines wait at.
type gate struct {
	mu      sync.Mutex
	core    *admit.Core
	nextID  uint64
	waiting map[uint64]chan admit.Decision
}

// newGate returns a gate for one backend server.
func newGate(slots, queueMax int) *gate {
	return &gate{core: admit.New(slots, queueMax), waiting: map[uint64]chan admit.Decision{}}
}

// Enter waits for a slot. On a nil error the caller must call Leave.
func (g *gate) Enter(ctx context.Context, priority int, deadline time.Time) *result.Error {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	reply := make(chan admit.Decision, 1)
	g.waiting[id] = reply
	g.deliver(g.core.Arrive(time.Now(), admit.Ticket{ID: id, Priority: priority, Deadline: deadline}))
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case d := <-reply:
		return refusal(d)
	case <-ctx.Done():
		return g.abandon(id, reply, result.CallerLeft)
	case <-timer.C:
		return g.abandon(id, reply, result.DeadlineTooShort)
	}
}

func refusal(d admit.Decision) *result.Error {
	if d.Verdict == admit.Start {
		return nil
	}
	return result.Errorf(d.Code, "%s", d.Code.Meaning())
}

// abandon takes a ticket out of the queue; one that got its slot meanwhile
// gives it back.
func (g *gate) abandon(id uint64, reply chan admit.Decision, code result.Code) *result.Error {
	g.mu.Lock()
	waiting := g.core.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !waiting {
		if d := <-reply; d.Verdict == admit.Start {
			g.Leave()
		}
	}
	return result.Errorf(code, "%s", code.Meaning())
}

func (g *gate) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if reply, ok := g.waiting[d.ID]; ok {
			reply <- d
			delete(g.waiting, d.ID)
		}
	}
}

// Leave returns a slot.
func (g *gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Finish(time.Now()))
}

// Load is running and waiting requests per slot.
func (g *gate) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Load()
}

// Running is the number of slots in use.
func (g *gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Running()
}

// Configure sets slots and whether the server drains.
func (g *gate) Configure(slots int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Resize(slots)
	if draining {
		g.deliver(g.core.Drain())
		return
	}
	g.core.Resume()
	g.deliver(g.core.Fill(time.Now()))
}
