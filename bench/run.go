package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
)

const (
	defaultOut   = "bench/out"
	defaultLimit = 10 * time.Minute
	// A run may use the memory of the machine divided by memoryDivisor.
	memoryDivisor      = 2
	memoryPollInterval = 500 * time.Millisecond
	randomStream       = 2
	defaultSettle      = 3 * time.Second
)

// run holds the options and state that all measurements share.
type run struct {
	outDir   string
	revision string
	note     string
	limit    time.Duration
	settle   time.Duration
	seed     uint64
	profile  string

	// dir holds the data folders during the run.
	dir    string
	report *report.Report
	random *rand.Rand
}

// measurement adds figures to the report of a run.
type measurement func(ctx context.Context, r *run) error

// newRun returns the command of a measurement. sizeName is the unit of the sizes of its figures.
func newRun(use, short, sizeName string, flags func(*pflag.FlagSet), measure measurement) *cobra.Command {
	r := &run{}
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return r.execute(cmd, sizeName, measure) },
	}
	f := cmd.Flags()
	f.StringVar(&r.outDir, "out", defaultOut, "folder for the JSON file and the plot")
	f.StringVar(&r.revision, "revision", "", "measured revision; default: revision of the working tree")
	f.StringVar(&r.note, "note", "", "remark to store with the figures")
	f.DurationVar(&r.limit, "limit", defaultLimit, "maximum duration of the run")
	f.DurationVar(&r.settle, "settle", defaultSettle, "pause between the start of a fleet and the measurement")
	f.Uint64Var(&r.seed, "seed", 1, "seed of the run's random choices")
	f.StringVar(&r.profile, "profile", "", "write a CPU profile of this process to a file")
	flags(f)
	return cmd
}

func (r *run) execute(cmd *cobra.Command, sizeName string, measure measurement) error {
	ctx, cancel := context.WithTimeoutCause(cmd.Context(), r.limit, errors.Newf("the run took longer than --limit %s", r.limit))
	defer cancel()
	ctx, stop := watchMemory(ctx)
	defer stop()
	if r.revision == "" {
		r.revision = report.Revision()
	}
	dir, err := os.MkdirTemp("", "daisygate-bench")
	if err != nil {
		return errors.Wrap(err, "create data folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r.dir = dir
	r.random = rand.New(rand.NewPCG(r.seed, randomStream))
	r.report = report.New("bench "+cmd.Name(), r.revision, sizeName, paramsOf(cmd.Flags()))
	if r.note != "" {
		r.report.Note("%s", r.note)
	}
	if err := r.runProfiled(ctx, measure); err != nil {
		return errors.CombineErrors(err, context.Cause(ctx))
	}
	r.report.Note("load average at the end %.1f", report.LoadAverage())
	if err := r.report.Write(cmd.OutOrStdout()); err != nil {
		return errors.Wrap(err, "print report")
	}
	path, err := r.report.Save(r.outDir, cmd.Name())
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "\nwritten to %s, plot in the same folder\n", path)
	return nil
}

// runProfiled runs the measurement, with the CPU profiler if requested.
func (r *run) runProfiled(ctx context.Context, measure measurement) error {
	if r.profile == "" {
		return measure(ctx, r)
	}
	file, err := os.Create(r.profile)
	if err != nil {
		return errors.Wrap(err, "create profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "start profile"), file.Close())
	}
	err = measure(ctx, r)
	pprof.StopCPUProfile()
	return errors.CombineErrors(err, file.Close())
}

// paramsOf returns the values of all flags except those that concern the output.
func paramsOf(flags *pflag.FlagSet) []report.Param {
	var params []report.Param
	flags.VisitAll(func(f *pflag.Flag) {
		if !strings.Contains(" help out revision note profile ", " "+f.Name+" ") {
			params = append(params, report.Param{Name: f.Name, Value: f.Value.String()})
		}
	})
	return params
}

// watchMemory cancels ctx when this process exceeds its share of the memory.
func watchMemory(ctx context.Context) (context.Context, func()) {
	limit := report.ThisMachine().MemoryBytes / memoryDivisor
	ctx, cancel := context.WithCancelCause(ctx)
	if limit == 0 {
		return ctx, func() { cancel(nil) }
	}
	debug.SetMemoryLimit(int64(limit))
	go func() {
		for sleep(ctx, memoryPollInterval) {
			if used, err := fleet.ResidentBytes(os.Getpid()); err == nil && used > limit {
				cancel(errors.Newf("memory limit exceeded: more than half of the machine's memory in use (%d bytes)", used))
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// sleep waits for d and reports whether ctx lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// tempDir creates a folder for one fleet.
func (r *run) tempDir() (string, error) {
	dir, err := os.MkdirTemp(r.dir, "fleet")
	return dir, errors.Wrap(err, "create data folder")
}

// setDefault changes the default of a flag for one command.
func setDefault(cmd *cobra.Command, name, value string) {
	f := cmd.Flags().Lookup(name)
	f.DefValue = value
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
