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

// recovery measures how the fleet comes back: half of it killed and back at
// once, a source whose disk is lost, servers that leave and daemons that die.
type recovery struct {
	herds    []int
	presence []int
	times    int
	log      int
	shape    fleet.Shape
	timeout  time.Duration
	skip     []string
}

// The parts of the measurement, for --skip.
const (
	partHerd     = "herd"
	partRepair   = "repair"
	partPresence = "presence"
)

func newRecovery() *cobra.Command {
	c := &recovery{}
	flags := func(f *pflag.FlagSet) {
		f.IntSliceVar(&c.herds, "herds", []int{12, 24, 48}, "daemons of the fleets of which half is killed, a process each")
		f.IntSliceVar(&c.presence, "presence", []int{12, 50, 200}, "daemons of the fleets in which servers leave and daemons die")
		f.IntVar(&c.times, "times", 5, "servers that leave and daemons that die, one at a time")
		f.IntVar(&c.log, "log", 100, "changes in the log that a source without its disk takes in again")
		shapeFlags(f, &c.shape)
		f.DurationVar(&c.timeout, "timeout", 30*time.Second, "longest wait for one recovery")
		f.StringSliceVar(&c.skip, "skip", nil, "parts to leave out: herd, repair, presence")
	}
	return newRun("recovery", "Half the fleet back at once, a source repaired, servers leaving and daemons dying", "daemons", flags, c.measure)
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
	for _, size := range c.herds {
		for _, start := range []starter{startProcesses, startBaseline(baseline.Poll), startBaseline(baseline.Stream)} {
			err := r.withSystem(ctx, start, size, c.shape, func(s fleet.System) error { return c.herd(ctx, r.report, s) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// herd restarts every second member at once, a source never.
func (c *recovery) herd(ctx context.Context, rep *report.Report, s fleet.System) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var half []int
	for member := s.Sources(); member < s.Size(); member += 2 {
		half = append(half, member)
	}
	before, err := fleet.Connections(s.SourceAddrs())
	if err != nil {
		return err
	}
	peak := watchConnections(ctx, s.SourceAddrs())
	var took []time.Duration
	used, err := watch(s, func() error {
		herd := startRestarts(ctx, s, half)
		var missed int
		took, missed, err = herd.wait(1)
		if missed > 0 {
			return errors.Newf("%d of %d daemons not back in time", missed, len(half))
		}
		return err
	})
	if err != nil {
		return err
	}
	most, err := peak()
	if err != nil {
		return err
	}
	at := float64(s.Size())
	sources, _ := used.split(s)
	rep.AddDurations("herd, from start to a version in force", s.Name(), at, took)
	rep.Add("herd, connections at a source before", s.Name(), at, report.Count, float64(largest(before)))
	rep.Add("herd, most connections at a source", s.Name(), at, report.Count, float64(most))
	rep.Add("herd, sent by one source", s.Name(), at, report.Bytes, mostOf(sources, sent))
	rep.Add("herd, received by one source", s.Name(), at, report.Bytes, mostOf(sources, received))
	return nil
}

const connectionsEvery = 20 * time.Millisecond

// watchConnections samples the connections at addresses until the returned
// function is called, which returns the most that one of them had.
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
			if !sleep(ctx, connectionsEvery) {
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

// repairFleet is three sources and two more daemons.
const repairFleet = 5

// measureRepair takes the disk of one source, and waits until it has its vote
// again; then it kills another source and has a change accepted.
func (c *recovery) measureRepair(ctx context.Context, r *run) error {
	return r.withSystem(ctx, startProcesses, repairFleet, c.shape, func(s fleet.System) error {
		processes := s.(*fleet.Processes)
		for i := range c.log {
			if err := changeEverywhere(ctx, s, c.shape.Manifest(uint64(i)+2), c.timeout); err != nil {
				return err
			}
		}
		victim := processes.Sources() - 1
		processes.Kill(victim)
		if err := os.RemoveAll(processes.Settings(victim).DataDir); err != nil {
			return errors.Wrap(err, "lose the disk")
		}
		begin := time.Now()
		if err := processes.Start(victim); err != nil {
			return err
		}
		if err := c.waitRepaired(ctx, processes, victim); err != nil {
			return err
		}
		at := float64(repairFleet)
		r.report.Add("source without its disk, from start to its vote", s.Name(), at, report.Milliseconds, report.Millis(time.Since(begin)))
		processes.Kill(0)
		begin = time.Now()
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		if _, err := s.Submit(ctx, c.shape.Manifest(uint64(c.log)+2)); err != nil {
			return errors.Wrap(err, "another source lost after the repair")
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
		if !sleep(ctx, askPause) {
			return errors.Newf("source not repaired in time: %+v", status.Source)
		}
	}
}
