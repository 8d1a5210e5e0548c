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

// The names of the control methods for roll-outs.
const (
	sourceOrderRollout = "Source.OrderRollout"
	sourceReadRollout  = "Source.ReadRollout"
	sourceRolloutMet   = "Source.RolloutMet"
	sourceRolloutTold  = "Source.RolloutTold"
)

const (
	// rolloutTick is how often a source looks at the roll-outs that run, and a daemon
	// whether it has something to report.
	rolloutTick = 100 * time.Millisecond
	// reportLeast is the least time between two reports of a daemon, and reportEach what
	// each daemon of the fleet adds to the usual time: however large the fleet is, the
	// sources take in no more than 1/reportEach of them a second.
	reportLeast = 250 * time.Millisecond
	reportEach  = 5 * time.Millisecond
	// reportMost is well below rollout.SilentAfter.
	reportMost = time.Second
	// reportTimeout bounds one report, stepTimeout the commit of one step.
	reportTimeout = time.Second
	stepTimeout   = 2 * time.Second
)

// The messages of the log about roll-outs.
const (
	logRolloutOrder = "roll-out order answered"
	logRolloutRead  = "roll-out read answered"
	logRolloutStep  = "roll-out step decided"
)

func (d *Daemon) budget() canary.Budget {
	return canary.Budget{Share: d.set.Exposure.Share, Slack: d.set.Exposure.Slack}
}

// rolloutConfig is what the gateway keeps to.
func (d *Daemon) rolloutConfig() gateway.RolloutConfig {
	return gateway.RolloutConfig{
		Budget: d.budget(),
		Touch:  func() bool { return !d.mesh.Status().Stale },
		Failed: func() {
			select {
			case d.rolloutFailed <- struct{}{}:
			default:
			}
		},
	}
}

// OrderRollout hands an order for a roll-out in, here or at another source.
func (d *Daemon) OrderRollout(ctx context.Context, o *source.RolloutOrder) (source.Answer, error) {
	began := time.Now()
	s := d.anySource(ctx, sourceOrderRollout, *o, func(ctx context.Context) (source.Answer, error) { return d.source.OrderRollout(ctx, o) })
	d.metrics.Ordered(s.answer.Code)
	d.operatorLog().Info(logRolloutOrder, "mesh", o.Mesh, "service", o.Service, "target", o.Target, "within", o.Within.String(), "abort", o.Abort,
		"result", s.answer.Code.String(), "detail", s.answer.Detail, "by", s.by, "took", time.Since(began).String())
	return s.answer, nil
}

// NewestRollout returns the newest roll-out of a service, never one that is older than what
// was told before the question.
func (d *Daemon) NewestRollout(ctx context.Context, name source.ServiceName) (source.Answer, error) {
	began := time.Now()
	s := d.anySource(ctx, sourceReadRollout, name, func(ctx context.Context) (source.Answer, error) { return d.source.ReadRollout(ctx, name) })
	stage := ""
	if r := s.answer.Rollout; r != nil {
		stage = r.Stage.String()
	}
	d.metrics.Read(s.answer.Code)
	d.operatorLog().Info(logRolloutRead, "mesh", name.Mesh, "service", name.Service, "stage", stage,
		"result", s.answer.Code.String(), "detail", s.answer.Detail, "by", s.by, "took", time.Since(began).String())
	return s.answer, nil
}

// OrderRollout takes an order in at a source.
func (s *sourceService) OrderRollout(o source.RolloutOrder, answer *source.Answer) error {
	return s.answer(submitTimeout, func(ctx context.Context) (err error) {
		*answer, err = s.d.source.OrderRollout(ctx, &o)
		return err
	})
}

// ReadRollout asks for the newest roll-out of a service.
func (s *sourceService) ReadRollout(name source.ServiceName, answer *source.Answer) error {
	return s.answer(submitTimeout, func(ctx context.Context) (err error) {
		*answer, err = s.d.source.ReadRollout(ctx, name)
		return err
	})
}

// RolloutReply tells where reports are taken in.
type RolloutReply struct {
	// Leader is the peer address of the source that leads, "" if it is not known.
	Leader string
}

// RolloutMet takes in a daemon's report, or passes it on to the leader.
func (s *sourceService) RolloutMet(r rollout.Report, reply *RolloutReply) error {
	if s.d.source == nil {
		return errNotSource
	}
	if s.d.rollouts.take(&r) {
		reply.Leader = s.d.self.Addr
		return nil
	}
	addr, known := s.d.memberAddr(s.d.source.Status().Lead)
	if !known || addr == s.d.self.Addr {
		return errNotLeading
	}
	reply.Leader = addr
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return s.d.pool.Call(ctx, addr, sourceRolloutTold, r, &Empty{})
}

// RolloutTold is RolloutMet at a source that is taken for the leader.
func (s *sourceService) RolloutTold(r rollout.Report, _ *Empty) error {
	if s.d.source == nil || !s.d.rollouts.take(&r) {
		return errNotLeading
	}
	return nil
}

// reportRollouts tells the leader what this daemon meets while roll-outs run, until ctx ends.
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
		if !snap.RolloutRuns() {
			reporter.leader = ""
			continue
		}
		if !reporter.due(time.Now(), len(d.mesh.Directory().Records), stagesOf(snap), failed) {
			continue
		}
		r := rollout.Report{Node: d.set.Node, Incarnation: d.incarnation, Version: snap.Version}
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

// reporter keeps the times of one daemon's reports.
type reporter struct {
	leader string
	turn   int
	last   time.Time
	// stages are those last told.
	stages uint64
	// failed is set by a failure, changed by another stage, until the next report.
	failed, changed bool
}

// stagesOf names the stages of all roll-outs in force; other changes of the fleet's state
// leave it as it is.
func stagesOf(snap *snapshot.Snapshot) uint64 {
	var sum uint64
	for key, r := range snap.Rollouts() {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %d %d", key, r.Number, r.Stage))
	}
	return sum
}

// due reports whether a report is to be sent now: soon after a failure of the target version,
// twice as soon as usual after another stage came into force, else as often as the size of
// the fleet allows.
func (r *reporter) due(now time.Time, daemons int, stages uint64, failed bool) bool {
	r.failed = r.failed || failed
	r.changed = r.changed || stages != r.stages
	wait := min(max(reportLeast, time.Duration(daemons)*reportEach), reportMost)
	switch {
	case r.failed:
		wait = reportLeast / 2
	case r.changed:
		wait /= 2
	}
	if now.Sub(r.last) < wait {
		return false
	}
	r.last, r.stages, r.failed, r.changed = now, stages, false, false
	return true
}

// sendReport sends to the leader, or by way of another source while it is not known.
func (d *Daemon) sendReport(ctx context.Context, to *reporter, r rollout.Report) error {
	if d.source != nil && d.rollouts.take(&r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if to.leader != "" {
		return d.pool.Call(ctx, to.leader, sourceRolloutTold, r, &Empty{})
	}
	sources := d.sources()
	if len(sources) == 0 {
		return errNotSource
	}
	to.turn++
	member := sources[to.turn%len(sources)]
	if member.Node == d.set.Node {
		return errors.New("no leader is known yet")
	}
	var reply RolloutReply
	err := d.pool.Call(ctx, member.Peer, sourceRolloutMet, r, &reply)
	to.leader = reply.Leader
	return err
}

// stepRefused reports whether a step was turned down for good: the next look decides anew.
func stepRefused(a source.Answer, err error) bool {
	return err != nil || (a.Code != result.Accepted && a.Code != result.AlreadyAccepted)
}
