package main

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/bench/report"
)

const (
	// The sizes of the fleets of the sweeps that vary another parameter.
	servicesFleet = 8
	callsFleet    = 6
	// joinTimes is the number of daemons that are restarted one after another.
	joinTimes        = 3
	routesPerService = 5
)

var capacityShape = fleet.Shape{Services: 40, Routes: 200}

// sweepFleet measures idle fleets of several sizes and restarts some of their daemons one at a
// time.
func (c *capacity) sweepFleet(ctx context.Context, r *run) error {
	for _, size := range c.daemons {
		err := c.withSplit(ctx, r, size, capacityShape, func(s *fleet.Split) error {
			if err := c.measureIdle(ctx, r, s, "fleet", float64(size)); err != nil {
				return err
			}
			return c.measureJoins(ctx, r, s, float64(size))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *capacity) measureIdle(ctx context.Context, r *run, s *fleet.Split, sweep string, at float64) error {
	roles, took, err := measureRoles(s, func() error {
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

// measureJoins restarts some daemons and adds the bytes received by the joining daemon and by each
// other daemon, without the idle traffic.
func (c *capacity) measureJoins(ctx context.Context, r *run, s *fleet.Split, at float64) error {
	wait := func() error {
		if !sleep(ctx, c.phase/2) {
			return context.Cause(ctx)
		}
		return nil
	}
	idle, err := measureUsage(s, wait)
	if err != nil {
		return err
	}
	var joined, others []fleet.Usage
	for i := range joinTimes {
		joiner := s.Size() - 1 - i
		used, err := measureUsage(s, func() error {
			if err := s.Restart(joiner); err != nil {
				return err
			}
			return wait()
		})
		if err != nil {
			return err
		}
		for member, u := range used.aboveIdle(idle).members {
			if member == joiner {
				joined = append(joined, u)
			} else if member >= s.Sources() {
				others = append(others, u)
			}
		}
	}
	r.report.Add("restart, received by the daemon that joins", roleDaemon, at, report.Bytes, meanOf(joined, received))
	r.report.Add("restart, received by each other daemon", roleDaemon, at, report.Bytes, meanOf(others, received))
	return nil
}

// sweepServices measures fleets with manifests of several sizes at one change a second.
func (c *capacity) sweepServices(ctx context.Context, r *run) error {
	for _, routes := range c.routes {
		shape := fleet.Shape{Services: routes / routesPerService, Routes: routes}
		err := c.withSplit(ctx, r, servicesFleet, shape, func(s *fleet.Split) error {
			return c.measureChanges(ctx, r, s, shape, "services", 1, float64(routes), 1)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// sweepChanges measures one fleet at several rates of change.
func (c *capacity) sweepChanges(ctx context.Context, r *run) error {
	return c.withSplit(ctx, r, c.fleet, capacityShape, func(s *fleet.Split) error {
		version := uint64(1)
		for _, rate := range c.changeRates {
			if err := c.measureChanges(ctx, r, s, capacityShape, "changes", version, rate, rate); err != nil {
				return err
			}
			version += uint64(rate*c.phase.Seconds()) + 1
		}
		return nil
	})
}

// measureChanges measures a fleet while versions after the given one are submitted.
func (c *capacity) measureChanges(ctx context.Context, r *run, s *fleet.Split, shape fleet.Shape, sweep string, version uint64, at, rate float64) error {
	roles, took, err := measureRoles(s, func() error {
		return atRate(ctx, rate, c.phase, func(i int) error {
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

// sweepChurn measures one fleet while servers drain and return.
func (c *capacity) sweepChurn(ctx context.Context, r *run) error {
	return c.withSplit(ctx, r, c.fleet, capacityShape, func(s *fleet.Split) error {
		servers := fleet.NewAnnouncer(s, capacityShape.Services, 0)
		defer servers.Close()
		states := []string{stateDraining, stateServing}
		for _, rate := range c.churnRates {
			roles, took, err := measureRoles(s, func() error {
				return atRate(ctx, rate, c.phase, func(i int) error {
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

// sweepCalls measures the cost of calls at the daemons that they pass through.
func (c *capacity) sweepCalls(ctx context.Context, r *run) error {
	f, err := startCallFleet(ctx, r, callsFleet, ampleSlots, ampleConnections)
	if err != nil {
		return err
	}
	defer f.close()
	m := &calls{rates: c.callRates, phase: c.phase / 2}
	return m.measureLatency(ctx, r, f)
}

// sweepClaims measures the cost of claims at the sources, which store them, and the latency that a
// claim adds to a call.
func (c *capacity) sweepClaims(ctx context.Context, r *run) error {
	f, err := startCallFleet(ctx, r, callsFleet, ampleSlots, ampleConnections)
	if err != nil {
		return err
	}
	defer f.close()
	for _, rate := range c.claimRates {
		if err := c.measureClaims(ctx, r, f, float64(rate)); err != nil {
			return err
		}
	}
	return nil
}

func (c *capacity) measureClaims(ctx context.Context, r *run, f *callFleet, rate float64) error {
	before := f.cpuTimes()
	urls := []string{f.url(f.localMember(), pathOnce)}
	var results []*load.Result
	used, err := measureUsage(f.processes, func() error {
		results = load.Run(ctx, f.client, c.phase, r.random.Uint64(), []load.Class{
			{Name: "with a key", URLs: urls, Rate: rate, Keyed: true},
			{Name: "without a key", URLs: []string{f.url(f.localMember(), pathRemote)}, Rate: rate},
		})
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	after := f.cpuTimes()
	for _, res := range results {
		addLatency(r.report, res, rate)
	}
	var total time.Duration
	busiest := time.Duration(0)
	for member := range f.processes.Sources() {
		took := after[member] - before[member]
		total += took
		busiest = max(busiest, took)
	}
	sources, _ := used.split(f.processes)
	const role = "claim keeper"
	seconds := used.elapsed.Seconds()
	r.report.Add("claims, processor", role+", busiest", rate, report.CorePercent, 100*busiest.Seconds()/seconds)
	r.report.Add("claims, processor", role+", mean", rate, report.CorePercent, 100*total.Seconds()/seconds/float64(len(sources)))
	r.report.Add("claims, sent", role+", mean", rate, report.BytesPerSec, meanOf(sources, sent)/seconds)
	r.report.Add("claims, received", role+", mean", rate, report.BytesPerSec, meanOf(sources, received)/seconds)
	r.report.Add("claims, messages sent", role+", mean", rate, report.PerSecond, meanOf(sources, messages)/seconds)
	return nil
}
