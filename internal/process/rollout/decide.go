package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// decide returns the next step of a roll-out. It returns false if no step is due.
func (r *activeRollout) decide(now time.Time, f *Fleet, s *Service) (source.RolloutStep, bool) {
	tally := r.tally()
	r.measureLoad(now, &tally)
	r.judgeAnswers(now, f, &tally)
	elapsed := now.Sub(r.orderedAt)
	switch {
	case r.badReason != "":
		return rollBack("version %s is worse than %s: %s", r.rollout.Target, r.rollout.Version, r.badReason)
	case elapsed >= r.rollout.Within-decisionMargin && !(r.rollout.Stage == fleet.Handover && r.handoverComplete(now, f)):
		return rollBack("its time of %s is over in stage %s: %s", r.rollout.Within, r.rollout.Stage, r.waitingFor)
	}
	switch r.rollout.Stage {
	case fleet.Canary:
		return r.decideCanary(elapsed, s, &tally)
	case fleet.Proof:
		return r.decideProof(now, f)
	case fleet.Handover:
		if r.handoverComplete(now, f) {
			return source.RolloutStep{Stage: fleet.Completed, Why: "every request goes to the version, and nothing runs at the one before it"}, true
		}
		r.waitingFor = "not every daemon has confirmed that nothing runs at the version before"
	}
	return source.RolloutStep{}, false
}

// judgeAnswers evaluates the reported responses and sets badReason if the target version
// is bad.
func (r *activeRollout) judgeAnswers(now time.Time, f *Fleet, tally *canary.Tally) {
	if why := r.earlyJudge.Update(tally); why != "" {
		r.badReason = why
	}
	for _, node := range f.Daemons {
		if report := r.reports[node]; !r.isSilent(now, report) && (report == nil || !report.unjudged) {
			return
		}
	}
	for _, report := range r.reports {
		report.unjudged = false
	}
	if why := r.judge.Update(tally); why != "" {
		r.badReason = why
	}
}

func rollBack(format string, args ...any) (source.RolloutStep, bool) {
	return source.RolloutStep{Stage: fleet.RolledBack, Why: fmt.Sprintf(format, args...)}, true
}

// measureInterval is the minimum time between two measurements of the load.
const measureInterval = 500 * time.Millisecond

// measureLoad measures the number of slots in use by requests of the service.
func (r *activeRollout) measureLoad(now time.Time, tally *canary.Tally) {
	busy := tally.Busy()
	if since := now.Sub(r.measuredAt); !r.measuredAt.IsZero() && since >= measureInterval && busy >= r.busyTime {
		r.slotsInUse = float64(busy-r.busyTime) / float64(since)
	} else if !r.measuredAt.IsZero() {
		return
	}
	r.busyTime, r.measuredAt = busy, now
}

// proofStart returns when the proof stage starts, as time since the order. It is as late as
// the duration of the remaining stages allows, because some versions turn bad only after
// some time, but not before minCanaryFraction of the time limit.
func (r *activeRollout) proofStart(timeout time.Duration) time.Duration {
	rest := minProofTime + propagationTime + timeout + propagationTime + reportCollectionTime + electionTime + decisionMargin
	return max(r.rollout.Within-rest, time.Duration(minCanaryFraction*float64(r.rollout.Within)))
}

// decideCanary adjusts the number of canary servers, and advances to the proof stage once
// the canary stage has lasted long enough.
func (r *activeRollout) decideCanary(elapsed time.Duration, s *Service, tally *canary.Tally) (source.RolloutStep, bool) {
	base, target := s.Sides[r.rollout.Version], s.Sides[r.rollout.Target]
	proofStart := r.proofStart(s.Timeout)
	if elapsed < proofStart {
		servers := r.canaryServers(elapsed, proofStart, base, target)
		if servers == r.rollout.Servers {
			return source.RolloutStep{}, false
		}
		return source.RolloutStep{Stage: fleet.Canary, Servers: servers, Why: "as many servers as bear the part of the requests that is tried"}, true
	}
	answers := tally.Target().Answers
	switch {
	case answers < minAnswers:
		r.waitingFor = fmt.Sprintf("%d answers of the version came, and %d tell something", answers, minAnswers)
	case r.judge.EvidenceRatio() > maxDoubt:
		r.waitingFor = r.doubtDetail()
	case float64(target.WarmSlots) < r.slotsInUse:
		r.waitingFor = fmt.Sprintf("its servers have %d slots, the work takes %.0f", target.WarmSlots, r.slotsInUse)
	default:
		return source.RolloutStep{Stage: fleet.Proof, Servers: target.warmServers(), Why: fmt.Sprintf("%d answers of the version are as good as those of the one before", answers)}, true
	}
	return source.RolloutStep{}, false
}

// minCanaryServers is the minimum number of canary servers at the start. With fewer servers, a
// single slow or failing server would be mistaken for a bad version.
const minCanaryServers = 3

func (r *activeRollout) doubtDetail() string {
	return "the answers of the version leave it in doubt: " + r.judge.String()
}

// canaryServers returns the number of servers of the target version to use. At first they are
// as many as have the same utilization as the servers of the base version, later half as
// many, to test them under higher load.
func (r *activeRollout) canaryServers(elapsed, proofStart time.Duration, base, target VersionCapacity) int {
	warm := target.warmServers()
	if warm == 0 {
		return 0
	}
	slots := float64(target.Slots) / float64(target.Servers)
	wanted := canary.CanaryPart * r.budget.Share * float64(base.Slots) / slots
	least := minCanaryServers
	if float64(elapsed) > canaryHalvingFraction*float64(proofStart) {
		wanted, least = wanted/2, 1
	}
	return min(max(least, int(math.Round(wanted))), warm)
}

// decideProof advances to the handover stage once all target servers have handled, for
// minProofTime, the load that the budget allows.
func (r *activeRollout) decideProof(now time.Time, f *Fleet) (source.RolloutStep, bool) {
	switch {
	case !r.stageConfirmed(now, f):
		r.waitingFor = "not every daemon has confirmed it"
		return source.RolloutStep{}, false
	case r.judge.EvidenceRatio() > maxDoubt:
		r.waitingFor = r.doubtDetail()
		return source.RolloutStep{}, false
	case now.Sub(r.stageEnteredAt) < minProofTime:
		return source.RolloutStep{}, false
	}
	return source.RolloutStep{Stage: fleet.Handover, Why: "its servers bore what the budget allows"}, true
}

// stageConfirmed reports whether every reachable daemon has the current stage in force.
func (r *activeRollout) stageConfirmed(now time.Time, f *Fleet) bool {
	for _, node := range f.Daemons {
		if report := r.reports[node]; !r.isSilent(now, report) && (report == nil || report.version < r.stageVersion) {
			return false
		}
	}
	return true
}

// isSilent reports whether a daemon has sent no report for UnreachableAfter, so that it is
// considered unreachable.
func (r *activeRollout) isSilent(now time.Time, report *daemonReport) bool {
	lastHeard := r.listeningSince
	if report != nil {
		lastHeard = report.receivedAt
	}
	if lastHeard.Before(r.stageEnteredAt) && report == nil {
		lastHeard = r.stageEnteredAt
	}
	return now.Sub(lastHeard) >= UnreachableAfter
}

// handoverComplete reports whether no requests are sent to the previous version any more and
// none is running there.
func (r *activeRollout) handoverComplete(now time.Time, f *Fleet) bool {
	if !r.stageConfirmed(now, f) {
		return false
	}
	for _, node := range f.Daemons {
		if report := r.reports[node]; report != nil && !r.isSilent(now, report) && report.report.Running > 0 {
			return false
		}
	}
	return true
}
