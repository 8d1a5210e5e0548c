// Package rollout controls the roll-out of a new software version of a service. It runs on
// the leader of the sources, aggregates the daemons' reports on the responses of both
// versions, and advances the roll-out from stage to stage or rolls it back.
//
// Its inputs are the time, the reports of the daemons and the state of the fleet; its outputs
// are steps for the replicated log. The package does no I/O and reads no clock. The aggregated
// reports are lost with the leader. Since each report is cumulative since the order, the next
// leader has the same data after the next report of every daemon.
package rollout

import (
	"fmt"
	"time"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// Durations used to schedule the stages of a roll-out.
const (
	// propagationTime is the time to commit a step and put it in force on all daemons.
	propagationTime = 800 * time.Millisecond
	// reportCollectionTime is the time to receive a report from every daemon.
	reportCollectionTime = 600 * time.Millisecond
	// electionTime is reserved for one leader election during the roll-out.
	electionTime = time.Second
	// minProofTime is how long all backend servers of the target version receive load while
	// rolling back is still as fast as in the canary stage.
	minProofTime = 1200 * time.Millisecond
	// decisionMargin is how long before its time limit a roll-out is decided as it stands:
	// completed if the handover is complete, otherwise rolled back.
	decisionMargin = 300 * time.Millisecond
	// UnreachableAfter is the time without reports after which a daemon is considered
	// unreachable. By then the daemon has stopped sending requests to the target version on
	// its own, and once the backend servers of the previous version are taken out of use,
	// the daemons on the same instances reject its requests.
	UnreachableAfter = 2500 * time.Millisecond
)

const (
	// minCanaryFraction is the smallest part of the time limit that is used for the canary
	// stage, however short the time limit is.
	minCanaryFraction = 0.4
	// canaryHalvingFraction is the part of the canary stage after which the number of canary
	// servers is halved: some versions fail only under load.
	canaryHalvingFraction = 0.5
	// earlyAlarm is the evidence threshold used before every daemon has reported.
	earlyAlarm = 14.0
	// minAnswers is the minimum number of responses of the target version needed to
	// consider it good.
	minAnswers = 20
	// maxDoubt is the maximum evidence against the target version, as a part of the
	// alarm threshold, with which a roll-out may advance.
	maxDoubt = 0.5
)

// Report is a daemon's report on the running roll-outs. It is cumulative since each roll-out
// was ordered.
type Report struct {
	Node string
	// Incarnation increases with every restart of a daemon.
	Incarnation uint64
	// Version is the fleet version in force on the daemon.
	Version  uint64
	Services []ServiceReport
}

// ServiceReport is a daemon's report on one roll-out.
type ServiceReport struct {
	source.ServiceName
	// Number is the number of the roll-out.
	Number uint64
	Tally  canary.Tally
	// Running is the number of requests running on the daemon's local backend servers that
	// are not of the target version.
	Running int
}

// VersionCapacity is the capacity of the backend servers of one software version of a service.
type VersionCapacity struct {
	// Servers and Slots count the servers that accept requests and their slots. WarmSlots
	// are the slots of the servers that have completed their slow start.
	Servers, Slots, WarmSlots int
}

// warmServers returns the number of servers that have completed their slow start.
func (s VersionCapacity) warmServers() int {
	if s.Slots == 0 {
		return 0
	}
	return s.Servers * s.WarmSlots / s.Slots
}

// Service is the leader's view of one service.
type Service struct {
	source.ServiceName
	// Rollout is the newest roll-out, or nil if no version of the service is known yet.
	Rollout *fleet.Rollout
	// Sides are the backend servers by software version.
	Sides map[string]VersionCapacity
	// Timeout is the longest request timeout of the service.
	Timeout time.Duration
}

// Fleet is the leader's view of the fleet.
type Fleet struct {
	// Version is the newest fleet version.
	Version  uint64
	Services []Service
	// Daemons are the names of all known daemons.
	Daemons []string
}

// Controller controls the roll-outs of all services. It is not safe for concurrent use.
type Controller struct {
	// budget limits the requests sent to a version before it is judged good.
	budget canary.Budget
	// firstSeen is when each roll-out was first seen by this source.
	firstSeen map[rolloutKey]time.Time
	active    map[rolloutKey]*activeRollout
	// unversionedSince is when each service without a known version was first seen with
	// servers.
	unversionedSince map[source.ServiceName]time.Time
}

type rolloutKey struct {
	source.ServiceName
	number uint64
}

// New returns a Core without any roll-outs.
func New(b canary.Budget) *Controller {
	return &Controller{budget: b, firstSeen: map[rolloutKey]time.Time{}, active: map[rolloutKey]*activeRollout{}, unversionedSince: map[source.ServiceName]time.Time{}}
}

// activeRollout is the leader's state of one undecided roll-out.
type activeRollout struct {
	rollout fleet.Rollout
	budget  canary.Budget
	// orderedAt is when the roll-out was ordered, stageEnteredAt when this leader first saw
	// its current stage, and listeningSince when this leader started to accept reports.
	orderedAt, stageEnteredAt, listeningSince time.Time
	// stageVersion is the fleet version at stageEnteredAt: a daemon that has this version
	// in force has the current stage in force.
	stageVersion uint64
	reports      map[string]*daemonReport
	// judge evaluates the responses once every reachable daemon has reported. earlyJudge
	// evaluates them on every tick. Its threshold is higher, because daemons report failures
	// at once but successes later, which biases incomplete reports towards failures.
	judge, earlyJudge canary.Judge
	badReason         string
	// waitingFor describes the condition that the current stage is waiting for.
	waitingFor string
	// busyTime is the total busy time of the servers at measuredAt. slotsInUse is the
	// average number of slots in use during the last measurement interval.
	busyTime   time.Duration
	measuredAt time.Time
	slotsInUse float64
}

// daemonReport is the newest report of a daemon.
type daemonReport struct {
	receivedAt  time.Time
	incarnation uint64
	version     uint64
	report      ServiceReport
	// unjudged is set until the judge has evaluated the report.
	unjudged bool
	// earlierTally is the sum of the tallies of earlier incarnations of the daemon.
	earlierTally canary.Tally
}

// initialVersionDelay is how long the servers of a service are observed before the version
// run by most of them is recorded as its initial version.
const initialVersionDelay = time.Second

// Watch records when each roll-out is first seen. It is called on every source, so that a new
// leader knows how long the roll-outs have been running. fresh is set if this source has just
// started: the age of a roll-out is then derived from wall, the wall clock time.
func (c *Controller) Watch(now, wall time.Time, fresh bool, services []Service) {
	for _, s := range services {
		if s.Rollout == nil || !s.Rollout.Stage.Running() {
			continue
		}
		k := rolloutKey{s.ServiceName, s.Rollout.Number}
		if _, known := c.firstSeen[k]; known {
			continue
		}
		c.firstSeen[k] = now
		if fresh {
			ago := min(max(wall.Sub(s.Rollout.Ordered), 0), s.Rollout.Within)
			c.firstSeen[k] = now.Add(-ago)
		}
	}
}

// StepDown discards the state that only a leader needs.
func (c *Controller) StepDown() {
	clear(c.active)
	clear(c.unversionedSince)
}

// Report records a daemon's report. It ignores services without a running roll-out.
func (c *Controller) Report(now time.Time, r *Report) {
	for i := range r.Services {
		s := &r.Services[i]
		if rollout := c.active[rolloutKey{s.ServiceName, s.Number}]; rollout != nil {
			rollout.addReport(now, r, s)
		}
	}
}

func (r *activeRollout) addReport(now time.Time, from *Report, s *ServiceReport) {
	last := r.reports[from.Node]
	switch {
	case last == nil:
		last = &daemonReport{incarnation: from.Incarnation}
		r.reports[from.Node] = last
	case from.Incarnation < last.incarnation:
		return
	case from.Incarnation > last.incarnation:
		last.earlierTally.Merge(&last.report.Tally)
		last.incarnation, last.version = from.Incarnation, 0
	case s.Tally.Reached < last.report.Tally.Reached:
		return // an older report that was delayed
	}
	last.receivedAt, last.version, last.report, last.unjudged = now, max(last.version, from.Version), *s, true
}

// Tick returns the steps to be proposed to the log.
func (c *Controller) Tick(now time.Time, f *Fleet) []source.RolloutStep {
	var steps []source.RolloutStep
	running := map[rolloutKey]bool{}
	for i := range f.Services {
		s := &f.Services[i]
		if s.Rollout == nil {
			steps = append(steps, c.setInitialVersion(now, s)...)
			continue
		}
		if !s.Rollout.Stage.Running() {
			continue
		}
		r := c.activeFor(now, f, s)
		running[rolloutKey{s.ServiceName, s.Rollout.Number}] = true
		if step, due := r.decide(now, f, s); due {
			step.ServiceName, step.Number = s.ServiceName, s.Rollout.Number
			steps = append(steps, step)
		}
	}
	for k := range c.active {
		if !running[k] {
			delete(c.active, k)
		}
	}
	return steps
}

// setInitialVersion returns the step that sets the initial version of a service to the
// version run by most of its servers, once they have been observed for
// initialVersionDelay.
func (c *Controller) setInitialVersion(now time.Time, s *Service) []source.RolloutStep {
	version, most := "", 0
	for v, side := range s.Sides {
		if side.Servers > most || (side.Servers == most && v < version) {
			version, most = v, side.Servers
		}
	}
	if most == 0 {
		return nil
	}
	since, known := c.unversionedSince[s.ServiceName]
	if !known {
		c.unversionedSince[s.ServiceName] = now
		return nil
	}
	if now.Sub(since) < initialVersionDelay {
		return nil
	}
	return []source.RolloutStep{{
		ServiceName: s.ServiceName, Version: version,
		Why: fmt.Sprintf("%d servers of the service announce it, and no other version was in use", most),
	}}
}

func (c *Controller) activeFor(now time.Time, f *Fleet, s *Service) *activeRollout {
	k := rolloutKey{s.ServiceName, s.Rollout.Number}
	r := c.active[k]
	if r == nil {
		orderedAt, known := c.firstSeen[k]
		if !known {
			orderedAt = now
		}
		r = &activeRollout{
			budget: c.budget, orderedAt: orderedAt, listeningSince: now, reports: map[string]*daemonReport{},
			judge: canary.Judge{Alarm: canary.Alarm}, earlyJudge: canary.Judge{Alarm: earlyAlarm},
		}
		c.active[k] = r
	}
	if r.stageVersion == 0 || r.rollout.Stage != s.Rollout.Stage {
		r.stageEnteredAt, r.stageVersion = now, f.Version
	}
	r.rollout = *s.Rollout
	return r
}

// Tally returns the sum of all daemons' tallies of a roll-out. It returns false if the
// roll-out is not active.
func (c *Controller) Tally(name source.ServiceName, number uint64) (canary.Tally, bool) {
	r := c.active[rolloutKey{name, number}]
	if r == nil {
		return canary.Tally{}, false
	}
	return r.tally(), true
}

func (r *activeRollout) tally() canary.Tally {
	var sum canary.Tally
	for _, report := range r.reports {
		sum.Merge(&report.earlierTally)
		sum.Merge(&report.report.Tally)
	}
	return sum
}
