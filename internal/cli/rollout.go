package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

const (
	// rolloutPollInterval is the time between two requests for the rollout
	// status.
	rolloutPollInterval = 250 * time.Millisecond
	// rolloutWaitMargin is added to the time limit of a rollout when waiting
	// for its decision.
	rolloutWaitMargin = 10 * time.Second
)

func newRollout() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "Move a service to another software version, monitored by the mesh",
		Long: `Moves the requests of a service to backend servers of another software version,
which run in parallel with those of the previous version. At first a few servers of
the new version receive a limited share of the requests, then all of its servers do;
each daemon compares the responses of both versions. A version that fails more
requests or responds more slowly is rolled back. If the new version is good, it
receives all requests, and the stage becomes "completed" when no request is in
progress at the previous version.

This requires servers.rollouts in the settings of every node.`,
		Args: cobra.NoArgs,
	}
	cmd.AddCommand(newRolloutStart(), newRolloutStatus(), newRolloutAbort(), newRolloutHistory())
	return cmd
}

// serviceFlags adds the flags that name a service.
func serviceFlags(cmd *cobra.Command, name *source.ServiceName) {
	cmd.Flags().StringVar(&name.Mesh, "mesh", "", "mesh of the service")
	cmd.Flags().StringVar(&name.Service, "service", "", "the service")
	_ = cmd.MarkFlagRequired("mesh")
	_ = cmd.MarkFlagRequired("service")
}

func newRolloutStart() *cobra.Command {
	var api apiOptions
	var out output
	var order operator.RolloutRequest
	var within time.Duration
	var wait bool
	cmd := &cobra.Command{
		Use:     "start",
		Short:   "Start moving a service to a software version within a time limit",
		Example: "  daisygate rollout start --mesh ahnenbach --service archive --version v2 --within 5m --wait",
		Args:    cobra.NoArgs,
		RunE: runWithClient(&api, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			order.WithinSeconds = within.Seconds()
			answer, err := client.OrderRollout(cmd.Context(), order)
			if err != nil {
				return nil, nil, err
			}
			if wait {
				w := rolloutWaiter{client: client, name: order.Name(), progress: newProgress(cmd.ErrOrStderr())}
				answer, err = w.run(cmd.Context(), within+rolloutWaitMargin)
			}
			if err != nil {
				return nil, nil, err
			}
			return answer.Rollout, func(w io.Writer) { printRollout(w, answer.Rollout) }, nil
		}),
	}
	cmd.Flags().StringVar(&order.Mesh, "mesh", "", "mesh of the service")
	cmd.Flags().StringVar(&order.Service, "service", "", "the service")
	cmd.Flags().StringVar(&order.Target, "version", "", "target software version, as its backend servers announce it")
	cmd.Flags().DurationVar(&within, "within", 5*time.Minute, fmt.Sprintf("time limit for the decision, %s to %s", source.MinRolloutDuration, source.MaxRolloutDuration))
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for the decision; the exit code reports a version that was rolled back")
	for _, name := range []string{"mesh", "service", "version"} {
		_ = cmd.MarkFlagRequired(name)
	}
	api.flags(cmd)
	out.flags(cmd)
	return cmd
}

// rolloutWaiter waits until a rollout is completed or rolled back.
type rolloutWaiter struct {
	client   *operator.Client
	name     source.ServiceName
	progress *progress
}

func (w *rolloutWaiter) run(ctx context.Context, timeout time.Duration) (source.Answer, error) {
	defer w.progress.erase()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		answer, err := w.client.Rollout(ctx, w.name)
		if err == nil && answer.Rollout != nil {
			r := answer.Rollout
			w.progress.update("roll-out %d to version %s: %s", r.Number, r.Target, r.Stage)
			switch r.Stage {
			case fleet.Completed:
				return answer, nil
			case fleet.RolledBack:
				return answer, result.Errorf(result.RolledBack, "version %s still serves %s: %s", r.Version, w.name.Service, r.Why)
			}
		}
		select {
		case <-ctx.Done():
			return answer, result.Errorf(result.NotInForce, "the roll-out of service %s is not decided yet; it continues", w.name.Service)
		case <-time.After(rolloutPollInterval):
		}
	}
}

// rolloutQuery sends a request about the rollouts of a service to a daemon and
// returns the rollouts to print.
type rolloutQuery func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error)

// newRolloutQueryCommand completes cmd with flags and a RunE function that
// calls query.
func newRolloutQueryCommand(cmd *cobra.Command, query rolloutQuery) *cobra.Command {
	var api apiOptions
	var out output
	var name source.ServiceName
	cmd.Example = "  daisygate rollout " + cmd.Use + " --mesh ahnenbach --service archive"
	cmd.Args = cobra.NoArgs
	cmd.RunE = runWithClient(&api, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
		list, err := query(cmd.Context(), client, name)
		if err != nil {
			return nil, nil, err
		}
		return list, func(w io.Writer) { printRollouts(w, list) }, nil
	})
	serviceFlags(cmd, &name)
	api.flags(cmd)
	out.flags(cmd)
	return cmd
}

// latestRollout returns the latest rollout of a response as a list, which is
// empty if there is none.
func latestRollout(answer source.Answer, err error) ([]fleet.RolloutLine, error) {
	if err != nil || answer.Rollout == nil {
		return nil, err
	}
	return []fleet.RolloutLine{answer.Rollout.Summary()}, nil
}

func newRolloutStatus() *cobra.Command {
	cmd := &cobra.Command{Use: "status", Short: "Show the stage of the newest roll-out of a service, and why"}
	return newRolloutQueryCommand(cmd, func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error) {
		return latestRollout(client.Rollout(ctx, name))
	})
}

func newRolloutAbort() *cobra.Command {
	cmd := &cobra.Command{Use: "abort", Short: "Roll back the running roll-out of a service; repeating it is safe"}
	return newRolloutQueryCommand(cmd, func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error) {
		return latestRollout(client.OrderRollout(ctx, operator.RolloutRequest{Mesh: name.Mesh, Service: name.Service, Abort: true}))
	})
}

func newRolloutHistory() *cobra.Command {
	cmd := &cobra.Command{Use: "history", Short: "List the known roll-outs of a service, newest first"}
	return newRolloutQueryCommand(cmd, func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error) {
		answer, err := client.Rollout(ctx, name)
		list, err := latestRollout(answer, err)
		if err != nil || list == nil {
			return list, err
		}
		list = append(slices.Clone(answer.Rollout.Past), list...)
		slices.Reverse(list)
		return list, nil
	})
}

func printRollout(w io.Writer, r *fleet.Rollout) {
	if r != nil {
		printRollouts(w, []fleet.RolloutLine{r.Summary()})
	}
}

func printRollouts(w io.Writer, list []fleet.RolloutLine) {
	var rows []string
	for _, r := range list {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s", r.Number, r.Version, r.Target, r.Stage, r.Ordered.Format(time.RFC3339), r.Why))
	}
	table(w, "NUMBER\tFROM\tTO\tSTAGE\tORDERED\tWHY", rows)
}
