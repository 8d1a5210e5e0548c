// Package rollout decides, at the leader of the sources, how far a roll-out of a service's
// software goes: it sums what the daemons tell of the answers of both versions, and takes the
// roll-out from stage to stage or back.
//
// Time, what daemons tell and what is known of the fleet come in; steps for the replicated
// log come out. The package does no I/O and reads no clock. What a leader has summed is lost
// with it: daemons tell everything since the order, so that the next one has it again with
// their next reports.
package rollout

import (
	"fmt"
	"time"

	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/canary"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// The times of a roll-out.
const (
	// spreadTime is how long a step takes to be in force everywhere, with its commit.
	spreadTime = 800 * time.Millisecond
	// reportTime is how long the reports of all daemons take.
	reportTime = 600 * time.Millisecond
	// electionTime is kept for a leader that is lost on the way.
	electionTime = time.Second
	// proofTime is how long all servers of the target version bear the load while the way
	// back is as short as before.
	proofTime = 1200 * time.Millisecond
	// lastMoment before the end of the time a roll-out is decided, as it stands.
	lastMoment = 300 * time.Millisecond
	// SilentAfter is how long a daemon may not be heard of before it counts as out of
	// touch: by then it sends nothing to the target version of itself, and once the other
	// one's servers are taken out of use, the daemons beside them refuse what it sends.
	SilentAfter = 2500 * time.Millisecond
)

const (
	// latestProof is the part of the time by which the proof begins at the latest, however
	// short the time is.
	latestProof = 0.4
	// loadedPart of the canary is run with half of the servers: some versions are bad only
	// under load.
	loadedPart = 0.5
	// alertAlarm is the evidence that convinces before every daemon has told.
	alertAlarm = 14.0
	// leastAnswers of the target version are needed to call it good.
	leastAnswers = 20
	// mostDoubt is the part of the evidence against a version that may stand when it goes on.
	mostDoubt = 0.5
)

// Report is what one daemon tells of the roll-outs that run, since each was ordered.
type Report struct {
	Node string
	// Incarnation tells two lives of a daemon apart.
	Incarnation uint64
	// Version is the fleet version in force there.
	Version  uint64
	Services []ServiceReport
}

// ServiceReport is what a daemon tells of one roll-out.
type ServiceReport struct {
	source.ServiceName
	// Number is that of the roll-out.
	Number uint64
	Tally  canary.Tally
	// Running are the requests at servers beside the daemon that are not of the target
	// version.
	Running int
}

// Side is the servers of one software version of a service.
type Side struct {
	// Servers and Slots are those that take work, WarmSlots of those that are past their
	// slow start.
	Servers, Slots, WarmSlots int
}

// warm is how many of the servers are past their slow start.
func (s Side) warm() int {
	if s.Slots == 0 {
		return 0
	}
	return s.Servers * s.WarmSlots / s.Slots
}

// Service is what the leader knows of one service.
type Service struct {
	source.ServiceName
	// Rollout is nil while nothing is known of its versions.
	Rollout *fleet.Rollout
	// Sides are its servers by software version.
	Sides map[string]Side
	// Timeout is the longest time that a request may take there.
	Timeout time.Duration
}

// Fleet is what the leader knows of the fleet.
type Fleet struct {
	// Version is the newest fleet version.
	Version  uint64
	Services []Service
	// Daemons are the names of all daemons that count.
	Daemons []string
}

// Core decides for all services. It is not safe for concurrent use.
type Core struct {
	// Budget is what a version may get before it is judged good.
	budget canary.Budget
	// seen are when the roll-outs were first seen here.
	seen map[key]time.Time
	runs map[key]*run
	// settling is when a service without a known version was first seen.
	settling map[source.ServiceName]time.Time
}

type key struct {
	source.ServiceName
	number uint64
}

// New returns a Core that knows of no roll-out.
func New(b canary.Budget) *Core {
	return &Core{budget: b, seen: map[key]time.Time{}, runs: map[key]*run{}, settling: map[source.ServiceName]time.Time{}}
}

// run is one roll-out that is not decided yet, at the leader.
type run struct {
	rollout fleet.Rollout
	budget  canary.Budget
	// began is when it was ordered, entered when its stage was first seen here, and since
	// when this leader began to listen to reports.
	began, entered, since time.Time
	// version is the fleet version at entered: who has it knows the stage.
	version uint64
	nodes   map[string]*told
	// judge looks at the answers once every daemon in touch has told of the same time, alert
	// at every look: failures are told at once and what went well later, so that it takes
	// more to convince it.
	judge, alert canary.Judge
	bad          string
	// lacks is what the stage waits for.
	lacks string
	// busy and busyAt are what servers had worked a while ago, rate how many slots that
	// took since.
	busy   time.Duration
	busyAt time.Time
	rate   float64
}

// told is the newest report of a daemon.
type told struct {
	at          time.Time
	incarnation uint64
	version     uint64
	report      ServiceReport
	// fresh is set until the next round of the judge.
	fresh bool
	// before is what the daemon had told in earlier lives.
	before canary.Tally
}

// admitAfter is how long the servers of a service are looked at before the version of most
// of them is taken for the one that serves.
const admitAfter = time.Second

// Watch notes when roll-outs are first seen. It is called on every source, so that one which
// becomes the leader knows how long they have run. fresh tells that this source has just
// started: wall is then the time of day and says how long ago they were ordered.
func (c *Core) Watch(now, wall time.Time, fresh bool, services []Service) {
	for _, s := range services {
		if s.Rollout == nil || !s.Rollout.Stage.Running() {
			continue
		}
		k := key{s.ServiceName, s.Rollout.Number}
		if _, known := c.seen[k]; known {
			continue
		}
		c.seen[k] = now
		if fresh {
			ago := min(max(wall.Sub(s.Rollout.Ordered), 0), s.Rollout.Within)
			c.seen[k] = now.Add(-ago)
		}
	}
}

// Follow forgets what only a leader sums.
func (c *Core) Follow() {
	clear(c.runs)
	clear(c.settling)
}

// Report takes in what a daemon tells; it is passed over where no roll-out runs.
func (c *Core) Report(now time.Time, r *Report) {
	for i := range r.Services {
		s := &r.Services[i]
		if run := c.runs[key{s.ServiceName, s.Number}]; run != nil {
			run.report(now, r, s)
		}
	}
}

func (r *run) report(now time.Time, from *Report, s *ServiceReport) {
	t := r.nodes[from.Node]
	switch {
	case t == nil:
		t = &told{incarnation: from.Incarnation}
		r.nodes[from.Node] = t
	case from.Incarnation < t.incarnation:
		return
	case from.Incarnation > t.incarnation:
		t.before.Merge(&t.report.Tally)
		t.incarnation, t.version = from.Incarnation, 0
	case s.Tally.Reached < t.report.Tally.Reached:
		return // an older report that came late
	}
	t.at, t.version, t.report, t.fresh = now, max(t.version, from.Version), *s, true
}

// Tick returns what is to be put into the log.
func (c *Core) Tick(now time.Time, f *Fleet) []source.RolloutStep {
	var steps []source.RolloutStep
	running := map[key]bool{}
	for i := range f.Services {
		s := &f.Services[i]
		if s.Rollout == nil {
			steps = append(steps, c.admit(now, s)...)
			continue
		}
		if !s.Rollout.Stage.Running() {
			continue
		}
		r := c.runOf(now, f, s)
		running[key{s.ServiceName, s.Rollout.Number}] = true
		if step, due := r.decide(now, f, s); due {
			step.ServiceName, step.Number = s.ServiceName, s.Rollout.Number
			steps = append(steps, step)
		}
	}
	for k := range c.runs {
		if !running[k] {
			delete(c.runs, k)
		}
	}
	return steps
}

// admit takes the version of most servers for the one that serves, once they have been
// looked at for a while.
func (c *Core) admit(now time.Time, s *Service) []source.RolloutStep {
	version, most := "", 0
	for v, side := range s.Sides {
		if side.Servers > most || (side.Servers == most && v < version) {
			version, most = v, side.Servers
		}
	}
	if most == 0 {
		return nil
	}
	since, known := c.settling[s.ServiceName]
	if !known {
		c.settling[s.ServiceName] = now
		return nil
	}
	if now.Sub(since) < admitAfter {
		return nil
	}
	return []source.RolloutStep{{
		ServiceName: s.ServiceName, Version: version,
		Why: fmt.Sprintf("%d servers of the service announce it, and no other version was in use", most),
	}}
}

func (c *Core) runOf(now time.Time, f *Fleet, s *Service) *run {
	k := key{s.ServiceName, s.Rollout.Number}
	r := c.runs[k]
	if r == nil {
		began, known := c.seen[k]
		if !known {
			began = now
		}
		r = &run{
			budget: c.budget, began: began, since: now, nodes: map[string]*told{},
			judge: canary.Judge{Alarm: canary.Alarm}, alert: canary.Judge{Alarm: alertAlarm},
		}
		c.runs[k] = r
	}
	if r.version == 0 || r.rollout.Stage != s.Rollout.Stage {
		r.entered, r.version = now, f.Version
	}
	r.rollout = *s.Rollout
	return r
}

// Tally is what all daemons together have told of a roll-out.
func (c *Core) Tally(name source.ServiceName, number uint64) (canary.Tally, bool) {
	r := c.runs[key{name, number}]
	if r == nil {
		return canary.Tally{}, false
	}
	return r.tally(), true
}

func (r *run) tally() canary.Tally {
	var sum canary.Tally
	for _, t := range r.nodes {
		sum.Merge(&t.before)
		sum.Merge(&t.report.Tally)
	}
	return sum
}
