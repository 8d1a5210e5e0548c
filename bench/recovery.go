package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/baseline"
	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
	"github.com/daisygate/daisygate/internal/process/replica"
)

// recovery measures how a fleet recovers from a simultaneous restart of half of its daemons, a source
// that lost its disk, servers that leave and daemons that die.
type recovery struct {
	herdSizes     []int
	presenceSizes []int
	repetitions   int
	logChanges    int
	shape         fleet.Shape
	timeout       time.Duration
	skip          []string
}

// The parts of the measurement, as named by --skip.
const (
	partHerd     = "herd"
	partRepair   = "repair"
	partPresence = "presence"
)

func newRecovery() *cobra.Command {
	c := &recovery{}
	flags := func(f *pflag.FlagSet) {
		f.IntSliceVar(&c.herdSizes, "herds", []int{12, 24, 48}, "fleet sizes for the simultaneous restart of half the daemons, with one process for each daemon")
		f.IntSliceVar(&c.presenceSizes, "presence", []int{12, 50, 200}, "fleet sizes for leaving servers and dying daemons")
		f.IntVar(&c.repetitions, "times", 5, "number of servers that leave and of daemons that die, one at a time")
		f.IntVar(&c.logChanges, "log", 100, "changes in the log that a source recovers after it lost its disk")
		shapeFlags(f, &c.shape)
		f.DurationVar(&c.timeout, "timeout", 30*time.Second, "longest wait for one recovery")
		f.StringSliceVar(&c.skip, "skip", nil, "parts to skip: herd, repair, presence")
	}
	return newRun("recovery", "Restart of half the fleet, repair of a source, leaving servers and dying daemons", "daemons", flags, c.measure)
}

func (c *recovery) measure(ctx context.Context, r *run) error {
	return measureParts(ctx, c.skip, []part{
		{partHerd, func() error { return c.measureHerds(ctx, r) }},
		{partRepair, func() error { return c.measureRepair(ctx, r) }},
		{partPresence, func() error { return c.measurePresence(ctx, r) }},
	})
}

func (c *recovery) measureHerds(ctx context.Context, r *run) error {
	r.report.Note("herd: daemons of daisygate are killed and started as processes; proxies of the baselines are stopped and started in this process, so their times leave out the start of a process")
	for _, size := range c.herdSizes {
		for _, start := range []starter{startProcesses, startBaseline(baseline.Poll), startBaseline(baseline.Stream)} {
			err := r.withSystem(ctx, start, size, c.shape, func(s fleet.System) error { return c.measureHerd(ctx, r.report, s) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// measureHerd restarts every second member at the same time, but no source.
func (c *recovery) measureHerd(ctx context.Context, rep *report.Report, s fleet.System) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var members []int
	for member := s.Sources(); member < s.Size(); member += 2 {
		members = append(members, member)
	}
	before, err := fleet.Connections(s.SourceAddrs())
	if err != nil {
		return err
	}
	peak := watchConnections(ctx, s.SourceAddrs())
	var took []time.Duration
	used, err := measureUsage(s, func() error {
		restarting := startRestarts(ctx, s, members)
		var late int
		took, late, err = restarting.wait(1)
		if late > 0 {
			return errors.Newf("%d of %d daemons did not recover in time", late, len(members))
		}
		return err
	})
	if err != nil {
		return err
	}
	peakCount, err := peak()
	if err != nil {
		return err
	}
	at := float64(s.Size())
	sources, _ := used.split(s)
	rep.AddDurations("herd, from start to a version in force", s.Name(), at, took)
	rep.Add("herd, connections at a source before", s.Name(), at, report.Count, float64(largest(before)))
	rep.Add("herd, most connections at a source", s.Name(), at, report.Count, float64(peakCount))
	rep.Add("herd, sent by one source", s.Name(), at, report.Bytes, maxOf(sources, sent))
	rep.Add("herd, received by one source", s.Name(), at, report.Bytes, maxOf(sources, received))
	return nil
}

const connectionPollInterval = 20 * time.Millisecond

// watchConnections samples the connections at the given addresses until the returned function is
// called. That function returns the largest number seen at one address.
func watchConnections(ctx context.Context, addrs []string) func() (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	most := 0
	go func() {
		for {
			counts, err := fleet.Connections(addrs)
			if err != nil {
				done <- err
				return
			}
			most = max(most, largest(counts))
			if !sleep(ctx, connectionPollInterval) {
				done <- nil
				return
			}
		}
	}()
	return func() (int, error) {
		cancel()
		err := <-done
		return most, err
	}
}

func largest(counts []int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// repairFleetSize is three sources and two other daemons.
const repairFleetSize = 5

// measureRepair deletes the disk of one source and waits until it may vote again. It then kills
// another source and waits until a change is accepted.
func (c *recovery) measureRepair(ctx context.Context, r *run) error {
	return r.withSystem(ctx, startProcesses, repairFleetSize, c.shape, func(s fleet.System) error {
		processes := s.(*fleet.Processes)
		for i := range c.logChanges {
			if err := changeEverywhere(ctx, s, c.shape.Manifest(uint64(i)+2), c.timeout); err != nil {
				return err
			}
		}
		victim := processes.Sources() - 1
		processes.Kill(victim)
		if err := os.RemoveAll(processes.Settings(victim).DataDir); err != nil {
			return errors.Wrap(err, "delete data folder")
		}
		begin := time.Now()
		if err := processes.Start(victim); err != nil {
			return err
		}
		if err := c.waitRepaired(ctx, processes, victim); err != nil {
			return err
		}
		at := float64(repairFleetSize)
		r.report.Add("source without its disk, from start to its vote", s.Name(), at, report.Milliseconds, report.Millis(time.Since(begin)))
		processes.Kill(0)
		begin = time.Now()
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		if _, err := s.Submit(ctx, c.shape.Manifest(uint64(c.logChanges)+2)); err != nil {
			return errors.Wrap(err, "submit after another source was killed")
		}
		r.report.Add("another source killed, until a change is accepted", s.Name(), at, report.Milliseconds, report.Millis(time.Since(begin)))
		return nil
	})
}

func (c *recovery) waitRepaired(ctx context.Context, processes *fleet.Processes, member int) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		status, err := processes.Status(member)
		if err == nil && status.Source != nil && status.Source.Repair.State == replica.RepairDone {
			return nil
		}
		if !sleep(ctx, retryPause) {
			return errors.Newf("source was not repaired in time: %+v", status.Source)
		}
	}
}
