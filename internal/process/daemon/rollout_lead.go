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

// rollouts drives the decisions on roll-outs at a source.
type rollouts struct {
	d *Daemon

	mu   sync.Mutex
	core *rollout.Core
	// leads is set while this source leads and has applied what earlier leaders accepted.
	leads bool
	// watched is set after the first look at the log's state.
	watched bool
	// stepping names the services whose step is not committed yet.
	stepping map[source.ServiceName]bool
}

func newRollouts(d *Daemon) *rollouts {
	return &rollouts{d: d, core: rollout.New(d.budget()), stepping: map[source.ServiceName]bool{}}
}

// take takes a report in, if this source leads.
func (r *rollouts) take(report *rollout.Report) bool {
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

// run decides until ctx ends.
func (r *rollouts) run(ctx context.Context) {
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

// tick looks at the roll-outs and returns the steps that are to be committed.
func (r *rollouts) tick(now time.Time) []source.RolloutStep {
	state, dir := r.d.source.State(), r.d.mesh.Directory()
	r.mu.Lock()
	defer r.mu.Unlock()
	services := r.services(dir.Snapshot, state)
	if state.Version > 0 {
		r.core.Watch(now, time.Now(), !r.watched, services)
		r.watched = true
	}
	r.leads = r.d.source.Settled()
	if !r.leads {
		r.core.Follow()
		return nil
	}
	if len(services) == 0 {
		return nil
	}
	f := fleetOf(dir, services)
	f.Version = state.Version
	var steps []source.RolloutStep
	for _, step := range r.core.Tick(now, f) {
		if !r.stepping[step.ServiceName] {
			r.stepping[step.ServiceName] = true
			steps = append(steps, step)
		}
	}
	return steps
}

// services are those about whose versions something is to be decided, as the log has them:
// what is in force here may be a step behind.
func (r *rollouts) services(snap *snapshot.Snapshot, state *fleet.State) []rollout.Service {
	if !r.d.set.Servers.Rollouts {
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
			Sides: map[string]rollout.Side{}, Timeout: snap.LongestTimeout(s.Key),
		})
	}
	return list
}

// fleetOf counts the servers of the services by their software versions.
func fleetOf(dir *directory.Directory, services []rollout.Service) *rollout.Fleet {
	f := &rollout.Fleet{Services: services}
	at := map[snapshot.ServiceKey]map[string]rollout.Side{}
	for _, s := range services {
		at[snapshot.ServiceKey{Mesh: s.Mesh, Name: s.Service}] = s.Sides
	}
	for _, record := range dir.Records {
		f.Daemons = append(f.Daemons, record.Node.Name)
		for i := range record.Servers {
			count(at, &record.Servers[i], record.Leaving)
		}
	}
	return f
}

func count(at map[snapshot.ServiceKey]map[string]rollout.Side, s *presence.Server, leaving bool) {
	sides, wanted := at[snapshot.ServiceKey{Mesh: s.Mesh, Name: s.Service}]
	if !wanted || leaving || !s.State.TakesWork() {
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

// commit puts a step into the log.
func (r *rollouts) commit(ctx context.Context, step source.RolloutStep) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	began := time.Now()
	answer, err := r.d.source.StepRollout(ctx, step)
	r.mu.Lock()
	delete(r.stepping, step.ServiceName)
	r.mu.Unlock()
	stage := step.Stage
	if step.Number == 0 {
		stage = fleet.Admitted
	}
	log := r.d.operatorLog().WithValues("mesh", step.Mesh, "service", step.Service, "number", step.Number,
		"stage", stage.String(), "servers", step.Servers, "why", step.Why, "result", answer.Code.String(), "took", time.Since(began).String())
	if stepRefused(answer, err) {
		log.Info("roll-out step not committed; it is decided anew", "detail", answer.Detail)
		return
	}
	log.Info(logRolloutStep)
}
