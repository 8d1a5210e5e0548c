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

// service is a flow.Service shared between goroutines.
type service struct {
	mu   sync.Mutex
	core *flow.Service
	news loadNews
	// account is nil while no rollout of the service is running. version is the newest
	// fleet version that account was updated to.
	account *canary.Account
	version uint64
	// levels holds the admission levels that the service's servers reported.
	levels levelNews
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
		s = &service{core: flow.NewService(g.location(), g)}
		s.core.Budget().SetStake(rand.Float64())
		s.core.Table.LinkBytes = g.cfg.LinkBytes
		s.core.Table.Ejected = func(c *directory.Candidate, outcome balance.Outcome, d time.Duration) {
			g.log.Info("backend server ejected", "service", key.String(), "server", c.Server.Addr, "to", c.Node.Name, "why", outcome.String(), "for", d.String())
		}
		g.services[key] = s
	}
	return s
}

// lockedCall is a flow.Call that holds its service's lock during each step.
type lockedCall struct {
	service *service
	call    *flow.Call
}

func (g *Gateway) beginCall(s *service, dir *directory.Directory, target *snapshot.Service, route string, r flow.Request) (*lockedCall, flow.Action) {
	limits, inContact := g.cfg.Retry(), true
	running := runningRollout(dir.Snapshot, target.Key)
	if running != nil {
		inContact = g.cfg.Rollout.LeaderReachable()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateCandidates(dir, target)
	s.core.SetRetryLimits(limits)
	g.updateRollout(s, dir, running)
	s.chooseVersion(&r, time.Now(), route, inContact)
	call, action := s.core.Begin(time.Now(), rand.Uint64(), r)
	s.recordSent(action.Candidate)
	return &lockedCall{service: s, call: call}, action
}

// updateLoad records the reported load of a server.
func (c *lockedCall) updateLoad(to *directory.Candidate, l balance.Load) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.service.core.Table.ReportLoad(time.Now(), to, l)
}

// recordStatement records what a server states about itself.
func (c *lockedCall) recordStatement(to *directory.Candidate, s balance.ServerStatement) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.service.core.Table.RecordStatement(to, s)
}

// statementOf returns what a server last stated about itself.
func (c *lockedCall) statementOf(to *directory.Candidate) balance.ServerStatement {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.service.core.Table.StatementOf(to)
}

func (c *lockedCall) answered() flow.Action {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.call.Answered()
}

func (c *lockedCall) relayed(complete bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.call.Relayed(time.Now(), complete)
}

// failed records the end of an attempt without a response. final is set if the request
// must not be sent again.
func (c *lockedCall) failed(r *refusal, final bool) flow.Action {
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
	action := c.call.Refused(now, rand.Uint64(), r.Code, r.retryAfter)
	c.service.recordSent(action.Candidate)
	return action
}
