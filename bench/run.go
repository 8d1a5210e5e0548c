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
	// memoryShare is the part of the machine's memory that a run may use.
	memoryShare   = 2
	memoryEvery   = 500 * time.Millisecond
	restartSeed   = 2
	defaultSettle = 3 * time.Second
)

// run is what every measurement has in common.
type run struct {
	out      string
	revision string
	note     string
	limit    time.Duration
	settle   time.Duration
	seed     uint64
	profile  string

	// dir holds the run's data folders while it lasts.
	dir    string
	report *report.Report
	random *rand.Rand
}

// measurement takes figures into the run's report.
type measurement func(ctx context.Context, r *run) error

// newRun returns the command of a measurement. sizeName says what the sizes of
// its figures count.
func newRun(use, short, sizeName string, flags func(*pflag.FlagSet), measure measurement) *cobra.Command {
	r := &run{}
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return r.execute(cmd, sizeName, measure) },
	}
	f := cmd.Flags()
	f.StringVar(&r.out, "out", defaultOut, "folder for the JSON file and the plot")
	f.StringVar(&r.revision, "revision", "", "revision measured; default: of the working tree")
	f.StringVar(&r.note, "note", "", "a remark to keep with the figures")
	f.DurationVar(&r.limit, "limit", defaultLimit, "longest time the run may take")
	f.DurationVar(&r.settle, "settle", defaultSettle, "rest between the start of a fleet and the measurement")
	f.Uint64Var(&r.seed, "seed", 1, "seed of the run's random choices")
	f.StringVar(&r.profile, "profile", "", "write a processor profile of this process to a file")
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
	r.random = rand.New(rand.NewPCG(r.seed, restartSeed))
	r.report = report.New("bench "+cmd.Name(), r.revision, sizeName, paramsOf(cmd.Flags()))
	if r.note != "" {
		r.report.Note("%s", r.note)
	}
	if err := r.profiled(ctx, measure); err != nil {
		return errors.CombineErrors(err, context.Cause(ctx))
	}
	r.report.Note("load average at the end %.1f", report.LoadAverage())
	if err := r.report.Write(cmd.OutOrStdout()); err != nil {
		return errors.Wrap(err, "print report")
	}
	path, err := r.report.Save(r.out, cmd.Name())
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "\nwritten to %s, plot beside it\n", path)
	return nil
}

// profiled runs the measurement, under the profiler if that was asked for.
func (r *run) profiled(ctx context.Context, measure measurement) error {
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

// paramsOf lists every flag, given or not, but those about the output.
func paramsOf(flags *pflag.FlagSet) []report.Param {
	var params []report.Param
	flags.VisitAll(func(f *pflag.Flag) {
		if !strings.Contains(" help out revision note profile ", " "+f.Name+" ") {
			params = append(params, report.Param{Name: f.Name, Value: f.Value.String()})
		}
	})
	return params
}

// watchMemory ends ctx when this process needs more than its share of memory.
func watchMemory(ctx context.Context) (context.Context, func()) {
	limit := report.ThisMachine().MemoryBytes / memoryShare
	ctx, cancel := context.WithCancelCause(ctx)
	if limit == 0 {
		return ctx, func() { cancel(nil) }
	}
	debug.SetMemoryLimit(int64(limit))
	go func() {
		for sleep(ctx, memoryEvery) {
			if used, err := fleet.ResidentBytes(os.Getpid()); err == nil && used > limit {
				cancel(errors.Newf("more than half of the memory in use: %d bytes", used))
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

// tempDir makes a folder for one fleet.
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
