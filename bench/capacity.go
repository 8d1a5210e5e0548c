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

// The sizes that the slopes are extended to: the fleet of docs/CAPACITY.md.
const (
	targetDaemons = 10000
	// targetRoutes is five routes for each of 400 services.
	targetRoutes = 2000
	// targetChanges is 3,500 changes in a day of 8 hours, a second.
	targetChanges = 0.12
	// targetChurn is the announcements that change a second: 1,200 restarts of
	// five announcements each, in a day of 8 hours.
	targetChurn = 0.21
	// targetCalls is 1.7 million calls a second over 10,000 daemons.
	targetCalls = 170
	// targetClaims is one call in a hundred with an idempotency key.
	targetClaims = 17000
)

// The roles of docs/CAPACITY.md.
const (
	roleLeader   = "source leader"
	roleFollower = "source follower"
	roleDaemon   = "daemon"
)

// capacity takes the slopes that docs/CAPACITY.md is worked out from.
type capacity struct {
	sweeps      []string
	daemons     []int
	routes      []int
	changeRates []float64
	churnRates  []float64
	callRates   []int
	claimRates  []int
	// known are the daemons in the table of one, versionRoutes the routes of
	// one version; both are held without daemons that run.
	known         []int
	versionRoutes []int
	// fleet is the size of the fleets of changes and churn.
	fleet   int
	phase   time.Duration
	timeout time.Duration
}

func newCapacity() *cobra.Command {
	c := &capacity{}
	all := c.all()
	var names []string
	for _, s := range all {
		names = append(names, s.name)
	}
	flags := func(f *pflag.FlagSet) {
		f.StringSliceVar(&c.sweeps, "sweeps", names, "what to vary")
		f.IntSliceVar(&c.daemons, "daemons", []int{25, 50, 100, 200}, "fleet: daemons")
		f.IntSliceVar(&c.routes, "routes", []int{100, 200, 400, 800}, "services: routes, five for each service")
		f.Float64SliceVar(&c.changeRates, "change-rates", []float64{1, 2, 4, 8}, "changes: a second")
		f.Float64SliceVar(&c.churnRates, "churn-rates", []float64{2, 4, 8, 16}, "churn: announcements that change, a second")
		f.IntSliceVar(&c.callRates, "call-rates", []int{100, 200, 400, 800}, "calls: a second at one daemon")
		f.IntSliceVar(&c.claimRates, "claim-rates", []int{50, 100, 200, 400}, "claims: a second in the fleet")
		f.IntSliceVar(&c.known, "known", []int{1250, 2500, 5000, 10000}, "presence: daemons in the table of one")
		f.IntSliceVar(&c.versionRoutes, "version-routes", []int{250, 500, 1000, 2000}, "version: routes, five for each service")
		f.IntVar(&c.fleet, "fleet", 20, "daemons of the fleets of changes and churn")
		f.DurationVar(&c.phase, "phase", 8*time.Second, "time over which each size is watched")
		f.DurationVar(&c.timeout, "timeout", 20*time.Second, "longest wait for one change")
	}
	cmd := newRun("capacity", "Slopes of what each role uses, extended to the fleet of docs/CAPACITY.md", "x", flags, c.measure)
	setDefault(cmd, "settle", bytesSettle)
	return cmd
}

// sweep varies one size.
type sweep struct {
	name    string
	target  float64
	measure func(ctx context.Context, r *run) error
}

func (c *capacity) all() []sweep {
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
	for _, s := range c.all() {
		if !slices.Contains(c.sweeps, s.name) {
			continue
		}
		before := len(r.report.Figures)
		if err := s.measure(ctx, r); err != nil {
			return errors.Wrapf(err, "sweep %s", s.name)
		}
		if err := r.fit(before, s.target); err != nil {
			return err
		}
	}
	return nil
}

// fit fits every figure that was added since, once for each name and system,
// but for latencies: what they grow with is no line.
func (r *run) fit(since int, target float64) error {
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

// splitFleet starts a Split fleet.
func splitFleet(r *run, size int) (fleet.System, error) {
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

func (c *capacity) onSplit(ctx context.Context, r *run, size int, shape fleet.Shape, f func(*fleet.Split) error) error {
	return r.withSystem(ctx, splitFleet, size, shape, func(s fleet.System) error { return f(s.(*fleet.Split)) })
}
