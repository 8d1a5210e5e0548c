package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/process/rollout"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// RPC methods for rollouts.
const (
	sourceOrderRollout = "Source.OrderRollout"
	sourceReadRollout  = "Source.ReadRollout"
	sourceRolloutMet   = "Source.RolloutMet"
	sourceRolloutTold  = "Source.RolloutTold"
)

const (
	// rolloutTick is the interval at which a source evaluates the running rollouts and a daemon
	// checks whether a report is due.
	rolloutTick = 100 * time.Millisecond
	// minReportInterval is the minimum time between two reports of a daemon. The usual interval
	// is reportIntervalPerDaemon times the number of daemons, so that the sources receive at
	// most 1/reportIntervalPerDaemon reports a second.
	minReportInterval       = 250 * time.Millisecond
	reportIntervalPerDaemon = 5 * time.Millisecond
	// maxReportInterval is well below rollout.UnreachableAfter.
	maxReportInterval = time.Second
	// reportTimeout is the timeout of one report, stepTimeout that of the commit of one step.
	reportTimeout = time.Second
	stepTimeout   = 2 * time.Second
)

// Log messages about rollouts.
const (
	logRolloutOrder = "roll-out order answered"
	logRolloutRead  = "roll-out read answered"
	logRolloutStep  = "roll-out step decided"
)

// exposureBudget returns how many requests all daemons together may send to a version under
// rollout.
func (d *Daemon) exposureBudget() canary.Budget {
	return canary.Budget{Share: d.settings.Exposure.Share, Slack: d.settings.Exposure.Slack}
}

// rolloutConfig returns the rollout configuration of the gateway.
func (d *Daemon) rolloutConfig() gateway.RolloutConfig {
	return gateway.RolloutConfig{
		Budget:          d.exposureBudget(),
		LeaderReachable: func() bool { return !d.mesh.Status().Stale },
		OnFailure: func() {
			select {
			case d.rolloutFailed <- struct{}{}:
			default:
			}
		},
	}
}

// OrderRollout submits an order for a rollout to this source or another one.
func (d *Daemon) OrderRollout(ctx context.Context, o *source.RolloutOrder) (source.Answer, error) {
	start := time.Now()
	s := d.askSources(ctx, sourceOrderRollout, *o, func(ctx context.Context) (source.Answer, error) { return d.source.OrderRollout(ctx, o) })
	d.metrics.CountOrder(s.answer.Code)
	d.operatorLog().Info(logRolloutOrder, "mesh", o.Mesh, "service", o.Service, "target", o.Target, "within", o.Within.String(), "abort", o.Abort,
		"result", s.answer.Code.String(), "detail", s.answer.Detail, "by", s.by, "took", time.Since(start).String())
	return s.answer, nil
}

// NewestRollout returns the newest rollout of a service. The read is linearizable: it never
// returns an older state than one returned before the call.
func (d *Daemon) NewestRollout(ctx context.Context, name source.ServiceName) (source.Answer, error) {
	start := time.Now()
	s := d.askSources(ctx, sourceReadRollout, name, func(ctx context.Context) (source.Answer, error) { return d.source.ReadRollout(ctx, name) })
	stage := ""
	if r := s.answer.Rollout; r != nil {
		stage = r.Stage.String()
	}
	d.metrics.CountRead(s.answer.Code)
	d.operatorLog().Info(logRolloutRead, "mesh", name.Mesh, "service", name.Service, "stage", stage,
		"result", s.answer.Code.String(), "detail", s.answer.Detail, "by", s.by, "took", time.Since(start).String())
	return s.answer, nil
}

// OrderRollout submits an order for a rollout.
func (s *sourceService) OrderRollout(o source.RolloutOrder, answer *source.Answer) error {
	return s.handle(submitTimeout, func(ctx context.Context) (err error) {
		*answer, err = s.d.source.OrderRollout(ctx, &o)
		return err
	})
}

// ReadRollout returns the newest rollout of a service.
func (s *sourceService) ReadRollout(name source.ServiceName, answer *source.Answer) error {
	return s.handle(submitTimeout, func(ctx context.Context) (err error) {
		*answer, err = s.d.source.ReadRollout(ctx, name)
		return err
	})
}

// RolloutReply is the reply of Source.RolloutMet.
type RolloutReply struct {
	// Leader is the peer address of the leader, which accepts the reports; "" if it is not
	// known.
	Leader string
}

// RolloutMet accepts a daemon's report if this source is the leader, else forwards it to the
// leader.
func (s *sourceService) RolloutMet(r rollout.Report, reply *RolloutReply) error {
	if s.d.source == nil {
		return errNotSource
	}
	if s.d.rollouts.accept(&r) {
		reply.Leader = s.d.self.Addr
		return nil
	}
	addr, known := s.d.memberAddr(s.d.source.Status().Lead)
	if !known || addr == s.d.self.Addr {
		return errNotLeader
	}
	reply.Leader = addr
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return s.d.pool.Call(ctx, addr, sourceRolloutTold, r, &Empty{})
}

// RolloutTold is RolloutMet without forwarding. It is called at the presumed leader.
func (s *sourceService) RolloutTold(r rollout.Report, _ *Empty) error {
	if s.d.source == nil || !s.d.rollouts.accept(&r) {
		return errNotLeader
	}
	return nil
}

// reportRollouts sends this daemon's results to the leader while rollouts run, until ctx ends.
func (d *Daemon) reportRollouts(ctx context.Context) {
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	var reporter reporter
	for {
		failed := false
		select {
		case <-ctx.Done():
			return
		case <-d.rolloutFailed:
			failed = true
		case <-ticker.C:
		}
		snap := d.mesh.Directory().Snapshot
		if !snap.RolloutInProgress() {
			reporter.leader = ""
			continue
		}
		if !reporter.due(time.Now(), len(d.mesh.Directory().Records), hashStages(snap), failed) {
			continue
		}
		r := rollout.Report{Node: d.settings.Node, Incarnation: d.incarnation, Version: snap.Version}
		for _, t := range d.gateway.Rollouts() {
			r.Services = append(r.Services, rollout.ServiceReport{
				ServiceName: source.ServiceName{Mesh: t.Key.Mesh, Service: t.Key.Name}, Number: t.Number,
				Tally: t.Tally, Running: t.Running,
			})
		}
		if err := d.sendReport(ctx, &reporter, r); err != nil {
			reporter.leader = ""
			d.log.V(1).Info("roll-out report not delivered", "error", err.Error())
		}
	}
}

// reporter schedules one daemon's reports.
type reporter struct {
	// leader is the peer address of the leader, "" if it is not known.
	leader string
	// turn counts the reports sent without a known leader; it selects the source to send to.
	turn int
	last time.Time
	// stages is the hash of the stages at the last report.
	stages uint64
	// failed is set by a failure of the target version, changed by a change of stage. Both are
	// cleared by the next report.
	failed, changed bool
}

// hashStages returns a hash of the stages of all rollouts in force. Other changes of the
// fleet's state do not change it.
func hashStages(snap *snapshot.Snapshot) uint64 {
	var sum uint64
	for key, r := range snap.Rollouts() {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %d %d", key, r.Number, r.Stage))
	}
	return sum
}

// due reports whether a report is to be sent now. The interval between reports depends on the
// size of the fleet. It is half of that after a change of stage, and minReportInterval/2 after
// a failure of the target version.
func (r *reporter) due(now time.Time, daemons int, stages uint64, failed bool) bool {
	r.failed = r.failed || failed
	r.changed = r.changed || stages != r.stages
	wait := min(max(minReportInterval, time.Duration(daemons)*reportIntervalPerDaemon), maxReportInterval)
	switch {
	case r.failed:
		wait = minReportInterval / 2
	case r.changed:
		wait /= 2
	}
	if now.Sub(r.last) < wait {
		return false
	}
	r.last, r.stages, r.failed, r.changed = now, stages, false, false
	return true
}

// sendReport sends a report to the leader, or to one of the sources in turn while the leader is
// not known.
func (d *Daemon) sendReport(ctx context.Context, state *reporter, r rollout.Report) error {
	if d.source != nil && d.rollouts.accept(&r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if state.leader != "" {
		return d.pool.Call(ctx, state.leader, sourceRolloutTold, r, &Empty{})
	}
	sources := d.sources()
	if len(sources) == 0 {
		return errNotSource
	}
	state.turn++
	member := sources[state.turn%len(sources)]
	if member.Node == d.settings.Node {
		return errors.New("no leader is known yet")
	}
	var reply RolloutReply
	err := d.pool.Call(ctx, member.Peer, sourceRolloutMet, r, &reply)
	state.leader = reply.Leader
	return err
}

// stepRefused reports whether a step was not committed. The next tick then decides again.
func stepRefused(a source.Answer, err error) bool {
	return err != nil || (a.Code != result.Accepted && a.Code != result.AlreadyAccepted)
}
