package admit

import (
	"context"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// Gate is a Core that goroutines wait at.
type Gate struct {
	mu      sync.Mutex
	core    *Core
	nextID  uint64
	waiting map[uint64]chan Decision
}

// NewGate returns a Gate for one backend server.
func NewGate(slots, queueMax int) *Gate {
	return &Gate{core: New(slots, queueMax), waiting: map[uint64]chan Decision{}}
}

// Enter waits for a slot. On a nil error the caller must call Leave.
func (g *Gate) Enter(ctx context.Context, priority int, deadline time.Time) *result.Error {
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	reply := make(chan Decision, 1)
	g.waiting[id] = reply
	g.deliver(g.core.Arrive(time.Now(), Ticket{ID: id, Priority: priority, Deadline: deadline}))
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case d := <-reply:
		return d.refusal()
	case <-ctx.Done():
		return g.abandon(id, reply, result.CallerLeft)
	case <-timer.C:
		return g.abandon(id, reply, result.DeadlineTooShort)
	}
}

func (d Decision) refusal() *result.Error {
	if d.Verdict == Start {
		return nil
	}
	return result.Errorf(d.Code, "%s", d.Code.Meaning())
}

// abandon takes a ticket out of the queue; one that got its slot meanwhile
// gives it back.
func (g *Gate) abandon(id uint64, reply chan Decision, code result.Code) *result.Error {
	g.mu.Lock()
	waiting := g.core.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !waiting {
		if d := <-reply; d.Verdict == Start {
			g.Leave()
		}
	}
	return result.Errorf(code, "%s", code.Meaning())
}

func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		if reply, ok := g.waiting[d.ID]; ok {
			reply <- d
			delete(g.waiting, d.ID)
		}
	}
}

// Leave returns a slot.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Finish(time.Now()))
}

// Load is running and waiting requests per slot.
func (g *Gate) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Load()
}

// Running is the number of slots in use.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Running()
}

// Configure sets slots and whether the server drains.
func (g *Gate) Configure(slots int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Resize(slots)
	if draining {
		g.deliver(g.core.Drain())
		return
	}
	g.core.Resume()
	g.deliver(g.core.fill(time.Now()))
}
