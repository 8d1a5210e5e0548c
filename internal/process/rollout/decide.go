package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// decide returns the next step of a roll-out, if one is due.
func (r *run) decide(now time.Time, f *Fleet, s *Service) (source.RolloutStep, bool) {
	tally := r.tally()
	r.measure(now, &tally)
	r.look(now, f, &tally)
	elapsed := now.Sub(r.began)
	switch {
	case r.bad != "":
		return back("version %s is worse than %s: %s", r.rollout.Target, r.rollout.Version, r.bad)
	case elapsed >= r.rollout.Within-lastMoment && !(r.rollout.Stage == fleet.Handover && r.handedOver(now, f)):
		return back("its time of %s is over in stage %s: %s", r.rollout.Within, r.rollout.Stage, r.lacks)
	}
	switch r.rollout.Stage {
	case fleet.Canary:
		return r.canary(elapsed, s, &tally)
	case fleet.Proof:
		return r.proof(now, f)
	case fleet.Handover:
		if r.handedOver(now, f) {
			return source.RolloutStep{Stage: fleet.Completed, Why: "every request goes to the version, and nothing runs at the one before it"}, true
		}
		r.lacks = "not every daemon has confirmed that nothing runs at the version before"
	}
	return source.RolloutStep{}, false
}

// look has the answers judged.
func (r *run) look(now time.Time, f *Fleet, t *canary.Tally) {
	if why := r.alert.Update(t); why != "" {
		r.bad = why
	}
	for _, node := range f.Daemons {
		if n := r.nodes[node]; !r.silent(now, n) && (n == nil || !n.fresh) {
			return
		}
	}
	for _, n := range r.nodes {
		n.fresh = false
	}
	if why := r.judge.Update(t); why != "" {
		r.bad = why
	}
}

func back(format string, args ...any) (source.RolloutStep, bool) {
	return source.RolloutStep{Stage: fleet.RolledBack, Why: fmt.Sprintf(format, args...)}, true
}

// measureEvery is the least time between two looks at how much work there is.
const measureEvery = 500 * time.Millisecond

// measure finds how many slots the service's work takes.
func (r *run) measure(now time.Time, t *canary.Tally) {
	busy := t.Busy()
	if since := now.Sub(r.busyAt); !r.busyAt.IsZero() && since >= measureEvery && busy >= r.busy {
		r.rate = float64(busy-r.busy) / float64(since)
	} else if !r.busyAt.IsZero() {
		return
	}
	r.busy, r.busyAt = busy, now
}

// proofAt is when the proof begins: as late as the rest allows, for some versions turn bad
// late.
func (r *run) proofAt(timeout time.Duration) time.Duration {
	rest := proofTime + spreadTime + timeout + spreadTime + reportTime + electionTime + lastMoment
	return max(r.rollout.Within-rest, time.Duration(latestProof*float64(r.rollout.Within)))
}

// canary sets how many servers are tried, and goes on once there was time for it.
func (r *run) canary(elapsed time.Duration, s *Service, t *canary.Tally) (source.RolloutStep, bool) {
	base, target := s.Sides[r.rollout.Version], s.Sides[r.rollout.Target]
	proofAt := r.proofAt(s.Timeout)
	if elapsed < proofAt {
		servers := r.servers(elapsed, proofAt, base, target)
		if servers == r.rollout.Servers {
			return source.RolloutStep{}, false
		}
		return source.RolloutStep{Stage: fleet.Canary, Servers: servers, Why: "as many servers as bear the part of the requests that is tried"}, true
	}
	answers := t.Target().Answers
	switch {
	case answers < leastAnswers:
		r.lacks = fmt.Sprintf("%d answers of the version came, and %d tell something", answers, leastAnswers)
	case r.judge.Doubt() > mostDoubt:
		r.lacks = r.doubt()
	case float64(target.WarmSlots) < r.rate:
		r.lacks = fmt.Sprintf("its servers have %d slots, the work takes %.0f", target.WarmSlots, r.rate)
	default:
		return source.RolloutStep{Stage: fleet.Proof, Servers: target.warm(), Why: fmt.Sprintf("%d answers of the version are as good as those of the one before", answers)}, true
	}
	return source.RolloutStep{}, false
}

// leastServers are tried at first: of fewer, one that is slow or fails by itself would pass
// for its version.
const leastServers = 3

func (r *run) doubt() string {
	return "the answers of the version leave it in doubt: " + r.judge.String()
}

// servers is how many servers of the target version are tried: as many as then are as busy
// as the others are, and after a while half as many, so that they are under load.
func (r *run) servers(elapsed, proofAt time.Duration, base, target Side) int {
	warm := target.warm()
	if warm == 0 {
		return 0
	}
	slots := float64(target.Slots) / float64(target.Servers)
	wanted := canary.CanaryPart * r.budget.Share * float64(base.Slots) / slots
	least := leastServers
	if float64(elapsed) > loadedPart*float64(proofAt) {
		wanted, least = wanted/2, 1
	}
	return min(max(least, int(math.Round(wanted))), warm)
}

// proof goes on when all servers have borne for a while what the budget allows.
func (r *run) proof(now time.Time, f *Fleet) (source.RolloutStep, bool) {
	switch {
	case !r.known(now, f):
		r.lacks = "not every daemon has confirmed it"
		return source.RolloutStep{}, false
	case r.judge.Doubt() > mostDoubt:
		r.lacks = r.doubt()
		return source.RolloutStep{}, false
	case now.Sub(r.entered) < proofTime:
		return source.RolloutStep{}, false
	}
	return source.RolloutStep{Stage: fleet.Handover, Why: "its servers bore what the budget allows"}, true
}

// known reports whether every daemon in touch has the stage in force.
func (r *run) known(now time.Time, f *Fleet) bool {
	for _, node := range f.Daemons {
		if t := r.nodes[node]; !r.silent(now, t) && (t == nil || t.version < r.version) {
			return false
		}
	}
	return true
}

// silent reports whether a daemon has not been heard of for so long that it is out of touch.
func (r *run) silent(now time.Time, t *told) bool {
	heard := r.since
	if t != nil {
		heard = t.at
	}
	if heard.Before(r.entered) && t == nil {
		heard = r.entered
	}
	return now.Sub(heard) >= SilentAfter
}

// handedOver reports whether nothing is sent to the version before any more and nothing runs
// there.
func (r *run) handedOver(now time.Time, f *Fleet) bool {
	if !r.known(now, f) {
		return false
	}
	for _, node := range f.Daemons {
		if t := r.nodes[node]; t != nil && !r.silent(now, t) && t.report.Running > 0 {
			return false
		}
	}
	return true
}
