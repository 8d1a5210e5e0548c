package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/request/flow"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// RolloutConfig is what the gateway keeps to while software versions are exchanged.
type RolloutConfig struct {
	// Budget is what a version may get before it is judged good.
	Budget canary.Budget
	// Touch reports whether the leader was heard of lately; nil is always.
	Touch func() bool
	// Failed is told at once when a version under roll-out failed a request; it must not
	// block. nil tells nobody.
	Failed func()
}

func (c RolloutConfig) withDefaults() RolloutConfig {
	if c.Touch == nil {
		c.Touch = func() bool { return true }
	}
	if c.Failed == nil {
		c.Failed = func() {}
	}
	return c
}

// takes reports whether a server's software version takes new requests. The daemon beside the
// server refuses what another one sends that has not heard of the newest stage.
func (g *Gateway) takes(s *presence.Server) bool {
	return g.cfg.Directory().Snapshot.Takes(snapshot.ServiceKey{Mesh: s.Mesh, Name: s.Service}, s.Version)
}

// runningRollout returns the roll-out of a service that is not decided yet, or nil.
func runningRollout(snap *snapshot.Snapshot, key snapshot.ServiceKey) *fleet.Rollout {
	if r := snap.Rollout(key); r != nil && r.Stage.Running() {
		return r
	}
	return nil
}

// enterRollout brings the account of a service in step with its roll-out, nil for none. A
// request that began under an older version changes nothing: what was counted would be lost.
// s.mu is held.
func (g *Gateway) enterRollout(s *service, dir *directory.Directory, r *fleet.Rollout) {
	if dir.Snapshot.Version < s.version {
		return
	}
	s.version = dir.Snapshot.Version
	switch {
	case r == nil:
		s.account = nil
	case s.account != nil && s.account.Of(r):
		s.account.Enter(r)
	default:
		s.account = canary.NewAccount(r, g.cfg.Rollout.Budget, g.credit(dir, r))
	}
}

// creditAge is how long before the order a daemon must have started to have a part of the
// slack: one that was restarted may have spent it before. It is above what clocks of
// instances differ by.
const creditAge = 10 * time.Second

// credit is this daemon's part of the slack, by its place among all that are known. Each
// roll-out has another order of them.
func (g *Gateway) credit(dir *directory.Directory, r *fleet.Rollout) int {
	if r.Ordered.Sub(g.started) < creditAge {
		return 0
	}
	weight := func(node string) uint64 { return xxhash.Sum64String(node + strconv.FormatUint(r.Number, 10)) }
	own, place := weight(g.cfg.Self), 0
	for _, record := range dir.Records {
		if weight(record.Node.Name) < own {
			place++
		}
	}
	return g.cfg.Rollout.Budget.Credit(place, len(dir.Records))
}

// bound chooses the software version that a request goes to. s.mu is held.
func (s *service) bound(r *flow.Request, now time.Time, route string, touch bool) {
	if s.account != nil {
		r.Arm, r.Then = s.account.Choose(now, route, touch)
		r.Otherwise = s.account.Other(r.Then)
	}
}

// sent notes where an attempt goes. The service's lock is held.
func (s *service) sent(to *directory.Candidate) {
	if s.account != nil && to != nil {
		s.account.Sent(to.Server.Version)
	}
}

// met takes in how an attempt ended that came to a server.
func (x *exchange) met(to *directory.Candidate, failed bool, took time.Duration) {
	if runningRollout(x.dir.Snapshot, x.target.Key) == nil {
		return
	}
	s := x.course.service
	s.mu.Lock()
	var bad uint64
	if s.account != nil {
		before := s.account.Bad()
		s.account.Answered(canary.Answer{Route: x.route.Name, Version: to.Server.Version, Server: to.Server.Addr, Failed: failed, Took: took})
		bad = s.account.Bad() - before
	}
	s.mu.Unlock()
	if bad > 0 {
		x.g.cfg.Rollout.Failed()
	}
}

// metRefusal takes in an attempt without an answer, as far as its server is to blame.
func (x *exchange) metRefusal(to *directory.Candidate, r *refusal, took time.Duration) {
	switch r.Code {
	case result.AnswerLost, result.BackendCrashed, result.DeadlineExceeded:
		x.met(to, true, cmp.Or(x.serverTook, took))
	}
}

// metAnswer takes in an answer that was passed on, or cut on the way by its server.
func (x *exchange) metAnswer(status int, whole bool) {
	if x.answeredBy == nil || (!whole && x.r.Context().Err() != nil) {
		return
	}
	x.met(x.answeredBy, !whole || status >= http.StatusInternalServerError, x.serverTook)
}

// tellTook puts the time that the server beside this daemon took into an answer, while a
// roll-out of its service runs.
func (g *Gateway) tellTook(h http.Header, k *work) {
	if k.took > 0 && runningRollout(g.cfg.Directory().Snapshot, snapshot.ServiceKey{Mesh: k.hooked.Mesh, Name: k.hooked.Service}) != nil {
		h.Set(headerTook, microseconds(k.took))
	}
}

// ServiceTally is what this daemon has met of one roll-out.
type ServiceTally struct {
	Key     snapshot.ServiceKey
	Number  uint64
	Tally   canary.Tally
	Tripped string
	// Running are the requests at servers beside this daemon that are not of the target
	// version, waiting ones included.
	Running int
}

// Rollouts lists the roll-outs that run, by service.
func (g *Gateway) Rollouts() []ServiceTally {
	dir := g.cfg.Directory()
	var list []ServiceTally
	for key, r := range dir.Snapshot.Rollouts() {
		if !r.Stage.Running() {
			continue
		}
		t := ServiceTally{Key: key, Number: r.Number, Running: g.runningBeside(key, r.Target)}
		s := g.service(key)
		s.mu.Lock()
		g.enterRollout(s, dir, r)
		known := s.account != nil && s.account.Of(r)
		if known {
			t.Tally, t.Tripped = s.account.Tally(), s.account.Tripped()
		}
		s.mu.Unlock()
		if known {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b ServiceTally) int { return cmp.Compare(a.Key.String(), b.Key.String()) })
	return list
}

// runningBeside counts the requests at servers of a service beside this daemon that are not
// of a software version.
func (g *Gateway) runningBeside(key snapshot.ServiceKey, version string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for addr, b := range g.backends {
		if b.server.Mesh == key.Mesh && b.server.Service == key.Name && b.server.Version != version {
			o := b.gate.occupancy(addr)
			sum += o.Running + o.Queued
		}
	}
	return sum
}
