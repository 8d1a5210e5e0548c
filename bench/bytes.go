package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/baseline"
	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
	versions "github.com/daisygate/daisygate/internal/version/fleet"
)

// Report systems that are not measured on a fleet.
const (
	systemEncoding = "encoding"
	systemLimit    = "limit"
)

// The limit of the bytes that a change costs each daemon: a multiple of the encoded delta plus a
// constant.
const (
	limitDeltaFactor = 1.5
	limitDeltaExtra  = 200
)

// announcementSettle is the default delay before idle daemons are measured. It lets the
// announcements of all servers reach every daemon.
const announcementSettle = "15s"

// controlBytes measures the cost of control traffic: bytes for each change, and bytes, CPU time
// and memory of idle daemons.
type controlBytes struct {
	changeLoad
	idle time.Duration
}

func newBytes() *cobra.Command {
	b := &controlBytes{}
	flags := func(f *pflag.FlagSet) {
		b.changeLoad.flags(f, 30, 200*time.Millisecond)
		f.DurationVar(&b.idle, "idle", 10*time.Second, "time over which idle daemons are measured")
	}
	cmd := newRun("bytes", "Control bytes for each change and of idle daemons", "daemons", flags, b.measure)
	setDefault(cmd, "settle", announcementSettle)
	return cmd
}

func (b *controlBytes) measure(ctx context.Context, r *run) error {
	r.report.Note("bytes are those of net/rpc on control connections, without TCP and IP headers; bytes a change are above the idle rate of the same fleet")
	delta, err := deltaBytes(b.shape, b.changes)
	if err != nil {
		return err
	}
	for _, size := range b.sizes {
		at := float64(size)
		r.report.Add("received a change, mean daemon", systemEncoding, at, report.Bytes, delta)
		r.report.Add("received a change, mean daemon", systemLimit, at, report.Bytes, limitDeltaFactor*delta+limitDeltaExtra)
		for _, start := range []starter{startShared, startBaseline(baseline.Poll), startBaseline(baseline.Stream)} {
			err := r.withSystem(ctx, start, size, b.shape, func(s fleet.System) error { return b.measureSystem(ctx, r, s) })
			if err != nil {
				return err
			}
		}
	}
	if b.processSize == 0 {
		return nil
	}
	return r.withSystem(ctx, startProcesses, b.processSize, b.shape, func(s fleet.System) error {
		return b.measureSystem(ctx, r, s)
	})
}

// deltaBytes returns the mean encoded size of the deltas of the changes.
func deltaBytes(shape fleet.Shape, changes int) (float64, error) {
	state, err := versions.Empty().Accept(shape.Manifest(1))
	if err != nil {
		return 0, err
	}
	sum := 0
	for i := range changes {
		next, err := state.Accept(shape.Manifest(uint64(i) + 2))
		if err != nil {
			return 0, err
		}
		raw, err := versions.Diff(state, next).Encode()
		if err != nil {
			return 0, err
		}
		sum += len(raw)
		state = next
	}
	return float64(sum) / float64(changes), nil
}

func (b *controlBytes) measureSystem(ctx context.Context, r *run, s fleet.System) error {
	idle, err := measureUsage(s, func() error {
		if !sleep(ctx, b.idle) {
			return context.Cause(ctx)
		}
		return nil
	})
	if err != nil {
		return err
	}
	busy, err := measureUsage(s, func() error { return b.makeChanges(ctx, s) })
	if err != nil {
		return errors.Wrapf(err, "%s, %d daemons", s.Name(), s.Size())
	}
	connections, err := fleet.Connections(s.SourceAddrs())
	if err != nil {
		return err
	}
	r.report.Add("idle, connections at a source", s.Name(), float64(s.Size()), report.Count, float64(largest(connections)))
	b.addIdle(r.report, s, idle)
	b.addChanges(r.report, s, idle, busy)
	return b.addMemory(r.report, s)
}

func (b *controlBytes) makeChanges(ctx context.Context, s fleet.System) error {
	for i := range b.changes {
		if err := changeEverywhere(ctx, s, b.shape.Manifest(uint64(i)+2), b.timeout); err != nil {
			return err
		}
		if !sleep(ctx, b.spacing) {
			return context.Cause(ctx)
		}
	}
	return nil
}

func (b *controlBytes) addIdle(rep *report.Report, s fleet.System, idle usage) {
	at := float64(s.Size())
	seconds := idle.elapsed.Seconds()
	sources, daemons := idle.split(s)
	rep.Add("idle, received, mean daemon", s.Name(), at, report.BytesPerSec, meanOf(daemons, received)/seconds)
	rep.Add("idle, received, max daemon", s.Name(), at, report.BytesPerSec, maxOf(daemons, received)/seconds)
	rep.Add("idle, sent, mean daemon", s.Name(), at, report.BytesPerSec, meanOf(daemons, sent)/seconds)
	rep.Add("idle, sent, max source", s.Name(), at, report.BytesPerSec, maxOf(sources, sent)/seconds)
	rep.Add("idle, messages sent, mean daemon", s.Name(), at, report.PerSecond, meanOf(daemons, messages)/seconds)
	rep.Add("idle, messages sent, max source", s.Name(), at, report.PerSecond, maxOf(sources, messages)/seconds)
	rep.Add("idle, processor, mean daemon", s.Name(), at, report.CorePercent, 100*idle.cpu.Seconds()/seconds/at)
}

func (b *controlBytes) addChanges(rep *report.Report, s fleet.System, idle, busy usage) {
	at := float64(s.Size())
	above := busy.aboveIdle(idle)
	changes := float64(b.changes)
	sources, daemons := above.split(s)
	rep.Add("received a change, mean daemon", s.Name(), at, report.Bytes, meanOf(daemons, received)/changes)
	rep.Add("received a change, max daemon", s.Name(), at, report.Bytes, maxOf(daemons, received)/changes)
	rep.Add("received a change, max source", s.Name(), at, report.Bytes, maxOf(sources, received)/changes)
	rep.Add("messages sent a change, mean daemon", s.Name(), at, report.Count, meanOf(daemons, messages)/changes)
	rep.Add("messages sent a change, max source", s.Name(), at, report.Count, maxOf(sources, messages)/changes)
	rep.Add("sent a change, all sources", s.Name(), at, report.Bytes, meanOf(sources, sent)*float64(len(sources))/changes)
	rep.Add("sent a change, max source", s.Name(), at, report.Bytes, maxOf(sources, sent)/changes)
	rep.Add("processor a change, mean daemon", s.Name(), at, report.Milliseconds, report.Millis(above.cpu)/changes/at)
}

// addMemory adds the resident memory of fleets that run each daemon in its own process.
func (b *controlBytes) addMemory(rep *report.Report, s fleet.System) error {
	processes, ok := s.(*fleet.Processes)
	if !ok {
		return nil
	}
	var sum, maxResident float64
	for member := range s.Size() {
		resident, err := fleet.ResidentBytes(processes.Pid(member))
		if err != nil {
			return err
		}
		sum += float64(resident)
		maxResident = max(maxResident, float64(resident))
	}
	at := float64(s.Size())
	rep.Add("resident memory, mean daemon", s.Name(), at, report.MiB, sum/at/(1<<20))
	rep.Add("resident memory, max daemon", s.Name(), at, report.MiB, maxResident/(1<<20))
	return nil
}
