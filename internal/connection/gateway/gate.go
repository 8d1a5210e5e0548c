package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/result"
)

// refusal is a final answer without a run, or one whose run is unknown.
type refusal struct {
	*result.Error
	// back is when to come back; 0 is not known.
	back time.Duration
}

func refuse(code result.Code, detail string) *refusal {
	return &refusal{Error: &result.Error{Code: code, Detail: detail}}
}

// gate is an admit.Core that goroutines wait at.
type gate struct {
	mu      sync.Mutex
	core    *admit.Core
	nextID  uint64
	waiting map[uint64]chan admit.Decision
}

func newGate(cfg admit.Config) *gate {
	return &gate{core: admit.New(cfg), waiting: map[uint64]chan admit.Decision{}}
}

// Enter waits for a slot. With nil the caller must call Leave.
func (g *gate) Enter(ctx context.Context, t admit.Ticket) *refusal {
	reply, decided := g.arrive(&t)
	if reply == nil {
		return refusalOf(decided)
	}
	timer := time.NewTimer(time.Until(t.Deadline))
	defer timer.Stop()
	select {
	case d := <-reply:
		return refusalOf(d)
	case <-ctx.Done():
		return g.abandon(t.ID, reply, whyEnded(ctx))
	case <-timer.C:
		return g.abandon(t.ID, reply, result.DeadlineTooShort)
	}
}

// whyEnded tells a deadline, which leaves a waiting request certainly not run,
// from a caller that left.
func whyEnded(ctx context.Context) result.Code {
	if deadlinePassed(ctx) {
		return result.DeadlineTooShort
	}
	return result.CallerLeft
}

// arrive returns the decision on t, or the channel that it will come on.
func (g *gate) arrive(t *admit.Ticket) (chan admit.Decision, admit.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	t.ID = g.nextID
	var own admit.Decision
	for _, d := range g.core.Arrive(time.Now(), *t) {
		if d.ID == t.ID {
			own = d
		}
		g.deliver(d)
	}
	if own.Verdict != admit.Wait {
		return nil, own
	}
	reply := make(chan admit.Decision, 1)
	g.waiting[t.ID] = reply
	return reply, own
}

// Would returns the refusal that a ticket would get now, nil if none.
func (g *gate) Would(t admit.Ticket) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d, refused := g.core.Refuses(time.Now(), &t); refused {
		return refusalOf(d)
	}
	return nil
}

func refusalOf(d admit.Decision) *refusal {
	if d.Verdict == admit.Start {
		return nil
	}
	return &refusal{Error: &result.Error{Code: d.Code, Detail: d.Reason.String()}, back: d.RetryAfter}
}

// abandon takes a ticket out of the queue; one that got its slot meanwhile
// gives it back.
func (g *gate) abandon(id uint64, reply chan admit.Decision, code result.Code) *refusal {
	g.mu.Lock()
	waiting := g.core.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if !waiting {
		if d := <-reply; d.Verdict == admit.Start {
			g.Leave("", 0)
		}
	}
	return refuse(code, code.Meaning())
}

func (g *gate) deliver(decisions ...admit.Decision) {
	for _, d := range decisions {
		if reply, ok := g.waiting[d.ID]; ok {
			reply <- d
			delete(g.waiting, d.ID)
		}
	}
}

// Leave returns the slot of a request of a kind; took is the time to the answer's
// header, 0 without one.
func (g *gate) Leave(kind string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Finish(time.Now(), kind, took)...)
}

// Load is how full the server is. A stalled one counts as full.
func (g *gate) Load() balance.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l := balance.Load{
		Running: g.core.Running(), Queued: g.core.Queued(), Limit: g.core.Limit(now), Service: g.core.Service(), Idle: g.core.Idle(now),
		Failing: g.core.Failing(),
	}
	if g.core.Stalled(now) {
		l.Queued = max(l.Queued, l.Limit)
	}
	return l
}

// Ended takes in how a request that came to the server ended there.
func (g *gate) Ended(resp *http.Response, r *refusal) {
	failed := false
	switch {
	case r == nil:
		failed = resp.StatusCode >= http.StatusInternalServerError
	case r.Code == result.AnswerLost, r.Code == result.DeadlineExceeded, r.Code == result.BackendCrashed, r.Code == result.ServerRefused:
		failed = true
	default:
		return // it says nothing of the server
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Ended(failed)
}

// usual is the time that requests of a kind take.
func (g *gate) usual(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Usual(kind)
}

// Running is the number of slots in use.
func (g *gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Running()
}

// Configure sets the bounds and whether the server drains.
func (g *gate) Configure(cfg admit.Config, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if draining {
		g.deliver(g.core.Drain()...)
		return
	}
	g.core.Resume()
	g.deliver(g.core.Configure(time.Now(), cfg)...)
}
