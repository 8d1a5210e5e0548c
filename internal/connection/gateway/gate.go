package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/request/speed"
	"github.com/daisygate/daisygate/internal/result"
)

// refusal is the final result of a request that was not run, or for which it is unknown
// whether it ran.
type refusal struct {
	*result.Error
	// retryAfter is when to retry; 0 means unknown.
	retryAfter time.Duration
}

func newRefusal(code result.Code, detail string) *refusal {
	return &refusal{Error: &result.Error{Code: code, Detail: detail}}
}

// gate is an admit.Core on which goroutines can wait.
type gate struct {
	mu      sync.Mutex
	core    *admit.Core
	nextID  uint64
	waiting map[uint64]chan admit.Decision
	// advance fires when a waiting request may start because of the rate limit; nil until
	// it is first needed.
	advance *time.Timer
	// speed is nil unless the mesh shares load.
	speed *speed.Server
}

func newGate(cfg admit.Config) *gate {
	return &gate{core: admit.New(cfg), waiting: map[uint64]chan admit.Decision{}}
}

// Acquire waits for a slot. If it returns no refusal, the caller must call Release.
func (g *gate) Acquire(ctx context.Context, t admit.Ticket) (admit.Queueing, *refusal) {
	reply, decided := g.submit(&t)
	if reply == nil {
		return decided.Queueing, refusalOf(decided)
	}
	timer := time.NewTimer(time.Until(t.Deadline))
	defer timer.Stop()
	select {
	case d := <-reply:
		return d.Queueing, refusalOf(d)
	case <-ctx.Done():
		return admit.Queueing{}, g.cancel(&t, reply, contextEndCode(ctx))
	case <-timer.C:
		return admit.Queueing{}, g.cancel(&t, reply, result.DeadlineTooShort)
	}
}

// contextEndCode distinguishes a passed deadline, after which a queued request was
// certainly not run, from a caller that disconnected.
func contextEndCode(ctx context.Context) result.Code {
	if deadlinePassed(ctx) {
		return result.DeadlineTooShort
	}
	return result.CallerLeft
}

// submit returns the decision on t, or the channel on which it will be delivered.
func (g *gate) submit(t *admit.Ticket) (chan admit.Decision, admit.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	t.ID = g.nextID
	now := time.Now()
	decisions := g.core.Arrive(now, *t)
	var decision admit.Decision
	for _, d := range decisions {
		if d.ID == t.ID {
			decision = d
		}
	}
	g.apply(now, decisions)
	if decision.Verdict != admit.Wait {
		return nil, decision
	}
	reply := make(chan admit.Decision, 1)
	g.waiting[t.ID] = reply
	return reply, decision
}

// WouldRefuse returns the refusal that a ticket would get now, or nil.
func (g *gate) WouldRefuse(t admit.Ticket) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d, refused := g.core.CheckRefusal(time.Now(), &t); refused {
		return refusalOf(d)
	}
	return nil
}

func refusalOf(d admit.Decision) *refusal {
	if d.Verdict == admit.Start {
		return nil
	}
	return &refusal{Error: &result.Error{Code: d.Code, Detail: d.Reason.String()}, retryAfter: d.RetryAfter}
}

// cancel removes a ticket from the queue. If the ticket has got a slot in the meantime,
// the slot is released.
func (g *gate) cancel(t *admit.Ticket, reply chan admit.Decision, code result.Code) *refusal {
	g.mu.Lock()
	waiting := g.core.Cancel(t.ID)
	delete(g.waiting, t.ID)
	g.mu.Unlock()
	if !waiting {
		if d := <-reply; d.Verdict == admit.Start {
			g.release(t, t.Kind, 0)
		}
	}
	return newRefusal(code, code.Meaning())
}

// apply delivers decisions to the requests that wait for them, and sets the timer for the next
// one that waits for the rate limit. The caller must hold g.mu.
func (g *gate) apply(now time.Time, decisions []admit.Decision) {
	for _, d := range decisions {
		if reply, ok := g.waiting[d.ID]; ok {
			reply <- d
			delete(g.waiting, d.ID)
		}
	}
	in, waiting := g.core.NextStart(now)
	switch {
	case !waiting:
	case g.advance == nil:
		g.advance = time.AfterFunc(in, g.advanceWaiting)
	default:
		g.advance.Reset(in)
	}
}

// Release frees the slot of a request of the given kind. took is the time until the
// response header, or 0 without one.
func (g *gate) Release(kind string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.apply(now, g.core.Finish(now, kind, took))
}

// Load returns the server's load. A stalled server counts as full, and a slot that is kept free for
// calls of backend servers as in use.
func (g *gate) Load() balance.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l := balance.Load{
		Running: g.core.Running() + g.core.ReservedFree(now), Queued: g.core.Queued(), Limit: g.core.Limit(now), Service: g.core.Service(), Idle: g.core.Idle(now),
		FailureRate: g.core.FailureRate(), RateLimit: g.core.RateLimit(), Tokens: g.core.Tokens(now),
	}
	if g.speed != nil {
		l.Slowness, l.Contention = g.speed.Slowness(now).Factor, g.speed.Contention(now).Factor
	}
	if g.core.Stalled(now) {
		l.Queued = max(l.Queued, l.Limit)
	}
	return l
}

// RecordResult records how a request that reached the server ended.
func (g *gate) RecordResult(resp *http.Response, r *refusal) {
	failed := false
	switch {
	case r == nil:
		failed = resp.StatusCode >= http.StatusInternalServerError
	case r.Code == result.AnswerLost, r.Code == result.DeadlineExceeded, r.Code == result.BackendCrashed, r.Code == result.ServerRefused:
		failed = true
	default:
		return // says nothing about the server
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Ended(time.Now(), failed)
}

// ObserveRateLimit applies the rate limit stated in a response that just arrived to a request
// that was sent at sent. It returns the limit before and after it, 0 for none, and whether it
// changed.
func (g *gate) ObserveRateLimit(sent time.Time, s ratelimit.Statement) (before, after float64, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	before = g.core.RateLimit()
	changed, decisions := g.core.ObserveRateLimit(sent, now, s)
	g.apply(now, decisions)
	return before, g.core.RateLimit(), changed
}

// AdoptRateLimit applies a rate limit that the server has stated elsewhere, until a response to
// this daemon states otherwise, and reports whether the limit changed.
func (g *gate) AdoptRateLimit(s ratelimit.Statement) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	changed, decisions := g.core.AdoptRateLimit(now, s)
	g.apply(now, decisions)
	return changed
}

// RateLimit returns the server's rate limit in requests per second; 0 if it has none.
func (g *gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.RateLimit()
}

// advanceWaiting starts the waiting requests that the rate limit allows by now.
func (g *gate) advanceWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.apply(now, g.core.Advance(now))
}

// typicalTime returns the usual duration of requests of the given kind.
func (g *gate) typicalTime(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.ServiceTime(kind)
}

// Running returns the number of slots in use.
func (g *gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Running()
}

// anyWaiting is admit.Core.AnyWaiting.
func (g *gate) anyWaiting(priority int, match func(kind string) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.AnyWaiting(priority, match)
}

// Configure sets the limits and whether the server is draining.
func (g *gate) Configure(cfg admit.Config, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if draining {
		g.apply(now, g.core.Drain(now))
		return
	}
	g.core.Resume()
	g.apply(now, g.core.Configure(now, cfg))
}
