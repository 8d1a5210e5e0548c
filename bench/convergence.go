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

// convergence measures how long an accepted change takes to be in force on
// every daemon, one change at a time.
type convergence struct {
	changeLoad
	restart float64
}

func newConvergence() *cobra.Command {
	c := &convergence{}
	flags := func(f *pflag.FlagSet) {
		c.changeLoad.flags(f, 20, 300*time.Millisecond)
		f.Float64Var(&c.restart, "restart", 0, "share of the daemons that restart during each change")
	}
	return newRun("convergence", "Time from accepted until in force on every daemon", "daemons", flags, c.measure)
}

func (c *convergence) measure(ctx context.Context, r *run) error {
	r.report.Note("in force is seen to 1 ms in a shared process and to 25 ms with a process each")
	for _, size := range c.sizes {
		for _, start := range []starter{startShared, startBaseline(baseline.Poll), startBaseline(baseline.Stream)} {
			if err := c.measureOn(ctx, r, start, size); err != nil {
				return err
			}
		}
	}
	if c.processSize == 0 {
		return nil
	}
	return c.measureOn(ctx, r, startProcesses, c.processSize)
}

// times are what the changes on one system took.
type times struct {
	accept []time.Duration
	// each has an entry for each change and daemon that kept running.
	each []time.Duration
	// last has an entry for each change: until it was in force on all of them.
	last []time.Duration
	// restarted has an entry for each restart, from the start of the daemon.
	restarted []time.Duration
	missed    int
}

func (c *convergence) measureOn(ctx context.Context, r *run, start starter, size int) error {
	return r.withSystem(ctx, start, size, c.shape, func(s fleet.System) error {
		var t times
		for i := range c.changes {
			if err := c.change(ctx, r, s, uint64(i)+2, &t); err != nil {
				return errors.Wrapf(err, "%s, %d daemons", s.Name(), size)
			}
			if !sleep(ctx, c.spacing) {
				return context.Cause(ctx)
			}
		}
		at := float64(size)
		r.report.AddDurations("handed in to accepted", s.Name(), at, t.accept)
		r.report.AddDurations("accepted to in force, each daemon", s.Name(), at, t.each)
		r.report.AddDurations("accepted to in force, last daemon", s.Name(), at, t.last)
		r.report.AddDurations("restarted to in force", s.Name(), at, t.restarted)
		r.report.Add("not in force in time", s.Name(), at, "", float64(t.missed))
		return nil
	})
}

// change makes one change and waits until it is in force everywhere.
func (c *convergence) change(ctx context.Context, r *run, s fleet.System, version uint64, t *times) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	steady, restarting := c.pick(r, s)
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
		t.each = append(t.each, at.Sub(accepted))
	})
	t.missed += len(left)
	t.last = append(t.last, time.Since(accepted))
	restarted, missed, err := restarts.wait(want)
	t.restarted = append(t.restarted, restarted...)
	t.missed += missed
	return err
}

// restarts are daemons that restart at the same time.
type restarts struct {
	group errgroup.Group
	// want is closed once version is known.
	want    chan struct{}
	version uint64

	mu     sync.Mutex
	took   []time.Duration
	missed int
}

func startRestarts(ctx context.Context, s fleet.System, members []int) *restarts {
	r := &restarts{want: make(chan struct{})}
	for _, member := range members {
		r.group.Go(func() error { return r.one(ctx, s, member) })
	}
	return r
}

func (r *restarts) one(ctx context.Context, s fleet.System, member int) error {
	if err := s.Restart(member); err != nil {
		return err
	}
	back := time.Now()
	<-r.want
	left := fleet.WaitVersion(ctx, s, []int{member}, r.version, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = append(r.took, time.Since(back))
	r.missed += len(left)
	return nil
}

// wait returns how long each took from its start until version was in force,
// and how many did not get there in time.
func (r *restarts) wait(version uint64) ([]time.Duration, int, error) {
	r.version = version
	close(r.want)
	err := r.group.Wait()
	return r.took, r.missed, err
}

// pick draws the daemons that restart, at most one of them a source, so that
// the sources keep their majority.
func (c *convergence) pick(r *run, s fleet.System) (steady, restarting []int) {
	want := int(c.restart*float64(s.Size()) + 0.5)
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
