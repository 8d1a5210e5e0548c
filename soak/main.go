// Command soak runs the real programs as processes on loopback addresses, with the settings
// that the platform writes, and injects faults: signals, deleted data folders, and a proxy in
// front of each backend server that delays, resets, silences or cuts connections in one
// direction. Its own callers, backend servers and operators record what they observe, and the
// record is checked against the platform's promises.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "soak", Short: "Run the real programs under random faults", SilenceUsage: true}
	root.AddCommand(command("run", "Run a seed"), command("replay", "Run a seed again"))
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func command(name, short string) *cobra.Command {
	o := Options{}
	cmd := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Text())
			if len(report.Violations) > 0 {
				return errors.Newf("%d promises broken; logs and timeline are in %s", len(report.Violations), report.Dir)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed for the faults, the requests and the configuration changes")
	cmd.Flags().DurationVar(&o.Duration, "for", 60*time.Second, "duration of the fault injection; the recovery time is added")
	cmd.Flags().IntVar(&o.Daemons, "daemons", 6, "number of daemons, each with a local backend server")
	cmd.Flags().StringVar(&o.Binary, "binary", "bin/daisygate", "path of the program under test, built with the tag faultydisk")
	cmd.Flags().StringVar(&o.Dir, "dir", "", "folder for logs and the timeline; empty creates a temporary folder")
	return cmd
}

// Options configure a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Daemons  int
	// Binary is the path of the program under test. Dir receives logs and the timeline.
	Binary, Dir string
}

// sharesLoad reports whether the run has a mesh that shares load, and bursts of requests.
func (o Options) sharesLoad() bool { return o.Seed%2 == 1 }

// hasOrganisation reports whether callers need the key of an organisation. Then daemons know calls of
// runs by the configuration, otherwise by where the requests enter.
func (o Options) hasOrganisation() bool { return o.Seed%4 == 1 }

// hasCrashingRequest reports whether a request that crashes servers is sent.
func (o Options) hasCrashingRequest() bool { return o.Seed%3 == 1 }

// statesStart reports whether the servers state their start times.
func (o Options) statesStart() bool { return o.Seed%2 == 0 }

// failsDisks reports whether the disks of sources fail.
func (o Options) failsDisks() bool { return o.Seed%2 == 0 }

// replacesSources reports whether sources are replaced, and all of them lose power at the end,
// one with its disk.
func (o Options) replacesSources() bool { return o.Seed%5 == 2 }

const (
	sourceCount = 3
	// startupTimeout bounds the start of the cluster. recoveryTime is the time that the cluster
	// has to recover after the last fault.
	startupTimeout = 20 * time.Second
	recoveryTime   = 8 * time.Second
	// steadyTime is the last part of the recovery, in which nearly all requests must succeed.
	steadyTime = 3 * time.Second
	// burstRecoveryTime is the first part of the recovery, in which bursts go on.
	burstRecoveryTime = 4 * time.Second
)

// Run runs the soak with one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return nil, errors.Wrap(err, "create folder for the run")
		}
		o.Dir = dir
	}
	binary, err := filepath.Abs(o.Binary)
	if err != nil {
		return nil, errors.Wrap(err, "resolve program path")
	}
	o.Binary = binary
	cl, err := newCluster(o)
	if err != nil {
		return nil, err
	}
	defer cl.stop()
	if err := cl.start(ctx); err != nil {
		return nil, err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	cl.startCallers(load)
	cl.startOperators(load)
	bursts, stopBursts := context.WithCancel(load)
	defer stopBursts()
	if o.sharesLoad() {
		cl.startBursts(bursts)
	}
	disturbance, stopDisturbance := context.WithCancel(ctx)
	defer stopDisturbance()
	cl.startForeignReports(disturbance)
	cl.startRefusals(disturbance)
	if o.hasCrashingRequest() {
		cl.startCrashingRequest(disturbance)
	}
	cl.startLimits(disturbance)
	cl.startDepartures(disturbance)
	if o.replacesSources() {
		cl.startReplacements(disturbance)
	}
	if o.failsDisks() {
		cl.startDiskFaults(disturbance)
	}
	cl.injectFaults(ctx, o.Duration)
	stopDisturbance()
	cl.awaitFaultEnds()
	if o.replacesSources() {
		cl.losePowerAndDisk(ctx)
	}
	cl.sleep(ctx, burstRecoveryTime)
	stopBursts()
	cl.sleep(ctx, recoveryTime-burstRecoveryTime)
	stopLoad()
	cl.wait.Wait()
	cl.readBack()
	r := check(cl.history)
	r.Seed, r.Dir = o.Seed, o.Dir
	return r, r.writeTimeline(filepath.Join(o.Dir, "timeline.svg"))
}
