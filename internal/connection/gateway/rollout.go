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

// RolloutConfig holds the gateway's settings for rollouts of software versions.
type RolloutConfig struct {
	// Budget limits the exposure of a version before it has been judged good.
	Budget canary.Budget
	// LeaderReachable reports whether the leader has been heard from recently; nil means
	// always.
	LeaderReachable func() bool
	// OnFailure is called immediately when a version under rollout has failed a request. It
	// must not block; nil disables it.
	OnFailure func()
}

func (c RolloutConfig) withDefaults() RolloutConfig {
	if c.LeaderReachable == nil {
		c.LeaderReachable = func() bool { return true }
	}
	if c.OnFailure == nil {
		c.OnFailure = func() {}
	}
	return c
}

// acceptsVersion reports whether a server's software version accepts new requests. The
// daemon on the server's instance refuses requests from a daemon that does not know the
// latest stage yet.
func (g *Gateway) acceptsVersion(s *presence.Server) bool {
	return g.cfg.Directory().Snapshot.AcceptsNewRequests(snapshot.ServiceKey{Mesh: s.Mesh, Name: s.Service}, s.Version)
}

// runningRollout returns the undecided rollout of a service, or nil.
func runningRollout(snap *snapshot.Snapshot, key snapshot.ServiceKey) *fleet.Rollout {
	if r := snap.Rollout(key); r != nil && r.Stage.Running() {
		return r
	}
	return nil
}

// updateRollout updates the account of a service to its rollout; r is nil if there is
// none. A request that started under an older version has no effect: updating to that
// version would discard the counts so far. The caller must hold s.mu.
func (g *Gateway) updateRollout(s *service, dir *directory.Directory, r *fleet.Rollout) {
	if dir.Snapshot.Version < s.version {
		return
	}
	s.version = dir.Snapshot.Version
	switch {
	case r == nil:
		s.account = nil
	case s.account != nil && s.account.IsFor(r):
		s.account.SetRollout(r)
	default:
		s.account = canary.NewAccount(r, g.cfg.Rollout.Budget, g.slackCredit(dir, r))
	}
}

// minUptimeForCredit is how long before the rollout order a daemon must have started to
// receive a part of the slack: a restarted daemon may already have spent its part. It
// exceeds the clock skew between instances.
const minUptimeForCredit = 10 * time.Second

// slackCredit returns this daemon's part of the slack, by its rank among all known
// daemons. The ranking differs from rollout to rollout.
func (g *Gateway) slackCredit(dir *directory.Directory, r *fleet.Rollout) int {
	if r.Ordered.Sub(g.started) < minUptimeForCredit {
		return 0
	}
	weight := func(node string) uint64 { return xxhash.Sum64String(node + strconv.FormatUint(r.Number, 10)) }
	own, rank := weight(g.cfg.Self), 0
	for _, record := range dir.Records {
		if weight(record.Node.Name) < own {
			rank++
		}
	}
	return g.cfg.Rollout.Budget.Credit(rank, len(dir.Records))
}

// chooseVersion selects the software version that a request is sent to. The caller must
// hold s.mu.
func (s *service) chooseVersion(r *flow.Request, now time.Time, route string, inContact bool) {
	if s.account != nil {
		r.Arm, r.RetryArm = s.account.Choose(now, route, inContact)
		r.FallbackArm = s.account.Other(r.RetryArm)
	}
}

// recordSent records the target of an attempt. The caller must hold s.mu.
func (s *service) recordSent(to *directory.Candidate) {
	if s.account != nil && to != nil {
		s.account.Sent(to.Server.Version)
	}
}

// recordResult records the result of an attempt that reached a server.
func (x *exchange) recordResult(to *directory.Candidate, failed bool, took time.Duration) {
	running := runningRollout(x.g.cfg.Directory().Snapshot, x.target.Key)
	if running == nil {
		return
	}
	atStart := runningRollout(x.dir.Snapshot, x.target.Key)
	earlier := atStart == nil || atStart.Number != running.Number
	s := x.call.service
	s.mu.Lock()
	var bad uint64
	if s.account != nil && s.account.IsFor(running) {
		before := s.account.TargetFailures()
		s.account.Answered(canary.Answer{Route: x.route.Name, Version: to.Server.Version, Server: to.Server.Addr, Failed: failed, Took: took, Earlier: earlier})
		bad = s.account.TargetFailures() - before
	}
	s.mu.Unlock()
	if bad > 0 {
		x.g.cfg.Rollout.OnFailure()
	}
}

// recordRefusal records an attempt without a response if the server caused the failure.
func (x *exchange) recordRefusal(to *directory.Candidate, r *refusal, took time.Duration) {
	switch r.Code {
	case result.AnswerLost, result.BackendCrashed, result.DeadlineExceeded:
		x.recordResult(to, true, cmp.Or(x.serverTook, took))
	}
}

// recordResponse records a response that was relayed, or that its server truncated.
func (x *exchange) recordResponse(status int, complete bool) {
	if x.respondingServer == nil || (!complete && x.r.Context().Err() != nil) {
		return
	}
	x.recordResult(x.respondingServer, !complete || status >= http.StatusInternalServerError, x.serverTook)
}

// writeServerTime adds the processing time of the local server to a response while a
// rollout of its service is running.
func (g *Gateway) writeServerTime(h http.Header, req *backendRequest) {
	if req.serverTime > 0 && runningRollout(g.cfg.Directory().Snapshot, snapshot.ServiceKey{Mesh: req.request.Mesh, Name: req.request.Service}) != nil {
		h.Set(headerTook, formatMicroseconds(req.serverTime))
	}
}

// ServiceTally is what this daemon has counted for one rollout.
type ServiceTally struct {
	Key     snapshot.ServiceKey
	Number  uint64
	Tally   canary.Tally
	Tripped string
	// Running is the number of requests, including queued ones, at servers of this
	// instance that do not have the target version.
	Running int
}

// Rollouts returns the running rollouts, sorted by service.
func (g *Gateway) Rollouts() []ServiceTally {
	dir := g.cfg.Directory()
	var list []ServiceTally
	for key, r := range dir.Snapshot.Rollouts() {
		if !r.Stage.Running() {
			continue
		}
		t := ServiceTally{Key: key, Number: r.Number, Running: g.runningOnOtherVersions(key, r.Target)}
		s := g.service(key)
		s.mu.Lock()
		g.updateRollout(s, dir, r)
		known := s.account != nil && s.account.IsFor(r)
		if known {
			t.Tally, t.Tripped = s.account.Tally(), s.account.StopReason()
		}
		s.mu.Unlock()
		if known {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b ServiceTally) int { return cmp.Compare(a.Key.String(), b.Key.String()) })
	return list
}

// runningOnOtherVersions counts the requests at servers of a service on this instance
// that do not have the given software version.
func (g *Gateway) runningOnOtherVersions(key snapshot.ServiceKey, version string) int {
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
