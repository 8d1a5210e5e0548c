package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/request/flow"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// service is a flow.Service that goroutines share.
type service struct {
	mu   sync.Mutex
	core *flow.Service
	// account is nil while no roll-out of the service runs; version is the newest fleet version
	// that it was brought in step with.
	account *canary.Account
	version uint64
}

func (g *Gateway) service(key snapshot.ServiceKey) *service {
	g.servicesMu.RLock()
	s := g.services[key]
	g.servicesMu.RUnlock()
	if s != nil {
		return s
	}
	g.servicesMu.Lock()
	defer g.servicesMu.Unlock()
	if s = g.services[key]; s == nil {
		s = &service{core: flow.NewService(g.place(), g)}
		s.core.Table.LinkBytes = g.cfg.LinkBytes
		s.core.Table.Ejected = func(c *directory.Candidate, end balance.End, d time.Duration) {
			g.log.Info("backend server passed over for a while", "service", key.String(), "server", c.Server.Addr, "to", c.Node.Name, "why", end.String(), "for", d.String())
		}
		g.services[key] = s
	}
	return s
}

// course is a flow.Call whose service is locked for each step.
type course struct {
	service *service
	call    *flow.Call
}

func (g *Gateway) beginCall(s *service, dir *directory.Directory, target *snapshot.Service, route string, r flow.Request) (*course, flow.Action) {
	limits, touch := g.cfg.Retry(), true
	running := runningRollout(dir.Snapshot, target.Key)
	if running != nil {
		touch = g.cfg.Rollout.Touch()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Table.Update(dir.Candidates(target.Key), target.SlowStart)
	s.core.SetRetryLimits(limits)
	g.enterRollout(s, dir, running)
	s.bound(&r, time.Now(), route, touch)
	call, action := s.core.Begin(time.Now(), rand.Uint64(), r)
	s.sent(action.Candidate)
	return &course{service: s, call: call}, action
}

// told takes in the load of a server.
func (c *course) told(to *directory.Candidate, l balance.Load) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.service.core.Table.Told(time.Now(), to, l)
}

func (c *course) answered() flow.Action {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.call.Answered()
}

func (c *course) relayed(whole bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.call.Relayed(time.Now(), whole)
}

// failed takes in the end of an attempt without an answer; final tells that the
// request must not be sent again.
func (c *course) failed(r *refusal, final bool) flow.Action {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if final {
		c.call.BodyBegun()
	}
	now := time.Now()
	switch r.Code {
	case result.DeadlineExceeded:
		return c.call.Expired(now)
	case result.CallerLeft:
		return c.call.CallerLeft(now)
	}
	action := c.call.Refused(now, rand.Uint64(), r.Code, r.back)
	c.service.sent(action.Candidate)
	return action
}
