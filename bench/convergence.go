package main

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"

	"github.com/daisygate/daisygate/bench/baseline"
	"github.com/daisygate/daisygate/bench/fleet"
)

// convergence measures the time until an accepted change is in force on every daemon, one change
// at a time.
type convergence struct {
	changeLoad
	restartShare float64
}

func newConvergence() *cobra.Command {
	c := &convergence{}
	flags := func(f *pflag.FlagSet) {
		c.changeLoad.flags(f, 20, 300*time.Millisecond)
		f.Float64Var(&c.restartShare, "restart", 0, "share of the daemons that restart during each change")
	}
	return newRun("convergence", "Time from acceptance until in force on every daemon", "daemons", flags, c.measure)
}

func (c *convergence) measure(ctx context.Context, r *run) error {
	r.report.Note("in force is seen to 1 ms in a shared process and to 25 ms with a process each")
	for _, size := range c.sizes {
		for _, start := range []starter{startShared, startBaseline(baseline.Poll), startBaseline(baseline.Stream)} {
			if err := c.measureSystem(ctx, r, start, size); err != nil {
				return err
			}
		}
	}
	if c.processSize == 0 {
		return nil
	}
	return c.measureSystem(ctx, r, startProcesses, c.processSize)
}

// changeTimes are the durations of the changes on one system.
type changeTimes struct {
	accept []time.Duration
	// perDaemon has an entry for each change and each daemon that kept running.
	perDaemon []time.Duration
	// slowest has an entry for each change: the time until it was in force on all of these daemons.
	slowest []time.Duration
	// restarted has an entry for each restart, measured from the start of the daemon.
	restarted []time.Duration
	late      int
}

func (c *convergence) measureSystem(ctx context.Context, r *run, start starter, size int) error {
	return r.withSystem(ctx, start, size, c.shape, func(s fleet.System) error {
		var t changeTimes
		for i := range c.changes {
			if err := c.measureChange(ctx, r, s, uint64(i)+2, &t); err != nil {
				return errors.Wrapf(err, "%s, %d daemons", s.Name(), size)
			}
			if !sleep(ctx, c.spacing) {
				return context.Cause(ctx)
			}
		}
		at := float64(size)
		r.report.AddDurations("handed in to accepted", s.Name(), at, t.accept)
		r.report.AddDurations("accepted to in force, each daemon", s.Name(), at, t.perDaemon)
		r.report.AddDurations("accepted to in force, last daemon", s.Name(), at, t.slowest)
		r.report.AddDurations("restarted to in force", s.Name(), at, t.restarted)
		r.report.Add("not in force in time", s.Name(), at, "", float64(t.late))
		return nil
	})
}

// measureChange makes one change and waits until it is in force everywhere.
func (c *convergence) measureChange(ctx context.Context, r *run, s fleet.System, version uint64, t *changeTimes) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	steady, restarting := c.pickRestarts(r, s)
	restarts := startRestarts(ctx, s, restarting)
	begin := time.Now()
	want, err := s.Submit(ctx, c.shape.Manifest(version))
	if err != nil {
		cancel()
		_, _, restartErr := restarts.wait(0)
		return errors.CombineErrors(err, restartErr)
	}
	accepted := time.Now()
	t.accept = append(t.accept, accepted.Sub(begin))
	left := fleet.WaitVersion(ctx, s, steady, want, func(_ int, at time.Time) {
		t.perDaemon = append(t.perDaemon, at.Sub(accepted))
	})
	t.late += len(left)
	t.slowest = append(t.slowest, time.Since(accepted))
	restarted, late, err := restarts.wait(want)
	t.restarted = append(t.restarted, restarted...)
	t.late += late
	return err
}

// restarts is a set of daemons that restart at the same time.
type restarts struct {
	group errgroup.Group
	// versionKnown is closed when version is set.
	versionKnown chan struct{}
	version      uint64

	mu        sync.Mutex
	durations []time.Duration
	late      int
}

func startRestarts(ctx context.Context, s fleet.System, members []int) *restarts {
	r := &restarts{versionKnown: make(chan struct{})}
	for _, member := range members {
		r.group.Go(func() error { return r.restart(ctx, s, member) })
	}
	return r
}

func (r *restarts) restart(ctx context.Context, s fleet.System, member int) error {
	if err := s.Restart(member); err != nil {
		return err
	}
	started := time.Now()
	<-r.versionKnown
	left := fleet.WaitVersion(ctx, s, []int{member}, r.version, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.durations = append(r.durations, time.Since(started))
	r.late += len(left)
	return nil
}

// wait returns the time of each daemon from its start until version was in force, and the number of
// daemons that did not reach it in time.
func (r *restarts) wait(version uint64) ([]time.Duration, int, error) {
	r.version = version
	close(r.versionKnown)
	err := r.group.Wait()
	return r.durations, r.late, err
}

// pickRestarts selects random daemons to restart. At most one of them is a source, so that the
// sources keep their majority.
func (c *convergence) pickRestarts(r *run, s fleet.System) (steady, restarting []int) {
	want := int(c.restartShare*float64(s.Size()) + 0.5)
	sources := 0
	for _, member := range r.random.Perm(s.Size()) {
		isSource := member < s.Sources()
		if len(restarting) == want || isSource && sources > 0 {
			steady = append(steady, member)
			continue
		}
		if isSource {
			sources++
		}
		restarting = append(restarting, member)
	}
	return steady, restarting
}
