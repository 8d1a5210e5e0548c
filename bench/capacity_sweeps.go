package main

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/bench/report"
)

const (
	// The fleets of the sweeps that vary something else.
	servicesFleet = 8
	callsFleet    = 6
	// joinTimes is how many daemons restart, one after the other.
	joinTimes = 3
	// routesAService is how many routes lead to one service.
	routesAService = 5
)

var capacityShape = fleet.Shape{Services: 40, Routes: 200}

// sweepFleet watches idle fleets of several sizes, and restarts daemons in
// them one at a time.
func (c *capacity) sweepFleet(ctx context.Context, r *run) error {
	for _, size := range c.daemons {
		err := c.onSplit(ctx, r, size, capacityShape, func(s *fleet.Split) error {
			if err := c.idle(ctx, r, s, "fleet", float64(size)); err != nil {
				return err
			}
			return c.joins(ctx, r, s, float64(size))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *capacity) idle(ctx context.Context, r *run, s *fleet.Split, sweep string, at float64) error {
	roles, took, err := watchRoles(s, func() error {
		if !sleep(ctx, c.phase) {
			return context.Cause(ctx)
		}
		return nil
	})
	if err != nil {
		return err
	}
	addRoles(r.report, sweep, at, roles, took)
	r.report.Add(sweep+", live heap", roleDaemon, at, report.MiB, heapOfShared(s)/(1<<20))
	connections, err := fleet.Connections(s.SourceAddrs())
	if err != nil {
		return err
	}
	r.report.Add(sweep+", connections", roleLeader, at, report.Count, float64(largest(connections)))
	return nil
}

// joins restarts a few daemons, and adds what one restart costs the daemon that
// joins and each other one, above what they use idle.
func (c *capacity) joins(ctx context.Context, r *run, s *fleet.Split, at float64) error {
	rest := func() error {
		if !sleep(ctx, c.phase/2) {
			return context.Cause(ctx)
		}
		return nil
	}
	idle, err := watch(s, rest)
	if err != nil {
		return err
	}
	var joined, others []fleet.Usage
	for i := range joinTimes {
		joiner := s.Size() - 1 - i
		used, err := watch(s, func() error {
			if err := s.Restart(joiner); err != nil {
				return err
			}
			return rest()
		})
		if err != nil {
			return err
		}
		for member, u := range used.above(idle).members {
			if member == joiner {
				joined = append(joined, u)
			} else if member >= s.Sources() {
				others = append(others, u)
			}
		}
	}
	r.report.Add("restart, received by the daemon that joins", roleDaemon, at, report.Bytes, mean(joined, received))
	r.report.Add("restart, received by each other daemon", roleDaemon, at, report.Bytes, mean(others, received))
	return nil
}

// sweepServices watches fleets with manifests of several sizes, one change a
// second.
func (c *capacity) sweepServices(ctx context.Context, r *run) error {
	for _, routes := range c.routes {
		shape := fleet.Shape{Services: routes / routesAService, Routes: routes}
		err := c.onSplit(ctx, r, servicesFleet, shape, func(s *fleet.Split) error {
			return c.changing(ctx, r, s, shape, "services", 1, float64(routes), 1)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// sweepChanges watches one fleet under several rates of change.
func (c *capacity) sweepChanges(ctx context.Context, r *run) error {
	return c.onSplit(ctx, r, c.fleet, capacityShape, func(s *fleet.Split) error {
		version := uint64(1)
		for _, rate := range c.changeRates {
			if err := c.changing(ctx, r, s, capacityShape, "changes", version, rate, rate); err != nil {
				return err
			}
			version += uint64(rate*c.phase.Seconds()) + 1
		}
		return nil
	})
}

// changing watches a fleet while versions after the given one are handed in.
func (c *capacity) changing(ctx context.Context, r *run, s *fleet.Split, shape fleet.Shape, sweep string, version uint64, at, rate float64) error {
	roles, took, err := watchRoles(s, func() error {
		return every(ctx, rate, c.phase, func(i int) error {
			ctx, cancel := context.WithTimeout(ctx, c.timeout)
			defer cancel()
			_, err := s.Submit(ctx, shape.Manifest(version+uint64(i)+1))
			return err
		})
	})
	if err != nil {
		return err
	}
	addRoles(r.report, sweep, at, roles, took)
	return nil
}

// sweepChurn watches one fleet while servers leave and come back.
func (c *capacity) sweepChurn(ctx context.Context, r *run) error {
	return c.onSplit(ctx, r, c.fleet, capacityShape, func(s *fleet.Split) error {
		servers := fleet.NewAnnouncer(s, capacityShape.Services, 0)
		defer servers.Close()
		states := []string{stateDraining, stateServing}
		for _, rate := range c.churnRates {
			roles, took, err := watchRoles(s, func() error {
				return every(ctx, rate, c.phase, func(i int) error {
					member := s.Sources() + i/len(states)%(s.Size()-s.Sources())
					return servers.Announce(ctx, member, states[i%len(states)])
				})
			})
			if err != nil {
				return err
			}
			addRoles(r.report, "churn", rate, roles, took)
		}
		return nil
	})
}

// sweepCalls takes the cost of calls at the daemons on their way.
func (c *capacity) sweepCalls(ctx context.Context, r *run) error {
	f, err := startCallFleet(ctx, r, callsFleet, wideSlots, wideConnections)
	if err != nil {
		return err
	}
	defer f.close()
	m := &calls{rates: c.callRates, phase: c.phase / 2}
	return m.measureLatency(ctx, r, f)
}

// sweepClaims takes the cost of claims at their keepers, the sources, and what
// a claim adds to a call.
func (c *capacity) sweepClaims(ctx context.Context, r *run) error {
	f, err := startCallFleet(ctx, r, callsFleet, wideSlots, wideConnections)
	if err != nil {
		return err
	}
	defer f.close()
	for _, rate := range c.claimRates {
		if err := c.claims(ctx, r, f, float64(rate)); err != nil {
			return err
		}
	}
	return nil
}

func (c *capacity) claims(ctx context.Context, r *run, f *callFleet, rate float64) error {
	before := f.processorTimes()
	urls := []string{f.url(f.localMember(), pathOnce)}
	var results []*load.Result
	used, err := watch(f.processes, func() error {
		results = load.Run(ctx, f.client, c.phase, r.random.Uint64(), []load.Class{
			{Name: "with a key", URLs: urls, Rate: rate, Keyed: true},
			{Name: "without a key", URLs: []string{f.url(f.localMember(), pathRemote)}, Rate: rate},
		})
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	after := f.processorTimes()
	for _, res := range results {
		addLatency(r.report, res, rate)
	}
	var keepers time.Duration
	most := time.Duration(0)
	for member := range f.processes.Sources() {
		took := after[member] - before[member]
		keepers += took
		most = max(most, took)
	}
	sources, _ := used.split(f.processes)
	const role = "claim keeper"
	seconds := used.took.Seconds()
	r.report.Add("claims, processor", role+", busiest", rate, report.CorePercent, 100*most.Seconds()/seconds)
	r.report.Add("claims, processor", role+", mean", rate, report.CorePercent, 100*keepers.Seconds()/seconds/float64(len(sources)))
	r.report.Add("claims, sent", role+", mean", rate, report.BytesPerSec, mean(sources, sent)/seconds)
	r.report.Add("claims, received", role+", mean", rate, report.BytesPerSec, mean(sources, received)/seconds)
	r.report.Add("claims, messages sent", role+", mean", rate, report.PerSecond, mean(sources, messages)/seconds)
	return nil
}
