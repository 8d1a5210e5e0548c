package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/rollout"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// rolloutDriver decides the steps of rollouts on the leader and commits them. Every source has
// one; those that do not lead only follow the state.
type rolloutDriver struct {
	d *Daemon

	mu   sync.Mutex
	core *rollout.Controller
	// leads is set while this source is the leader and has applied all entries that earlier
	// leaders accepted.
	leads bool
	// watched is set after the core has seen the state of the log for the first time.
	watched bool
	// pending contains the services with a step that is being committed.
	pending map[source.ServiceName]bool
}

func newRolloutDriver(d *Daemon) *rolloutDriver {
	return &rolloutDriver{d: d, core: rollout.New(d.exposureBudget()), pending: map[source.ServiceName]bool{}}
}

// accept adds a report to the core if this source is the leader, and reports whether it is.
func (r *rolloutDriver) accept(report *rollout.Report) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leads {
		r.core.Report(time.Now(), report)
	}
	return r.leads
}

// run evaluates the rollouts at each tick until ctx ends.
func (r *rolloutDriver) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, step := range r.tick(now) {
				go r.commit(ctx, step)
			}
		}
	}
}

// tick evaluates the rollouts and returns the steps to commit.
func (r *rolloutDriver) tick(now time.Time) []source.RolloutStep {
	state, dir := r.d.source.State(), r.d.mesh.Directory()
	r.mu.Lock()
	defer r.mu.Unlock()
	services := r.activeServices(dir.Snapshot, state)
	if state.Version > 0 {
		r.core.Watch(now, time.Now(), !r.watched, services)
		r.watched = true
	}
	r.leads = r.d.source.LeaderCaughtUp()
	if !r.leads {
		r.core.StepDown()
		return nil
	}
	if len(services) == 0 {
		return nil
	}
	f := countFleet(dir, services)
	f.Version = state.Version
	var steps []source.RolloutStep
	for _, step := range r.core.Tick(now, f) {
		if !r.pending[step.ServiceName] {
			r.pending[step.ServiceName] = true
			steps = append(steps, step)
		}
	}
	return steps
}

// activeServices returns the services that need a decision: those with a running rollout and
// those without any rollout yet. The rollouts are taken from the log, because the version in
// force at this daemon may be a step behind.
func (r *rolloutDriver) activeServices(snap *snapshot.Snapshot, state *fleet.State) []rollout.Service {
	if !r.d.settings.Servers.Rollouts {
		return nil
	}
	var list []rollout.Service
	for _, s := range snap.Services() {
		known := state.Rollout(s.Key.Mesh, s.Key.Name)
		if known != nil && !known.Stage.Running() {
			continue
		}
		list = append(list, rollout.Service{
			ServiceName: source.ServiceName{Mesh: s.Key.Mesh, Service: s.Key.Name}, Rollout: known,
			Sides: map[string]rollout.VersionCapacity{}, Timeout: snap.LongestTimeout(s.Key),
		})
	}
	return list
}

// countFleet counts the servers of the services by software version.
func countFleet(dir *directory.Directory, services []rollout.Service) *rollout.Fleet {
	f := &rollout.Fleet{Services: services}
	sides := map[snapshot.ServiceKey]map[string]rollout.VersionCapacity{}
	for _, s := range services {
		sides[snapshot.ServiceKey{Mesh: s.Mesh, Name: s.Service}] = s.Sides
	}
	for _, record := range dir.Records {
		f.Daemons = append(f.Daemons, record.Node.Name)
		for i := range record.Servers {
			countServer(sides, &record.Servers[i], record.Leaving)
		}
	}
	return f
}

// countServer adds a server that accepts requests to the side of its software version.
func countServer(all map[snapshot.ServiceKey]map[string]rollout.VersionCapacity, s *presence.Server, leaving bool) {
	sides, wanted := all[snapshot.ServiceKey{Mesh: s.Mesh, Name: s.Service}]
	if !wanted || leaving || !s.State.AcceptsRequests() {
		return
	}
	side := sides[s.Version]
	side.Servers++
	side.Slots += s.Slots
	if !s.Cold {
		side.WarmSlots += s.Slots
	}
	sides[s.Version] = side
}

// commit appends a step to the replicated log.
func (r *rolloutDriver) commit(ctx context.Context, step source.RolloutStep) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	start := time.Now()
	answer, err := r.d.source.AdvanceRollout(ctx, step)
	r.mu.Lock()
	delete(r.pending, step.ServiceName)
	r.mu.Unlock()
	stage := step.Stage
	if step.Number == 0 {
		stage = fleet.Admitted
	}
	log := r.d.operatorLog().WithValues("mesh", step.Mesh, "service", step.Service, "number", step.Number,
		"stage", stage.String(), "servers", step.Servers, "why", step.Why, "result", answer.Code.String(), "took", time.Since(start).String())
	if stepRefused(answer, err) {
		log.Info("roll-out step not committed; the next tick decides again", "detail", answer.Detail)
		return
	}
	log.Info(logRolloutStep)
}
