package main

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
)

// The sizes that the slopes are extrapolated to: the fleet of docs/CAPACITY.md.
const (
	targetDaemons = 10000
	// targetRoutes is five routes for each of 400 services.
	targetRoutes = 2000
	// targetChanges is the number of changes a second: 3,500 changes in a day of 8 hours.
	targetChanges = 0.12
	// targetChurn is the number of changed announcements a second: 1,200 restarts of five
	// announcements each, in a day of 8 hours.
	targetChurn = 0.21
	// targetCalls is the number of calls a second at one daemon: 1.7 million calls a second over
	// 10,000 daemons.
	targetCalls = 170
	// targetClaims is the number of claims a second: one call in a hundred has an idempotency key.
	targetClaims = 17000
)

// The roles of docs/CAPACITY.md.
const (
	roleLeader   = "source leader"
	roleFollower = "source follower"
	roleDaemon   = "daemon"
)

// capacity measures the slopes from which docs/CAPACITY.md is calculated.
type capacity struct {
	sweeps      []string
	daemons     []int
	routes      []int
	changeRates []float64
	churnRates  []float64
	callRates   []int
	claimRates  []int
	// knownDaemons are the numbers of daemons in one daemon's presence table, versionRoutes the
	// numbers of routes of one version. Both are measured without running daemons.
	knownDaemons  []int
	versionRoutes []int
	// fleet is the size of the fleets for changes and churn.
	fleet   int
	phase   time.Duration
	timeout time.Duration
}

func newCapacity() *cobra.Command {
	c := &capacity{}
	sweeps := c.allSweeps()
	var names []string
	for _, s := range sweeps {
		names = append(names, s.name)
	}
	flags := func(f *pflag.FlagSet) {
		f.StringSliceVar(&c.sweeps, "sweeps", names, "parameters to vary")
		f.IntSliceVar(&c.daemons, "daemons", []int{25, 50, 100, 200}, "fleet: daemons")
		f.IntSliceVar(&c.routes, "routes", []int{100, 200, 400, 800}, "services: routes, five for each service")
		f.Float64SliceVar(&c.changeRates, "change-rates", []float64{1, 2, 4, 8}, "changes: changes a second")
		f.Float64SliceVar(&c.churnRates, "churn-rates", []float64{2, 4, 8, 16}, "churn: changed announcements a second")
		f.IntSliceVar(&c.callRates, "call-rates", []int{100, 200, 400, 800}, "calls: calls a second at one daemon")
		f.IntSliceVar(&c.claimRates, "claim-rates", []int{50, 100, 200, 400}, "claims: claims a second in the fleet")
		f.IntSliceVar(&c.knownDaemons, "known", []int{1250, 2500, 5000, 10000}, "presence: daemons in one daemon's presence table")
		f.IntSliceVar(&c.versionRoutes, "version-routes", []int{250, 500, 1000, 2000}, "version: routes, five for each service")
		f.IntVar(&c.fleet, "fleet", 20, "daemons of the fleets for changes and churn")
		f.DurationVar(&c.phase, "phase", 8*time.Second, "time over which each size is measured")
		f.DurationVar(&c.timeout, "timeout", 20*time.Second, "longest wait for one change")
	}
	cmd := newRun("capacity", "Resource usage of each role, extrapolated to the fleet of docs/CAPACITY.md", "x", flags, c.measure)
	setDefault(cmd, "settle", announcementSettle)
	return cmd
}

// sweep measures several values of one parameter.
type sweep struct {
	name    string
	target  float64
	measure func(ctx context.Context, r *run) error
}

func (c *capacity) allSweeps() []sweep {
	return []sweep{
		{"presence", targetDaemons, c.sweepPresence},
		{"version", targetRoutes, c.sweepVersion},
		{"fleet", targetDaemons, c.sweepFleet},
		{"services", targetRoutes, c.sweepServices},
		{"changes", targetChanges, c.sweepChanges},
		{"churn", targetChurn, c.sweepChurn},
		{"calls", targetCalls, c.sweepCalls},
		{"claims", targetClaims, c.sweepClaims},
	}
}

func (c *capacity) measure(ctx context.Context, r *run) error {
	for _, s := range c.allSweeps() {
		if !slices.Contains(c.sweeps, s.name) {
			continue
		}
		before := len(r.report.Figures)
		if err := s.measure(ctx, r); err != nil {
			return errors.Wrapf(err, "sweep %s", s.name)
		}
		if err := r.addFits(before, s.target); err != nil {
			return err
		}
	}
	return nil
}

// addFits fits a line to every figure added since the given index, once for each name and system.
// Latencies are excluded because they do not grow linearly.
func (r *run) addFits(since int, target float64) error {
	type series struct{ name, system string }
	seen := map[series]bool{}
	for _, f := range r.report.Figures[since:] {
		key := series{f.Name, f.System}
		if seen[key] || f.Unit == report.Milliseconds || f.Name == notServed {
			continue
		}
		seen[key] = true
		if err := r.report.AddFit(f.Name, f.System, target); err != nil {
			return err
		}
	}
	return nil
}

// startSplit starts a Split fleet.
func startSplit(r *run, size int) (fleet.System, error) {
	o, err := r.fleetOptions(size)
	if err != nil {
		return nil, err
	}
	programs, err := fleet.Build(r.dir)
	if err != nil {
		return nil, err
	}
	return fleet.NewSplit(o, programs.Daemon)
}

func (c *capacity) withSplit(ctx context.Context, r *run, size int, shape fleet.Shape, f func(*fleet.Split) error) error {
	return r.withSystem(ctx, startSplit, size, shape, func(s fleet.System) error { return f(s.(*fleet.Split)) })
}
